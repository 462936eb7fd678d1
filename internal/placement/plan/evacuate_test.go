package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/latestart"
	"github.com/radishgate/radishgate/internal/work/batch"
)

const evacuatedJob = "00000000000000aa"

// endAll reports the end of all runs.
func endAll(p *Plan, outcome RunOutcome, ms int) {
	for _, w := range p.workerList {
		var ended []EndedRun
		for key := range w.runs {
			ended = append(ended, EndedRun{key.task, key.run, outcome})
		}
		p.HandleReport(Report{Worker: w.ID, Sent: after(ms), Ended: ended}, after(ms))
	}
}

// TestNoPathStartsTasksInAnEvacuatedZone guards against starts on workers of an evacuated zone, and against
// starts while it is not known which zones are evacuated. Each row is a path that starts a task.
func TestNoPathStartsTasksInAnEvacuatedZone(t *testing.T) {
	accepted := func(p *Plan, ms int) {
		for _, o := range starts(p) {
			p.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, after(ms))
		}
	}
	admit := func(change func(b *batch.Batch)) func(p *Plan) {
		return func(p *Plan) {
			b := testJob(evacuatedJob, 2, after(1500))
			b.AskedAt = after(1500)
			change(b)
			p.Admit(b, nil, after(1500))
			p.Tick(after(1525))
		}
	}
	running := func(p *Plan) {
		p.Admit(testJob(evacuatedJob, 2, after(1300)), nil, after(1300))
		accepted(p, 1300)
	}
	tests := []struct {
		name    string
		prepare func(p *Plan) // before the evacuation
		path    func(p *Plan)
		plan    func() *Plan // nil for one with two workers
	}{
		{"first start", nil, admit(func(*batch.Batch) {}), nil},
		{"first start of a job that waits", func(p *Plan) {
			p.SetTakeoverSuspected(true)
			admit(func(*batch.Batch) {})(p)
		}, func(p *Plan) {
			p.SetTakeoverSuspected(false)
			p.Tick(after(1550))
		}, nil},
		{"a worker is added", func(p *Plan) { p.Admit(testJob(evacuatedJob, 9, after(1300)), nil, after(1300)) }, func(p *Plan) {
			p.AddWorker(testWorker("w3", 2), after(1350))
			p.HandleReport(Report{Worker: "w3", Sent: after(1350), Fenced: true}, after(1350))
		}, nil},
		{"resources are free again", func(p *Plan) {
			p.Admit(testJob("00000000000000bb", 8, after(1300)), nil, after(1300))
			accepted(p, 1300)
			p.Admit(testJob(evacuatedJob, 2, after(1310)), nil, after(1310))
		}, func(p *Plan) { endAll(p, Succeeded, 1500) }, nil},
		{"start after a failure", running, func(p *Plan) { endAll(p, Failed, 1500) }, nil},
		{"start after a lost worker", running, func(p *Plan) {
			for _, id := range []string{"w1", "w2"} {
				if len(p.workers[id].runs) > 0 {
					p.RemoveWorker(id, after(1500))
					return
				}
			}
		}, nil},
		{"start after a refused one", func(p *Plan) {
			p.Admit(testJob(evacuatedJob, 1, after(1300)), nil, after(1300))
		}, func(p *Plan) {
			r := p.jobs[evacuatedJob].tasks[0].activeRun
			p.HandleStartOutcome(r.worker.ID, r.runKey.task, r.runKey.run, StartRejected, after(1500))
		}, nil},
		{"restart of a straggler", func(p *Plan) {
			b := testJob(evacuatedJob, 1, after(1300))
			b.Slack = 100 * time.Millisecond
			p.Admit(b, nil, after(1300))
			accepted(p, 1300)
		}, func(p *Plan) {
			r := p.jobs[evacuatedJob].tasks[0].activeRun
			p.HandleReport(Report{Worker: r.worker.ID, Sent: after(1360), Running: []RunProgress{{Task: r.runKey.task, Run: r.runKey.run, Percent: 8}}}, after(1360))
			p.Tick(after(1361))
			endAll(p, Aborted, 1400)
		}, nil},
		{"trial job", nil, func(p *Plan) {
			b := testJob(evacuatedJob, 2, after(5000))
			b.ExpiresAt = after(6500)
			p.Admit(b, nil, after(5000))
			p.Tick(after(5025))
		}, func() *Plan { return newTrialFixture().plan }},
		{"trial task of an ejected worker", func(p *Plan) {
			p.RemoveWorker("w2", after(1300))
			p.outliers.SetMaxEjected(1)
			for range failuresInRow {
				p.outliers.Observe("w1", false)
			}
		}, func(p *Plan) {
			b := testJob(evacuatedJob, 1, after(2600))
			p.Admit(b, nil, after(2600))
		}, nil},
		{"job that spilled over or takes a detour", nil, admit(func(b *batch.Batch) { b.SpilledOver = true }), nil},
		{"job that was sent back", nil, admit(func(b *batch.Batch) { b.StartedHere = true }), nil},
		{"job adopted after a takeover", func(p *Plan) {
			p.HandleReport(Report{Worker: "w1", Sent: after(1400), Running: []RunProgress{{Task: evacuatedJob + ".0.0.0", Run: 1}}}, after(1400))
		}, admit(func(*batch.Batch) {}), nil},
	}
	for _, c := range tests {
		for _, e := range []struct {
			name   string
			state  Evacuations
			starts bool
		}{
			{"no evacuation", Evacuations{}, true},
			{"another zone", Evacuations{Zones: map[string]bool{"b": true}}, true},
			{"evacuated", Evacuations{Zones: map[string]bool{"a": true}}, false},
			{"unknown", Evacuations{Unknown: true}, false},
		} {
			t.Run(c.name+"/"+e.name, func(t *testing.T) {
				p := fencedPlan(testWorker("w1", 4), testWorker("w2", 4))
				for _, w := range p.workerList {
					w.Capacity.MemoryMB = 9000
				}
				if c.plan != nil {
					p = c.plan()
				} else {
					p.Tick(after(1200))
				}
				if c.prepare != nil {
					c.prepare(p)
				}
				p.Orders()
				p.SetEvacuations(e.state)
				c.path(p)
				if begun := len(starts(p)) > 0; begun != e.starts {
					t.Fatalf("started: %t, want %t", begun, e.starts)
				}
			})
		}
	}
}

