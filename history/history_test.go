package history

import "testing"

// TestCheckCountsEachViolation guards against a check that misses a violation or
// counts correct behaviour as one.
func TestCheckCountsEachViolation(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []ReportedOutcome
		starts   []string
		want     Report
	}{
		{"all well", []ReportedOutcome{{Key: "k", Tasks: 2, Complete: true}}, []string{"k/0", "k/1"}, Report{}},
		{"doubled", []ReportedOutcome{{Key: "k", Tasks: 1, Complete: true}}, []string{"k/0", "k/0"}, Report{DuplicateStarts: 1}},
		{"repeatable twice", []ReportedOutcome{{Key: "k", Tasks: 1, Complete: true, Repeatable: true}}, []string{"k/0", "k/0"}, Report{}},
		{"without a key twice", nil, []string{"unkeyed-1/0", "unkeyed-1/0"}, Report{}},
		{"partial", []ReportedOutcome{{Key: "k", Tasks: 1, Partial: true}}, []string{"k/0"}, Report{PartialAnswers: 1}},
		{"answered without a start", []ReportedOutcome{{Key: "k", Tasks: 2, Complete: true}}, []string{"k/0"}, Report{AnsweredWithoutStart: 1}},
		{"wrongly refused", []ReportedOutcome{{Key: "k", Tasks: 1, NotRun: true}}, []string{"k/0"}, Report{StartedDespiteNotRun: 1}},
		{"refused, then run", []ReportedOutcome{{Key: "k", NotRun: true}, {Key: "k", Tasks: 1, Complete: true}}, []string{"k/0"}, Report{}},
	}
	for _, test := range tests {
		var r Recorder
		for _, outcome := range test.outcomes {
			r.Add(outcome)
		}
		got := r.Check(test.starts)
		if got.DuplicateStarts != test.want.DuplicateStarts || got.PartialAnswers != test.want.PartialAnswers || got.AnsweredWithoutStart != test.want.AnsweredWithoutStart || got.StartedDespiteNotRun != test.want.StartedDespiteNotRun {
			t.Errorf("%s: %+v", test.name, got)
		}
		if got.HasViolations() != (test.want.DuplicateStarts+test.want.PartialAnswers+test.want.AnsweredWithoutStart+test.want.StartedDespiteNotRun > 0) {
			t.Errorf("%s: HasViolations returned %v", test.name, got.HasViolations())
		}
	}
}
