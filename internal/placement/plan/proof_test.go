package plan

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobThatAnEarlierHolderMayRunDoesNotSpillOver guards against a second run in another group: the job comes again through an
// entry that knows of no earlier run, while the worker that runs it has not accepted the token of the new holder yet.
func TestJobThatAnEarlierHolderMayRunDoesNotSpillOver(t *testing.T) {
	tests := []struct {
		name   string
		fenced bool // w2 has accepted the token, and runs nothing
		at     int  // ms since the takeover
		moved  int
	}{
		{"an earlier lease may last on a worker", false, 100, 0},
		{"the earlier leases have expired", false, 1200, 1},
		{"every worker has accepted the token", true, 100, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			p.AddWorker(testWorker("w2", 4), start)
			if c.fenced {
				p.HandleReport(Report{Worker: "w2", Sent: start, Fenced: true}, start)
			}
			p.Admit(testJob("00000000000000bb", 8, after(c.at)), nil, after(c.at)) // takes what is free, where it may
			p.Orders()
			p.SetOtherFreeSlots(map[string]int{"b": 40})
			p.Admit(testJob("00000000000000aa", 1, after(c.at)), nil, after(c.at))
			if got := len(ordersOfKind(p.Orders(), DeliverResult)); got != c.moved {
				t.Fatalf("%d jobs moved to another group, want %d", got, c.moved)
			}
		})
	}
}

// TestRunAtAnotherHolderOutlastsOwnLease guards against a second start: another holder has fenced the worker of a run, renews its
// lease there, and this holder no longer reaches the worker. Its own lease says nothing about the run then.
func TestRunAtAnotherHolderOutlastsOwnLease(t *testing.T) {
	tests := []struct {
		name     string
		conflict bool // the worker obeys another holder when it is heard last
		starts   int
	}{
		{"the worker obeyed this holder", false, 1},
		{"the worker obeys another holder", true, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 1))
			p.Tick(after(5000))
			b := testJob("00000000000000aa", 1, after(5000))
			b.Steps[0].Hint = 3 * time.Second
			p.Admit(b, nil, after(5000))
			started := starts(p)[0]
			p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(5002))
			p.AddWorker(testWorker("w2", 1), after(5003))
			p.HandleReport(Report{Worker: "w2", Sent: after(5003), Fenced: true}, after(5004))
			if c.conflict {
				p.OtherHolderSeen("w1", after(5100))
			}
			p.MarkUnresponsive("w1", after(5400))
			p.KeepAlive(b.ID, after(6200))
			p.Tick(after(6200))
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d further starts, want %d", got, c.starts)
			}
		})
	}
}

// TestTaskWaitsForEachUnaccountedRun guards against a third run: two workers list a run of the same task, one of them is adopted
// and fails while the other still runs or is being stopped.
func TestTaskWaitsForEachUnaccountedRun(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
	b := testJob("00000000000000aa", 1, after(2000))
	b.MaybeStarted = true
	name := batch.TaskName(b.ID, 0, 0, 0)
	first := Report{Worker: "w1", Sent: after(1990), Running: []RunProgress{{Task: name, Run: 1, Percent: 10}}}
	p.HandleReport(first, after(1990))
	p.HandleReport(Report{Worker: "w2", Sent: after(1990), Running: []RunProgress{{Task: name, Run: 2, Percent: 10}}}, after(1990))
	p.Admit(b, nil, after(2000))
	p.HandleReport(Report{Worker: "w2", Sent: after(3200), Ended: []EndedRun{{Task: name, Run: 2, Outcome: Failed}}}, after(3200))
	p.KeepAlive(b.ID, after(3210))
	p.Tick(after(3210))
	if got := starts(p); len(got) > 0 {
		t.Fatalf("started beside run 1, which %s lists: %+v", first.Worker, got)
	}
}