// TestEvacuatedGroupLosesItsJobs guards against jobs that wait in an evacuated zone until their client's time
// is over, against a second run of a task that still runs there, and against a refusal of a job that
// has run.
func TestEvacuatedGroupLosesItsJobs(t *testing.T) {
	tests := []struct {
		name    string
		target  string
		prepare func(p *Plan, b *batch.Batch)
		expires int
		state   batch.State // "" if the job stays
		started bool
		names   int
	}{
		{"nothing has started", "b/0", nil, 4000, batch.Moved, false, 0},
		{"it has moved before", "b/0", func(_ *Plan, b *batch.Batch) { b.SpilledOver = true }, 4000, batch.Moved, false, 0},
		{"it is too large for the workers of the zone", "b/0", func(_ *Plan, b *batch.Batch) { b.Steps[0].Resources.MilliCores = 900_000 }, 4000, batch.Moved, false, 0},
		{"no zone is left", "", nil, 4000, batch.Refused, false, 0},
		{"an earlier holder may have started it", "b/0", func(_ *Plan, b *batch.Batch) { b.MaybeStarted = true }, 4000, "", false, 0},
		{"a worker may run it", "b/0", func(p *Plan, _ *batch.Batch) {
			p.otherLeasesEnd = after(1900)
			p.RequireFence("w1", after(1300))
		}, 4000, "", false, 0},
		{"a task runs", "b/0", func(p *Plan, b *batch.Batch) { p.evacuations.Zones = nil; p.Admit(b, nil, after(1400)) }, 4000, "", false, 0},
		{"its runs have ended", "b/0", func(p *Plan, b *batch.Batch) {
			p.evacuations.Zones = nil
			p.Admit(b, nil, after(1400))
			p.evacuations.Zones = map[string]bool{"a": true}
			endAll(p, Succeeded, 1450)
		}, 4000, batch.Moved, true, 2},
		{"a crashed worker may execute a late start of it", "b/0", func(p *Plan, b *batch.Batch) {
			p.evacuations.Zones = nil
			p.Admit(b, nil, after(1400))
			p.evacuations.Zones = map[string]bool{"a": true}
			p.lateStarts.Add(latestart.Start{Worker: "w2", Task: batch.TaskName(evacuatedJob, 0, 0, 0), Run: 1, Until: after(9000)})
			p.lateStarts.Suspect("w2")
			endAll(p, Aborted, 1450)
		}, 4000, "", false, 0},
		{"its runs have ended and no zone is left", "", func(p *Plan, b *batch.Batch) {
			p.evacuations.Zones = nil
			p.Admit(b, nil, after(1400))
			p.evacuations.Zones = map[string]bool{"a": true}
			endAll(p, Succeeded, 1450)
		}, 4000, batch.Unknown, false, 0},
		{"its runs have ended too late for its client", "b/0", func(p *Plan, b *batch.Batch) {
			p.evacuations.Zones = nil
			p.Admit(b, nil, after(1400))
			p.evacuations.Zones = map[string]bool{"a": true}
			endAll(p, Aborted, 1450)
		}, 1540, batch.Unknown, false, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{Zone: "a", EvacuationTarget: func(string) string { return c.target }}, start)
			p.AddWorker(testWorker("w1", 2), start)
			p.HandleReport(Report{Worker: "w1", Sent: start, Fenced: true}, start)
			p.workers["w1"].Capacity.MemoryMB = 9000
			p.Tick(after(1200))
			p.SetEvacuations(Evacuations{Zones: map[string]bool{"a": true}})
			b := testJob(evacuatedJob, 4, after(1400))
			b.ExpiresAt = after(c.expires)
			if c.prepare != nil {
				c.prepare(p, b)
			}
			p.SetEvacuations(Evacuations{Zones: map[string]bool{"a": true}})
			p.Admit(b, nil, after(1500))
			p.Tick(after(1525))
			if slots := p.FreeSlots(); slots != 0 {
				t.Errorf("%d free slots", slots)
			}
			results := ordersOfKind(p.Orders(), DeliverResult)
			if c.state == "" {
				if len(results) > 0 {
					t.Fatalf("results %+v, want none", results)
				}
				return
			}
			if len(results) == 0 {
				t.Fatal("no result")
			}
			r := results[0].Result
			if r.State != c.state || r.Started != c.started || len(r.CompletedTasks) != c.names || r.State == batch.Moved && r.TargetGroup != c.target {
				t.Fatalf("result %+v", r)
			}
		})
	}
}

