package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobOfAnEarlierHolderWaitsForEveryWorker resubmits a job that an earlier holder may have
// started on a worker which has not yet accepted this holder's token. This can happen long
// after the takeover, when a network partition of the zone heals. The job must not start
// before the leases of the earlier holder have expired, nor before an earlier holder that has not
// noticed its replacement has abandoned it, or it could run twice.
func TestJobOfAnEarlierHolderWaitsForEveryWorker(t *testing.T) {
	tests := []struct {
		name   string
		fenced bool
		at     int // ms
		starts int
	}{
		{"at once, a worker has not accepted the token", false, 0, 0},
		{"within the lease", false, 1000, 0},
		{"after the lease, a living earlier holder has not abandoned the job yet", false, 1200, 0},
		{"after a living earlier holder has abandoned the job", false, 1300, 1},
		{"every known worker has accepted the token", true, 0, 0},
		{"every known worker has, after the lease", true, 1200, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			p.AddWorker(testWorker("w2", 4), start)
			arrivedAt := 60_000
			if c.fenced {
				p.HandleReport(Report{Worker: "w2", Sent: after(arrivedAt), Fenced: true}, after(arrivedAt))
			}
			b := testJob("00000000000000aa", 1, after(arrivedAt))
			b.MaybeStarted = true
			p.Admit(b, nil, after(arrivedAt))
			p.KeepAlive(b.ID, after(arrivedAt+c.at))
			p.Tick(after(arrivedAt + c.at))
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d starts, want %d", got, c.starts)
			}
		})
	}
}

// TestOtherHolderDelaysStarts has a second holder: one that this holder has just taken over
// from, or one that has fenced a worker. A client may send a job to both, so it must not start
// here before all workers have accepted the token, or the other holder's leases have expired.
func TestOtherHolderDelaysStarts(t *testing.T) {
	tests := []struct {
		name     string
		conflict func(p *Plan)
		at       int // ms
		starts   int
	}{
		{"just taken over", func(*Plan) {}, 100, 0},
		{"taken over long ago", func(*Plan) {}, 1200, 1},
		{"just taken over, every worker fenced", func(p *Plan) {
			p.HandleReport(Report{Worker: "w2", Sent: after(50), Fenced: true}, after(50))
		}, 100, 1},
		{"seen at a worker", func(p *Plan) { p.OtherHolderSeen("w2", after(5000)) }, 5100, 0},
		{"seen at a worker, leases have expired", func(p *Plan) { p.OtherHolderSeen("w2", after(5000)) }, 6200, 1},
		{"seen at a worker that was fenced again", func(p *Plan) {
			p.OtherHolderSeen("w2", after(5000))
			p.HandleReport(Report{Worker: "w2", Sent: after(5050), Fenced: true}, after(5050))
		}, 5100, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			p.AddWorker(testWorker("w2", 4), start)
			c.conflict(p)
			p.Admit(testJob("00000000000000aa", 1, after(c.at)), nil, after(c.at))
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d starts, want %d", got, c.starts)
			}
		})
	}
}

// TestHolderAfterLossOfAllEntriesWaitsForLeases guards against a second start after the loss of all
// entries: one of them was lost before the others, and its client sends the job again while the
// lease of its run is still valid on a worker that does not answer.
func TestHolderAfterLossOfAllEntriesWaitsForLeases(t *testing.T) {
	tests := []struct {
		name            string
		answers         bool // w2 has accepted the token
		maybeStarted    bool
		otherHolderSeen bool
		at              int // ms since the claim
		starts          int
	}{
		{"a new job, a worker does not answer", false, false, false, 310, 0},
		{"a new job, the leases have expired", false, false, false, 1080, 1},
		{"a new job, all workers answer", true, false, false, 310, 1},
		{"a job that was with another holder", false, true, false, 310, 0},
		{"another holder is seen", false, false, true, 310, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{}, start)
			p.AddWorker(testWorker("w1", 4), start)
			p.AddWorker(testWorker("w2", 4), start)
			p.HandleReport(Report{Worker: "w1", Sent: start, Fenced: true}, after(5))
			if c.answers {
				p.HandleReport(Report{Worker: "w2", Sent: start, Fenced: true}, after(6))
			} else {
				p.MarkUnresponsive("w2", after(300))
			}
			if c.otherHolderSeen {
				p.OtherHolderSeen("w2", after(300))
			}
			b := testJob("00000000000000aa", 1, after(c.at))
			b.MaybeStarted = c.maybeStarted
			p.Admit(b, nil, after(c.at))
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d starts, want %d", got, c.starts)
			}
		})
	}
}

// TestNewHolderCountsUnfencedWorkersAsCapacity has a holder that has just taken over: one
// worker has accepted its token, and the others are about to. Jobs must not be refused as if
// that worker were the only one.
func TestNewHolderCountsUnfencedWorkersAsCapacity(t *testing.T) {
	tests := []struct {
		name    string
		silent  bool // the other workers do not answer
		refused int
	}{
		{"the others have been asked", false, 0},
		{"the others do not answer", true, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{}, start)
			for i := range 8 {
				w := testWorker(fmt.Sprintf("w%d", i), 4)
				p.AddWorker(w, start)
				if i > 0 && !c.silent {
					continue
				}
				p.HandleReport(Report{Worker: w.ID, Sent: start, Fenced: true}, start)
				if i > 0 {
					p.MarkUnresponsive(w.ID, start)
				}
			}
			at := after(10)
			for i := range 3 {
				b := testJob(fmt.Sprintf("00000000000000a%d", i), 12, at)
				b.ExpiresAt = at.Add(600 * time.Millisecond)
				p.Admit(b, nil, at)
			}
			refused := 0
			for _, o := range ordersOfKind(p.Orders(), DeliverResult) {
				if o.Result.State == batch.Refused {
					refused++
				}
			}
			if refused != c.refused {
				t.Fatalf("%d refused, want %d", refused, c.refused)
			}
		})
	}
}

