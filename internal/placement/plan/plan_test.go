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

func cores(n int) room.Resources { return room.Resources{MilliCores: int64(n) * 1000, MemoryMB: 1000} }

func machine(id string, n int) Worker {
	return Worker{ID: id, Service: "listing", Zone: "a", Kind: "slow", Room: cores(n)}
}

// jobOf makes a job of equal tasks of one core each.
func jobOf(id string, tasks int, at time.Time) *batch.Batch {
	return &batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "hold", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
		ID:            id, WaitingEntry: "entry", ArrivedAt: at, ExpiresAt: at.Add(5 * time.Second),
		Steps: []batch.Step{{Count: tasks, Resources: cores(1), Hint: 100 * time.Millisecond}},
	}
}

// fencedPlan makes a plan with workers that have taken its token.
func fencedPlan(workers ...Worker) *Plan {
	p := New(Options{}, start)
	for _, w := range workers {
		p.Enlist(w, start)
		p.Take(Report{Worker: w.ID, Sent: start, Fenced: true}, start)
	}
	p.Orders()
	return p
}

// kinds picks the orders of a kind.
func kinds(orders []Order, kind Kind) []Order {
	var picked []Order
	for _, o := range orders {
		if o.Kind == kind {
			picked = append(picked, o)
		}
	}
	return picked
}

func starts(p *Plan) []Order { return kinds(p.Orders(), Start) }

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
			busy := jobOf("00000000000000bb", 400, b.ArrivedAt)
			p.Admit(busy, nil, b.ArrivedAt)
			p.Admit(b, nil, b.ArrivedAt)
			p.Withdraw(busy.ID, busy.Attempt, b.ArrivedAt)
		}, 1, 0},
		{"refused, and sent again by the client", func(p *Plan, b *batch.Batch) {
			busy := jobOf("00000000000000bb", 400, b.ArrivedAt)
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
			p := fencedPlan(machine("w1", 4))
			b := jobOf("00000000000000aa", 1, after(5000))
			b.Attempt = 1
			b.ExpiresAt = b.ArrivedAt.Add(time.Second)
			c.first(p, b)
			p.Orders()
			for _, key := range keysOf(p.workers["w1"].runs) {
				p.Take(Report{Worker: "w1", Sent: b.ArrivedAt, Endings: []Ending{{key.task, key.run, Ended}}}, b.ArrivedAt)
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

func keysOf(runs map[runKey]*run) []runKey {
	var keys []runKey
	for key := range runs {
		keys = append(keys, key)
	}
	return keys
}

// TestSpill has a burst in one zone: what finds no room goes to another group
// that has much of it, once, and whole.
func TestSpill(t *testing.T) {
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
			p := fencedPlan(machine("w1", 4))
			p.Admit(jobOf("00000000000000bb", 4, start), nil, start)
			p.Orders()
			p.Vacancies(c.vacancies)
			b := jobOf("00000000000000aa", c.tasks, after(10))
			b.SpilledOver, b.MaybeStarted = c.away, c.again
			p.Admit(b, nil, after(10))
			settled := kinds(p.Orders(), Settle)
			if c.group == "" {
				if len(settled) > 0 {
					t.Fatalf("%+v", settled)
				}
				return
			}
			if len(settled) != 1 || settled[0].Result.State != batch.Moved || settled[0].Result.TargetGroup != c.group {
				t.Fatalf("%+v", settled)
			}
			p.Take(Report{Worker: "w1", Sent: after(200), Endings: []Ending{
				{"00000000000000bb.0.0.0", 1, Done},
				{"00000000000000bb.0.0.1", 1, Done},
				{"00000000000000bb.0.0.2", 1, Done},
				{"00000000000000bb.0.0.3", 1, Done},
			}}, after(200))
			if got := starts(p); len(got) > 0 {
				t.Fatalf("%+v started here as well", got)
			}
			again := *b
			again.Attempt = 2
			p.Admit(&again, nil, after(300))
			if settled := kinds(p.Orders(), Settle); len(settled) != 1 || settled[0].Result.TargetGroup != c.group {
				t.Fatalf("a client that sends again is told %+v", settled)
			}
		})
	}
}

