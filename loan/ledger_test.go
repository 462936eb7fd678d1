package loan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	life   = time.Second
	margin = 250 * time.Millisecond
	longer = life / 2 // a task never runs longer without a renewal
)

// world is three entries with a clock that only the test moves. Entry 0 and 1
// are home to two slots each of every upstream.
type world struct {
	now     time.Time
	ledgers [3]*Ledger
	running []running
}

type running struct {
	entry  int
	permit Permit
	until  time.Time
}

var names = []string{"e0", "e1", "e2"}

var upstreams = []string{"u", "v"}

func newWorld() *world {
	w := &world{now: time.Unix(100, 0)}
	for i := range w.ledgers {
		w.ledgers[i] = New(Options{Life: life, Margin: margin, Now: func() time.Time { return w.now }})
	}
	for _, u := range upstreams {
		for i := range 2 {
			w.ledgers[i].Set(u, 2)
			w.ledgers[i].Settle(u)
		}
	}
	return w
}

// finish ends the tasks that are over.
func (w *world) finish() {
	kept := w.running[:0]
	for _, r := range w.running {
		if r.until.After(w.now) {
			kept = append(kept, r)
			continue
		}
		w.ledgers[r.entry].Put(r.permit, 0)
	}
	w.running = kept
	for _, l := range w.ledgers {
		l.Expire()
	}
}

// TestNoSlotIsHeldTwice draws borrowing, returning, lost answers, delays of
// answers and the passing of time. Tasks end, or are renewed, within half a
// loan's life; then no upstream ever runs more than its slots.
func TestNoSlotIsHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			from := rapid.IntRange(0, 2).Draw(t, "holder")
			to := rapid.IntRange(0, 1).Draw(t, "home")
			holder, home := w.ledgers[from], w.ledgers[to]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				w.finish()
			case 1:
				u := rapid.SampledFrom(upstreams).Draw(t, "upstream")
				if p, ok := holder.Take(u); ok {
					run := time.Duration(rapid.IntRange(1, int(longer/time.Millisecond)).Draw(t, "run")) * time.Millisecond
					if p.ID != 0 {
						run = min(run, deadlineOf(holder, p).Sub(w.now)+margin)
					}
					w.running = append(w.running, running{entry: from, permit: p, until: w.now.Add(run)})
				}
			case 2:
				if from == to {
					continue
				}
				ask := Ask{Holder: names[from], Want: rapid.IntRange(0, 4).Draw(t, "want")}
				sent := w.now
				grant := home.Lend(ask, []Offer{{Upstream: "u"}, {Upstream: "v"}}, 0)
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond)
				if rapid.Bool().Draw(t, "arrives") {
					holder.Receive(names[to], grant, sent)
				}
				w.finish()
			case 3:
				for peer, ids := range holder.Idle(w.now, w.now) {
					if rapid.Bool().Draw(t, "return arrives") {
						w.ledgers[indexOf(peer)].Lend(Ask{Holder: names[from], Return: ids}, nil, 0)
					}
				}
			case 4:
				for peer, ids := range holder.Ending() {
					sent := w.now
					grant := w.ledgers[indexOf(peer)].Lend(Ask{Holder: names[from], Renew: ids}, nil, 0)
					if rapid.Bool().Draw(t, "renewal arrives") {
						holder.Receive(peer, grant, sent)
					}
				}
			}
			w.check(t)
		}
	})
}

func deadlineOf(l *Ledger, p Permit) time.Time {
	for _, c := range l.credits[p.Upstream] {
		if c.id == p.ID && c.home == p.Home {
			return c.deadline
		}
	}
	return time.Time{}
}

func indexOf(name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	panic(name)
}

func (w *world) check(t *rapid.T) {
	count := map[string]int{}
	for _, r := range w.running {
		count[r.permit.Upstream]++
	}
	for u, n := range count {
		if n > 4 {
			t.Fatalf("upstream %s runs %d tasks in 4 slots", u, n)
		}
	}
}

func TestLapsedLoanIsNotUsed(t *testing.T) {
	w := newWorld()
	grant := w.ledgers[0].Lend(Ask{Holder: "e2", Want: 2}, []Offer{{Upstream: "u"}}, 0)
	w.ledgers[2].Receive("e0", grant, w.now)
	w.now = w.now.Add(life)
	if _, ok := w.ledgers[2].Take("u"); ok {
		t.Fatal("a loan past its deadline is used")
	}
	if w.ledgers[0].Free("u") != 0 {
		t.Fatal("the home takes the slot back before its margin")
	}
	w.now = w.now.Add(margin + time.Millisecond)
	w.ledgers[0].Expire()
	if w.ledgers[0].Free("u") != 2 {
		t.Fatal("the home does not take the slot back")
	}
}

func TestGainedSlotsWaitForOldLoans(t *testing.T) {
	w := newWorld()
	w.ledgers[2].Set("u", 3)
	w.now = w.now.Add(life)
	w.ledgers[2].Expire()
	if w.ledgers[2].Free("u") != 0 {
		t.Fatal("slots from another home are used while its loans may run")
	}
	w.now = w.now.Add(margin)
	w.ledgers[2].Expire()
	if w.ledgers[2].Free("u") != 3 {
		t.Fatal("gained slots never become usable")
	}
}

func TestWaitingHomeGetsItsOwnSlotsBack(t *testing.T) {
	w := newWorld()
	grant := w.ledgers[0].Lend(Ask{Holder: "e2", Want: 2}, []Offer{{Upstream: "u"}}, 0)
	w.ledgers[2].Receive("e0", grant, w.now)
	p, _ := w.ledgers[2].Take("u")
	q, _ := w.ledgers[2].Take("u")
	ready, leave := w.ledgers[2].Wait(Ask{Holder: "e0", Want: 2, Backlog: 9, Held: 1, Until: w.now.Add(life)})
	w.ledgers[2].Put(p, 1)
	w.ledgers[2].Put(q, 1)
	<-ready
	back := leave()
	if len(back.Returned) != 2 {
		t.Fatalf("given back: %v", back)
	}
	w.ledgers[0].Receive("e2", back, w.now)
	if w.ledgers[0].Free("u") != 2 {
		t.Fatal("the home does not have its slots again")
	}
}

func TestReserveIsNotLent(t *testing.T) {
	w := newWorld()
	grant := w.ledgers[0].Lend(Ask{Holder: "e2", Want: 9}, []Offer{{Upstream: "u", Keep: 1}, {Upstream: "v"}}, 0)
	if got := fmt.Sprint(len(grant.Loans), w.ledgers[0].Free("u"), w.ledgers[0].Free("v")); got != "3 1 0" {
		t.Fatalf("lent and left: %s", got)
	}
}