// TestRunOfAnEarlierHolderIsAdoptedLate lists a run of an earlier holder before its job is
// resubmitted, and loses the worker to that holder in between. Once the worker has accepted
// this holder's token again, the run must be adopted and no second one started.
func TestRunOfAnEarlierHolderIsAdoptedLate(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4), testWorker("w2", 4))
	b := testJob("00000000000000aa", 1, after(2000))
	b.MaybeStarted = true
	name := batch.TaskName(b.ID, 0, 0, 0)
	listed := Report{Worker: "w2", Sent: after(1990), Fenced: true, Running: []RunProgress{{Task: name, Run: 3, Percent: 10}}}
	p.HandleReport(listed, after(1990))
	p.OtherHolderSeen("w2", after(1995))
	p.Admit(b, nil, after(2000))
	listed.Sent = after(2010)
	p.HandleReport(listed, after(2010))
	if got := starts(p); len(got) > 0 {
		t.Fatalf("started beside the run that is listed: %+v", got)
	}
	p.HandleReport(Report{Worker: "w2", Sent: after(2050), Ended: []EndedRun{{Task: name, Run: 3, Outcome: Succeeded}}}, after(2050))
	if result, known := p.KeepAlive(b.ID, after(2051)); !known || result.State != batch.Completed {
		t.Fatalf("result %+v", result)
	}
}

// TestRunThatIsStoppedBlocksItsTask stops a run of an earlier holder, since its job is
// unknown, just before the job arrives: from its entry, or from its client through another
// entry, which knows of no earlier holder. The task must not start before the run has ended.
func TestRunThatIsStoppedBlocksItsTask(t *testing.T) {
	for _, maybeStarted := range []bool{true, false} {
		t.Run(fmt.Sprint("again ", maybeStarted), func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4), testWorker("w2", 4))
			b := testJob("00000000000000aa", 1, after(2500))
			b.MaybeStarted = maybeStarted
			name := batch.TaskName(b.ID, 0, 0, 0)
			p.HandleReport(Report{Worker: "w2", Sent: after(2000), Running: []RunProgress{{Task: name, Run: 3, Percent: 10}}}, after(2000))
			p.Tick(after(2450))
			if got := len(ordersOfKind(p.Orders(), Stop)); got != 1 {
				t.Fatalf("%d stops of a run whose job is not known, want 1", got)
			}
			p.Admit(b, nil, after(2500))
			p.Tick(after(2525))
			if got := starts(p); len(got) > 0 {
				t.Fatalf("started while a run is being stopped: %+v", got)
			}
			p.HandleReport(Report{Worker: "w2", Sent: after(2530), Ended: []EndedRun{{Task: name, Run: 3, Outcome: Aborted}}}, after(2530))
			p.KeepAlive(b.ID, after(3600))
			p.Tick(after(3600)) // the leases of the earlier holder have expired
			if got := starts(p); len(got) != 1 || got[0].Run <= 3 {
				t.Fatalf("starts %+v, want one with a higher number", got)
			}
		})
	}
}

// TestSuspectedTakeoverStartsNothing resumes a holder that was paused for so long that another
// one may have taken over. A new job, freed resources and the passing of time must start
// nothing before it is known that this holder still holds its group.
func TestSuspectedTakeoverStartsNothing(t *testing.T) {
	p := fencedPlan(testWorker("w1", 1))
	first := testJob("00000000000000aa", 1, after(5000))
	p.Admit(first, nil, after(5000))
	started := starts(p)[0]
	p.HandleStartOutcome(started.Worker, started.Task, started.Run, StartAccepted, after(5002))
	p.Admit(testJob("00000000000000bb", 1, after(5010)), nil, after(5010))
	p.SetTakeoverSuspected(true)
	p.HandleReport(Report{Worker: "w1", Sent: after(5110), Ended: []EndedRun{{started.Task, started.Run, Succeeded}}}, after(5110))
	p.Admit(testJob("00000000000000cc", 1, after(5120)), nil, after(5120))
	p.Tick(after(5125))
	if got := starts(p); len(got) > 0 {
		t.Fatalf("starts while a takeover is suspected: %+v", got)
	}
	p.SetTakeoverSuspected(false)
	p.Tick(after(5150))
	if got := starts(p); len(got) != 1 {
		t.Fatalf("%d starts once no takeover is suspected, want 1", len(got))
	}
}

// TestIncompleteWorkerListDelaysStarts takes a group over with a list of workers that was read
// just after an outage of the store. The worker that runs the job may not be on it yet, so the
// job must not start before the leases of the earlier holder have expired.
func TestIncompleteWorkerListDelaysStarts(t *testing.T) {
	tests := []struct {
		name            string
		incompleteUntil int // ms until which the list may lack workers
		at              int // ms
		starts          int
	}{
		{"the list is complete", 0, 50, 1},
		{"the list may lack workers", 2500, 50, 0},
		{"the earlier leases have expired", 2500, 1300, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{WorkersIncompleteUntil: after(c.incompleteUntil)}, start)
			p.AddWorker(testWorker("w1", 4), start)
			p.HandleReport(Report{Worker: "w1", Sent: start, Fenced: true}, start)
			b := testJob("00000000000000aa", 1, after(10))
			p.Admit(b, nil, after(10))
			p.KeepAlive(b.ID, after(c.at))
			p.Tick(after(c.at))
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d starts, want %d", got, c.starts)
			}
		})
	}
}
