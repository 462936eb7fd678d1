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
