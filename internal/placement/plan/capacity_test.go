package plan

import (
	"fmt"
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// workerWith returns a worker with the given capacity.
func workerWith(id string, capacity resources.Resources) Worker {
	w := testWorker(id, 0)
	w.Capacity = capacity
	return w
}

// jobWith returns a job of equal tasks, which need the given resources.
func jobWith(id string, tasks int, needs resources.Resources, ms int) *batch.Batch {
	b := testJob(id, tasks, after(ms))
	b.Steps[0].Resources = needs
	return b
}

// TestShrunkWorkerGetsNoTask shrinks a worker below what its run uses, in one resource at a
// time. No task may start there, not even one that needs nothing of that resource, also not
// while the run is being stopped. Once the worker has grown again the task must start at once.
func TestShrunkWorkerGetsNoTask(t *testing.T) {
	full := resources.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 4}
	used := resources.Resources{MilliCores: 4000, MemoryMB: 4000, Accelerators: 2}
	small := resources.Resources{MilliCores: 1000, MemoryMB: 100}
	tests := []struct {
		name          string
		shrunk, needs resources.Resources
	}{
		{"fewer cores", resources.Resources{MilliCores: 3000, MemoryMB: 8000, Accelerators: 4}, small},
		{"less memory", resources.Resources{MilliCores: 8000, MemoryMB: 3000, Accelerators: 4}, small},
		{"less memory, a task without", resources.Resources{MilliCores: 8000, MemoryMB: 3000, Accelerators: 4}, resources.Resources{MilliCores: 1000}},
		{"fewer accelerators, a task without", resources.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 1}, small},
		{"what is used is left", used, small},
		{"nothing is left", resources.Resources{}, small},
	}
	for _, c := range tests {
		for _, stopped := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", its run is being stopped ", stopped), func(t *testing.T) {
				p := fencedPlan(workerWith("w1", full))
				running := jobWith("00000000000000a1", 1, used, 5000)
				p.Admit(running, nil, after(5000))
				started := starts(p)[0]
				p.HandleStartOutcome(started.Worker, started.Task, started.Run, StartAccepted, after(5002))
				// The other worker keeps the job from being refused as too large for all workers.
				p.AddWorker(workerWith("w2", full), after(5003))
				p.AddWorker(workerWith("w1", c.shrunk), after(5005))
				if stopped {
					p.Withdraw(running.ID, running.Attempt, after(5006))
				}
				p.Admit(jobWith("00000000000000a2", 1, c.needs, 5010), nil, after(5010))
				p.Tick(after(5025))
				p.HandleReport(Report{Worker: "w1", Sent: after(5026), Running: []RunProgress{{started.Task, started.Run, 20}}}, after(5026))
				if got := starts(p); len(got) != 0 {
					t.Fatalf("started on a full worker: %+v", got)
				}
				p.AddWorker(workerWith("w1", full), after(5030))
				if got := starts(p); len(got) != 1 {
					t.Fatalf("%d starts once the worker has grown again, want 1", len(got))
				}
			})
		}
	}
}

// TestShrunkWorkerGetsTasksOnceRunsEnd shrinks a worker below what its runs use and ends them one
// after the other. A task must start as soon as there is room for it, and no sooner.
func TestShrunkWorkerGetsTasksOnceRunsEnd(t *testing.T) {
	needs := resources.Resources{MilliCores: 1000, MemoryMB: 100}
	p := fencedPlan(workerWith("w1", resources.Resources{MilliCores: 8000, MemoryMB: 8000}))
	p.Admit(jobWith("00000000000000a1", 6, needs, 5000), nil, after(5000))
	started := starts(p)
	for _, o := range started {
		p.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, after(5002))
	}
	p.AddWorker(workerWith("w1", resources.Resources{MilliCores: 4000, MemoryMB: 8000}), after(5005))
	p.Admit(jobWith("00000000000000a2", 2, needs, 5010), nil, after(5010))
	for i, want := range []int{0, 0, 1, 1, 0} {
		report := Report{Worker: "w1", Sent: after(5001), Ended: []EndedRun{{started[i].Task, started[i].Run, Succeeded}}}
		p.HandleReport(report, after(5020+i))
		if got := len(starts(p)); got != want {
			t.Fatalf("%d starts when %d of 6 runs have ended, want %d", got, i+1, want)
		}
	}
}

