package plan

import "testing"

// TestRetiredWorkerIsRemovedBesideAnotherHolder guards against a task that starts on no other
// worker, and against a worker that stays in the plan for good: the registration of its worker has
// gone, and before the lease of its run expires another holder is seen at a third worker.
func TestRetiredWorkerIsRemovedBesideAnotherHolder(t *testing.T) {
	p, b, started := planWithLongRun("w2", "w3")
	p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(5005))
	p.MarkUnresponsive("w1", after(5400))
	p.RetireWorker("w1", after(5500))
	p.OtherHolderSeen("w3", after(5600))
	p.HandleReport(Report{Worker: "w3", Sent: after(5700), Fenced: true}, after(5700))
	for ms := 5700; ms <= 7500; ms += 100 {
		p.KeepAlive(b.ID, after(ms))
		p.Tick(after(ms))
	}
	if got := len(starts(p)); got != 1 {
		t.Errorf("%d further starts, want 1", got)
	}
	if _, kept := p.workers["w1"]; kept {
		t.Error("the worker is still in the plan 1.4 s after its lease has expired")
	}
}

// TestRetiredWorkerThatIsBackMayBeRenewed guards against a second start of a task whose run another
// holder keeps alive: its worker obeyed that holder, its registration was gone for a moment, and it
// does not answer once it is registered again.
func TestRetiredWorkerThatIsBackMayBeRenewed(t *testing.T) {
	p, b, started := planWithLongRun("w2", "w3")
	p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(5005))
	p.OtherHolderSeen("w1", after(5100))
	p.MarkUnresponsive("w1", after(5400))
	p.RetireWorker("w1", after(5500))
	p.AddWorker(testWorker("w1", 1), after(5600))
	for ms := 5700; ms <= 7500; ms += 100 {
		p.MarkUnresponsive("w1", after(ms))
		p.KeepAlive(b.ID, after(ms))
		p.Tick(after(ms))
	}
	if got := starts(p); len(got) > 0 {
		t.Errorf("run %d starts on %s, while the other holder may renew the lease of run 1", got[0].Run, got[0].Worker)
	}
}
