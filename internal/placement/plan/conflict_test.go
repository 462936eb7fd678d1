package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// planWithLongRun returns a plan that has ordered the only task of a job on w1, at 5 s, with the
// job and the start, which is not answered yet. The task takes longer than a lease. Each of the
// other workers has room for it and has accepted the token since.
func planWithLongRun(others ...string) (*Plan, *batch.Batch, Order) {
	p := fencedPlan(testWorker("w1", 1))
	p.Tick(after(5000))
	b := testJob("00000000000000aa", 1, after(5000))
	b.Steps[0].Hint = 3 * time.Second
	b.ExpiresAt = after(12000)
	p.Admit(b, nil, after(5000))
	started := starts(p)[0]
	for _, id := range others {
		p.AddWorker(testWorker(id, 1), after(5003))
		p.HandleReport(Report{Worker: id, Sent: after(5003), Fenced: true}, after(5004))
	}
	return p, b, started
}

// TestLeaseBesideAnotherHolderDoesNotExpire guards against a second start of a task whose run
// another holder keeps alive: it reaches the worker, which does not answer this holder. That
// there is another holder may have been seen at a third worker, before or after the loss.
func TestLeaseBesideAnotherHolderDoesNotExpire(t *testing.T) {
	tests := []struct {
		name   string
		events func(p *Plan) // between 5.1 and 6.1 s
		starts int           // further starts at 7.5 s
	}{
		{"no other holder", func(p *Plan) { p.MarkUnresponsive("w1", after(5400)) }, 1},
		{"seen at another worker before the loss", func(p *Plan) {
			p.OtherHolderSeen("w3", after(5100))
			p.MarkUnresponsive("w1", after(5400))
		}, 0},
		{"seen at another worker after the loss", func(p *Plan) {
			p.MarkUnresponsive("w1", after(5400))
			p.OtherHolderSeen("w3", after(5500))
		}, 0},
		{"the worker has answered since", func(p *Plan) {
			p.MarkUnresponsive("w1", after(5200))
			p.OtherHolderSeen("w3", after(5250))
			p.HandleReport(Report{Worker: "w1", Sent: after(5290), Running: []RunProgress{{Task: "00000000000000aa.0.0.0", Run: 1, Percent: 5}}}, after(5300))
			p.HandleReport(Report{Worker: "w3", Sent: after(5300), Fenced: true}, after(5300))
			p.MarkUnresponsive("w1", after(6400))
		}, 1},
		{"another holder may have taken over before the lease expires", func(p *Plan) {
			p.MarkUnresponsive("w1", after(5400))
			for ms := 6000; ms <= 6500; ms += 100 {
				p.SetMayBeReplaced(true, after(ms))
			}
		}, 0},
		{"all other entries are heard again, its leases have expired", func(p *Plan) {
			p.SetMayBeReplaced(true, after(5300))
			p.MarkUnresponsive("w1", after(5400))
			p.SetMayBeReplaced(false, after(5400))
		}, 1},
		{"the worker is no longer registered, another holder may have taken over", func(p *Plan) {
			p.SetMayBeReplaced(true, after(6100))
			p.MarkUnresponsive("w1", after(5400))
			p.RetireWorker("w1", after(6100))
		}, 1},
		{"the worker is no longer registered", func(p *Plan) {
			p.OtherHolderSeen("w3", after(5100))
			p.MarkUnresponsive("w1", after(5400))
			p.RetireWorker("w1", after(6100))
		}, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, b, started := planWithLongRun("w2", "w3")
			p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(5005))
			c.events(p)
			for ms := 6100; ms <= 7500; ms += 100 {
				p.KeepAlive(b.ID, after(ms))
				p.Tick(after(ms))
			}
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d further starts, want %d", got, c.starts)
			}
		})
	}
}
