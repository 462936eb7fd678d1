package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// trialFixture is a plan whose workers run tasks that take equally long.
type trialFixture struct {
	plan    *Plan
	running map[string]map[runKey]time.Time // start of each run, by worker
	results map[batch.State]int
	begun   map[string]bool // jobs of which a task has started
}

// report delivers the report of a worker whose runs take a given time.
func (f *trialFixture) report(worker string, took time.Duration, now time.Time) {
	r := Report{Worker: worker, Sent: now}
	for key, startedAt := range f.running[worker] {
		if elapsed := now.Sub(startedAt); elapsed < took {
			r.Running = append(r.Running, RunProgress{key.task, key.run, int(100 * elapsed / took)})
		} else {
			r.Ended = append(r.Ended, EndedRun{key.task, key.run, Succeeded})
			delete(f.running[worker], key)
		}
	}
	f.plan.HandleReport(r, now)
}

// execute carries out the orders of the plan.
func (f *trialFixture) execute(now time.Time) {
	for _, o := range f.plan.Orders() {
		key := runKey{o.Task, o.Run}
		switch o.Kind {
		case Start:
			f.running[o.Worker][key] = now
			f.begun[o.Batch.ID] = true
			f.plan.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, now)
		case Stop:
			delete(f.running[o.Worker], key)
			f.plan.HandleReport(Report{Worker: o.Worker, Sent: after(0), Ended: []EndedRun{{o.Task, o.Run, Aborted}}}, now)
		case DeliverResult:
			f.results[o.Result.State]++
		}
	}
}

// newTrialFixture returns a fixture whose plan has learned from four tasks, which ended at once
// with no report for three seconds, that tasks of its queue take long. Their client stated 0.1 s.
func newTrialFixture() *trialFixture {
	w1, w2 := testWorker("w1", 4), testWorker("w2", 4)
	w1.Capacity.MemoryMB, w2.Capacity.MemoryMB = 4000, 4000
	f := &trialFixture{
		plan: fencedPlan(w1, w2), running: map[string]map[runKey]time.Time{"w1": {}, "w2": {}},
		results: map[batch.State]int{}, begun: map[string]bool{},
	}
	f.plan.Tick(after(1500))
	f.plan.Admit(testJob("00000000000000f1", 4, after(1500)), nil, after(1500))
	f.execute(after(1500))
	f.report("w1", time.Millisecond, after(4500))
	f.report("w2", time.Millisecond, after(4500))
	f.execute(after(4500))
	f.plan.Tick(after(4525))
	clear(f.results)
	clear(f.begun)
	return f
}

// serve submits a job of two tasks every 100 ms for a time. Their clients wait for 1.5 s, and
// their tasks take as long as given.
func (f *trialFixture) serve(fromMillis, endMillis int, took time.Duration) {
	for ms := fromMillis; ms < endMillis; ms += 25 {
		now := after(ms)
		f.report("w1", took, now)
		f.report("w2", took, now)
		if ms%100 == 0 {
			b := testJob(fmt.Sprintf("%016x", ms), 2, now)
			b.ExpiresAt = now.Add(1500 * time.Millisecond)
			f.plan.Admit(b, nil, now)
		}
		for sent := max(fromMillis, (ms-1500)/100*100); sent <= ms; sent += 100 {
			f.plan.KeepAlive(fmt.Sprintf("%016x", sent), now)
		}
		f.plan.Tick(now)
		f.execute(now)
	}
}

// TestQueueIsServedAgainAfterLongFirstRuns reports the ends of the first runs of a queue far too
// late, as happens when an entry is paused. Its jobs were then refused for good while all workers
// were idle, since nothing that is refused corrects the expected run time.
func TestQueueIsServedAgainAfterLongFirstRuns(t *testing.T) {
	f := newTrialFixture()
	f.serve(5000, 6000, 100*time.Millisecond)
	clear(f.results)
	f.serve(6000, 9000, 100*time.Millisecond)
	if refused := f.results[batch.Refused]; refused > 0 || f.results[batch.Completed] < 28 {
		t.Errorf("results %v, want 28 jobs and more completed, and none refused", f.results)
	}
}

// TestLongRunsAreTriedRarely sends jobs whose tasks take longer than their clients wait, as the
// plan has learned, while their clients state much less. They must not use the workers: all that
// may start is one job a second.
func TestLongRunsAreTriedRarely(t *testing.T) {
	f := newTrialFixture()
	f.serve(5000, 9000, 3*time.Second)
	if len(f.begun) > 4 || f.results[batch.Refused] < 35 {
		t.Errorf("%d jobs begun, results %v; want at most 4 begun, and 35 refused", len(f.begun), f.results)
	}
}