// TestShrunkWorkerHidesNoFreeSlots shrinks a busy worker below what its runs use. That must not
// hide the free slots of the other workers from other groups, or their jobs would not spill over.
func TestShrunkWorkerHidesNoFreeSlots(t *testing.T) {
	full := resources.Resources{MilliCores: 8000, MemoryMB: 8000}
	p := fencedPlan(workerWith("w1", full))
	p.Admit(jobWith("00000000000000a1", 8, resources.Resources{MilliCores: 1000, MemoryMB: 100}, 5000), nil, after(5000))
	p.AddWorker(workerWith("w2", full), after(5001))
	p.HandleReport(Report{Worker: "w2", Sent: after(5001), Fenced: true}, after(5001))
	for _, capacity := range []resources.Resources{full, {MilliCores: 2000, MemoryMB: 8000}, {MilliCores: 16000, MemoryMB: 100}} {
		p.AddWorker(workerWith("w1", capacity), after(5005))
		if got := p.FreeSlots(); got != 8 {
			t.Fatalf("%d free slots while the busy worker has %+v, want the 8 of the idle worker", got, capacity)
		}
	}
}

// TestJobWaitsWhileWorkersAreTooSmall guards against a job that is refused at once although the
// workers are too small for its task only for a while.
func TestJobWaitsWhileWorkersAreTooSmall(t *testing.T) {
	large := resources.Resources{MilliCores: 8000, MemoryMB: 8000}
	small := resources.Resources{MilliCores: 1000, MemoryMB: 8000}
	needs := resources.Resources{MilliCores: 4000, MemoryMB: 100}
	tests := []struct {
		name    string
		first   resources.Resources // capacity of the other worker w1 until 5000 ms
		change  func(p *Plan)       // at 5000 ms
		arrives int                 // ms
		waits   bool
	}{
		{"none was ever large enough", small, func(*Plan) {}, 5010, false},
		{"one has shrunk", large, func(p *Plan) { p.AddWorker(workerWith("w1", small), after(5000)) }, 5010, true},
		{"one has shrunk twice", large, func(p *Plan) {
			p.AddWorker(workerWith("w1", resources.Resources{MilliCores: 2000, MemoryMB: 8000}), after(5000))
			p.AddWorker(workerWith("w1", small), after(5000))
		}, 5010, true},
		{"one has shrunk some seconds ago", large, func(p *Plan) { p.AddWorker(workerWith("w1", small), after(5000)) }, 9000, true},
		{"one has shrunk long ago", large, func(p *Plan) { p.AddWorker(workerWith("w1", small), after(5000)) }, 15000, false},
		{"one has crashed", large, func(p *Plan) { p.WorkerReplaced("w1", after(5000)) }, 5010, true},
		{"one has left as planned", large, func(p *Plan) {
			leaving := workerWith("w1", large)
			leaving.Draining = true
			p.AddWorker(leaving, after(5000))
			p.RemoveWorker("w1", after(5000))
		}, 5010, false},
		{"one has started again and is smaller", large, func(p *Plan) { p.RestartWorker(workerWith("w1", small), after(5000)) }, 5010, true},
		{"the first has become another service's", large, func(p *Plan) {
			other := workerWith("w1", large)
			other.Service = "reporting"
			p.AddWorker(other, after(5000))
		}, 5010, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(workerWith("w1", c.first), workerWith("w2", small))
			p.Tick(after(4999))
			c.change(p)
			b := jobWith("00000000000000aa", 1, needs, c.arrives)
			p.Admit(b, nil, after(c.arrives))
			results := ordersOfKind(p.Orders(), DeliverResult)
			if !c.waits {
				if len(results) != 1 || results[0].Result.State != batch.Refused {
					t.Fatalf("results %+v, want a job refused at once", results)
				}
				return
			}
			if len(results) != 0 {
				t.Fatalf("results %+v, want none yet", results)
			}
			p.KeepAlive(b.ID, after(c.arrives+500))
			p.AddWorker(workerWith("w1", small), after(c.arrives+500))
			p.HandleReport(Report{Worker: "w1", Sent: after(c.arrives + 500), Fenced: true}, after(c.arrives+500))
			p.AddWorker(workerWith("w1", large), after(c.arrives+500))
			if got := len(starts(p)); got != 1 {
				t.Fatalf("%d starts once a worker is large enough again, want 1", got)
			}
		})
	}
}

// TestJobIsRefusedIfWorkersStayTooSmall guards against a client that waits in vain for longer than
// it said.
func TestJobIsRefusedIfWorkersStayTooSmall(t *testing.T) {
	p := fencedPlan(workerWith("w1", cores(8)))
	p.AddWorker(workerWith("w1", cores(1)), after(5000))
	b := jobWith("00000000000000aa", 1, cores(4), 5010)
	b.ExpiresAt = after(6000)
	p.Admit(b, nil, after(5010))
	p.KeepAlive(b.ID, after(5500))
	p.Tick(after(5500))
	if results := ordersOfKind(p.Orders(), DeliverResult); len(results) != 0 {
		t.Fatalf("results %+v, want none while its client waits", results)
	}
	p.Tick(after(6001))
	results := ordersOfKind(p.Orders(), DeliverResult)
	if len(results) != 1 || results[0].Result.State != batch.Refused {
		t.Fatalf("results %+v, want a refused job", results)
	}
}
