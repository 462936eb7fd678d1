package plan

import "testing"

// TestLateStartIsNotRepeatedAtOnce guards against starts that follow each other without end: the VM of the holder
// was suspended, so that the leases of its starts have expired by the clocks of the workers.
func TestLateStartIsNotRepeatedAtOnce(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4), testWorker("w2", 4))
	p.Admit(testJob("00000000000000aa", 1, after(2000)), nil, after(2000))
	first := starts(p)[0]
	p.HandleStartOutcome(first.Worker, first.Task, first.Run, StartLate, after(2001))
	if got := starts(p); len(got) > 0 {
		t.Fatalf("started again on %s at once", got[0].Worker)
	}
	p.Tick(after(2025))
	if got := starts(p); len(got) != 1 {
		t.Fatalf("%d starts with the next tick, want 1", len(got))
	}
}
