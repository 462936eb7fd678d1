package submission

import (
	"testing"

	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestExplanationNamesRoute guards against an explanation that names another group, or another reason for it, than a
// new job would get.
func TestExplanationNamesRoute(t *testing.T) {
	tests := []struct {
		name              string
		isolated          bool
		redirect, detour  string
		group, want       string
		route             explanation.Route
		refused, stopping bool
	}{
		{name: "own group", redirect: "a/0", want: "a/0", route: explanation.Own},
		{name: "evacuated zone, which rules out a detour", redirect: "b/0", detour: "c/0", want: "b/0", route: explanation.Evacuated},
		{name: "no zone left", refused: true, route: explanation.Own},
		{name: "silent holder", redirect: "a/0", detour: "c/0", want: "c/0", route: explanation.Detour},
		{name: "group of the question", redirect: "d/0", group: "d/0", want: "d/0", route: explanation.Named},
		{name: "isolated entry", isolated: true, redirect: "a/0", refused: true},
		{name: "entry that stops", stopping: true, redirect: "a/0", refused: true},
	}
	for _, c := range tests {
		tracker := New(Options{
			GroupOf: func(*batch.Batch) string { return "a/0" }, Redirect: func(string, string) string { return c.redirect },
			Isolated: func() bool { return c.isolated },
		})
		tracker.stopping = c.stopping
		e := &explanation.Explanation{Group: c.group}
		tracker.Explain(e, &batch.Batch{}, func(string, int) string { return c.detour })
		if e.Group != c.want || e.Route != c.route || (e.Refusal != nil) != c.refused || tracker.Len() > 0 {
			t.Errorf("%s: %+v", c.name, e)
		}
	}
}
