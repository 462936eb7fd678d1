// Package worker is a stand-in for a worker of the platform, with the worker's HTTP API.
//
// It rejects orders below the highest fencing token that it has seen, ends all
// runs when its lease expires, and reports running and ended runs. A RunMonitor
// shared by all workers records overlapping runs of a task and overloaded workers.
package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// RunMonitor records the runs of all workers and detects violations. The zero
// value is ready for use.
type RunMonitor struct {
	mu          sync.Mutex
	running     map[string]string // worker ID by task
	Overlapping []string          // tasks with two runs at the same time
	Overloaded  []string          // workers that got a task while all their slots were taken
	Starts      map[string]int    // number of starts by task
	Succeeded   map[string]bool   // tasks with a successful run
}

func (m *RunMonitor) recordStart(task, worker string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running, m.Starts, m.Succeeded = map[string]string{}, map[string]int{}, map[string]bool{}
	}
	m.Starts[task]++
	if _, exists := m.running[task]; exists {
		m.Overlapping = append(m.Overlapping, task)
	}
	m.running[task] = worker
}

func (m *RunMonitor) recordEnd(task, worker, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome == "done" {
		m.Succeeded[task] = true
	}
	if m.running[task] == worker {
		delete(m.running, task)
	}
}

// TaskRuns returns the number of starts of a task and whether one of its runs succeeded.
func (m *RunMonitor) TaskRuns(task string) (starts int, succeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Starts[task], m.Succeeded[task]
}

// Violations returns the tasks whose runs overlapped and the workers that were overloaded.
func (m *RunMonitor) Violations() (overlapping, overloaded []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.Overlapping...), append([]string(nil), m.Overloaded...)
}

type run struct {
	task      string
	number    int
	startedAt time.Time
	endsAt    time.Time
}

type endedRun struct {
	sequence int64
	task     string
	number   int
	outcome  string
}

// Options configures a worker. PlanRun returns the outcome and the duration of a
// run; if it is nil, every run succeeds after 20 ms.
type Options struct {
	ID      string
	Slots   int // number of tasks that run at once
	Monitor *RunMonitor
	PlanRun func(task string) (outcome string, runtime time.Duration)
	// DelayOrder returns how long to hold an order back before it is executed. The
	// answer to a delayed order is dropped.
	DelayOrder func(path string) time.Duration
}

// maxLease is the longest lease that a worker accepts; longer ones are shortened.
const maxLease = time.Second

// Worker is an http.Handler for a worker's orders. It is safe for concurrent use.
type Worker struct {
	options   Options
	startedAt time.Time

	mu           sync.Mutex
	highestToken int64
	leaseEnd     time.Time
	runs         map[string]*run
	highestRuns  map[string]int // highest run number that ended or was stopped, by task
	endedRuns    []endedRun
	lastSequence int64
	runEnded     chan struct{}
	crashed      bool
}

// New returns a worker that runs nothing.
func New(options Options) *Worker {
	if options.PlanRun == nil {
		options.PlanRun = func(string) (string, time.Duration) { return "done", 20 * time.Millisecond }
	}
	return &Worker{options: options, startedAt: time.Now(), runs: map[string]*run{}, highestRuns: map[string]int{}, runEnded: make(chan struct{})}
}

type order struct {
	Task                 string `json:"task"`
	Run                  int    `json:"run"`
	LeaseEndMillis       int64  `json:"deadline-ms"`
	Token                int64  `json:"fencing-token"`
	AcknowledgedSequence int64  `json:"ack-index"`
	WaitMillis           int64  `json:"wait-ms"`
}

type response struct {
	ClockMillis    int64   `json:"clock-ms"`
	StartUnixMilli int64   `json:"born"`
	Reason         string  `json:"reason,omitempty"`
	Running        [][]any `json:"running,omitempty"`
	Finished       [][]any `json:"finished,omitempty"`
}

func (w *Worker) clockMillis() int64 { return time.Since(w.startedAt).Milliseconds() }

