package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns the time that is some milliseconds after the start of a test.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func cores(n int) resources.Resources {
	return resources.Resources{MilliCores: int64(n) * 1000, MemoryMB: 1000}
}

func testWorker(id string, n int) Worker {
	return Worker{ID: id, Service: "listing", Zone: "a", Kind: "slow", Capacity: cores(n)}
}

// testJob returns a job of equal tasks that need one core each.
func testJob(id string, tasks int, at time.Time) *batch.Batch {
	return &batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "hold", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
		ID:            id, WaitingEntry: "entry", ArrivedAt: at, ExpiresAt: at.Add(5 * time.Second),
		Steps: []batch.Step{{Count: tasks, Resources: cores(1), Hint: 100 * time.Millisecond}},
	}
}

// fencedPlan returns a plan with workers that have accepted its fencing token.
func fencedPlan(workers ...Worker) *Plan {
	p := New(Options{}, start)
	for _, w := range workers {
		p.AddWorker(w, start)
		p.HandleReport(Report{Worker: w.ID, Sent: start, Fenced: true}, start)
	}
	p.Orders()
	return p
}

// ordersOfKind returns the orders of one kind.
func ordersOfKind(orders []Order, kind OrderKind) []Order {
	var picked []Order
	for _, o := range orders {
		if o.Kind == kind {
			picked = append(picked, o)
		}
	}
	return picked
}

func starts(p *Plan) []Order { return ordersOfKind(p.Orders(), Start) }

// TestRequestThatComesTwice delivers a delayed copy of a message after its job was refused or
// withdrawn, as happens when a VM is slow. The copy must start nothing, while a new attempt
// of the client must.
func TestRequestThatComesTwice(t *testing.T) {
	tests := []struct {
		name    string
		first   func(p *Plan, b *batch.Batch)
		attempt uint64
		starts  int
	}{
		{"refused", func(p *Plan, b *batch.Batch) {
			busy := testJob("00000000000000bb", 400, b.ArrivedAt)
			p.Admit(busy, nil, b.ArrivedAt)
			p.Admit(b, nil, b.ArrivedAt)
			p.Withdraw(busy.ID, busy.Attempt, b.ArrivedAt)
		}, 1, 0},
		{"refused, and sent again by the client", func(p *Plan, b *batch.Batch) {
			busy := testJob("00000000000000bb", 400, b.ArrivedAt)
			p.Admit(busy, nil, b.ArrivedAt)
			p.Admit(b, nil, b.ArrivedAt)
			p.Withdraw(busy.ID, busy.Attempt, b.ArrivedAt)
		}, 2, 1},
		{"withdrawn while it runs", func(p *Plan, b *batch.Batch) {
			p.Admit(b, nil, b.ArrivedAt)
			p.Withdraw(b.ID, 1, b.ArrivedAt)
		}, 1, 0},
		{"withdrawn while it runs, and sent again by the client", func(p *Plan, b *batch.Batch) {
			p.Admit(b, nil, b.ArrivedAt)
			p.Withdraw(b.ID, 1, b.ArrivedAt)
		}, 2, 1},
		{"withdrawn first", func(p *Plan, b *batch.Batch) { p.Withdraw(b.ID, 1, b.ArrivedAt) }, 1, 0},
		{"withdrawn first, and sent again by the client", func(p *Plan, b *batch.Batch) { p.Withdraw(b.ID, 1, b.ArrivedAt) }, 2, 1},
		{"withdrawn before, long ago", func(p *Plan, b *batch.Batch) {
			p.Withdraw(b.ID, 1, b.ArrivedAt.Add(-10*time.Second))
			p.Tick(b.ArrivedAt)
		}, 1, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := testJob("00000000000000aa", 1, after(5000))
			b.Attempt = 1
			b.ExpiresAt = b.ArrivedAt.Add(time.Second)
			c.first(p, b)
			p.Orders()
			for _, key := range runKeys(p.workers["w1"].runs) {
				p.HandleReport(Report{Worker: "w1", Sent: b.ArrivedAt, Ended: []EndedRun{{key.task, key.run, Aborted}}}, b.ArrivedAt)
			}
			p.Orders()
			again := *b
			again.Attempt = c.attempt
			p.Admit(&again, nil, b.ArrivedAt)
			if got := len(starts(p)); got != c.starts {
				t.Fatalf("%d starts, want %d", got, c.starts)
			}
		})
	}
}

func runKeys(runs map[runKey]*run) []runKey {
	var keys []runKey
	for key := range runs {
		keys = append(keys, key)
	}
	return keys
}

