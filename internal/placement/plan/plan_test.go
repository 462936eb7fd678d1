package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after gives a moment of a test by its milliseconds.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func cores(n int) room.Room { return room.Room{Processors: int64(n) * 1000, Memory: 1000} }

func testWorker(id string, n int) Worker {
	return Worker{ID: id, Service: "listing", Zone: "a", Kind: "slow", Room: cores(n)}
}

// testJob makes a job of equal tasks of one core each.
func testJob(id string, tasks int, at time.Time) *batch.Batch {
	return &batch.Batch{
		Terms: batch.Terms{Queue: "hold", Service: "listing", Attempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
		ID:    id, From: "entry", Arrived: at, Expires: at.Add(5 * time.Second),
		Steps: []batch.Step{{Count: tasks, Room: cores(1), Hint: 100 * time.Millisecond}},
	}
}

// fencedPlan makes a plan with workers that have taken its token.
func fencedPlan(workers ...Worker) *Plan {
	p := New(Options{}, start)
	for _, w := range workers {
		p.AddWorker(w, start)
		p.HandleReport(Report{Worker: w.ID, Sent: start, Fenced: true}, start)
	}
	p.Orders()
	return p
}

// ordersOfKind picks the orders of a kind.
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

// TestRequestThatComesTwice has a message about a job overtaken by a later one,
// as when a VM is slow: what was refused or withdrawn must not start.
func TestRequestThatComesTwice(t *testing.T) {
	tests := []struct {
		name    string
		first   func(p *Plan, b *batch.Batch)
		attempt uint64
		starts  int
	}{
		{"refused", func(p *Plan, b *batch.Batch) {
			busy := testJob("00000000000000bb", 400, b.Arrived)
			p.Admit(busy, nil, b.Arrived)
			p.Admit(b, nil, b.Arrived)
			p.Withdraw(busy.ID, busy.Attempt, b.Arrived)
		}, 1, 0},
		{"refused, and sent again by the client", func(p *Plan, b *batch.Batch) {
			busy := testJob("00000000000000bb", 400, b.Arrived)
			p.Admit(busy, nil, b.Arrived)
			p.Admit(b, nil, b.Arrived)
			p.Withdraw(busy.ID, busy.Attempt, b.Arrived)
		}, 2, 1},
		{"withdrawn while it runs", func(p *Plan, b *batch.Batch) {
			p.Admit(b, nil, b.Arrived)
			p.Withdraw(b.ID, 1, b.Arrived)
		}, 1, 0},
		{"withdrawn while it runs, and sent again by the client", func(p *Plan, b *batch.Batch) {
			p.Admit(b, nil, b.Arrived)
			p.Withdraw(b.ID, 1, b.Arrived)
		}, 2, 1},
		{"withdrawn first", func(p *Plan, b *batch.Batch) { p.Withdraw(b.ID, 1, b.Arrived) }, 1, 0},
		{"withdrawn first, and sent again by the client", func(p *Plan, b *batch.Batch) { p.Withdraw(b.ID, 1, b.Arrived) }, 2, 1},
		{"withdrawn before, long ago", func(p *Plan, b *batch.Batch) {
			p.Withdraw(b.ID, 1, b.Arrived.Add(-10*time.Second))
			p.Tick(b.Arrived)
		}, 1, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := testJob("00000000000000aa", 1, after(5000))
			b.Attempt = 1
			b.Expires = b.Arrived.Add(time.Second)
			c.first(p, b)
			p.Orders()
			for _, key := range runKeys(p.workers["w1"].runs) {
				p.HandleReport(Report{Worker: "w1", Sent: b.Arrived, Ended: []EndedRun{{key.task, key.run, Aborted}}}, b.Arrived)
			}
			p.Orders()
			again := *b
			again.Attempt = c.attempt
			p.Admit(&again, nil, b.Arrived)
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

// TestSpillover has a burst in one zone: what finds no room goes to another group
// that has much of it, once, and whole.
func TestSpillover(t *testing.T) {
	tests := []struct {
		name      string
		tasks     int
		away      bool
		again     bool
		vacancies map[string]int
		group     string
	}{
		{"another group has room", 4, false, false, map[string]int{"b/00": 20, "c/00": 30}, "c/00"},
		{"no group has enough", 4, false, false, map[string]int{"b/00": 8}, ""},
		{"it would take most of the room", 12, false, false, map[string]int{"b/00": 20}, ""},
		{"it has been sent here", 4, true, false, map[string]int{"b/00": 20}, ""},
		{"it may have been started before", 4, false, true, map[string]int{"b/00": 20}, ""},
		{"nothing is known of other groups", 4, false, false, nil, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			p.Admit(testJob("00000000000000bb", 4, start), nil, start)
			p.Orders()
			p.SetVacancies(c.vacancies)
			b := testJob("00000000000000aa", c.tasks, after(10))
			b.Away, b.Again = c.away, c.again
			p.Admit(b, nil, after(10))
			settled := ordersOfKind(p.Orders(), DeliverResult)
			if c.group == "" {
				if len(settled) > 0 {
					t.Fatalf("%+v", settled)
				}
				return
			}
			if len(settled) != 1 || settled[0].Result.State != batch.Moved || settled[0].Result.Group != c.group {
				t.Fatalf("%+v", settled)
			}
			p.HandleReport(Report{Worker: "w1", Sent: after(200), Ended: []EndedRun{
				{"00000000000000bb.0.0.0", 1, Succeeded},
				{"00000000000000bb.0.0.1", 1, Succeeded},
				{"00000000000000bb.0.0.2", 1, Succeeded},
				{"00000000000000bb.0.0.3", 1, Succeeded},
			}}, after(200))
			if got := starts(p); len(got) > 0 {
				t.Fatalf("%+v started here as well", got)
			}
			again := *b
			again.Attempt = 2
			p.Admit(&again, nil, after(300))
			if settled := ordersOfKind(p.Orders(), DeliverResult); len(settled) != 1 || settled[0].Result.Group != c.group {
				t.Fatalf("a client that sends again is told %+v", settled)
			}
		})
	}
}

// TestTaskThatFailsStartsElsewhereAtOnce has a task fail on one worker while
// another one is free.
func TestTaskThatFailsStartsElsewhereAtOnce(t *testing.T) {
	p := fencedPlan(testWorker("w1", 1), testWorker("w2", 1))
	p.Admit(testJob("00000000000000aa", 1, after(10)), nil, after(10))
	begun := starts(p)
	p.HandleStartOutcome(begun[0].Worker, begun[0].Task, begun[0].Run, StartAccepted, after(11))
	p.HandleReport(Report{Worker: begun[0].Worker, Sent: after(12), Ended: []EndedRun{{begun[0].Task, begun[0].Run, Failed}}}, after(20))
	again := starts(p)
	if len(again) != 1 || again[0].Worker == begun[0].Worker || again[0].Run <= begun[0].Run {
		t.Fatalf("first %+v, then %+v", begun, again)
	}
}

// TestJobOfALostEntryEndsBeforeItsClientSendsAgain loses the entry that waits for
// a job. A client sends again after 1.3 s, to its own zone: what another zone
// runs for it must have ended by then, with half a second to spare for slow VMs.
func TestJobOfALostEntryEndsBeforeItsClientSendsAgain(t *testing.T) {
	tests := []struct {
		name  string
		away  bool
		at    int // ms after the last sign of the entry
		stops int
	}{
		{"from another zone", true, 800, 1},
		{"from another zone, its entry asks each 0.25 s", true, 600, 0},
		{"of the own zone, which knows the job", false, 1100, 0},
		{"of the own zone, nobody asks", false, 1300, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			b := testJob("00000000000000aa", 1, after(2000))
			b.Away = c.away
			b.Steps[0].Hint = 4 * time.Second
			p.Admit(b, nil, after(2000))
			begun := starts(p)[0]
			p.HandleStartOutcome("w1", begun.Task, begun.Run, StartAccepted, after(2010))
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

// startThenSilence has a worker that was held last at 4600 ms take a task at 5000 and fall silent
// at 5100. It gives the start; the task is that of job 00000000000000aa.
func startThenSilence(p *Plan) Order {
	p.RenewalSent("w1", after(4600))
	p.Admit(testJob("00000000000000aa", 1, after(5000)), nil, after(5000))
	begun := starts(p)[0]
	p.HandleStartOutcome(begun.Worker, begun.Task, begun.Run, StartAccepted, after(5002))
	p.MarkUnresponsive(begun.Worker, after(5100))
	return begun
}

// TestStartRenewsTheLease has a worker fall silent right after a start, which
// gave it a lease of its own: the task starts elsewhere only after that one.
func TestStartRenewsTheLease(t *testing.T) {
	tests := []struct {
		at     int // ms; the start is sent at 5000, the last hold at 4600
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

// TestLapsedRunKeepsItsRoom has a worker fall silent for longer than its lease and then
// list what it runs all the same: its room is not free before the run has ended.
func TestLapsedRunKeepsItsRoom(t *testing.T) {
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
		t.Fatalf("starts %v while the room is taken", got)
	}
	p.HandleReport(Report{Worker: first.Worker, Sent: after(6200), Ended: []EndedRun{{first.Task, first.Run, Aborted}}}, after(6200))
	if got := starts(p); len(got) != 1 {
		t.Fatalf("%d starts once the room is free, want 1", len(got))
	}
}

// TestRefusesJobsThatCannotBeServedInTime has more work than room. Load pattern: a burst whose jobs wait for
// seconds. Refused at once is what cannot be served in its client's time, by the
// work that goes before it; an urgent job goes before those that are late.
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
		name    string
		jobs    int // of 0.4 s each on the only worker, that came at 0
		at      int // ms
		patient int // ms that the client waits
		refused bool
	}{
		{"little waits", 2, 0, 3000, false},
		{"more waits than the client does", 10, 0, 1500, true},
		{"more waits, all of it late", 10, 2000, 1500, false},
		{"the client is more patient", 10, 0, 60_000, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := fencedPlan(testWorker("w1", 4))
			busy(p, c.jobs)
			b := testJob("00000000000000aa", 4, after(c.at))
			b.Steps[0].Hint = 400 * time.Millisecond
			b.Expires = b.Arrived.Add(time.Duration(c.patient) * time.Millisecond)
			p.Admit(b, nil, after(c.at))
			settled := ordersOfKind(p.Orders(), DeliverResult)
			if got := len(settled) == 1 && settled[0].Result.State == batch.Refused; got != c.refused {
				t.Fatalf("%+v", settled)
			}
		})
	}
}

// TestWaitingJobIsRefusedOnceItIsTooLate lets work pile up before a job that has
// been taken: it is refused when that is known, not when its client's time ends.
func TestWaitingJobIsRefusedOnceItIsTooLate(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4))
	first := testJob("0000000000000001", 4, start)
	first.Steps[0].Hint = 400 * time.Millisecond
	p.Admit(first, nil, start)
	waits := testJob("00000000000000aa", 4, start)
	waits.Steps[0].Hint = 200 * time.Millisecond
	waits.Expires = after(1400)
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
	t.Fatal("the job still waits")
}