// TestTaskThatFailsStartsElsewhereAtOnce has a task fail on one worker while
// another one is free.
func TestTaskThatFailsStartsElsewhereAtOnce(t *testing.T) {
	p := fencedPlan(machine("w1", 1), machine("w2", 1))
	p.Admit(jobOf("00000000000000aa", 1, after(10)), nil, after(10))
	begun := starts(p)
	p.Answered(begun[0].Worker, begun[0].Task, begun[0].Run, Taken, after(11))
	p.Take(Report{Worker: begun[0].Worker, Sent: after(12), Endings: []Ending{{begun[0].Task, begun[0].Run, Failed}}}, after(20))
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
			p := fencedPlan(machine("w1", 4))
			b := jobOf("00000000000000aa", 1, after(2000))
			b.SpilledOver = c.away
			b.Steps[0].Hint = 4 * time.Second
			p.Admit(b, nil, after(2000))
			begun := starts(p)[0]
			p.Answered("w1", begun.Task, begun.Run, Taken, after(2010))
			p.Tick(after(2000 + c.at))
			stops := 0
			for _, o := range kinds(p.Orders(), Stop) {
				if o.Reason == unwanted {
					stops++
				}
			}
			if stops != c.stops {
				t.Fatalf("%d stops, want %d", stops, c.stops)
			}
		})
	}
}

// silenced has a worker that was held last at 4600 ms take a task at 5000 and fall silent
// at 5100. It gives the start; the task is that of job 00000000000000aa.
func silenced(p *Plan) Order {
	p.Renewing("w1", after(4600))
	p.Admit(jobOf("00000000000000aa", 1, after(5000)), nil, after(5000))
	begun := starts(p)[0]
	p.Answered(begun.Worker, begun.Task, begun.Run, Taken, after(5002))
	p.Silent(begun.Worker, after(5100))
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
		p := fencedPlan(machine("w1", 1), machine("w2", 1))
		silenced(p)
		p.Wanted("00000000000000aa", after(c.at))
		p.Tick(after(c.at))
		if got := len(starts(p)); got != c.starts {
			t.Errorf("%d starts after %d ms, want %d", got, c.at-5000, c.starts)
		}
	}
}

// TestLapsedRunKeepsItsRoom has a worker fall silent for longer than its lease and then
// list what it runs all the same: its room is not free before the run has ended.
func TestLapsedRunKeepsItsRoom(t *testing.T) {
	p := fencedPlan(machine("w1", 1), machine("w2", 1))
	first := silenced(p)
	p.Wanted("00000000000000aa", after(6090))
	p.Tick(after(6090))
	if second := starts(p); len(second) != 1 || second[0].Worker == first.Worker {
		t.Fatalf("starts %v, want one on the other worker", second)
	}
	p.Admit(jobOf("00000000000000bb", 1, after(6100)), nil, after(6100))
	p.Take(Report{Worker: first.Worker, Sent: after(6110), Running: []Running{{Task: first.Task, Run: first.Run, Percent: 50}}}, after(6110))
	if got := starts(p); len(got) != 0 {
		t.Fatalf("starts %v while the room is taken", got)
	}
	p.Take(Report{Worker: first.Worker, Sent: after(6200), Endings: []Ending{{first.Task, first.Run, Ended}}}, after(6200))
	if got := starts(p); len(got) != 1 {
		t.Fatalf("%d starts once the room is free, want 1", len(got))
	}
}

// TestBacklog has more work than room. Load pattern: a burst whose jobs wait for
// seconds. Refused at once is what cannot be served in its client's time, by the
// work that goes before it; an urgent job goes before those that are late.
func TestBacklog(t *testing.T) {
	busy := func(p *Plan, jobs int) {
		for i := range jobs {
			b := jobOf(fmt.Sprintf("%016x", i+1), 4, start)
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
			p := fencedPlan(machine("w1", 4))
			busy(p, c.jobs)
			b := jobOf("00000000000000aa", 4, after(c.at))
			b.Steps[0].Hint = 400 * time.Millisecond
			b.ExpiresAt = b.ArrivedAt.Add(time.Duration(c.patient) * time.Millisecond)
			p.Admit(b, nil, after(c.at))
			settled := kinds(p.Orders(), Settle)
			if got := len(settled) == 1 && settled[0].Result.State == batch.Refused; got != c.refused {
				t.Fatalf("%+v", settled)
			}
		})
	}
}

// TestJobsThatWaitInVainAreRefusedEarly lets work pile up before a job that has
// been taken: it is refused when that is known, not when its client's time ends.
func TestJobsThatWaitInVainAreRefusedEarly(t *testing.T) {
	p := fencedPlan(machine("w1", 4))
	first := jobOf("0000000000000001", 4, start)
	first.Steps[0].Hint = 400 * time.Millisecond
	p.Admit(first, nil, start)
	waits := jobOf("00000000000000aa", 4, start)
	waits.Steps[0].Hint = 200 * time.Millisecond
	waits.ExpiresAt = after(1400)
	p.Admit(waits, nil, start)
	for i := range 20 {
		p.Admit(jobOf(fmt.Sprintf("%016x", 100+i), 4, start), nil, start)
	}
	p.Orders()
	p.Tick(after(50))
	for _, o := range kinds(p.Orders(), Settle) {
		if o.Batch.ID == waits.ID && o.Result.State == batch.Refused {
			return
		}
	}
	t.Fatal("the job still waits")
}
