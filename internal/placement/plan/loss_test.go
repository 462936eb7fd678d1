package plan

import (
	"testing"
	"time"
)

// TestStartNamesTheLostRun guards against overlapping runs that the log cannot explain: the
// start that follows a lost run must say how that one was lost, and when its lease was renewed.
func TestStartNamesTheLostRun(t *testing.T) {
	tests := []struct {
		name string
		lose func(p *Plan, o Order)
		want string
	}{
		{"lease expired", func(p *Plan, _ Order) {
			p.RenewalSent("w1", after(5100), after(5100).Add(p.longestLease()))
			p.MarkUnresponsive("w1", after(5200))
			p.KeepAlive("00000000000000aa", after(6000))
			p.Tick(after(6200))
		}, "run 1 on w1: lease expired, renewed 1100 ms ago"},
		{"run ended", func(p *Plan, o Order) {
			p.HandleReport(Report{Worker: "w1", Sent: after(5100), Ended: []EndedRun{{o.Task, o.Run, Aborted}}}, after(5100))
		}, "run 1 on w1: ended"},
		{"worker replaced", func(p *Plan, _ Order) { p.WorkerReplaced("w1", after(5100)) }, "run 1 on w1: gone with its worker, not listed or refused"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 1))
			p.Tick(after(5000))
			b := testJob("00000000000000aa", 1, after(5000))
			b.Steps[0].Hint = 3 * time.Second
			p.Admit(b, nil, after(5000))
			first := starts(p)[0]
			if first.Previous != "" {
				t.Fatalf("the first start names a lost run: %q", first.Previous)
			}
			p.HandleStartOutcome("w1", first.Task, first.Run, StartAccepted, after(5001))
			p.AddWorker(testWorker("w2", 1), after(5002))
			p.HandleReport(Report{Worker: "w2", Sent: after(5002), Fenced: true}, after(5002))
			c.lose(p, first)
			p.Tick(after(6225))
			second := starts(p)
			if len(second) != 1 || second[0].Previous != c.want {
				t.Fatalf("starts %+v, want one that names %q", second, c.want)
			}
		})
	}
}

// TestRunThatIsLostTwiceCountsOnce guards against a task that waits for its client's whole time: its
// only run is lost from sight, seen again and lost again, which counts as two workers that may have
// crashed under it.
func TestRunThatIsLostTwiceCountsOnce(t *testing.T) {
	second := testWorker("w2", 4)
	second.Draining = true
	c := newCrashTest(testWorker("w1", 4), second)
	first := c.started[0]
	c.silence(StartAccepted)
	c.plan.HandleReport(Report{Worker: "w1", Sent: c.now, Fenced: true, Running: []RunProgress{{Task: first.Task, Run: first.Run, Percent: 50}}}, c.now)
	c.plan.RenewalSent("w1", c.now, c.now.Add(c.plan.longestLease()))
	c.plan.MarkUnresponsive("w1", c.now)
	second.Draining = false
	c.plan.AddWorker(second, c.now)
	c.wait(1200 * time.Millisecond)
	if got := len(c.started); got != 2 || c.last() != "w2" {
		t.Errorf("%d starts, the last on %s, want a second one on w2 once the lease of the first has expired again", got, c.last())
	}
}
