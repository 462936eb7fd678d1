package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxHold is max-hold-ms of the pages: the longest time that what runs may go on without another call.
const maxHold = 1000 * time.Millisecond

// span is one run of a task, as the runner that ran it has seen it.
type span struct {
	task      string
	number    int
	runner    string
	startedAt time.Time
	lasts     time.Duration // the work of the task
	endedAt   time.Time     // zero while it runs
	how       string        // how it ended
}

// runs records the runs of all runners.
type runs struct {
	mu     sync.Mutex
	record *record
	all    []*span
}

func (r *runs) start(task string, number int, runner string, lasts time.Duration) *span {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &span{task: task, number: number, runner: runner, startedAt: time.Now(), lasts: lasts}
	r.all = append(r.all, s)
	r.record.note("%s starts run %d of %s", runner, number, task)
	return s
}

func (r *runs) end(s *span, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endedAt, s.how = time.Now(), how
	r.record.note("%s ends run %d of %s: %s", s.runner, s.number, s.task, how)
}

// of returns copies of the runs of the tasks of a job.
func (r *runs) of(job string) []span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []span
	for _, s := range r.all {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, *s)
		}
	}
	return found
}

// goingOn returns the number of runs that have not ended.
func (r *runs) goingOn() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, s := range r.all {
		if s.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// order is the body of a call to a runner.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Ack      int64  `json:"ack-index"`
	Wait     int64  `json:"wait-ms"`
}

// answer is the body of a runner's answer.
type answer struct {
	Clock    int64   `json:"clock-ms"`
	Born     int64   `json:"born"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// endedRun is an entry of the list of ends.
type endedRun struct {
	sequence int64
	span     *span
}

// runner is one life of a stand-in for a runner, as the pages describe it. It does not guard its capacity.
// The work of a task takes as many milliseconds as its spec says.
type runner struct {
	id      string
	address string
	runs    *runs
	server  *http.Server
	born    time.Time

	mu       sync.Mutex
	holdBack func(o order) bool // reports whether a start gets no answer and is not carried out yet; nil means never
	dead     bool
	token    int64
	holdEnd  time.Time
	working  map[string]*span
	highest  map[string]int
	ended    []endedRun
	sequence int64
	changed  chan struct{}
}

// startRunner starts a life of a runner at an address.
func startRunner(id, address string, all *runs, holdBack func(o order) bool) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, address: listener.Addr().String(), runs: all, born: time.Now(), holdBack: holdBack,
		working: map[string]*span{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(listener) }() // ends with crash
	return r, nil
}

// crash ends the life: all that runs is lost, and connections break.
func (r *runner) crash() {
	r.mu.Lock()
	r.dead = true
	for _, s := range r.working {
		r.runs.end(s, "lost in a crash")
	}
	clear(r.working)
	r.mu.Unlock()
	_ = r.server.Close()
}

// clock returns the runner's steady clock in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *runner) answer() answer { return answer{Clock: r.clock(), Born: r.born.UnixMilli()} }

// ServeHTTP serves a call.
func (r *runner) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		out.WriteHeader(http.StatusOK)
		return
	}
	if request.Header.Get("Expect-Instance") != r.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	holdBack := r.holdBack
	r.mu.Unlock()
	if request.URL.Path == "/run-start" && holdBack != nil && holdBack(o) {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := r.carryOut(request.Context(), request.URL.Path, o)
	data, err := json.Marshal(body)
	if err != nil {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data) // the caller may have left
}

// carryOut carries out an order.
func (r *runner) carryOut(ctx context.Context, path string, o order) (int, answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		panic(http.ErrAbortHandler)
	}
	r.lapse()
	body := r.answer()
	if o.Token < r.token {
		body.Reason = "fence"
		return http.StatusConflict, body
	}
	r.token = o.Token
	switch path {
	case "/run-start":
		if body.Reason = r.start(o); body.Reason != "" {
			return http.StatusConflict, body
		}
	case "/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if s := r.working[o.Task]; s != nil && s.number == o.Run {
			r.finish(s, "stopped")
		}
	case "/hold":
		r.extend(o.Deadline)
		for len(r.ended) > 0 && r.ended[0].sequence <= o.Ack {
			r.ended = r.ended[1:]
		}
		r.await(ctx, time.Duration(o.Wait)*time.Millisecond)
		body = r.answer()
		r.list(&body)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

// start begins a run and returns why not, if it does not.
func (r *runner) start(o order) string {
	s := r.working[o.Task]
	switch {
	case s != nil && s.number == o.Run:
		r.extend(o.Deadline)
		return ""
	case o.Run <= r.highest[o.Task] || s != nil && o.Run < s.number:
		r.extend(o.Deadline)
		return "old"
	case o.Deadline <= r.clock():
		return "late"
	}
	r.extend(o.Deadline)
	milli, err := strconv.Atoi(o.Spec)
	if err != nil {
		milli = 1
	}
	s = r.runs.start(o.Task, o.Run, r.id, time.Duration(milli)*time.Millisecond)
	r.working[o.Task] = s
	time.AfterFunc(s.lasts, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lapse()
		if r.working[o.Task] == s {
			r.finish(s, "done")
		}
	})
	return ""
}

// extend prolongs the hold on all that runs until a time on the runner's clock, by maxHold at most.
func (r *runner) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	end := r.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if !end.After(r.holdEnd) {
		return
	}
	r.holdEnd = end
	time.AfterFunc(time.Until(end)+time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lapse()
	})
}

// lapse ends all runs if the hold on them has expired.
func (r *runner) lapse() {
	if time.Now().Before(r.holdEnd) {
		return
	}
	for _, s := range r.working {
		r.finish(s, "lapsed")
	}
}

func (r *runner) finish(s *span, how string) {
	delete(r.working, s.task)
	r.highest[s.task] = max(r.highest[s.task], s.number)
	r.runs.end(s, how)
	r.sequence++
	r.ended = append(r.ended, endedRun{r.sequence, s})
	close(r.changed)
	r.changed = make(chan struct{})
}

// await releases the lock until a run ends or the wait is over, unless ends are listed already.
func (r *runner) await(ctx context.Context, wait time.Duration) {
	if wait <= 0 || len(r.ended) > 0 {
		return
	}
	changed := r.changed
	r.mu.Unlock()
	timer := time.NewTimer(wait)
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	timer.Stop()
	r.mu.Lock()
	if r.dead {
		panic(http.ErrAbortHandler)
	}
}

func (r *runner) list(body *answer) {
	for _, s := range r.working {
		percent := int(100 * time.Since(s.startedAt) / s.lasts)
		body.Running = append(body.Running, []any{s.task, s.number, "", min(99, percent), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		body.Finished = append(body.Finished, []any{e.sequence, e.span.task, e.span.number, e.span.how, ""})
	}
}

// registration returns what the runner says of itself in the store.
func (r *runner) registration(zone string, sequence int) []byte {
	return fmt.Appendf(nil, `{"backend":%q,"address":%q,"zone":%q,"version":"1","slots":8,"state":"ready","cold-left-ms":0,"seq":%d,"born":%d,"capacity":{"cpu":%d,"mem-mb":131072},"labels":["a","rack-%s"]}`,
		serviceName, r.address, zone, sequence, r.born.UnixMilli(), runnerCPU, zone)
}
