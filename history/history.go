// Package history checks the dispatcher's guarantees: it compares the outcomes that
// were reported to callers with the task starts that the upstreams recorded.
package history

import (
	"strings"
	"sync"
)

// ReportedOutcome is the final outcome of one submission as reported to its caller.
// Key is the key as the upstreams saw it, without the task's number. Several
// submissions may share a key.
type ReportedOutcome struct {
	Key        string
	Tasks      int
	Complete   bool
	Partial    bool // reported as complete, but answers were missing or belonged to another submission
	NotRun     bool // refused with the outcome not-run
	Repeatable bool // may start more than once
}

// Report counts violations of the guarantees. All counts except Starts and Reported
// must be 0.
type Report struct {
	Starts               int      `json:"starts"`
	Reported             int      `json:"told"`
	DuplicateStarts      int      `json:"doubled"`     // tasks that started more than once although they have a key and are not repeatable
	PartialAnswers       int      `json:"partial"`     // submissions reported as complete with missing or foreign answers
	AnsweredWithoutStart int      `json:"unstarted"`   // submissions reported as complete with tasks that never started
	StartedDespiteNotRun int      `json:"falsenotrun"` // submissions refused as not run although a task started
	Examples             []string `json:"examples,omitempty"`
}

// HasViolations reports whether a guarantee was violated.
func (r Report) HasViolations() bool {
	return r.DuplicateStarts+r.PartialAnswers+r.AnsweredWithoutStart+r.StartedDespiteNotRun > 0
}

// maxExamples limits the violations named in a report.
const maxExamples = 10

// Recorder collects reported outcomes. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	outcomes []ReportedOutcome
}

// Add records one outcome.
func (r *Recorder) Add(o ReportedOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Check compares the recorded outcomes with the starts, a list of task names of the
// form key/number. A submission refused as not run is no violation if another
// submission with the same key had a different outcome.
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
	maybeRun := map[string]bool{} // keys with a submission that was not refused as not run
	for _, o := range r.outcomes {
		repeatable[o.Key] = repeatable[o.Key] || o.Repeatable
		maybeRun[o.Key] = maybeRun[o.Key] || !o.NotRun
	}
	for _, o := range r.outcomes {
		o.NotRun = o.NotRun && !maybeRun[o.Key]
		report.countViolations(o, startedTasks[o.Key])
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

// countViolations counts the violations of one submission, of whose key
// startedTasks distinct tasks have started.
func (r *Report) countViolations(o ReportedOutcome, startedTasks int) {
	if o.Partial {
		r.PartialAnswers++
		r.addExample("partial " + o.Key)
	}
	if o.Key == "" {
		return
	}
	if o.Complete && startedTasks < o.Tasks {
		r.AnsweredWithoutStart++
		r.addExample("unstarted " + o.Key)
	}
	if o.NotRun && startedTasks > 0 {
		r.StartedDespiteNotRun++
		r.addExample("not run but started " + o.Key)
	}
}

// addExample adds the text to the examples unless there are maxExamples already.
func (r *Report) addExample(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}
