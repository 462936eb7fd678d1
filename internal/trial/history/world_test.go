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

	maxPublishMillis = 1500                   // from a worker's start to its registration
	maxReadMillis    = 780                    // between two reads of the registrations by an entry; their list is never older than 0.8 s
	maxLateMillis    = 300                    // delay of a response that is late
	passInterval     = 200 * time.Millisecond // at which an entry passes registrations to its holder when it reads none

	// A call that was sent to a worker before it crashed reaches the next incarnation at most
	// this late. A run that it starts then has ended, at the latest, when the lease that its
	// sender knows of expires; the new incarnation alone would grant it a new lease.
	maxCarryTime = 500 * time.Millisecond
)

var (
	errUnreachable = errors.New("peer is unreachable")
	errBroken      = errors.New("connection is broken")
)

// machine runs one worker after the other. The world's lock guards it.
type machine struct {
	crashing   sync.Mutex     // held until the runs of a crashed worker have ended, so that the next one starts after that; not guarded by the world's lock
	worker     *worker.Worker // nil while it is down
	crashed    *worker.Worker // the last one that has crashed
	starts     int            // number of incarnations that have begun or are about to
	life       int            // number in the worker's ID; several incarnations may share it
	address    string
	registered platform.Registration // as published; of an earlier incarnation until the present one has published its own
}

// world is a simulated availability zone with entries, workers and a network
// between them.
type world struct {
	mu               sync.Mutex
	random           *rand.Rand
	entries          []*entry // by index; a restarted entry replaces its earlier incarnation
	machines         []*machine
	statesStart      bool // registrations state when the worker started
	blockedUntil     map[[2]string]time.Time
	answersLostUntil map[string]time.Time
	answersLateUntil map[string]time.Time
	lateOrderChance  float64 // probability that an order is executed late
	monitor          *worker.RunMonitor
	goroutines       sync.WaitGroup
	finished         atomic.Bool  // set at the end; nothing restarts after it
	logOutput        bytes.Buffer // lines of all loggers
}

