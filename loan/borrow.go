package loan

import (
	"time"
)

// borrowedSlot is one slot borrowed from a home.
type borrowedSlot struct {
	id        uint64
	home      string
	deadline  time.Time
	busy      bool
	recalled  bool
	idleSince time.Time // since when it runs nothing
}

func (c *borrowedSlot) usable(now time.Time) bool {
	return !c.busy && !c.recalled && c.deadline.After(now)
}

// ApplyGrant takes a grant from a home; sent is when the ask was sent, from which
// all deadlines count, so that the holder's always come before the home's.
func (l *Ledger) ApplyGrant(home string, grant Grant, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range grant.Returned {
		if lent, ok := l.leases[id]; ok && lent.holder == home {
			l.endLease(id, lent)
		}
	}
	deadline := sent.Add(grant.Duration)
	now := l.options.Now()
	for _, lent := range grant.Loans {
		c := &borrowedSlot{id: lent.ID, home: home, deadline: deadline, idleSince: now}
		l.borrowed[lent.Upstream] = append(l.borrowed[lent.Upstream], c)
	}
	renewed := idSet(grant.Renewed)
	recalled := idSet(grant.Recalled)
	for _, slots := range l.borrowed {
		for _, c := range slots {
			if c.home == home && renewed[c.id] {
				c.deadline = deadline
				c.recalled = c.recalled || recalled[c.id]
			}
		}
	}
}

func idSet(ids []uint64) map[uint64]bool {
	if len(ids) == 0 {
		return nil
	}
	s := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		s[id] = true
	}
	return s
}

// TakeIdle takes out borrowed slots to be returned, by home: where one has run
// nothing since the time long, all of that home go that have run nothing since
// the time short, in one message.
func (l *Ledger) TakeIdle(longIdle, shortIdle time.Time) map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := map[string]bool{}
	for _, slots := range l.borrowed {
		for _, c := range slots {
			if !c.busy && !c.idleSince.After(longIdle) {
				due[c.home] = true
			}
		}
	}
	if len(due) == 0 {
		return nil
	}
	idle := map[string][]uint64{}
	for upstream, slots := range l.borrowed {
		kept := slots[:0]
		for _, c := range slots {
			if c.busy || !due[c.home] || c.idleSince.After(shortIdle) {
				kept = append(kept, c)
				continue
			}
			idle[c.home] = append(idle[c.home], c.id)
		}
		l.borrowed[upstream] = kept
	}
	return idle
}

// BusyLoans lists the loans of a home that run a task.
func (l *Ledger) BusyLoans(home string) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busy []uint64
	for _, slots := range l.borrowed {
		for _, c := range slots {
			if c.busy && c.home == home {
				busy = append(busy, c.id)
			}
		}
	}
	return busy
}

// LoansToRenew lists the loans to renew, by home: all that run a task, as soon as one
// of that home is past half its life, so that one message renews them together.
func (l *Ledger) LoansToRenew() map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	toRenew := map[string][]uint64{}
	due := map[string]bool{}
	renewBefore := l.options.Now().Add(l.options.LoanDuration / 2)
	for _, slots := range l.borrowed {
		for _, c := range slots {
			if c.busy {
				toRenew[c.home] = append(toRenew[c.home], c.id)
				due[c.home] = due[c.home] || c.deadline.Before(renewBefore)
			}
		}
	}
	for home := range toRenew {
		if !due[home] {
			delete(toRenew, home)
		}
	}
	return toRenew
}
