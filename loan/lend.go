package loan

import (
	"time"
)

// waiter is a queued request that waits for free slots. Slots that become free are
// collected in its grant, so that one message transfers several.
type waiter struct {
	request Request
	grant   Grant
	ready   chan struct{}
}

// needsMore reports whether the request is not yet granted in full and the
// borrower's remaining backlog per slot exceeds minBacklogRatio times backlogPerSlot.
// If backlogPerSlot is 0, any request that is not granted in full counts.
func (w *waiter) needsMore(backlogPerSlot float64) bool {
	got := len(w.grant.Loans) + len(w.grant.Returned)
	if got >= w.request.Wanted {
		return false
	}
	borrowerBacklogPerSlot := float64(w.request.Backlog-got) / float64(max(1, w.request.HeldSlots+got))
	return backlogPerSlot == 0 || borrowerBacklogPerSlot > minBacklogRatio*backlogPerSlot
}

func (w *waiter) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// returnToHome adds a borrowed slot to the grant for its home, if the home has a
// waiting request and needs the slot more. It reports whether it did.
func (l *Ledger) returnToHome(slot *borrowedSlot, backlogPerSlot float64) bool {
	for _, w := range l.waiters {
		if w.request.Borrower == slot.home && w.needsMore(backlogPerSlot) {
			w.grant.Returned = append(w.grant.Returned, slot.id)
			w.signal()
			return true
		}
	}
	return false
}

// minBacklogRatio is the factor by which a borrower's backlog per slot must exceed
// that of the entry holding a slot before the slot is transferred.
const minBacklogRatio = 1.5

func (r Request) backlogPerSlot() float64 { return float64(r.Backlog) / float64(max(1, r.HeldSlots)) }

// offerToWaiter lends a slot that became free to the borrower of the first waiting
// request that needs it more.
func (l *Ledger) offerToWaiter(upstream string, s *homeSlots, backlogPerSlot float64) {
	if s.free() <= 0 {
		return
	}
	now := l.options.Now()
	for _, w := range l.waiters {
		if !w.needsMore(backlogPerSlot) || (w.request.Suits != nil && !w.request.Suits(upstream)) {
			continue
		}
		w.grant.Loans = append(w.grant.Loans, l.newLoan(upstream, s, w.request.Borrower, now))
		w.signal()
		return
	}
}

func (l *Ledger) newLoan(upstream string, s *homeSlots, borrower string, now time.Time) Loan {
	l.lastID++
	s.lent++
	l.lent[l.lastID] = &lentSlot{upstream: upstream, borrower: borrower, deadline: now.Add(l.options.LoanDuration)}
	return Loan{ID: l.lastID, Upstream: upstream}
}

// Offer is an upstream to lend slots of. Reserve is the number of free slots
// that stay at the home.
type Offer struct {
	Upstream string
	Reserve  int
}

// Lend answers a request from the slots that are free now, in the order of the
// offers. backlogPerSlot is this entry's backlog per held slot, as for Release.
func (l *Ledger) Lend(request Request, offers []Offer, backlogPerSlot float64) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, id := range request.ReturnIDs {
		if slot, ok := l.lent[id]; ok && slot.borrower == request.Borrower {
			l.endLoan(id, slot)
		}
	}
	grant := Grant{Duration: l.options.LoanDuration}
	l.renewLoans(request, backlogPerSlot, now, &grant)
	if request.Wanted > 0 {
		l.returnIdle(request.Borrower, &grant)
	}
	if request.CrossZone {
		request.Wanted = min(request.Wanted, l.countSpare(offers)/2)
	}
	for _, offer := range offers {
		s, ok := l.homeSlots[offer.Upstream]
		if !ok || (request.Suits != nil && !request.Suits(offer.Upstream)) {
			continue
		}
		for len(grant.Loans) < request.Wanted && s.free() > offer.Reserve {
			grant.Loans = append(grant.Loans, l.newLoan(offer.Upstream, s, request.Borrower, now))
		}
	}
	return grant
}

// returnIdle returns the idle slots that this entry has borrowed from the requester
// by adding them to the grant.
func (l *Ledger) returnIdle(home string, grant *Grant) {
	for upstream, slots := range l.borrowed {
		kept := slots[:0]
		for _, slot := range slots {
			if slot.home == home && !slot.busy {
				grant.Returned = append(grant.Returned, slot.id)
				continue
			}
			kept = append(kept, slot)
		}
		l.borrowed[upstream] = kept
	}
}

// countSpare returns the number of free slots of the offers beyond their reserves.
// A request from another zone is granted at most half of them, so that free slots
// remain for this zone.
func (l *Ledger) countSpare(offers []Offer) int {
	spare := 0
	for _, o := range offers {
		if s, ok := l.homeSlots[o.Upstream]; ok {
			spare += max(0, s.free()-o.Reserve)
		}
	}
	return spare
}

// renewLoans extends the loans that run a task. If the backlog per slot is greater
// here than at the borrower, it recalls them: each loan ends with its task.
func (l *Ledger) renewLoans(request Request, backlogPerSlot float64, now time.Time, grant *Grant) {
	recall := backlogPerSlot > 0 && request.backlogPerSlot() < backlogPerSlot
	for _, id := range request.RenewIDs {
		slot, ok := l.lent[id]
		if !ok || slot.borrower != request.Borrower {
			continue
		}
		slot.deadline = now.Add(l.options.LoanDuration)
		grant.Renewed = append(grant.Renewed, id)
		if recall {
			grant.Recalled = append(grant.Recalled, id)
		}
	}
}

// QueueRequest queues a request that got no slot. The channel receives a value
// when slots have been granted. The function removes the request from the queue
// and returns the grant with all slots collected for it. The caller must call it in
// any case, or the request stays in the queue and keeps collecting slots.
func (l *Ledger) QueueRequest(request Request) (<-chan struct{}, func() Grant) {
	w := &waiter{request: request, ready: make(chan struct{}, 1)}
	l.mu.Lock()
	l.waiters = append(l.waiters, w)
	l.mu.Unlock()
	return w.ready, func() Grant { return l.removeWaiter(w) }
}

func (l *Ledger) removeWaiter(w *waiter) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			break
		}
	}
	return w.grant
}

// WaitingRequests returns the number of queued requests.
func (l *Ledger) WaitingRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}