// TestJobWithCompletedTasksIsNotRefused guards against a refusal, which says that nothing of a job has run, by
// the group that continues it.
func TestJobWithCompletedTasksIsNotRefused(t *testing.T) {
	p := fencedPlan(testWorker("w1", 2))
	b := testJob(evacuatedJob, 2, after(1500))
	b.ExpiresAt, b.StartedHere = after(1510), true
	p.Admit(b, []string{evacuatedJob + ".0.0.0"}, after(1500))
	p.Tick(after(1525))
	for _, o := range ordersOfKind(p.Orders(), DeliverResult) {
		if o.Result.State != batch.Unknown {
			t.Fatalf("result %+v", o.Result)
		}
	}
}

// TestCompletedTasksCountInAKnownJob guards against second runs of tasks that have completed in another group,
// when the group to which their job moves knows the job: from another entry, or from before the job left.
func TestCompletedTasksCountInAKnownJob(t *testing.T) {
	tests := []struct {
		name  string
		moved bool // the job has left the group before
	}{{"another entry has sent it", false}, {"it comes back", true}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			zones := map[string]bool{"a": c.moved}
			p := New(Options{Zone: "a", EvacuationTarget: func(string) string { return "b/0" }}, start)
			p.AddWorker(testWorker("w1", 2), start)
			p.HandleReport(Report{Worker: "w1", Sent: start, Fenced: true}, start)
			p.Tick(after(1200))
			p.SetEvacuations(Evacuations{Zones: zones})
			p.SetTakeoverSuspected(!c.moved) // the job waits
			p.Admit(testJob(evacuatedJob, 2, after(1500)), nil, after(1500))
			p.SetEvacuations(Evacuations{})
			p.SetTakeoverSuspected(false)
			p.Orders()
			b := testJob(evacuatedJob, 2, after(1500))
			b.StartedHere = true
			p.Admit(b, []string{evacuatedJob + ".0.0.0"}, after(1510))
			p.Tick(after(1525))
			begun := starts(p)
			if len(begun) != 1 || begun[0].Task != evacuatedJob+".0.0.1" {
				t.Fatalf("starts %+v, want one of the second task", begun)
			}
		})
	}
}
