package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What the users' pages say of a runner.
const (
	maxHold   = time.Second           // max-hold-ms
	stopGrace = 10 * time.Millisecond // a stop takes stop-grace-ms, 50 ms, at most
	listLimit = 500                   // ended runs in one answer
)

// run is a run of a task on a runner.
type run struct {
	task      string
	number    int
	startedAt time.Time
	endsAt    time.Time
	outcome   string
	stopping  bool
}

// endedRun is a row of the list of ended runs.
type endedRun struct {
	sequence int64
	task     string
	number   int
	outcome  string
}

// runner is one incarnation of a runner, as the pages describe it. It guards nothing but its fencing token, its lease and
// the run numbers.
type runner struct {
	id      string
	zone    string
	born    time.Time
	monitor *monitor

	mu       sync.Mutex
	token    int64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int // highest run that was stopped or has ended here, by task
	ended    []endedRun
	last     int64
	changed  chan struct{}
	crashed  bool
}

func newRunner(id, zone string, m *monitor) *runner {
	return &runner{id: id, zone: zone, born: time.Now(), monitor: m, runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
}

func (w *runner) clock() int64 { return time.Since(w.born).Milliseconds() }

// order is the body of a call.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Ack      int64  `json:"ack-index"`
	Wait     int64  `json:"wait-ms"`
}

