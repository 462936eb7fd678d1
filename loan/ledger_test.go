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
	s := &simulation{now: time.Unix(100, 0)}
	for i := range s.ledgers {
		s.ledgers[i] = New(Options{LoanDuration: loanDuration, GracePeriod: gracePeriod, Now: func() time.Time { return s.now }})
	}
	for _, u := range upstreams {
		for i := range 2 {
			s.ledgers[i].SetHomeSlots(u, 2)
			s.ledgers[i].ActivateGained(u)
		}
	}
	return s
}

// endDueTasks ends the tasks whose run time is over.
func (s *simulation) endDueTasks() {
	kept := s.running[:0]
	for _, r := range s.running {
		if r.until.After(s.now) {
			kept = append(kept, r)
			continue
		}
		s.ledgers[r.entry].Release(r.permit, 0)
	}
	s.running = kept
	for _, l := range s.ledgers {
		l.Expire()
	}
}

// TestSlotNeverUsedTwice guards against an upstream that runs more tasks than it has
// slots, under random borrowing, returning, lost or late answers and passing time.
// Each task ends or is renewed within half a loan's duration.
func TestSlotNeverUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			from := rapid.IntRange(0, 2).Draw(t, "holder")
			to := rapid.IntRange(0, 1).Draw(t, "home")
			borrower, home := s.ledgers[from], s.ledgers[to]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				s.endDueTasks()
			case 1:
				u := rapid.SampledFrom(upstreams).Draw(t, "upstream")
				if p, ok := borrower.Acquire(u); ok {
					run := time.Duration(rapid.IntRange(1, int(maxRun/time.Millisecond)).Draw(t, "run")) * time.Millisecond
					if p.ID != 0 {
						run = min(run, deadlineOf(borrower, p).Sub(s.now)+gracePeriod)
					}
					s.running = append(s.running, runningTask{entry: from, permit: p, until: s.now.Add(run)})
				}
			case 2:
				if from == to {
					continue
				}
				request := Request{Borrower: names[from], Wanted: rapid.IntRange(0, 4).Draw(t, "want")}
				sent := s.now
				grant := home.Lend(request, []Offer{{Upstream: "u"}, {Upstream: "v"}}, 0)
				s.now = s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond)
				if rapid.Bool().Draw(t, "arrives") {
					borrower.ApplyGrant(names[to], grant, sent)
				}
				s.endDueTasks()
			case 3:
				for peer, ids := range borrower.TakeIdle(s.now, s.now) {
					if rapid.Bool().Draw(t, "return arrives") {
						s.ledgers[indexOf(peer)].Lend(Request{Borrower: names[from], ReturnIDs: ids}, nil, 0)
					}
				}
			case 4:
				for peer, ids := range borrower.LoansToRenew() {
					sent := s.now
					grant := s.ledgers[indexOf(peer)].Lend(Request{Borrower: names[from], RenewIDs: ids}, nil, 0)
					if rapid.Bool().Draw(t, "renewal arrives") {
						borrower.ApplyGrant(peer, grant, sent)
					}
				}
			}
			s.check(t)
		}
	})
}

func deadlineOf(l *Ledger, p Permit) time.Time {
	for _, slot := range l.borrowed[p.Upstream] {
		if slot.id == p.ID && slot.home == p.Home {
			return slot.deadline
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

func (s *simulation) check(t *rapid.T) {
	count := map[string]int{}
	for _, r := range s.running {
		count[r.permit.Upstream]++
	}
	for u, n := range count {
		if n > 4 {
			t.Fatalf("upstream %s runs %d tasks in 4 slots", u, n)
		}
	}
}

// TestExpiredLoanIsNotUsed guards against a borrower that starts a task on an expired
// loan, and against a home that reclaims the slot before the end of the grace period.
func TestExpiredLoanIsNotUsed(t *testing.T) {
	s := newSimulation()
	grant := s.ledgers[0].Lend(Request{Borrower: "e2", Wanted: 2}, []Offer{{Upstream: "u"}}, 0)
	s.ledgers[2].ApplyGrant("e0", grant, s.now)
	s.now = s.now.Add(loanDuration)
	if _, ok := s.ledgers[2].Acquire("u"); ok {
		t.Fatal("an expired loan is used")
	}
	if s.ledgers[0].FreeSlots("u") != 0 {
		t.Fatal("the home takes the slot back before the grace period has passed")
	}
	s.now = s.now.Add(gracePeriod + time.Millisecond)
	s.ledgers[0].Expire()
	if s.ledgers[0].FreeSlots("u") != 2 {
		t.Fatal("the home does not take the slot back")
	}
}

// TestGainedSlotsWaitForPreviousHomesLoans guards against a new home that uses slots
// while loans granted by the previous home may still run.
func TestGainedSlotsWaitForPreviousHomesLoans(t *testing.T) {
	s := newSimulation()
	s.ledgers[2].SetHomeSlots("u", 3)
	s.now = s.now.Add(loanDuration)
	s.ledgers[2].Expire()
	if s.ledgers[2].FreeSlots("u") != 0 {
		t.Fatal("gained slots are used while loans of the previous home may run")
	}
	s.now = s.now.Add(gracePeriod)
	s.ledgers[2].Expire()
	if s.ledgers[2].FreeSlots("u") != 3 {
		t.Fatal("gained slots never become usable")
	}
}

// TestWaitingHomeGetsOwnSlotsBack guards against a borrower that keeps slots, when
// their tasks end, although their home has a waiting request.
func TestWaitingHomeGetsOwnSlotsBack(t *testing.T) {
	s := newSimulation()
	grant := s.ledgers[0].Lend(Request{Borrower: "e2", Wanted: 2}, []Offer{{Upstream: "u"}}, 0)
	s.ledgers[2].ApplyGrant("e0", grant, s.now)
	p, _ := s.ledgers[2].Acquire("u")
	q, _ := s.ledgers[2].Acquire("u")
	ready, leave := s.ledgers[2].QueueRequest(Request{Borrower: "e0", Wanted: 2, Backlog: 9, HeldSlots: 1, WaitUntil: s.now.Add(loanDuration)})
	s.ledgers[2].Release(p, 1)
	s.ledgers[2].Release(q, 1)
	<-ready
	back := leave()
	if len(back.Returned) != 2 {
		t.Fatalf("returned loans: %v, want 2", back)
	}
	s.ledgers[0].ApplyGrant("e2", back, s.now)
	if s.ledgers[0].FreeSlots("u") != 2 {
		t.Fatal("the home did not get its slots back")
	}
}

// TestReserveIsNotLent guards against lending the reserved slots of an offer.
func TestReserveIsNotLent(t *testing.T) {
	s := newSimulation()
	grant := s.ledgers[0].Lend(Request{Borrower: "e2", Wanted: 9}, []Offer{{Upstream: "u", Reserve: 1}, {Upstream: "v"}}, 0)
	if got := fmt.Sprint(len(grant.Loans), s.ledgers[0].FreeSlots("u"), s.ledgers[0].FreeSlots("v")); got != "3 1 0" {
		t.Fatalf("lent, free of u and of v: %s, want 3 1 0", got)
	}
}
