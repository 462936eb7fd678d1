package plan

import "testing"

// TestJobOfAStoppingEntryIsRefusedOnlyIfNothingHasRun guards against a refusal of a job that has run, against a start
// after the answer to its entry, and against the end of a job that may yet complete. In each case the worker has room
// afterwards, and a delayed copy of the first message comes.
func TestJobOfAStoppingEntryIsRefusedOnlyIfNothingHasRun(t *testing.T) {
	tests := []struct {
		name                   string
		busy, admitted, before bool // another job has the worker; the job's message has come; an earlier holder may have started it
		refused                bool
		starts                 int // afterwards
	}{
		{"it waits", true, true, false, true, 0},
		{"it runs", false, true, false, false, 0},
		{"an earlier holder may have started it", true, true, true, false, 1},
		{"the message that brings it has been overtaken", true, false, false, false, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p, b := fencedPlan(testWorker("w1", 1)), testJob("00000000000000aa", 1, after(2000))
			b.MaybeStarted = c.before
			if c.busy {
				p.Admit(testJob("00000000000000bb", 1, after(2000)), nil, after(2000))
			}
			if c.admitted {
				p.Admit(b, nil, after(2000))
			}
			p.Orders()
			if first, again := p.Refuse(b.ID, 0, after(2010)), p.Refuse(b.ID, 0, after(2010)); first != c.refused || again != c.refused {
				t.Errorf("refused: %t, again: %t; want %t", first, again, c.refused)
			}
			if len(ordersOfKind(p.Orders(), Stop)) > 0 {
				t.Error("a run was stopped")
			}
			p.Admit(b, nil, after(2015))
			p.HandleReport(Report{Worker: "w1", Sent: after(2020), Ended: []EndedRun{{"00000000000000bb.0.0.0", 1, Succeeded}}}, after(2020))
			for ms := 2100; ms < 4000; ms += 100 {
				p.KeepAlive(b.ID, after(ms))
				p.Tick(after(ms))
			}
			if started := len(starts(p)); started != c.starts {
				t.Errorf("%d starts afterwards, want %d", started, c.starts)
			}
		})
	}
}

// TestJobWithAnEarlyCompletionIsNotRefused guards against a refusal of a job that has run in part: an earlier holder
// has started it, one of its tasks succeeds before the job comes, and its entry does not know that it has started.
func TestJobWithAnEarlyCompletionIsNotRefused(t *testing.T) {
	p, b := fencedPlan(testWorker("w1", 1)), testJob("00000000000000aa", 2, after(2000))
	p.HandleReport(Report{Worker: "w1", Sent: after(2000), Ended: []EndedRun{{"00000000000000aa.0.0.0", 1, Succeeded}}}, after(2000))
	p.Admit(testJob("00000000000000bb", 1, after(2000)), nil, after(2000)) // has the worker
	p.Admit(b, nil, after(2000))
	if j := p.jobs[b.ID]; j.unfinished != 1 || len(j.pending) != 1 {
		t.Fatalf("%d tasks unfinished, %d pending; want 1 of each", j.unfinished, len(j.pending))
	}
	if p.Refuse(b.ID, 0, after(2010)) {
		t.Error("the job is refused, although one of its tasks has succeeded")
	}
}
