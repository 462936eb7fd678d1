package loan

import (
	"time"
)

// waiter is a holder whose ask waits. What comes free for it is collected, so
// that one message brings many slots.
type waiter struct {
	ask   Ask
	grant Grant
	ready chan struct{}
}

// more tells whether the holder's need is still clearly greater than a demand.
func (w *waiter) more(demand float64) bool {
	got := len(w.grant.Loans) + len(w.grant.Returned)
	if got >= w.ask.Want {
		return false
	}
	need := float64(w.ask.Backlog-got) / float64(max(1, w.ask.Held+got))
	return demand == 0 || need > imbalance*demand
}

func (w *waiter) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// handBack puts a borrowed slot into the answer to its own home, if that waits
// and needs it more.
func (l *Ledger) handBack(c *credit, demand float64) bool {
	for _, w := range l.waiters {
		if w.ask.Holder == c.home && w.more(demand) {
			w.grant.Returned = append(w.grant.Returned, c.id)
			w.signal()
			return true
		}
	}
	return false
}

// imbalance is how much greater a holder's need by slot must be than the
// home's own before a slot changes hands.
const imbalance = 1.5

func (a Ask) demand() float64 { return float64(a.Backlog) / float64(max(1, a.Held)) }

func (l *Ledger) offer(upstream string, s *stock, demand float64) {
	if s.free() <= 0 {
		return
	}
	now := l.options.Now()
	for _, w := range l.waiters {
		if !w.more(demand) || (w.ask.Fit != nil && !w.ask.Fit(upstream)) {
			continue
		}
		w.grant.Loans = append(w.grant.Loans, l.lend(upstream, s, w.ask.Holder, now))
		w.signal()
		return
	}
}

func (l *Ledger) lend(upstream string, s *stock, holder string, now time.Time) Loan {
	l.last++
	s.lent++
	l.leases[l.last] = &lease{upstream: upstream, holder: holder, deadline: now.Add(l.options.Life)}
	return Loan{ID: l.last, Upstream: upstream}
}

// Offer is an upstream to lend from; Keep of its free slots stay here.
type Offer struct {
	Upstream string
	Keep     int
}

// Lend answers an ask from what is free now. Offers come in the order in which
// to give; demand is as for Put.
func (l *Ledger) Lend(ask Ask, offers []Offer, demand float64) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, id := range ask.Return {
		if lent, ok := l.leases[id]; ok && lent.holder == ask.Holder {
			l.end(id, lent)
		}
	}
	grant := Grant{Life: l.options.Life}
	l.renew(ask, demand, now, &grant)
	if ask.Want > 0 {
		l.handBackIdle(ask.Holder, &grant)
	}
	if ask.Far {
		ask.Want = min(ask.Want, l.spare(offers)/2)
	}
	for _, o := range offers {
		s, ok := l.stocks[o.Upstream]
		if !ok || (ask.Fit != nil && !ask.Fit(o.Upstream)) {
			continue
		}
		for len(grant.Loans) < ask.Want && s.free() > o.Keep {
			grant.Loans = append(grant.Loans, l.lend(o.Upstream, s, ask.Holder, now))
		}
	}
	return grant
}

// handBackIdle gives the asker its own slots back that were borrowed here and
// run nothing.
func (l *Ledger) handBackIdle(home string, grant *Grant) {
	for upstream, credits := range l.credits {
		kept := credits[:0]
		for _, c := range credits {
			if c.home == home && !c.busy {
				grant.Returned = append(grant.Returned, c.id)
				continue
			}
			kept = append(kept, c)
		}
		l.credits[upstream] = kept
	}
}

// spare counts the free slots of these upstreams. Other zones get half of them
// at a time, so that work of the own zone still finds room.
func (l *Ledger) spare(offers []Offer) int {
	spare := 0
	for _, o := range offers {
		if s, ok := l.stocks[o.Upstream]; ok {
			spare += max(0, s.free()-o.Keep)
		}
	}
	return spare
}

// renew extends the loans that run a task. One that the home needs more itself
// is recalled: it ends with its task.
func (l *Ledger) renew(ask Ask, demand float64, now time.Time, grant *Grant) {
	recall := demand > 0 && ask.demand() < demand
	for _, id := range ask.Renew {
		lent, ok := l.leases[id]
		if !ok || lent.holder != ask.Holder {
			continue
		}
		lent.deadline = now.Add(l.options.Life)
		grant.Renewed = append(grant.Renewed, id)
		if recall {
			grant.Recalled = append(grant.Recalled, id)
		}
	}
}

// Wait queues an ask that got nothing. The channel tells that something has
// come; the function takes the ask out and gives all that has come.
func (l *Ledger) Wait(ask Ask) (<-chan struct{}, func() Grant) {
	w := &waiter{ask: ask, ready: make(chan struct{}, 1)}
	l.mu.Lock()
	l.waiters = append(l.waiters, w)
	l.mu.Unlock()
	return w.ready, func() Grant { return l.leave(w) }
}

func (l *Ledger) leave(w *waiter) Grant {
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

// Waiting counts the holders that wait for a slot of this home.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}