// TestSpillover overloads one zone while other groups have free slots. A job that finds no
// free resources moves to the group with the most, once, and with all of its tasks.
func TestSpillover(t *testing.T) {
	tests := []struct {
		name         string
		tasks        int
		spilledOver  bool
		maybeStarted bool
		freeSlots    map[string]int
		group        string
	}{
		{"another group has free slots", 4, false, false, map[string]int{"b/00": 20, "c/00": 30}, "c/00"},
		{"no group has enough", 4, false, false, map[string]int{"b/00": 8}, ""},
		{"it would use most of the free slots", 12, false, false, map[string]int{"b/00": 20}, ""},
		{"it has spilled over to this group", 4, true, false, map[string]int{"b/00": 20}, ""},
		{"it may have been started before", 4, false, true, map[string]int{"b/00": 20}, ""},
		{"no group has reported free slots", 4, false, false, nil, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			p.Admit(testJob("00000000000000bb", 4, start), nil, start)
			p.Orders()
			p.SetOtherFreeSlots(c.freeSlots)
			b := testJob("00000000000000aa", c.tasks, after(10))
			b.SpilledOver, b.MaybeStarted = c.spilledOver, c.maybeStarted
			p.Admit(b, nil, after(10))
			results := ordersOfKind(p.Orders(), DeliverResult)
			if c.group == "" {
				if len(results) > 0 {
					t.Fatalf("results %+v, want none", results)
				}
				return
			}
			if len(results) != 1 || results[0].Result.State != batch.Moved || results[0].Result.TargetGroup != c.group {
				t.Fatalf("results %+v, want one job moved to the expected group", results)
			}
			p.HandleReport(Report{Worker: "w1", Sent: after(200), Ended: []EndedRun{
				{"00000000000000bb.0.0.0", 1, Succeeded},
				{"00000000000000bb.0.0.1", 1, Succeeded},
				{"00000000000000bb.0.0.2", 1, Succeeded},
				{"00000000000000bb.0.0.3", 1, Succeeded},
			}}, after(200))
			if got := starts(p); len(got) > 0 {
				t.Fatalf("%+v started here although the job was moved", got)
			}
			again := *b
			again.Attempt = 2
			p.Admit(&again, nil, after(300))
			if results := ordersOfKind(p.Orders(), DeliverResult); len(results) != 1 || results[0].Result.TargetGroup != c.group {
				t.Fatalf("results of the second attempt: %+v", results)
			}
		})
	}
}

// TestTaskThatFailsStartsElsewhereAtOnce lets a task fail on one worker while another one is
// free. The task must not wait and not go back to the first one.
func TestTaskThatFailsStartsElsewhereAtOnce(t *testing.T) {
	p := fencedPlan(testWorker("w1", 1), testWorker("w2", 1))
	p.Admit(testJob("00000000000000aa", 1, after(10)), nil, after(10))
	started := starts(p)
	p.HandleStartOutcome(started[0].Worker, started[0].Task, started[0].Run, StartAccepted, after(11))
	p.HandleReport(Report{Worker: started[0].Worker, Sent: after(12), Ended: []EndedRun{{started[0].Task, started[0].Run, Failed}}}, after(20))
	again := starts(p)
	if len(again) != 1 || again[0].Worker == started[0].Worker || again[0].Run <= started[0].Run {
		t.Fatalf("first %+v, then %+v", started, again)
	}
}

// TestJobOfALostEntryEndsBeforeItsClientSendsAgain loses the entry that waits for a job. Its
// client sends the job again after 1.3 s, to its own zone. If the job runs in another zone,
// it must have ended by then or it would run twice; half a second is left for slow VMs.
func TestJobOfALostEntryEndsBeforeItsClientSendsAgain(t *testing.T) {
	tests := []struct {
		name        string
		spilledOver bool
		at          int // ms after the entry was last heard of
		stops       int
	}{
		{"from another zone", true, 800, 1},
		{"from another zone, its entry asks each 0.25 s", true, 600, 0},
		{"from its own zone, where the holder knows the job", false, 950, 0},
		{"from its own zone, no entry asks", false, 1050, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := testJob("00000000000000aa", 1, after(2000))
			b.SpilledOver = c.spilledOver
			b.Steps[0].Hint = 4 * time.Second
			p.Admit(b, nil, after(2000))
			started := starts(p)[0]
			p.HandleStartOutcome("w1", started.Task, started.Run, StartAccepted, after(2010))
			p.Tick(after(2000 + c.at))
			stops := 0
			for _, o := range ordersOfKind(p.Orders(), Stop) {
				if o.Reason == reasonAbandoned {
					stops++
				}
			}
			if stops != c.stops {
				t.Fatalf("%d stops, want %d", stops, c.stops)
			}
		})
	}
}

// startThenSilence renews the lease of worker w1 at 4600 ms, starts the only task of job
// 00000000000000aa at 5000 ms and makes its worker unresponsive at 5100 ms. It returns the
// start.
func startThenSilence(p *Plan) Order {
	p.RenewalSent("w1", after(4600), after(4600).Add(p.longestLease()))
	p.Admit(testJob("00000000000000aa", 1, after(5000)), nil, after(5000))
	started := starts(p)[0]
	p.HandleStartOutcome(started.Worker, started.Task, started.Run, StartAccepted, after(5002))
	p.MarkUnresponsive(started.Worker, after(5100))
	return started
}

