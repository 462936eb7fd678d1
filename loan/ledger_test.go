package loan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	loanDuration = time.Second
	gracePeriod  = 250 * time.Millisecond
	maxRun       = loanDuration / 2 // longest run of a task without a renewal
)

// simulation is three entries with a clock that only the test advances. Entries
// 0 and 1 are home to two slots each of every upstream.
type simulation struct {
	now     time.Time
	ledgers [3]*Ledger
	running []runningTask
}

type runningTask struct {
	entry  int
	permit Permit
	until  time.Time
}

var names = []string{"e0", "e1", "e2"}

var upstreams = []string{"u", "v"}

func newSimulation() *simulation {
	w := &simulation{now: time.Unix(100, 0)}
	for i := range w.ledgers {
		w.ledgers[i] = New(Options{LoanDuration: loanDuration, GracePeriod: gracePeriod, Now: func() time.Time { return w.now }})
	}
	for _, u := range upstreams {
		for i := range 2 {
			w.ledgers[i].SetHomeSlots(u, 2)
			w.ledgers[i].ActivateGained(u)
		}
	}
	return w
}

// endDueTasks ends the tasks whose run time is over.
func (w *simulation) endDueTasks() {
	kept := w.running[:0]
	for _, r := range w.running {
		if r.until.After(w.now) {
			kept = append(kept, r)
			continue
		}
		w.ledgers[r.entry].Release(r.permit, 0)
	}
	w.running = kept
	for _, l := range w.ledgers {
		l.Expire()
	}
}

// No upstream runs more tasks than it has slots under random borrowing,
// returning, lost or late answers and passing time, as long as each task ends
// or is renewed within half a loan's duration.
func TestSlotNeverUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			from := rapid.IntRange(0, 2).Draw(t, "holder")
			to := rapid.IntRange(0, 1).Draw(t, "home")
			holder, home := w.ledgers[from], w.ledgers[to]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				w.endDueTasks()
			case 1:
				u := rapid.SampledFrom(upstreams).Draw(t, "upstream")
				if p, ok := holder.Acquire(u); ok {
					run := time.Duration(rapid.IntRange(1, int(maxRun/time.Millisecond)).Draw(t, "run")) * time.Millisecond
					if p.ID != 0 {
						run = min(run, deadlineOf(holder, p).Sub(w.now)+gracePeriod)
					}
					w.running = append(w.running, runningTask{entry: from, permit: p, until: w.now.Add(run)})
				}
			case 2:
				if from == to {
					continue
				}
				request := Request{Holder: names[from], Wanted: rapid.IntRange(0, 4).Draw(t, "want")}
				sent := w.now
				grant := home.Lend(request, []Offer{{Upstream: "u"}, {Upstream: "v"}}, 0)
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond)
				if rapid.Bool().Draw(t, "arrives") {
					holder.ApplyGrant(names[to], grant, sent)
				}
				w.endDueTasks()
			case 3:
				for peer, ids := range holder.TakeIdle(w.now, w.now) {
					if rapid.Bool().Draw(t, "return arrives") {
						w.ledgers[indexOf(peer)].Lend(Request{Holder: names[from], ReturnIDs: ids}, nil, 0)
					}
				}
			case 4:
				for peer, ids := range holder.LoansToRenew() {
					sent := w.now
					grant := w.ledgers[indexOf(peer)].Lend(Request{Holder: names[from], RenewIDs: ids}, nil, 0)
					if rapid.Bool().Draw(t, "renewal arrives") {
						holder.ApplyGrant(peer, grant, sent)
					}
				}
			}
			w.check(t)
		}
	})
}

func deadlineOf(l *Ledger, p Permit) time.Time {
	for _, c := range l.borrowed[p.Upstream] {
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

func (w *simulation) check(t *rapid.T) {
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

// A borrower must not start a task on an expired loan, and the home must take
// the slot back only after the grace period.
func TestExpiredLoanIsNotUsed(t *testing.T) {
	w := newSimulation()
	grant := w.ledgers[0].Lend(Request{Holder: "e2", Wanted: 2}, []Offer{{Upstream: "u"}}, 0)
	w.ledgers[2].ApplyGrant("e0", grant, w.now)
	w.now = w.now.Add(loanDuration)
	if _, ok := w.ledgers[2].Acquire("u"); ok {
		t.Fatal("an expired loan is used")
	}
	if w.ledgers[0].FreeSlots("u") != 0 {
		t.Fatal("the home takes the slot back before the grace period has passed")
	}
	w.now = w.now.Add(gracePeriod + time.Millisecond)
	w.ledgers[0].Expire()
	if w.ledgers[0].FreeSlots("u") != 2 {
		t.Fatal("the home does not take the slot back")
	}
}

// A new home must not use slots while loans of the previous home may still run.
func TestGainedSlotsWaitForPreviousHomesLoans(t *testing.T) {
	w := newSimulation()
	w.ledgers[2].SetHomeSlots("u", 3)
	w.now = w.now.Add(loanDuration)
	w.ledgers[2].Expire()
	if w.ledgers[2].FreeSlots("u") != 0 {
		t.Fatal("gained slots are used while loans of the previous home may run")
	}
	w.now = w.now.Add(gracePeriod)
	w.ledgers[2].Expire()
	if w.ledgers[2].FreeSlots("u") != 3 {
		t.Fatal("gained slots never become usable")
	}
}

// A home that waits for slots gets its own back when their tasks end.
func TestWaitingHomeGetsOwnSlotsBack(t *testing.T) {
	w := newSimulation()
	grant := w.ledgers[0].Lend(Request{Holder: "e2", Wanted: 2}, []Offer{{Upstream: "u"}}, 0)
	w.ledgers[2].ApplyGrant("e0", grant, w.now)
	p, _ := w.ledgers[2].Acquire("u")
	q, _ := w.ledgers[2].Acquire("u")
	ready, leave := w.ledgers[2].QueueRequest(Request{Holder: "e0", Wanted: 2, Backlog: 9, HeldSlots: 1, WaitUntil: w.now.Add(loanDuration)})
	w.ledgers[2].Release(p, 1)
	w.ledgers[2].Release(q, 1)
	<-ready
	back := leave()
	if len(back.Returned) != 2 {
		t.Fatalf("returned loans: %v, want 2", back)
	}
	w.ledgers[0].ApplyGrant("e2", back, w.now)
	if w.ledgers[0].FreeSlots("u") != 2 {
		t.Fatal("the home did not get its slots back")
	}
}

// Lend must leave the reserve of an offer at the home.
func TestReserveIsNotLent(t *testing.T) {
	w := newSimulation()
	grant := w.ledgers[0].Lend(Request{Holder: "e2", Wanted: 9}, []Offer{{Upstream: "u", Reserve: 1}, {Upstream: "v"}}, 0)
	if got := fmt.Sprint(len(grant.Loans), w.ledgers[0].FreeSlots("u"), w.ledgers[0].FreeSlots("v")); got != "3 1 0" {
		t.Fatalf("lent, free of u and of v: %s, want 3 1 0", got)
	}
}
