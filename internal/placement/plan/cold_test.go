package plan

import (
	"fmt"
	"testing"
	"time"
)

// coldPlan returns a plan with workers of eight cores that are cold for ten seconds from 1,300 ms on.
func coldPlan(ids ...string) *Plan {
	var all []Worker
	for _, id := range ids {
		w := testWorker(id, 8)
		w.Capacity.MemoryMB = 80_000
		all = append(all, w)
	}
	p := fencedPlan(all...)
	p.Tick(after(1200))
	for _, w := range all {
		w.ColdUntil = after(11_300)
		p.AddWorker(w, after(1300))
	}
	p.Tick(after(1300))
	return p
}

// TestColdWorkerIsFilledGradually guards against a cold worker that gets as many tasks as a warm one, that
// gets none, or that reports free slots which it may not use.
func TestColdWorkerIsFilledGradually(t *testing.T) {
	tests := []struct {
		name  string
		ms    int
		cores int64 // of a task
		tasks int
	}{
		{"just cold", 1300, 1, 2},
		{"half of its time later", 6300, 1, 5},
		{"warm", 11_300, 1, 8},
		{"less is left than a task needs", 6300, 2, 2},
		{"one large task", 1300, 6, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := coldPlan("w1")
			p.Tick(after(c.ms))
			b := testJob("00000000000000aa", 10, after(c.ms))
			b.Steps[0].Resources.MilliCores = 1000 * c.cores
			p.Admit(b, nil, after(c.ms))
			if got := len(starts(p)); got != c.tasks {
				t.Errorf("%d tasks start, want %d", got, c.tasks)
			}
		})
	}
	p := coldPlan("w1")
	p.meanTaskSize = 1000
	if slots := p.FreeSlots(); slots != 2 {
		t.Errorf("%d free slots, want 2", slots)
	}
}

// TestColdRunsDoNotCountAsSlow guards against workers that are avoided or ejected long after they are warm, and
// against expected run times that leave out the cold time or never learn it.
func TestColdRunsDoNotCountAsSlow(t *testing.T) {
	p := coldPlan("w1", "w2")
	for i := range 40 {
		ms := 1300 + 10*i
		p.Admit(testJob(fmt.Sprintf("%016x", i), 1, after(ms)), nil, after(ms))
		p.Tick(after(ms))
		begun := starts(p)
		if len(begun) != 1 {
			t.Fatalf("%d tasks of job %d start, want 1 although no warm worker is there", len(begun), i)
		}
		for _, o := range begun {
			if want := 150 * time.Millisecond; i == 0 && o.ExpectedTime != want {
				t.Errorf("expected run time %v, want %v before anything is learned", o.ExpectedTime, want)
			}
			p.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, after(ms))
			r := p.workers[o.Worker].runs[runKey{o.Task, o.Run}]
			r.sentAt = after(ms - 300) // it has taken three times as long as on a warm worker
			p.HandleReport(Report{Worker: o.Worker, Sent: after(ms), Ended: []EndedRun{{o.Task, o.Run, Succeeded}}}, after(ms))
		}
	}
	for _, w := range p.workerList {
		if factor := p.estimator.SlowdownFactor(w.ID, w.Kind); factor != 1 {
			t.Errorf("slowdown factor of %s %.2f, want 1", w.ID, factor)
		}
		if factor := p.coldFactor(w); factor < 2.5 || factor > 3.1 {
			t.Errorf("cold factor of %s %.2f, want nearly 3", w.ID, factor)
		}
	}
	// Runs without any progress are moved, but eject no cold worker.
	for i := range 2 * failuresInRow {
		ms := 2000 + 10*i
		p.Admit(testJob(fmt.Sprintf("%016x", 100+i), 1, after(ms)), nil, after(ms))
		begun := starts(p)
		for _, o := range begun {
			p.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, after(ms))
			r := p.workers[o.Worker].runs[runKey{o.Task, o.Run}]
			r.startedAt, r.expectedEnd = after(ms-1500), after(ms-1300)
			p.HandleReport(Report{Worker: o.Worker, Sent: after(ms), Running: []RunProgress{{Task: o.Task, Run: o.Run}}}, after(ms))
			p.Tick(after(ms + 1))
			p.HandleReport(Report{Worker: o.Worker, Sent: after(ms + 2), Ended: []EndedRun{{o.Task, o.Run, Aborted}}}, after(ms+2))
		}
	}
	if ejected := p.outliers.EjectedNames(); len(ejected) > 0 {
		t.Errorf("ejected %v, want none", ejected)
	}
	for _, w := range p.workerList {
		if factor := p.estimator.SlowdownFactor(w.ID, w.Kind); factor != 1 {
			t.Errorf("slowdown factor of %s %.2f after stalls, want 1", w.ID, factor)
		}
	}
}

// TestColdStraggler guards against a worker that is avoided once it is warm, since one of its tasks fell behind the
// others of its job while it was cold.
func TestColdStraggler(t *testing.T) {
	p := coldPlan("w1", "w2")
	p.Admit(testJob("00000000000000aa", 4, after(1300)), nil, after(1300))
	running := map[string][]RunProgress{}
	for i, o := range starts(p) {
		p.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, after(1300))
		running[o.Worker] = append(running[o.Worker], RunProgress{Task: o.Task, Run: o.Run, Percent: 5 + 45*min(i, 1)})
	}
	for id, runs := range running {
		p.HandleReport(Report{Worker: id, Sent: after(1360), Running: runs}, after(1360))
	}
	p.Tick(after(1361))
	for _, w := range p.workerList {
		if factor := p.estimator.SlowdownFactor(w.ID, w.Kind); factor != 1 {
			t.Errorf("slowdown factor of %s %.2f, want 1", w.ID, factor)
		}
	}
}

// TestColdCapacity guards against jobs that wait for resources which cold workers may not use yet, and against a
// worker that is filled at once when it has started again shortly after its last start.
func TestColdCapacity(t *testing.T) {
	p := coldPlan("w1")
	if capacity, _ := p.capacityAndLoad("listing"); capacity != 2000*packingShare {
		t.Errorf("capacity %g, want a quarter", capacity)
	}
	w := p.workers["w1"].Worker
	w.ColdUntil = after(11_900)
	p.RestartWorker(w, after(11_200))
	if share := p.workers["w1"].cold.Share(p.now); share != 0.25 {
		t.Errorf("share %.2f after a restart, want a quarter", share)
	}
}