// TestStartRenewsTheLease makes a worker unresponsive right after a start, which carries a
// lease of its own. The task must not start elsewhere before that lease has expired, or it
// would run twice.
func TestStartRenewsTheLease(t *testing.T) {
	tests := []struct {
		at     int // ms; the start is sent at 5000, the last renewal at 4600
		starts int
	}{{5700, 0}, {6030, 0}, {6090, 1}}
	for _, c := range tests {
		p := fencedPlan(testWorker("w1", 1), testWorker("w2", 1))
		startThenSilence(p)
		p.KeepAlive("00000000000000aa", after(c.at))
		p.Tick(after(c.at))
		if got := len(starts(p)); got != c.starts {
			t.Errorf("%d starts after %d ms, want %d", got, c.at-5000, c.starts)
		}
	}
}

// TestLapsedRunKeepsItsResources has a worker that does not answer for longer than its lease, and
// then lists its run all the same. The resources of the run must not be given away before it
// has ended.
func TestLapsedRunKeepsItsResources(t *testing.T) {
	p := fencedPlan(testWorker("w1", 1), testWorker("w2", 1))
	first := startThenSilence(p)
	p.KeepAlive("00000000000000aa", after(6090))
	p.Tick(after(6090))
	if second := starts(p); len(second) != 1 || second[0].Worker == first.Worker {
		t.Fatalf("starts %v, want one on the other worker", second)
	}
	p.Admit(testJob("00000000000000bb", 1, after(6100)), nil, after(6100))
	p.HandleReport(Report{Worker: first.Worker, Sent: after(6110), Running: []RunProgress{{Task: first.Task, Run: first.Run, Percent: 50}}}, after(6110))
	if got := starts(p); len(got) != 0 {
		t.Fatalf("starts %v while the resources are in use", got)
	}
	p.HandleReport(Report{Worker: first.Worker, Sent: after(6200), Ended: []EndedRun{{first.Task, first.Run, Aborted}}}, after(6200))
	if got := starts(p); len(got) != 1 {
		t.Fatalf("%d starts once the resources are free, want 1", len(got))
	}
}

// TestRefusesJobsThatCannotBeServedInTime sends a burst whose jobs wait for seconds. A job that
// cannot be completed before its client leaves, because of the work ahead of it, must be
// refused at once. Jobs that have missed their objective do not count as work ahead of it.
func TestRefusesJobsThatCannotBeServedInTime(t *testing.T) {
	busy := func(p *Plan, jobs int) {
		for i := range jobs {
			b := testJob(fmt.Sprintf("%016x", i+1), 4, start)
			b.Steps[0].Hint = 400 * time.Millisecond
			p.Admit(b, nil, start)
		}
		p.Orders()
	}
	tests := []struct {
		name     string
		jobs     int // that take 0.4 s each on the only worker and arrive at 0 ms
		at       int // ms
		patience int // ms that the client waits for an answer
		refused  bool
	}{
		{"little work waits", 2, 0, 3000, false},
		{"waiting work takes longer than the client waits", 10, 0, 1500, true},
		{"the same, but all waiting jobs have missed their objective", 10, 2000, 1500, false},
		{"the client is more patient", 10, 0, 60_000, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			busy(p, c.jobs)
			b := testJob("00000000000000aa", 4, after(c.at))
			b.Steps[0].Hint = 400 * time.Millisecond
			b.ExpiresAt = b.ArrivedAt.Add(time.Duration(c.patience) * time.Millisecond)
			p.Admit(b, nil, after(c.at))
			results := ordersOfKind(p.Orders(), DeliverResult)
			if got := len(results) == 1 && results[0].Result.State == batch.Refused; got != c.refused {
				t.Fatalf("results %+v, not as expected for a refused or accepted job", results)
			}
		})
	}
}

// TestWaitingJobIsRefusedOnceItIsTooLate puts more urgent work ahead of a waiting job. The job
// must be refused once it cannot be completed in time, rather than when its client leaves.
func TestWaitingJobIsRefusedOnceItIsTooLate(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4))
	first := testJob("0000000000000001", 4, start)
	first.Steps[0].Hint = 400 * time.Millisecond
	p.Admit(first, nil, start)
	waits := testJob("00000000000000aa", 4, start)
	waits.Steps[0].Hint = 200 * time.Millisecond
	waits.ExpiresAt = after(1400)
	p.Admit(waits, nil, start)
	for i := range 20 {
		p.Admit(testJob(fmt.Sprintf("%016x", 100+i), 4, start), nil, start)
	}
	p.Orders()
	p.Tick(after(50))
	for _, o := range ordersOfKind(p.Orders(), DeliverResult) {
		if o.Batch.ID == waits.ID && o.Result.State == batch.Refused {
			return
		}
	}
	t.Fatal("the job still waits, want it refused")
}
