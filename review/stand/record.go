package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// span is one run of a task as its runner saw it. End is zero while it goes on.
type span struct {
	task, runner, how string
	run               int
	begin, end        time.Time
}

// record collects what was sent, answered and run in a case. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	beganAt time.Time
	text    bytes.Buffer
	spans   []*span
	usual   map[string]int // answers to the usual traffic, by status
}

func newRecord() *record { return &record{beganAt: time.Now(), usual: map[string]int{}} }

// note adds a line with the time since the beginning of the case in seconds.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), format, values...)
}

// write is note with the lock held.
func (r *record) write(at time.Time, format string, values ...any) {
	fmt.Fprintf(&r.text, "%8.3f  %s\n", at.Sub(r.beganAt).Seconds(), fmt.Sprintf(format, values...))
}

// begin records that a run has begun.
func (r *record) begin(s *span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, s)
	if !isUsual(s.task) {
		r.write(s.begin, "%s starts %s, run %d", s.runner, s.task, s.run)
	}
}

// end records how a run has ended.
func (r *record) end(s *span, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.end, s.how = time.Now(), how
	if !isUsual(s.task) {
		r.write(s.end, "%s ends %s, run %d: %s", s.runner, s.task, s.run, how)
	}
}

// countUsual counts an answer to a job of the usual traffic.
func (r *record) countUsual(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usual[fmt.Sprint(a.status)]++
}

// save writes the record to a file.
func (r *record) save(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), "usual traffic: answers by status (0 for none) %v", r.usual)
	return os.WriteFile(name, r.text.Bytes(), 0o644)
}

// runsOf returns the runs of a job's tasks.
func (r *record) runsOf(job string) []span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []span
	for _, s := range r.spans {
		if strings.HasPrefix(s.task, job+".") {
			found = append(found, *s)
		}
	}
	return found
}

// timerSlack covers late timers of this process.
const timerSlack = 20 * time.Millisecond

// noteOverlaps notes each pair of runs of one task that went on at the same time, and reports whether there is any.
func (r *record) noteOverlaps() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	before := map[string][]*span{}
	found := false
	for _, s := range r.spans {
		for _, other := range before[s.task] {
			begin, end := s.begin, now
			if other.begin.After(begin) {
				begin = other.begin
			}
			for _, e := range []time.Time{other.end, s.end} {
				if !e.IsZero() && e.Before(end) {
					end = e
				}
			}
			if length := end.Sub(begin); length > timerSlack {
				found = true
				r.write(now, "TWICE: %s ran on %s (run %d) and on %s (run %d) at the same time for %d ms",
					s.task, other.runner, other.run, s.runner, s.run, length.Milliseconds())
			}
		}
		before[s.task] = append(before[s.task], s)
	}
	return found
}
