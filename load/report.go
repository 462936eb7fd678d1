package load

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/radishgate/radishgate/client"
	"github.com/radishgate/radishgate/history"
	"github.com/radishgate/radishgate/refusal"
)

// Outcomes of calls that are neither complete nor refused.
const (
	outcomePartial = "partial"
	outcomeLost    = "lost"
)

// Bounds of the histograms: response times in microseconds, ratios in thousandths.
const (
	maxResponse       = 600_000_000
	maxRatio          = 10_000_000
	significantDigits = 3
)

// flowResults collects the results of one flow.
type flowResults struct {
	flow        Flow
	resubmitted atomic.Int64

	mu            sync.Mutex
	calls         int64
	tasks         int64
	completed     int64
	otherOutcomes map[string]int64 // calls that are not complete, by outcome
	response      *hdrhistogram.Histogram
	ratio         *hdrhistogram.Histogram
}

func newFlowResults(flow Flow) *flowResults {
	return &flowResults{
		flow: flow, otherOutcomes: map[string]int64{},
		response: hdrhistogram.New(1, maxResponse, significantDigits), ratio: hdrhistogram.New(1, maxRatio, significantDigits),
	}
}

// countOutcome counts a call that is not complete.
func (f *flowResults) countOutcome(outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.otherOutcomes[outcome]++
}

// countRefusal counts a refused call by its outcome and kind.
func (f *flowResults) countRefusal(r *client.RefusedError) {
	f.countOutcome(string(r.Outcome) + ":" + string(r.Kind))
}

// countComplete counts a complete call. An ideal of 0 is not known.
func (f *flowResults) countComplete(tasks int, response, ideal time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.completed++
	f.tasks += int64(tasks)
	recordClamped(f.response, response.Microseconds(), maxResponse)
	if ideal > 0 {
		recordClamped(f.ratio, ratioPerMille(response, ideal), maxRatio)
	}
}

// recordClamped records a value limited to the range of the histogram.
func recordClamped(h *hdrhistogram.Histogram, value, limit int64) {
	_ = h.RecordValue(min(max(1, value), limit))
}

// ratioPerMille returns response / ideal in thousandths.
func ratioPerMille(response, ideal time.Duration) int64 {
	return int64(1000 * float64(response) / float64(ideal))
}

// FlowReport holds the results of one flow.
type FlowReport struct {
	Flow          string           `json:"flow"`
	Calls         int64            `json:"calls"`
	Tasks         int64            `json:"tasks"`
	Complete      int64            `json:"complete"`
	Resubmitted   int64            `json:"resubmitted"`
	OtherOutcomes map[string]int64 `json:"others"` // calls that are not complete, by outcome
	P50           float64          `json:"p50_ms"`
	P99           float64          `json:"p99_ms"`
	RatioP50      float64          `json:"p50_ratio"`
	RatioP99      float64          `json:"p99_ratio"`
}

// Report holds the results of a run.
type Report struct {
	Tasks                 int64              `json:"tasks"`
	Calls                 int64              `json:"calls"`
	Complete              int64              `json:"complete"`
	Failed                int64              `json:"failed"`  // calls neither complete nor refused as not run
	Refused               int64              `json:"refused"` // calls refused as not run
	PartialAnswers        int                `json:"partial"`
	DuplicateStarts       int                `json:"doubled"`
	RatioP50              float64            `json:"p50_ratio"`
	RatioP99              float64            `json:"p99_ratio"`
	WastedMessages        float64            `json:"messages_per_task"`        // per task, as counted by WastedPerTask
	ControlBytesPerSecond float64            `json:"control_bytes_per_second"` // per entry
	MessageCounts         map[string]float64 `json:"messages"`                 // of all entries, by kind
	DurationSeconds       float64            `json:"seconds"`
	Check                 history.Report     `json:"check"`
	Flows                 []FlowReport       `json:"flows"`
	PerSecond             []IntervalStats    `json:"course"`
}

