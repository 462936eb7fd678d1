// Package history checks the promises against the upstreams' record of starts and what callers were told.
package history

import (
	"strings"
	"sync"
)

// Told is what a caller was told in the end about one submission. Key is the
// key as the upstreams saw it, without the task's number; several submissions
// may share one.
type Told struct {
	Key        string
	Tasks      int
	Complete   bool
	Partial    bool // complete, but answers were missing or another's
	NotRun     bool // refused with the outcome not-run
	Repeatable bool // may start more than once
}

// Report counts broken promises. All counts but Starts and Told must be 0.
type Report struct {
	Starts      int      `json:"starts"`
	Told        int      `json:"told"`
	Doubled     int      `json:"doubled"`     // tasks that started more than once
	Partial     int      `json:"partial"`     // complete answers that were not whole or not the caller's
	Unstarted   int      `json:"unstarted"`   // tasks answered without a start
	FalseNotRun int      `json:"falsenotrun"` // refused as not run, but started
	Examples    []string `json:"examples,omitempty"`
}

// Broken tells whether a promise was broken.
func (r Report) Broken() bool { return r.Doubled+r.Partial+r.Unstarted+r.FalseNotRun > 0 }

// maxExamples bounds the keys named in a report.
const maxExamples = 10

// Record collects what callers were told. It is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	told []Told
}

// Tell adds what one caller was told.
func (r *Record) Tell(t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
}

// Check compares with the starts, a list of task names (key, a slash, number).
func (r *Record) Check(starts []string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Starts: len(starts), Told: len(r.told)}
	times := map[string]int{}
	started := map[string]int{}
	for _, task := range starts {
		times[task]++
		if times[task] == 1 {
			started[task[:strings.LastIndexByte(task, '/')]]++
		}
	}
	repeatable := map[string]bool{}
	otherwise := map[string]bool{} // keys of which a submission was told other than not run
	for _, t := range r.told {
		repeatable[t.Key] = repeatable[t.Key] || t.Repeatable
		otherwise[t.Key] = otherwise[t.Key] || !t.NotRun
	}
	for _, t := range r.told {
		t.NotRun = t.NotRun && !otherwise[t.Key]
		report.judge(t, started[t.Key])
	}
	for task, count := range times {
		key := task[:strings.LastIndexByte(task, '/')]
		if count > 1 && !repeatable[key] && !strings.HasPrefix(key, "unkeyed-") {
			report.Doubled++
			report.example("doubled " + task)
		}
	}
	return report
}

func (r *Report) judge(t Told, started int) {
	if t.Partial {
		r.Partial++
		r.example("partial " + t.Key)
	}
	if t.Key == "" {
		return
	}
	if t.Complete && started < t.Tasks {
		r.Unstarted++
		r.example("unstarted " + t.Key)
	}
	if t.NotRun && started > 0 {
		r.FalseNotRun++
		r.example("not run but started " + t.Key)
	}
}

func (r *Report) example(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}
