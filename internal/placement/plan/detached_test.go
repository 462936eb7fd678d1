package plan

import "testing"

// TestRunLostTwiceIsOneLoss guards against a task that starts nowhere until a silent worker answers:
// the lease of its run has expired, the worker lists the run as running nevertheless, since a renewal
// was executed late, and falls silent again.
func TestRunLostTwiceIsOneLoss(t *testing.T) {
	p, b, started := planWithLongRun()
	p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(5005))
	wait := func(from, to int) {
		for ms := from; ms <= to; ms += 50 {
			p.KeepAlive(b.ID, after(ms))
			p.Tick(after(ms))
		}
	}
	p.AddWorker(testWorker("w2", 0), after(5006)) // answers, without room
	p.HandleReport(Report{Worker: "w2", Sent: after(5007), Fenced: true}, after(5008))
	p.MarkUnresponsive("w1", after(5400))
	wait(5400, 6200)
	p.HandleReport(Report{Worker: "w1", Sent: after(6200), Running: []RunProgress{{Task: started.Task, Run: started.Run, Percent: 40}}}, after(6210))
	p.MarkUnresponsive("w1", after(6500))
	wait(6500, 7400)
	p.AddWorker(testWorker("w2", 1), after(7400))
	wait(7450, 8000)
	if got := len(starts(p)); got != 1 {
		t.Errorf("%d further starts, want 1: one worker is silent", got)
	}
}
