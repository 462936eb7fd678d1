package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestRequestWithOtherWork guards against a job that is reported as completed without its tasks, or whose
// tasks make the plan panic: a request brings other work under the ID of a job that is known. After
// a refusal it is a new job; otherwise the job keeps its tasks.
func TestRequestWithOtherWork(t *testing.T) {
	const id = "00000000000000aa"
	steps := func(counts ...int) []batch.Step {
		var all []batch.Step
		for _, n := range counts {
			all = append(all, batch.Step{Count: n, Resources: cores(1), Hint: 100 * time.Millisecond})
		}
		return all
	}
	tests := []struct {
		name    string
		first   []batch.Step
		refused bool // the first request, since no worker has room for one of its tasks
		second  []batch.Step
		want    int // tasks that start in all
	}{
		{"more tasks after a refusal", steps(2), true, steps(3), 3},
		{"fewer tasks after a refusal", steps(4), true, steps(2), 2},
		{"fewer steps after a refusal", steps(1, 1), true, steps(1), 1},
		{"more tasks while it runs", steps(2), false, steps(4), 2},
		{"fewer steps while it runs", steps(1, 1), false, steps(1), 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			first := testJob(id, 1, after(12000))
			first.Steps, first.Attempt = c.first, 1
			if c.refused {
				first.Steps[len(first.Steps)-1].Resources = cores(100)
			}
			p.Admit(first, nil, after(12000))
			orders := p.Orders()
			started := ordersOfKind(orders, Start)
			refused := false
			for _, o := range ordersOfKind(orders, DeliverResult) {
				refused = refused || o.Result.State == batch.Refused
			}
			if refused != c.refused {
				t.Fatalf("the first request is refused: %t, want %t", refused, c.refused)
			}
			second := testJob(id, 1, after(12050))
			second.Steps, second.Attempt = c.second, 2
			p.Admit(second, nil, after(12050))
			for ms := 12060; ms < 14000; ms += 20 {
				p.KeepAlive(id, after(ms))
				p.Tick(after(ms))
				orders := p.Orders()
				started = append(started, ordersOfKind(orders, Start)...)
				for _, o := range ordersOfKind(orders, DeliverResult) {
					if o.Result.State == batch.Completed && len(started) < c.want {
						t.Fatalf("completed after %d of %d tasks", len(started), c.want)
					}
				}
				var ended []EndedRun
				for _, o := range ordersOfKind(orders, Start) {
					p.HandleStartOutcome("w1", o.Task, o.Run, StartAccepted, after(ms))
				}
				for _, o := range started {
					ended = append(ended, EndedRun{Task: o.Task, Run: o.Run, Outcome: Succeeded})
				}
				p.HandleReport(Report{Worker: "w1", Sent: after(ms), Ended: ended}, after(ms))
			}
			if len(started) != c.want {
				t.Errorf("%d tasks have started, want %d", len(started), c.want)
			}
		})
	}
}
