// Package history runs random schedules of faults against simulated entries and
// workers in virtual time and checks the answers against the runs on the workers.
package history

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// group is the only group of workers in the simulation.
const group = "a/0"

// Durations and sizes of the simulation. The values for clients are those that the
// users of the system have specified.
const (
	resendAfter       = 1300 * time.Millisecond // when a client without an answer sends its job again
	requestDeadline   = 1500 * time.Millisecond // deadline of one request
	leaseDuration     = time.Second
	heartbeatInterval = 50 * time.Millisecond
	deadAfter         = 6 * heartbeatInterval // without a heartbeat, an entry counts as dead
	listenTime        = 2 * heartbeatInterval // an entry makes no claim so shortly after its start
	slotsPerWorker    = 3                     // tasks that a worker can run at once
)

var errUnreachable = errors.New("peer is unreachable")

// world is a simulated availability zone with entries, workers and a network
// between them.
type world struct {
	mu               sync.Mutex
	random           *rand.Rand
	entries          []*entry // by index; a restarted entry replaces its earlier incarnation
	workers          []*worker.Worker
	incarnations     []int // current incarnation of each worker
	blockedUntil     map[[2]string]time.Time
	answersLostUntil map[string]time.Time
	lateOrderChance  float64 // probability that an order is executed late
	monitor          *worker.RunMonitor
	goroutines       sync.WaitGroup
	finished         atomic.Bool  // set at the end; nothing restarts after it
	logOutput        bytes.Buffer // lines of all loggers
}

func newWorld(seed uint64, entries, workers int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), blockedUntil: map[[2]string]time.Time{}, answersLostUntil: map[string]time.Time{}, monitor: &worker.RunMonitor{},
	}
	for i := range workers {
		w.workers, w.incarnations = append(w.workers, nil), append(w.incarnations, 0)
		w.startWorker(i)
	}
	for i := range entries {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	return w
}

// randomInt returns a random number below n. All randomness of a world comes from its seed.
func (w *world) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) randomChance(chance float64) bool { return float64(w.randomInt(10000)) < chance*10000 }

func workerID(index, incarnation int) string { return fmt.Sprintf("w%d-%d", index, incarnation) }

// startWorker starts a new incarnation of a worker after crashing the current one, if any.
func (w *world) startWorker(index int) {
	w.mu.Lock()
	if previous := w.workers[index]; previous != nil {
		w.mu.Unlock()
		previous.Crash()
		w.mu.Lock()
	}
	w.incarnations[index]++
	w.workers[index] = worker.New(worker.Options{
		ID: workerID(index, w.incarnations[index]), Slots: slotsPerWorker, Monitor: w.monitor,
		PlanRun: func(string) (string, time.Duration) {
			outcome := "done"
			if w.randomChance(0.02) {
				outcome = "failed"
			}
			return outcome, time.Duration(20+w.randomInt(400)) * time.Millisecond
		},
		DelayOrder: func(string) time.Duration {
			w.mu.Lock()
			chance := w.lateOrderChance
			w.mu.Unlock()
			if w.randomChance(chance) {
				return time.Duration(300+w.randomInt(4000)) * time.Millisecond
			}
			return 0
		},
	})
	w.mu.Unlock()
	w.updateWorkers()
}

// registrations returns the workers' registrations as the platform's store would list them.
func (w *world) registrations() []platform.Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []platform.Registration
	for i := range w.workers {
		all = append(all, platform.Registration{
			ID: workerID(i, w.incarnations[i]), Service: "listing", Address: fmt.Sprintf("w%d", i), Zone: "a", Labels: []string{"k"},
			Capacity: resources.Resources{MilliCores: slotsPerWorker * 1000, MemoryMB: 1000},
		})
	}
	return all
}

// updateWorkers passes the current registrations to all holders.
func (w *world) updateWorkers() {
	for _, e := range w.liveEntries() {
		e.updateWorkers()
	}
}

func (w *world) liveEntries() []*entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*entry
	for _, e := range w.entries {
		if e != nil && e.ctx.Err() == nil {
			all = append(all, e)
		}
	}
	return all
}

// blockLink blocks both directions between two entries or workers for a duration.
func (w *world) blockLink(a, b string, duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blockedUntil[[2]string{a, b}] = time.Now().Add(duration)
	w.blockedUntil[[2]string{b, a}] = time.Now().Add(duration)
}

func (w *world) canReach(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(w.blockedUntil[[2]string{a, b}])
}

// transmit simulates sending a message: it returns after a random network delay,
// or with an error when ctx ends if the link is blocked.
func (w *world) transmit(ctx context.Context, from, to string) error {
	if !w.canReach(from, to) {
		<-ctx.Done()
		return errUnreachable
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(500+w.randomInt(3000)) * time.Microsecond):
		return nil
	}
}

// workerTransport is the http.RoundTripper that carries the orders of one entry to the workers.
type workerTransport struct {
	*world
	from string
}

// RoundTrip sends an order to its worker. The worker may execute the order although
// RoundTrip returns an error.
func (w workerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, host := r.Context(), r.URL.Host
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := w.transmit(ctx, w.from, host); err != nil {
		return nil, err
	}
	w.mu.Lock()
	var index int
	_, _ = fmt.Sscanf(host, "w%d", &index)
	target, dropAnswer := w.workers[index], time.Now().Before(w.answersLostUntil[host])
	w.mu.Unlock()
	answer := make(chan *httptest.ResponseRecorder, 1)
	w.goroutines.Go(func() {
		log := w.log(host).With("order", r.URL.Path, "from", w.from, "body", string(data))
		defer func() {
			if recover() != nil { // the worker aborted with http.ErrAbortHandler
				log.Info("order got no answer")
			}
		}()
		recorder := httptest.NewRecorder()
		order := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(data)).WithContext(ctx)
		order.Header = r.Header.Clone()
		target.ServeHTTP(recorder, order)
		log.Info("order", "status", recorder.Code, "lists", recorder.Body.String())
		answer <- recorder
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case recorder := <-answer:
		if dropAnswer {
			<-ctx.Done()
			return nil, errUnreachable
		}
		if err := w.transmit(ctx, host, w.from); err != nil {
			return nil, err
		}
		return recorder.Result(), nil
	}
}

// Write appends a log line to the output kept for failures.
func (w *world) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logOutput.Write(line)
}

func (w *world) log(name string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, nil)).With("at", name)
}

// matchingLogLines returns the log lines that contain any of the words.
func (w *world) matchingLogLines(words ...string) string {
	var matching strings.Builder
	for line := range strings.Lines(w.logOutput.String()) {
		if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
			matching.WriteString(line)
		}
	}
	return matching.String()
}

func newBatch(id string, tasks int) *batch.Batch {
	now := time.Now()
	return &batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "hold", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
		ID:            id, ArrivedAt: now, ExpiresAt: now.Add(requestDeadline),
		Steps: []batch.Step{{Count: tasks, Resources: resources.Resources{MilliCores: 1000}, Hint: 200 * time.Millisecond}},
	}
}