// Report returns the results of the run. starts lists the task starts that the upstreams
// recorded; they are checked against the answers.
func (g *Generator) Report(starts []string) Report {
	report := Report{Check: g.recorder.Check(starts)}
	all := hdrhistogram.New(1, maxRatio, significantDigits)
	for _, f := range g.flows {
		f.mu.Lock()
		all.Merge(f.ratio)
		report.Flows = append(report.Flows, f.report())
		report.Tasks += f.tasks
		report.Calls += f.calls
		report.Complete += f.completed
		for outcome, count := range f.otherOutcomes {
			if len(outcome) > len(refusal.NotRun) && outcome[:len(refusal.NotRun)] == string(refusal.NotRun) {
				report.Refused += count
			} else {
				report.Failed += count
			}
		}
		f.mu.Unlock()
	}
	report.PartialAnswers, report.DuplicateStarts = report.Check.PartialAnswers, report.Check.DuplicateStarts
	report.RatioP50 = float64(all.ValueAtQuantile(50)) / 1000
	report.RatioP99 = float64(all.ValueAtQuantile(99)) / 1000
	report.PerSecond = g.perSecondStats()
	return report
}

// ReportAnswersOnly returns the results of a run against upstreams whose task starts are not
// known. Only the answers are checked.
func (g *Generator) ReportAnswersOnly() Report {
	report := g.Report(nil)
	report.Check.AnsweredWithoutStart, report.Check.Examples = 0, nil
	return report
}

// report returns the results so far; the caller holds f.mu.
func (f *flowResults) report() FlowReport {
	return FlowReport{
		Flow: f.flow.Name, Calls: f.calls, Tasks: f.tasks, Complete: f.completed, Resubmitted: f.resubmitted.Load(), OtherOutcomes: f.otherOutcomes,
		P50: float64(f.response.ValueAtQuantile(50)) / 1000, P99: float64(f.response.ValueAtQuantile(99)) / 1000,
		RatioP50: float64(f.ratio.ValueAtQuantile(50)) / 1000, RatioP99: float64(f.ratio.ValueAtQuantile(99)) / 1000,
	}
}

// WastedPerTask returns the messages per task beyond one dispatch and one answer. Control
// traffic, such as heartbeats and bundles, is not included: it is measured in bytes.
func WastedPerTask(counts map[string]float64, tasks int64) float64 {
	if tasks == 0 {
		return 0
	}
	sent := counts["task"] + counts["answer"] + 2*(counts["borrow"]+counts["return"]+counts["renew"]+counts["forward"])
	return max(0, sent-2*float64(tasks)) / float64(tasks)
}

// SetTraffic sets the fields on messages, control traffic and duration. counts holds the
// messages of all entries by kind, bytesWritten the bytes that entries sent to each
// other, and startedAt is the start of the run.
func (r *Report) SetTraffic(counts map[string]float64, bytesWritten int64, entries int, startedAt time.Time) {
	r.MessageCounts = counts
	r.DurationSeconds = time.Since(startedAt).Seconds()
	r.WastedMessages = WastedPerTask(counts, r.Tasks)
	r.ControlBytesPerSecond = float64(bytesWritten) / r.DurationSeconds / float64(max(1, entries))
}

// HasViolations reports whether the dispatcher violated a guarantee.
func (r Report) HasViolations() bool { return r.Check.HasViolations() }

// Write prints the report as a table.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "flow\tcalls\ttasks\tcomplete\tresubmitted\tp50 ms\tp99 ms\tp50/ideal\tp99/ideal\t")
	for _, row := range r.Flows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f\t\n",
			row.Flow, row.Calls, row.Tasks, row.Complete, row.Resubmitted, row.P50, row.P99, row.RatioP50, row.RatioP99)
	}
	_ = table.Flush()
	for _, row := range r.Flows {
		for outcome, count := range row.OtherOutcomes {
			fmt.Fprintf(w, "  %s: %d calls ended %s\n", row.Flow, count, outcome)
		}
	}
	fmt.Fprintf(w, "all: %d tasks, p50/ideal %.3f, p99/ideal %.3f, wasted messages a task %.4f\n", r.Tasks, r.RatioP50, r.RatioP99, r.WastedMessages)
	fmt.Fprintf(w, "promises: %d starts checked, doubled %d, partial %d, answered without a start %d, refused as not run but started %d\n",
		r.Check.Starts, r.Check.DuplicateStarts, r.Check.PartialAnswers, r.Check.AnsweredWithoutStart, r.Check.StartedDespiteNotRun)
	for _, example := range r.Check.Examples {
		fmt.Fprintln(w, "  broken:", example)
	}
}
