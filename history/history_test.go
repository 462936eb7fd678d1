package history

import "testing"

// TestCheckFindsEachBrokenPromise shows that each count can rise.
func TestCheckFindsEachBrokenPromise(t *testing.T) {
	tests := []struct {
		name   string
		told   []Told
		starts []string
		want   Report
	}{
		{"all well", []Told{{Key: "k", Tasks: 2, Complete: true}}, []string{"k/0", "k/1"}, Report{}},
		{"doubled", []Told{{Key: "k", Tasks: 1, Complete: true}}, []string{"k/0", "k/0"}, Report{Doubled: 1}},
		{"repeatable twice", []Told{{Key: "k", Tasks: 1, Complete: true, Repeatable: true}}, []string{"k/0", "k/0"}, Report{}},
		{"without a key twice", nil, []string{"unkeyed-1/0", "unkeyed-1/0"}, Report{}},
		{"partial", []Told{{Key: "k", Tasks: 1, Partial: true}}, []string{"k/0"}, Report{Partial: 1}},
		{"answered without a start", []Told{{Key: "k", Tasks: 2, Complete: true}}, []string{"k/0"}, Report{Unstarted: 1}},
		{"wrongly refused", []Told{{Key: "k", Tasks: 1, NotRun: true}}, []string{"k/0"}, Report{FalseNotRun: 1}},
		{"refused, then run", []Told{{Key: "k", NotRun: true}, {Key: "k", Tasks: 1, Complete: true}}, []string{"k/0"}, Report{}},
	}
	for _, test := range tests {
		var r Record
		for _, told := range test.told {
			r.Tell(told)
		}
		got := r.Check(test.starts)
		if got.Doubled != test.want.Doubled || got.Partial != test.want.Partial || got.Unstarted != test.want.Unstarted || got.FalseNotRun != test.want.FalseNotRun {
			t.Errorf("%s: %+v", test.name, got)
		}
		if got.Broken() != (test.want.Doubled+test.want.Partial+test.want.Unstarted+test.want.FalseNotRun > 0) {
			t.Errorf("%s: broken is %v", test.name, got.Broken())
		}
	}
}
