package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the runners, as in the pages and the site file.
const (
	longestLease    = time.Second
	heartbeat       = 1500 * time.Millisecond
	listedEnds      = 500
	longestWait     = 2 * time.Second
	runnerCores     = 32000 // thousandths
	runnerMemory    = 131072
	serviceName     = "listing-svc"
	usualTaskMillis = 60
)

// live is a run that goes on.
type live struct {
	*span
	ends time.Time // when its work is done
}

// endedRun is a row of the list of ends.
type endedRun struct {
	number, run int
	task, how   string
}

// runner is a sound runner: it keeps its fencing token, its lease and its lists as the pages say, and answers all
// orders. The spec of a task is its work in milliseconds.
type runner struct {
	id, zone string
	record   *record
	listener net.Listener
	born     time.Time

	mu        sync.Mutex
	token     int64
	leaseEnd  time.Time
	runs      map[string]*live // by task
	highest   map[string]int   // highest run that has ended or was stopped, by task
	ends      []endedRun
	lastEnd   int
	runEnded  chan struct{} // closed with the next end
	published int
	nextBeat  time.Time // when the next registration is due
}

func newRunner(id, zone string, r *record) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &runner{
		id: id, zone: zone, record: r, listener: listener, born: time.Now(),
		runs: map[string]*live{}, highest: map[string]int{}, runEnded: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, n) }() // ends with the process
	return n, nil
}

// registration returns what the runner publishes about itself.
func (n *runner) registration() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.published++
	return fmt.Appendf(nil, `{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-left-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":["a","r-%s"],"clock-ms":%d,"born":%d,"seq":%d}`,
		serviceName, n.listener.Addr(), n.zone, runnerCores, runnerMemory, n.zone, n.clock(), n.born.UnixMilli(), n.published)
}

// beatIsDue reports whether a registration is due, and sets when the next one is.
func (n *runner) beatIsDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.nextBeat) {
		return false
	}
	n.nextBeat = now.Add(heartbeat)
	return true
}

// delayBeat sets when the next registration is due.
func (n *runner) delayBeat(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextBeat = until
}

func (n *runner) clock() int64 { return time.Since(n.born).Milliseconds() }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Ack      int    `json:"ack-index"`
	Wait     int64  `json:"wait-ms"`
}

type reply struct {
	Clock    int64   `json:"clock-ms"`
	Born     int64   `json:"born"`
	Reason   string  `json:"reason,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// ServeHTTP carries out an order.
func (n *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Header.Get("Expect-Instance") != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	status, answer := n.carryOut(request, o)
	answer.Clock, answer.Born = n.clock(), n.born.UnixMilli()
	n.mu.Unlock()
	data, err := json.Marshal(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have left
}

func (n *runner) carryOut(request *http.Request, o order) (int, reply) {
	n.lapse()
	if o.Token < n.token {
		return http.StatusConflict, reply{Reason: "fence"}
	}
	n.token = o.Token
	switch request.URL.Path {
	case "/run-start":
		return n.start(o)
	case "/run-stop":
		if run, found := n.runs[o.Task]; found && run.run <= o.Run {
			n.end(run, "stopped")
		}
		n.highest[o.Task] = max(n.highest[o.Task], o.Run)
		return http.StatusOK, reply{}
	case "/hold":
		n.renew(o.Deadline)
		for len(n.ends) > 0 && n.ends[0].number <= o.Ack {
			n.ends = n.ends[1:]
		}
		n.awaitEnd(request, min(time.Duration(o.Wait)*time.Millisecond, longestWait))
		return http.StatusOK, n.lists()
	}
	return http.StatusNotFound, reply{}
}

func (n *runner) start(o order) (int, reply) {
	running := n.runs[o.Task]
	switch {
	case running != nil && running.run == o.Run:
		n.renew(o.Deadline)
		return http.StatusOK, reply{}
	case running != nil || o.Run <= n.highest[o.Task]:
		n.renew(o.Deadline)
		return http.StatusConflict, reply{Reason: "old"}
	case o.Deadline <= n.clock():
		return http.StatusConflict, reply{Reason: "late"}
	}
	work, err := strconv.Atoi(o.Spec)
	if err != nil {
		return http.StatusBadRequest, reply{}
	}
	n.renew(o.Deadline)
	now := time.Now()
	run := &live{&span{task: o.Task, run: o.Run, runner: n.id, begin: now}, now.Add(time.Duration(work) * time.Millisecond)}
	n.runs[o.Task] = run
	n.record.begin(run.span)
	time.AfterFunc(time.Until(run.ends), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lapse()
		if n.runs[o.Task] == run {
			n.end(run, "done")
		}
	})
	return http.StatusOK, reply{}
}

// renew extends the lease of all runs up to a time on the runner's clock.
func (n *runner) renew(deadline int64) {
	until := n.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(longestLease); until.After(latest) {
		until = latest
	}
	if !until.After(n.leaseEnd) {
		return
	}
	n.leaseEnd = until
	time.AfterFunc(time.Until(until), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lapse()
	})
}

// lapse ends all runs if the lease has expired.
func (n *runner) lapse() {
	if time.Now().Before(n.leaseEnd) {
		return
	}
	for _, run := range n.runs {
		n.end(run, "lapsed")
	}
}

func (n *runner) end(run *live, how string) {
	delete(n.runs, run.task)
	n.record.end(run.span, how)
	n.highest[run.task] = max(n.highest[run.task], run.run)
	n.lastEnd++
	n.ends = append(n.ends, endedRun{n.lastEnd, run.run, run.task, how})
	close(n.runEnded)
	n.runEnded = make(chan struct{})
}

// awaitEnd waits until a run ends, unless ends are listed already.
func (n *runner) awaitEnd(request *http.Request, wait time.Duration) {
	if wait <= 0 || len(n.ends) > 0 {
		return
	}
	runEnded := n.runEnded
	n.mu.Unlock()
	defer n.mu.Lock()
	select {
	case <-runEnded:
	case <-time.After(wait):
	case <-request.Context().Done():
	}
}

func (n *runner) lists() reply {
	var answer reply
	now := time.Now()
	for _, run := range n.runs {
		percent := int(100 * now.Sub(run.begin) / max(1, run.ends.Sub(run.begin)))
		answer.Running = append(answer.Running, []any{run.task, run.run, "", min(99, percent), 0})
	}
	for _, e := range n.ends[:min(len(n.ends), listedEnds)] {
		answer.Finished = append(answer.Finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return answer
}

// isUsual reports whether a task or job belongs to the usual traffic.
func isUsual(name string) bool { return strings.HasPrefix(name, usualPrefix) }
