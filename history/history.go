// Package history checks the promises against the upstreams' record of starts and what callers were told.
package history

import (
	"strings"
	"sync"
)

// ReportedOutcome is what a caller was told in the end about one submission. Key is the
// key as the upstreams saw it, without the task's number; several submissions
// may share one.
type ReportedOutcome struct {
	Key        string
	Tasks      int
	Complete   bool
	Partial    bool // complete, but answers were missing or another's
	NotRun     bool // refused with the outcome not-run
	Repeatable bool // may start more than once
}

// Report counts broken promises. All counts but Starts and Told must be 0.
type Report struct {
	Starts               int      `json:"starts"`
	Reported             int      `json:"told"`
	DuplicateStarts      int      `json:"doubled"`     // tasks that started more than once
	PartialAnswers       int      `json:"partial"`     // complete answers that were not whole or not the caller's
	AnsweredWithoutStart int      `json:"unstarted"`   // tasks answered without a start
	StartedDespiteNotRun int      `json:"falsenotrun"` // refused as not run, but started
	Examples             []string `json:"examples,omitempty"`
}

// HasViolations tells whether a promise was broken.
func (r Report) HasViolations() bool {
	return r.DuplicateStarts+r.PartialAnswers+r.AnsweredWithoutStart+r.StartedDespiteNotRun > 0
}

// maxExamples bounds the keys named in a report.
const maxExamples = 10

// Recorder collects what callers were told. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	outcomes []ReportedOutcome
}

// Add adds what one caller was told.
func (r *Recorder) Add(t ReportedOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, t)
}

// Check compares with the starts, a list of task names (key, a slash, number).
func (r *Recorder) Check(starts []string) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Starts: len(starts), Reported: len(r.outcomes)}
	startsOfTask := map[string]int{}
	startedTasks := map[string]int{}
	for _, task := range starts {
		startsOfTask[task]++
		if startsOfTask[task] == 1 {
			startedTasks[task[:strings.LastIndexByte(task, '/')]]++
		}
	}
	repeatable := map[string]bool{}
	maybeRun := map[string]bool{} // keys of which a submission was told other than not run
	for _, t := range r.outcomes {
		repeatable[t.Key] = repeatable[t.Key] || t.Repeatable
		maybeRun[t.Key] = maybeRun[t.Key] || !t.NotRun
	}
	for _, t := range r.outcomes {
		t.NotRun = t.NotRun && !maybeRun[t.Key]
		report.countViolations(t, startedTasks[t.Key])
	}
	for task, count := range startsOfTask {
		key := task[:strings.LastIndexByte(task, '/')]
		if count > 1 && !repeatable[key] && !strings.HasPrefix(key, "unkeyed-") {
			report.DuplicateStarts++
			report.addExample("doubled " + task)
		}
	}
	return report
}

func (r *Report) countViolations(t ReportedOutcome, startedTasks int) {
	if t.Partial {
		r.PartialAnswers++
		r.addExample("partial " + t.Key)
	}
	if t.Key == "" {
		return
	}
	if t.Complete && startedTasks < t.Tasks {
		r.AnsweredWithoutStart++
		r.addExample("unstarted " + t.Key)
	}
	if t.NotRun && startedTasks > 0 {
		r.StartedDespiteNotRun++
		r.addExample("not run but started " + t.Key)
	}
}

func (r *Report) addExample(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}