// ServeHTTP executes an order.
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
	dropAnswer := false
	if w.options.DelayOrder != nil {
		if delay := w.options.DelayOrder(r.URL.Path); delay > 0 {
			time.Sleep(delay)
			dropAnswer = true
		}
	}
	status, response := w.execute(r, o)
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(response)
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *Worker) execute(r *http.Request, o order) (int, response) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
	w.endRunsIfLeaseExpired()
	if o.Token < w.highestToken {
		return http.StatusConflict, response{ClockMillis: w.clockMillis(), StartUnixMilli: w.startedAt.UnixMilli(), Reason: "fence"}
	}
	w.highestToken = o.Token
	switch r.URL.Path {
	case "/run-start":
		return w.startRun(o)
	case "/run-stop":
		w.highestRuns[o.Task] = max(w.highestRuns[o.Task], o.Run)
		if run, exists := w.runs[o.Task]; exists && run.number == o.Run {
			w.endRun(run, "stopped")
		}
	case "/hold":
		w.renewLease(o.LeaseEndMillis)
		w.dropAcknowledged(o.AcknowledgedSequence)
		w.waitForEndedRun(r, time.Duration(o.WaitMillis)*time.Millisecond)
		return http.StatusOK, w.holdResponse()
	}
	return http.StatusOK, response{ClockMillis: w.clockMillis(), StartUnixMilli: w.startedAt.UnixMilli()}
}

func (w *Worker) startRun(o order) (int, response) {
	response := response{ClockMillis: w.clockMillis(), StartUnixMilli: w.startedAt.UnixMilli()}
	if run, exists := w.runs[o.Task]; exists && run.number == o.Run {
		return http.StatusOK, response
	}
	if o.Run <= w.highestRuns[o.Task] {
		response.Reason = "old"
		return http.StatusConflict, response
	}
	if o.LeaseEndMillis <= w.clockMillis() {
		response.Reason = "late"
		return http.StatusConflict, response
	}
	w.renewLease(o.LeaseEndMillis)
	outcome, runtime := w.options.PlanRun(o.Task)
	w.options.Monitor.recordStart(o.Task, w.options.ID)
	if len(w.runs) >= w.options.Slots {
		w.options.Monitor.mu.Lock()
		w.options.Monitor.Overloaded = append(w.options.Monitor.Overloaded, w.options.ID)
		w.options.Monitor.mu.Unlock()
	}
	now := time.Now()
	started := &run{task: o.Task, number: o.Run, startedAt: now, endsAt: now.Add(runtime)}
	w.runs[o.Task] = started
	time.AfterFunc(runtime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endRunsIfLeaseExpired()
		if w.runs[o.Task] == started {
			w.endRun(started, outcome)
		}
	})
	return http.StatusOK, response
}

func (w *Worker) renewLease(leaseEndMillis int64) {
	if leaseEndMillis == 0 {
		return
	}
	leaseEnd := w.startedAt.Add(time.Duration(leaseEndMillis) * time.Millisecond)
	if latest := time.Now().Add(maxLease); leaseEnd.After(latest) {
		leaseEnd = latest
	}
	if leaseEnd.After(w.leaseEnd) {
		w.leaseEnd = leaseEnd
	}
	remaining := time.Until(w.leaseEnd)
	time.AfterFunc(remaining+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endRunsIfLeaseExpired()
	})
}

// endRunsIfLeaseExpired ends all runs if the lease has expired.
func (w *Worker) endRunsIfLeaseExpired() {
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

func (w *Worker) endRun(r *run, outcome string) {
	delete(w.runs, r.task)
	w.options.Monitor.recordEnd(r.task, w.options.ID, outcome)
	w.highestRuns[r.task] = max(w.highestRuns[r.task], r.number)
	w.lastSequence++
	w.endedRuns = append(w.endedRuns, endedRun{w.lastSequence, r.task, r.number, outcome})
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// Crash ends all runs and makes the worker drop all further orders without an answer.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.endRun(r, "lost")
	}
	w.crashed = true
}

func (w *Worker) dropAcknowledged(sequence int64) {
	for len(w.endedRuns) > 0 && w.endedRuns[0].sequence <= sequence {
		w.endedRuns = w.endedRuns[1:]
	}
}

// waitForEndedRun releases the lock and waits until a run ends, the timeout has
// passed or the request is canceled. It returns at once if ended runs are unreported.
func (w *Worker) waitForEndedRun(r *http.Request, timeout time.Duration) {
	if timeout == 0 || len(w.endedRuns) > 0 {
		return
	}
	runEnded := w.runEnded
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	select {
	case <-runEnded:
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	w.mu.Lock()
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
}

func (w *Worker) holdResponse() response {
	response := response{ClockMillis: w.clockMillis(), StartUnixMilli: w.startedAt.UnixMilli()}
	for _, r := range w.runs {
		percent := int(100 * time.Since(r.startedAt) / max(1, r.endsAt.Sub(r.startedAt)))
		response.Running = append(response.Running, []any{r.task, r.number, "", min(99, percent)})
	}
	for _, e := range w.endedRuns {
		response.Finished = append(response.Finished, []any{e.sequence, e.task, e.number, e.outcome, ""})
	}
	return response
}
