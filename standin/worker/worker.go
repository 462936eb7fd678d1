// Package worker is a stand-in for a worker with room, in the platform's form.
//
// It obeys the highest token that it has seen, runs tasks under a lease and lists
// what runs and what has ended. It notes when two runs of one task overlap
// anywhere and when it is given more than its room.
package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Watch sees all runs on all workers. Its zero value is ready.
type Watch struct {
	mu      sync.Mutex
	running map[string]string // worker by task
	Twice   []string          // tasks of which two runs overlapped
	Over    []string          // workers that were given more than their room
	Starts  map[string]int    // by task
	Done    map[string]bool   // tasks of which a run has ended well
}

func (w *Watch) begin(task, worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == nil {
		w.running, w.Starts, w.Done = map[string]string{}, map[string]int{}, map[string]bool{}
	}
	w.Starts[task]++
	if _, there := w.running[task]; there {
		w.Twice = append(w.Twice, task)
	}
	w.running[task] = worker
}

func (w *Watch) end(task, worker, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if how == "done" {
		w.Done[task] = true
	}
	if w.running[task] == worker {
		delete(w.running, task)
	}
}

// Seen gives the number of starts of a task and whether a run of it ended well.
func (w *Watch) Seen(task string) (starts int, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Starts[task], w.Done[task]
}

// Broken gives what was seen that must not be.
func (w *Watch) Broken() (twice, over []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.Twice...), append([]string(nil), w.Over...)
}

type run struct {
	task   string
	number int
	began  time.Time
	endsAt time.Time
}

type ending struct {
	sequence int64
	task     string
	number   int
	how      string
}

// Options of a worker. Fate says how a run ends and when; nil lets every task
// run for 20 ms and end well.
type Options struct {
	ID    string
	Room  int // tasks at once
	Watch *Watch
	Fate  func(task string) (how string, span time.Duration)
	// Late delays an order before it is carried out, and then loses its answer.
	Late func(path string) time.Duration
}

// leaseMost is the longest lease that a worker gives.
const leaseMost = time.Second

// Worker is safe for concurrent use.
type Worker struct {
	options Options
	began   time.Time

	mu       sync.Mutex
	token    int64
	lease    time.Time
	runs     map[string]*run
	highest  map[string]int // run by task that ended or was stopped
	endings  []ending
	sequence int64
	change   chan struct{}
	crashed  bool
}

// New makes a worker that runs nothing.
func New(options Options) *Worker {
	if options.Fate == nil {
		options.Fate = func(string) (string, time.Duration) { return "done", 20 * time.Millisecond }
	}
	return &Worker{options: options, began: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, change: make(chan struct{})}
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Lease int64  `json:"deadline-ms"`
	Token int64  `json:"fencing-token"`
	Seen  int64  `json:"ack-index"`
	Wait  int64  `json:"wait-ms"`
}

type answer struct {
	Clock   int64   `json:"clock-ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"finished,omitempty"`
}

func (w *Worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// ServeHTTP takes one order.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Expect-Instance"); id != w.options.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	lost := false
	if w.options.Late != nil {
		if span := w.options.Late(r.URL.Path); span > 0 {
			time.Sleep(span)
			lost = true
		}
	}
	status, reply := w.carryOut(r, o)
	if lost {
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(reply)
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *Worker) carryOut(r *http.Request, o order) (int, answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
	w.settle()
	if o.Token < w.token {
		return http.StatusConflict, answer{Clock: w.clock(), Born: w.began.UnixMilli(), Reason: "fence"}
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if run, there := w.runs[o.Task]; there && run.number == o.Run {
			w.finish(run, "stopped")
		}
	case "/hold":
		w.renew(o.Lease)
		w.forget(o.Seen)
		w.await(r, time.Duration(o.Wait)*time.Millisecond)
		return http.StatusOK, w.lists()
	}
	return http.StatusOK, answer{Clock: w.clock(), Born: w.began.UnixMilli()}
}

func (w *Worker) start(o order) (int, answer) {
	reply := answer{Clock: w.clock(), Born: w.began.UnixMilli()}
	if run, there := w.runs[o.Task]; there && run.number == o.Run {
		return http.StatusOK, reply
	}
	if o.Run <= w.highest[o.Task] {
		reply.Reason = "old"
		return http.StatusConflict, reply
	}
	if o.Lease <= w.clock() {
		reply.Reason = "late"
		return http.StatusConflict, reply
	}
	w.renew(o.Lease)
	how, span := w.options.Fate(o.Task)
	w.options.Watch.begin(o.Task, w.options.ID)
	if len(w.runs) >= w.options.Room {
		w.options.Watch.mu.Lock()
		w.options.Watch.Over = append(w.options.Watch.Over, w.options.ID)
		w.options.Watch.mu.Unlock()
	}
	now := time.Now()
	begun := &run{task: o.Task, number: o.Run, began: now, endsAt: now.Add(span)}
	w.runs[o.Task] = begun
	time.AfterFunc(span, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.settle()
		if w.runs[o.Task] == begun {
			w.finish(begun, how)
		}
	})
	return http.StatusOK, reply
}

func (w *Worker) renew(lease int64) {
	if lease == 0 {
		return
	}
	until := w.began.Add(time.Duration(lease) * time.Millisecond)
	if most := time.Now().Add(leaseMost); until.After(most) {
		until = most
	}
	if until.After(w.lease) {
		w.lease = until
	}
	span := time.Until(w.lease)
	time.AfterFunc(span+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.settle()
	})
}

// settle ends what runs once the lease is over.
func (w *Worker) settle() {
	if time.Now().Before(w.lease) {
		return
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
	}
}

func (w *Worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.options.Watch.end(r.task, w.options.ID, how)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.sequence++
	w.endings = append(w.endings, ending{w.sequence, r.task, r.number, how})
	close(w.change)
	w.change = make(chan struct{})
}

// Crash ends the worker and all that runs on it. It lists and takes nothing more.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.finish(r, "lost")
	}
	w.crashed = true
}

func (w *Worker) forget(seen int64) {
	for len(w.endings) > 0 && w.endings[0].sequence <= seen {
		w.endings = w.endings[1:]
	}
}

// await lets the lock go until a run ends.
func (w *Worker) await(r *http.Request, span time.Duration) {
	if span == 0 || len(w.endings) > 0 {
		return
	}
	change := w.change
	w.mu.Unlock()
	timer := time.NewTimer(span)
	select {
	case <-change:
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	w.mu.Lock()
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
}

func (w *Worker) lists() answer {
	reply := answer{Clock: w.clock(), Born: w.began.UnixMilli()}
	for _, r := range w.runs {
		percent := int(100 * time.Since(r.began) / max(1, r.endsAt.Sub(r.began)))
		reply.Running = append(reply.Running, []any{r.task, r.number, "", min(99, percent)})
	}
	for _, e := range w.endings {
		reply.Ended = append(reply.Ended, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	return reply
}