// answer is the body of a response.
type answer struct {
	Clock    int64   `json:"clock-ms"`
	Born     int64   `json:"born"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// ServeHTTP implements http.Handler.
func (w *runner) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a := w.execute(r, o)
	a.Clock, a.Born = w.clock(), w.born.UnixMilli()
	data, err := json.Marshal(a)
	if err != nil {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

func (w *runner) execute(r *http.Request, o order) (int, answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortIfCrashed()
	w.lapse()
	if o.Token < w.token {
		return http.StatusConflict, answer{Reason: "fence"}
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if u, found := w.runs[o.Task]; found && u.number == o.Run && !u.stopping {
			u.stopping = true
			time.AfterFunc(stopGrace, func() { w.endLater(u, "stopped") })
		}
	case "/hold":
		w.renew(o.Deadline)
		for len(w.ended) > 0 && w.ended[0].sequence <= o.Ack {
			w.ended = w.ended[1:]
		}
		w.wait(r, time.Duration(min(o.Wait, 2000))*time.Millisecond)
		return http.StatusOK, w.lists()
	default:
		return http.StatusNotFound, answer{}
	}
	return http.StatusOK, answer{}
}

func (w *runner) abortIfCrashed() {
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
}

func (w *runner) start(o order) (int, answer) {
	if u, found := w.runs[o.Task]; found && u.number == o.Run {
		w.renew(o.Deadline)
		return http.StatusOK, answer{}
	}
	if o.Run <= w.highest[o.Task] {
		w.renew(o.Deadline)
		return http.StatusConflict, answer{Reason: "old"}
	}
	if o.Deadline <= w.clock() {
		return http.StatusConflict, answer{Reason: "late"}
	}
	w.renew(o.Deadline)
	now := time.Now()
	runtime, outcome := planOf(o.Spec)
	u := &run{task: o.Task, number: o.Run, startedAt: now, endsAt: now.Add(runtime), outcome: outcome}
	w.runs[o.Task] = u
	w.monitor.noteStart(w, u, o)
	time.AfterFunc(runtime, func() { w.endLater(u, outcome) })
	return http.StatusOK, answer{}
}

// planOf returns how long a task runs and how it ends. Its spec begins with the milliseconds.
func planOf(spec string) (time.Duration, string) {
	text, _, _ := strings.Cut(spec, " ")
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 50 * time.Millisecond, "done"
	}
	return time.Duration(ms) * time.Millisecond, "done"
}

func (w *runner) renew(deadline int64) {
	if deadline == 0 {
		return
	}
	end := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	time.AfterFunc(time.Until(end)+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
	})
}

// lapse ends everything if the lease has expired. The caller holds w.mu.
func (w *runner) lapse() {
	if w.crashed || time.Now().Before(w.leaseEnd) {
		return
	}
	for _, u := range w.runs {
		w.end(u, "lapsed")
	}
}

func (w *runner) endLater(u *run, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	if !w.crashed && w.runs[u.task] == u {
		w.end(u, outcome)
	}
}

func (w *runner) end(u *run, outcome string) {
	delete(w.runs, u.task)
	w.monitor.ended(w, u, outcome)
	w.highest[u.task] = max(w.highest[u.task], u.number)
	w.last++
	w.ended = append(w.ended, endedRun{w.last, u.task, u.number, outcome})
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends the incarnation: what runs is gone, and nothing is answered any more.
func (w *runner) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.runs {
		w.monitor.ended(w, u, "lost")
	}
	clear(w.runs)
	w.crashed = true
	close(w.changed)
	w.changed = make(chan struct{})
}

// wait releases the lock and waits until a run ends, the time is over or the caller has left. The caller holds w.mu.
func (w *runner) wait(r *http.Request, limit time.Duration) {
	if limit <= 0 || len(w.ended) > 0 {
		return
	}
	changed := w.changed
	w.mu.Unlock()
	timer := time.NewTimer(limit)
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
	timer.Stop()
	w.mu.Lock()
	w.abortIfCrashed()
}

func (w *runner) lists() answer {
	var a answer
	now := time.Now()
	for _, u := range w.runs {
		percent := int(100 * now.Sub(u.startedAt) / max(1, u.endsAt.Sub(u.startedAt)))
		a.Running = append(a.Running, []any{u.task, u.number, "", min(99, percent), 0})
	}
	for i, e := range w.ended {
		if i == listLimit {
			break
		}
		a.Finished = append(a.Finished, []any{e.sequence, e.task, e.number, e.outcome, ""})
	}
	return a
}

// started is the start of a run.
type started struct {
	task      string
	at        string // ID of the runner
	startedAt time.Time
}

// awaitStart waits until tasks of a job have been started a number of times, and returns the last of these starts; nil if
// that takes too long.
func (m *monitor) awaitStart(id string, number int, limit time.Duration) *started {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		m.mu.Lock()
		seen := 0
		for _, s := range m.log {
			if strings.HasPrefix(s.task, id+".") {
				if seen++; seen == number {
					found := s
					m.mu.Unlock()
					return &found
				}
			}
		}
		m.mu.Unlock()
	}
	return nil
}

// monitor notes all runs of all runners and finds those of one task that overlap.
type monitor struct {
	record  *record
	quiet   bool // starts and ends are not recorded one by one
	mu      sync.Mutex
	running map[string]map[*run]*runner // by task
	starts  int
	ends    map[string]int
	twice   []string
	log     []started
}

func (m *monitor) noteStart(w *runner, u *run, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running, m.ends = map[string]map[*run]*runner{}, map[string]int{}
	}
	m.starts++
	m.log = append(m.log, started{u.task, w.id, u.startedAt})
	for other, on := range m.running[u.task] {
		m.twice = append(m.twice, fmt.Sprintf("%s: run %d on %s while run %d goes on on %s", u.task, u.number, w.id, other.number, on.id))
		m.record.printf("TWICE %s: run %d on %s in zone %s, while run %d on %s in zone %s goes on, started %d ms before",
			u.task, u.number, w.id, w.zone, other.number, on.id, on.zone, u.startedAt.Sub(other.startedAt).Milliseconds())
	}
	if m.running[u.task] == nil {
		m.running[u.task] = map[*run]*runner{}
	}
	m.running[u.task][u] = w
	if !m.quiet {
		m.record.printf("run %s %d starts on %s, token %d, deadline %d, clock %d", u.task, u.number, w.id, o.Token, o.Deadline, w.clock())
	}
}

func (m *monitor) ended(w *runner, u *run, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running[u.task], u)
	if len(m.running[u.task]) == 0 {
		delete(m.running, u.task)
	}
	m.ends[outcome]++
	if !m.quiet {
		m.record.printf("run %s %d on %s: %s after %d ms", u.task, u.number, w.id, outcome, time.Since(u.startedAt).Milliseconds())
	}
}
