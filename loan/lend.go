package loan

import (
	"time"
)

// waiter is a holder whose request waits for free slots. Slots that become free
// are collected in its grant, so that one message brings many.
type waiter struct {
	request Request
	grant   Grant
	ready   chan struct{}
}

// needsMore reports whether the holder's backlog per slot is still clearly
// greater than the given one.
func (w *waiter) needsMore(demand float64) bool {
	got := len(w.grant.Loans) + len(w.grant.Returned)
	if got >= w.request.Wanted {
		return false
	}
	need := float64(w.request.Backlog-got) / float64(max(1, w.request.HeldSlots+got))
	return demand == 0 || need > minNeedRatio*demand
}

func (w *waiter) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// returnToHome adds a borrowed slot to the grant for its home, if that waits
// for slots and needs it more.
func (l *Ledger) returnToHome(c *borrowedSlot, demand float64) bool {
	for _, w := range l.waiters {
		if w.request.Holder == c.home && w.needsMore(demand) {
			w.grant.Returned = append(w.grant.Returned, c.id)
			w.signal()
			return true
		}
	}
	return false
}

// minNeedRatio is how many times greater a holder's backlog per slot must be
// than the home's own before a slot changes hands.
const minNeedRatio = 1.5

func (a Request) backlogPerSlot() float64 { return float64(a.Backlog) / float64(max(1, a.HeldSlots)) }

// offerToWaiter lends a slot that became free to the first waiting holder that
// needs it more.
func (l *Ledger) offerToWaiter(upstream string, s *homeSlots, demand float64) {
	if s.free() <= 0 {
		return
	}
	now := l.options.Now()
	for _, w := range l.waiters {
		if !w.needsMore(demand) || (w.request.Suits != nil && !w.request.Suits(upstream)) {
			continue
		}
		w.grant.Loans = append(w.grant.Loans, l.newLoan(upstream, s, w.request.Holder, now))
		w.signal()
		return
	}
}

func (l *Ledger) newLoan(upstream string, s *homeSlots, holder string, now time.Time) Loan {
	l.lastID++
	s.lent++
	l.leases[l.lastID] = &lease{upstream: upstream, holder: holder, deadline: now.Add(l.options.LoanDuration)}
	return Loan{ID: l.lastID, Upstream: upstream}
}

// Offer is an upstream to lend slots of. Reserve is the number of free slots
// that stay at the home.
type Offer struct {
	Upstream string
	Reserve  int
}

// Lend answers a request from the slots that are free now, in the order of the
// offers. Demand is the backlog per held slot, as for Release.
func (l *Ledger) Lend(request Request, offers []Offer, demand float64) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, id := range request.ReturnIDs {
		if lent, ok := l.leases[id]; ok && lent.holder == request.Holder {
			l.endLease(id, lent)
		}
	}
	grant := Grant{Duration: l.options.LoanDuration}
	l.renewLoans(request, demand, now, &grant)
	if request.Wanted > 0 {
		l.returnIdle(request.Holder, &grant)
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
			grant.Loans = append(grant.Loans, l.newLoan(offer.Upstream, s, request.Holder, now))
		}
	}
	return grant
}

// returnIdle gives back the idle slots that this entry has borrowed from the
// requester.
func (l *Ledger) returnIdle(home string, grant *Grant) {
	for upstream, slots := range l.borrowed {
		kept := slots[:0]
		for _, c := range slots {
			if c.home == home && !c.busy {
				grant.Returned = append(grant.Returned, c.id)
				continue
			}
			kept = append(kept, c)
		}
		l.borrowed[upstream] = kept
	}
}

// countSpare counts the free slots of the offers. Other zones get at most half
// of them at a time, so that work of the own zone still finds free slots.
func (l *Ledger) countSpare(offers []Offer) int {
	spare := 0
	for _, o := range offers {
		if s, ok := l.homeSlots[o.Upstream]; ok {
			spare += max(0, s.free()-o.Reserve)
		}
	}
	return spare
}

// renewLoans extends the loans that run a task. If the home needs the slots
// more itself, it recalls them: each loan ends with its task.
func (l *Ledger) renewLoans(request Request, demand float64, now time.Time, grant *Grant) {
	recall := demand > 0 && request.backlogPerSlot() < demand
	for _, id := range request.RenewIDs {
		lent, ok := l.leases[id]
		if !ok || lent.holder != request.Holder {
			continue
		}
		lent.deadline = now.Add(l.options.LoanDuration)
		grant.Renewed = append(grant.Renewed, id)
		if recall {
			grant.Recalled = append(grant.Recalled, id)
		}
	}
}

// QueueRequest queues a request that got no slot. The channel receives a value
// when slots have been granted. The function removes the request from the queue
// and returns the grant with all slots collected for it.
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

// WaitingRequests counts the queued requests.
func (l *Ledger) WaitingRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}
