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
	listed   bool // in a response
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
	// MoveDeadline reports whether the deadline of an order that was held back counts from its
	// execution. Nil means never.
	MoveDeadline func() bool
	// ClockRate is the speed of the worker's steady clock; 0 means 1.
	ClockRate float64
	// ClockOffset is the error of the worker's time of day.
	ClockOffset time.Duration
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

// StartUnixMilli returns the time of the worker's start as its reports state it.
func (w *Worker) StartUnixMilli() int64 {
	return w.startedAt.Add(w.options.ClockOffset).UnixMilli()
}

// New returns a worker that runs nothing.
func New(options Options) *Worker {
	if options.PlanRun == nil {
		options.PlanRun = func(string) (string, time.Duration) { return "done", 20 * time.Millisecond }
	}
	if options.MoveDeadline == nil {
		options.MoveDeadline = func() bool { return false }
	}
	if options.ClockRate == 0 {
		options.ClockRate = 1
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

func (w *Worker) clockMillis() int64 {
	return time.Duration(float64(time.Since(w.startedAt)) * w.options.ClockRate).Milliseconds()
}

// elapse returns the time in which the worker's clock advances by a duration.
func (w *Worker) elapse(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / w.options.ClockRate)
}

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
			before := w.clockMillis()
			time.Sleep(delay)
			dropAnswer = true
			if o.LeaseEndMillis > 0 && w.options.MoveDeadline() {
				o.LeaseEndMillis += w.clockMillis() - before
			}
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
		return http.StatusConflict, response{ClockMillis: w.clockMillis(), StartUnixMilli: w.StartUnixMilli(), Reason: "fence"}
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
	return http.StatusOK, response{ClockMillis: w.clockMillis(), StartUnixMilli: w.StartUnixMilli()}
}

func (w *Worker) startRun(o order) (int, response) {
	response := response{ClockMillis: w.clockMillis(), StartUnixMilli: w.StartUnixMilli()}
	if run, exists := w.runs[o.Task]; exists && run.number == o.Run {
		w.renewLease(o.LeaseEndMillis)
		return http.StatusOK, response
	}
	if o.Run <= w.highestRuns[o.Task] {
		w.renewLease(o.LeaseEndMillis)
		response.Reason = "old"
		return http.StatusConflict, response
	}
	if o.LeaseEndMillis <= w.clockMillis() {
		response.Reason = "late"
		return http.StatusConflict, response
	}
	w.renewLease(o.LeaseEndMillis)
	outcome, runtime := w.options.PlanRun(o.Task)
	w.options.Monitor.recordStart(o.Task, w.monitored(o.Run), w.options.Slots)
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
	leaseEnd := w.startedAt.Add(w.elapse(time.Duration(leaseEndMillis) * time.Millisecond))
	if latest := time.Now().Add(w.elapse(maxLease)); leaseEnd.After(latest) {
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
	w.options.Monitor.recordEnd(r.task, w.monitored(r.number), outcome)
	w.highestRuns[r.task] = max(w.highestRuns[r.task], r.number)
	w.lastSequence++
	w.endedRuns = append(w.endedRuns, endedRun{sequence: w.lastSequence, task: r.task, number: r.number, outcome: outcome})
	w.wakeHolds()
}

func (w *Worker) monitored(number int) monitoredRun {
	return monitoredRun{w.options.ID, w.startedAt, number}
}

// wakeHolds ends the waits of all pending holds.
func (w *Worker) wakeHolds() {
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// Runs reports whether a run of a task is going on.
func (w *Worker) Runs(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endRunsIfLeaseExpired()
	_, running := w.runs[task]
	return running
}

// Crashed reports whether Crash was called.
func (w *Worker) Crashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// Crash ends all runs and makes the worker drop all pending and further orders without an answer.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.options.Monitor.recordEnd(r.task, w.monitored(r.number), "lost")
	}
	clear(w.runs)
	w.crashed = true
	w.wakeHolds()
}

// Rejects reports whether the worker has seen a higher fencing token than that of an order,
// or has ended or stopped the run that it would start. Crash changes neither.
func (w *Worker) Rejects(body []byte) bool {
	var o order
	if json.Unmarshal(body, &o) != nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return o.Token < w.highestToken || o.Task != "" && o.Run <= w.highestRuns[o.Task]
}

func (w *Worker) dropAcknowledged(sequence int64) {
	for len(w.endedRuns) > 0 && w.endedRuns[0].sequence <= sequence {
		if e := w.endedRuns[0]; !e.listed {
			w.options.Monitor.recordUnseenEnding(e.task)
		}
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
	response := response{ClockMillis: w.clockMillis(), StartUnixMilli: w.StartUnixMilli()}
	for _, r := range w.runs {
		percent := int(100 * time.Since(r.startedAt) / max(1, r.endsAt.Sub(r.startedAt)))
		response.Running = append(response.Running, []any{r.task, r.number, "", min(99, percent)})
	}
	for i, e := range w.endedRuns {
		w.endedRuns[i].listed = true
		response.Finished = append(response.Finished, []any{e.sequence, e.task, e.number, e.outcome, ""})
	}
	return response
}