func newWorld(seed uint64, entries, workers int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), blockedUntil: map[[2]string]time.Time{},
		answersLostUntil: map[string]time.Time{}, answersLateUntil: map[string]time.Time{}, monitor: &worker.RunMonitor{},
	}
	w.statesStart = w.randomChance(0.7)
	for i := range workers {
		w.machines = append(w.machines, &machine{address: fmt.Sprintf("w%d", i)})
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

// workerIndex returns the index of the machine with an address.
func workerIndex(address string) int {
	var index int
	_, _ = fmt.Sscanf(address, "w%d", &index)
	return index
}

// crashWorker ends what runs on a machine. It returns the number of the next start.
func (w *world) crashWorker(index int) int {
	m := w.machines[index]
	m.crashing.Lock()
	defer m.crashing.Unlock()
	w.mu.Lock()
	previous := m.worker
	if previous != nil {
		m.worker, m.crashed = nil, previous
	}
	m.starts++
	start := m.starts
	w.mu.Unlock()
	if previous != nil {
		previous.Crash()
		w.log(fmt.Sprintf("w%d", index)).Info("worker crashes", "born", previous.StartUnixMilli())
	}
	return start
}

// startWorker starts a worker with another ID after crashing the current one, if any.
func (w *world) startWorker(index int) {
	start := w.crashWorker(index)
	w.beginIncarnation(index, start, func(m *machine) { m.life++ })
}

// restartWorker crashes a worker, which starts again under its ID after the downtime.
func (w *world) restartWorker(index int, downtime time.Duration) {
	start := w.crashWorker(index)
	time.Sleep(downtime + time.Millisecond) // no two incarnations start in the same millisecond
	moves := w.randomChance(0.1)
	w.beginIncarnation(index, start, func(m *machine) {
		if moves {
			m.address = fmt.Sprintf("w%d.%d", index, start)
		}
	})
}

// beginIncarnation starts a worker that has run nothing and publishes its registration
// after a random time, unless another start of the machine has been ordered meanwhile.
func (w *world) beginIncarnation(index, start int, change func(m *machine)) {
	w.mu.Lock()
	m := w.machines[index]
	if m.starts != start {
		w.mu.Unlock()
		return
	}
	change(m)
	m.worker = worker.New(worker.Options{
		ID: workerID(index, m.life), Slots: slotsPerWorker, Monitor: w.monitor,
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
	r := platform.Registration{
		ID: workerID(index, m.life), Service: "listing", Address: m.address, Zone: "a", Labels: []string{"k"},
		Capacity: resources.Resources{MilliCores: slotsPerWorker * 1000, MemoryMB: 1000},
	}
	born := m.worker.StartUnixMilli()
	if w.statesStart {
		r.StartUnixMilli = born
	}
	w.mu.Unlock()
	log := w.log(fmt.Sprintf("w%d", index)).With("id", r.ID, "address", r.Address, "born", born)
	log.Info("worker starts")
	publish := func() {
		w.mu.Lock()
		current := m.starts == start
		if current {
			m.registered = r
		}
		w.mu.Unlock()
		if current {
			log.Info("registration published", "states", r.StartUnixMilli)
		}
	}
	if start == 1 || w.randomChance(0.3) {
		publish()
		return
	}
	delay := time.Duration(w.randomInt(maxPublishMillis)) * time.Millisecond
	w.goroutines.Go(func() {
		time.Sleep(delay)
		publish()
	})
}

// registrations returns the workers' registrations as the platform's store would list them.
func (w *world) registrations() []platform.Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []platform.Registration
	for _, m := range w.machines {
		all = append(all, m.registered)
	}
	return all
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
	name := fmt.Sprintf("w%d", workerIndex(host))
	if err := w.transmit(ctx, w.from, name); err != nil {
		return nil, err
	}
	w.mu.Lock()
	dropAnswer := time.Now().Before(w.answersLostUntil[name])
	w.mu.Unlock()
	answer, broken := make(chan *httptest.ResponseRecorder, 1), make(chan struct{})
	w.goroutines.Go(func() {
		recorder, crashed := w.deliver(r, host, data)
		switch {
		case recorder != nil:
			answer <- recorder
		case crashed && w.randomChance(0.5):
			close(broken)
		}
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-broken:
		return nil, errBroken
	case recorder := <-answer:
		if dropAnswer {
			<-ctx.Done()
			return nil, errUnreachable
		}
		if err := w.delayAnswer(ctx, name); err != nil {
			return nil, err
		}
		if err := w.transmit(ctx, name, w.from); err != nil {
			return nil, err
		}
		return recorder.Result(), nil
	}
}

// carryChance is the probability that a call which a crash interrupts, or which is sent to
// a worker that is down, reaches the next incarnation.
const carryChance = 0.1

// deliver has the worker at an address execute an order. It returns nil if there is no
// answer, and whether that is because the worker is down.
func (w workerTransport) deliver(r *http.Request, host string, data []byte) (answer *httptest.ResponseRecorder, crashed bool) {
	carryEnd := time.Now().Add(maxCarryTime)
	target, previous := w.workerAt(host)
	if target != nil {
		answer = w.serve(target, r, host, data)
		if answer != nil || !target.Crashed() {
			return answer, false
		}
		previous = target
	}
	// An order that the crashed incarnation would have rejected is not carried over: its
	// sender, or the next holder, may have learned from that incarnation that the run has
	// ended or can no longer start, and may have started the task elsewhere.
	if previous == nil || previous.Rejects(data) || !w.randomChance(carryChance) {
		return nil, true
	}
	for time.Now().Before(carryEnd) {
		if target, _ = w.workerAt(host); target != nil && target != previous {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if w.randomChance(0.5) {
		time.Sleep(time.Duration(w.randomInt(400)) * time.Millisecond)
	}
	if target, _ = w.workerAt(host); target == nil || target == previous || !time.Now().Before(carryEnd) {
		return nil, true
	}
	w.log(host).Info("order reaches the next incarnation", "order", r.URL.Path, "from", w.from, "body", string(data))
	answer = w.serve(target, r, host, data)
	return answer, answer == nil && target.Crashed()
}

// workerAt returns the worker at an address, which is nil while it is down, and the last one
// that has crashed there. It returns nothing for an address that is no longer used.
func (w *world) workerAt(address string) (present, crashed *worker.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[workerIndex(address)]; m.address == address {
		return m.worker, m.crashed
	}
	return nil, nil
}

// serve has a worker execute an order. It returns nil if the worker gives no answer.
func (w workerTransport) serve(target *worker.Worker, r *http.Request, host string, data []byte) (answer *httptest.ResponseRecorder) {
	log := w.log(host).With("order", r.URL.Path, "from", w.from, "body", string(data))
	defer func() {
		if recover() != nil { // the worker aborted with http.ErrAbortHandler
			log.Info("order got no answer")
			answer = nil
		}
	}()
	recorder := httptest.NewRecorder()
	order := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(data)).WithContext(r.Context())
	order.Header = r.Header.Clone()
	target.ServeHTTP(recorder, order)
	log.Info("order", "status", recorder.Code, "lists", recorder.Body.String())
	return recorder
}

// delayAnswer holds some responses of a worker back while its responses are late, so that
// later ones on other connections overtake them.
func (w *world) delayAnswer(ctx context.Context, name string) error {
	w.mu.Lock()
	late := time.Now().Before(w.answersLateUntil[name])
	w.mu.Unlock()
	if !late || !w.randomChance(0.4) {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(w.randomInt(maxLateMillis)) * time.Millisecond):
		return nil
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
