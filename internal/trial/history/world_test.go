// Package history plays schedules of faults against entries and workers in virtual time and checks what the workers saw.
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
	"github.com/radishgate/radishgate/internal/work/room"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// group is the only group of workers.
const group = "a/0"

// Spans of the world, those of clients as the users state them.
const (
	resend   = 1300 * time.Millisecond // after which a client without an answer sends its job again
	deadline = 1500 * time.Millisecond // of a client for one request
	lease    = time.Second
	beat     = 50 * time.Millisecond
	deadSpan = 6 * beat // without a heartbeat after which an entry counts as dead
	listen   = 2 * beat // for which an entry that starts makes no claim
	slots    = 3        // tasks that a worker runs at once
)

var errCut = errors.New("no path")

// world is a zone of entries, workers and clients.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	entries []*entry // by place; one that starts again takes the place of its earlier life
	workers []*worker.Worker
	lives   []int // of workers, by place
	cuts    map[[2]string]time.Time
	mute    map[string]time.Time
	late    float64 // share of orders that are executed late
	watch   *worker.Watch
	tasks   sync.WaitGroup
	over    atomic.Bool  // nothing starts again
	lines   bytes.Buffer // of all logs
}

func newWorld(seed uint64, entries, workers int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]string]time.Time{}, mute: map[string]time.Time{}, watch: &worker.Watch{},
	}
	for i := range workers {
		w.workers, w.lives = append(w.workers, nil), append(w.lives, 0)
		w.startWorker(i)
	}
	for i := range entries {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	return w
}

// draw gives a number below n; all randomness of a world comes from its seed.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) chance(share float64) bool { return float64(w.draw(10000)) < share*10000 }

func workerID(place, life int) string { return fmt.Sprintf("w%d-%d", place, life) }

// startWorker begins a life of a worker; one before it crashes.
func (w *world) startWorker(place int) {
	w.mu.Lock()
	if before := w.workers[place]; before != nil {
		w.mu.Unlock()
		before.Crash()
		w.mu.Lock()
	}
	w.lives[place]++
	w.workers[place] = worker.New(worker.Options{
		ID: workerID(place, w.lives[place]), Room: slots, Watch: w.watch,
		Fate: func(string) (string, time.Duration) {
			how := "done"
			if w.chance(0.02) {
				how = "failed"
			}
			return how, time.Duration(20+w.draw(400)) * time.Millisecond
		},
		Late: func(string) time.Duration {
			w.mu.Lock()
			share := w.late
			w.mu.Unlock()
			if w.chance(share) {
				return time.Duration(300+w.draw(4000)) * time.Millisecond
			}
			return 0
		},
	})
	w.mu.Unlock()
	w.enlist()
}

// registrations lists the workers as the store would.
func (w *world) registrations() []platform.Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []platform.Registration
	for i := range w.workers {
		all = append(all, platform.Registration{
			ID: workerID(i, w.lives[i]), Service: "listing", Address: fmt.Sprintf("w%d", i), Zone: "a", Labels: []string{"k"},
			Capacity: room.Resources{MilliCores: slots * 1000, MemoryMB: 1000},
		})
	}
	return all
}

// enlist tells all holders of the workers that there are.
func (w *world) enlist() {
	for _, e := range w.alive() {
		e.enlist()
	}
}

func (w *world) alive() []*entry {
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

// cut parts two of the world for a while.
func (w *world) cut(a, b string, span time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}] = time.Now().Add(span)
	w.cuts[[2]string{b, a}] = time.Now().Add(span)
}

func (w *world) reaches(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(w.cuts[[2]string{a, b}])
}

// trip lets a message pass, or waits until its sender gives up.
func (w *world) trip(ctx context.Context, from, to string) error {
	if !w.reaches(from, to) {
		<-ctx.Done()
		return errCut
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(500+w.draw(3000)) * time.Microsecond):
		return nil
	}
}

// wire takes the orders of one place of an entry to the workers.
type wire struct {
	*world
	from string
}

// RoundTrip carries an order out. The order may be carried out though its sender
// gets no answer.
func (w wire) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, host := r.Context(), r.URL.Host
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := w.trip(ctx, w.from, host); err != nil {
		return nil, err
	}
	w.mu.Lock()
	var place int
	_, _ = fmt.Sscanf(host, "w%d", &place)
	target, mute := w.workers[place], time.Now().Before(w.mute[host])
	w.mu.Unlock()
	answer := make(chan *httptest.ResponseRecorder, 1)
	w.tasks.Go(func() {
		log := w.log(host).With("order", r.URL.Path, "from", w.from, "body", string(data))
		defer func() {
			if recover() != nil { // http.ErrAbortHandler: no answer
				log.Info("order without an answer")
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
		if mute {
			<-ctx.Done()
			return nil, errCut
		}
		if err := w.trip(ctx, host, w.from); err != nil {
			return nil, err
		}
		return recorder.Result(), nil
	}
}

// Write takes a line of a log.
func (w *world) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(line)
}

func (w *world) log(name string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, nil)).With("at", name)
}

// story gives the lines that name one of some words.
func (w *world) story(words ...string) string {
	var told strings.Builder
	for line := range strings.Lines(w.lines.String()) {
		if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
			told.WriteString(line)
		}
	}
	return told.String()
}

func newBatch(id string, tasks int) *batch.Batch {
	now := time.Now()
	return &batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "hold", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
		ID:            id, ArrivedAt: now, ExpiresAt: now.Add(deadline),
		Steps: []batch.Step{{Count: tasks, Resources: room.Resources{MilliCores: 1000}, Hint: 200 * time.Millisecond}},
	}
}
