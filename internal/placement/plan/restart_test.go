package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/resources"
)

// TestWorkerNeedsANewFence guards against starts on a worker whose incarnation is not known: it
// must accept a new token first, and list what it runs.
func TestWorkerNeedsANewFence(t *testing.T) {
	needs := resources.Resources{MilliCores: 1000, MemoryMB: 100}
	tests := []struct {
		name  string
		again func(p *Plan) // what the plan is told of the worker
	}{
		{"it has restarted", func(p *Plan) { p.RestartWorker(testWorker("w1", 2), after(10)) }},
		{"it was not registered for a while", func(p *Plan) {
			p.RetireWorker("w1", after(10))
			p.AddWorker(testWorker("w1", 2), after(15))
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 2))
			p.Admit(jobWith("00000000000000a1", 1, needs, 0), nil, start)
			first := starts(p)[0]
			p.HandleStartOutcome("w1", first.Task, first.Run, StartAccepted, after(5))
			c.again(p)
			p.Admit(jobWith("00000000000000a2", 1, needs, 20), nil, after(20))
			listed := []RunProgress{{Task: first.Task, Run: first.Run, Percent: 20}}
			p.HandleReport(Report{Worker: "w1", Sent: after(21), Running: listed}, after(22))
			p.Tick(after(25))
			if got := starts(p); len(got) != 0 {
				t.Errorf("started before the worker has accepted a new token: %+v", got)
			}
			p.HandleReport(Report{Worker: "w1", Sent: after(30), Fenced: true, Running: listed}, after(31))
			if got := starts(p); len(got) != 1 {
				t.Errorf("%d starts once it has accepted the token, want 1", len(got))
			}
			if r := p.workers["w1"].runs[runKey{first.Task, first.Run}]; r == nil || r.phase != running {
				t.Error("the run that it lists is not kept")
			}
		})
	}
}
