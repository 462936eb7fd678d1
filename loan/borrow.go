package loan

import (
	"time"
)

// borrowedSlot is one slot borrowed from its home.
type borrowedSlot struct {
	id        uint64
	home      string
	deadline  time.Time
	busy      bool
	recalled  bool
	idleSince time.Time // time since which it runs no task
}

// usable reports whether a task may start on the slot.
func (b *borrowedSlot) usable(now time.Time) bool {
	return !b.busy && !b.recalled && b.deadline.After(now)
}

// ApplyGrant records a home's grant. The deadlines of the loans count from when the
// request was sent, so that the borrower's deadline always precedes the home's.
func (l *Ledger) ApplyGrant(home string, grant Grant, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range grant.Returned {
		if slot, ok := l.lent[id]; ok && slot.borrower == home {
			l.endLoan(id, slot)
		}
	}
	deadline := sent.Add(grant.Duration)
	now := l.options.Now()
	for _, granted := range grant.Loans {
		slot := &borrowedSlot{id: granted.ID, home: home, deadline: deadline, idleSince: now}
		l.borrowed[granted.Upstream] = append(l.borrowed[granted.Upstream], slot)
	}
	renewed := idSet(grant.Renewed)
	recalled := idSet(grant.Recalled)
	for _, slots := range l.borrowed {
		for _, slot := range slots {
			if slot.home == home && renewed[slot.id] {
				slot.deadline = deadline
				slot.recalled = slot.recalled || recalled[slot.id]
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

// TakeIdle removes idle borrowed slots and returns their IDs by home, to which the
// caller must return them. If any slot of a home has been idle since longIdle, it
// also removes those of that home that have been idle since shortIdle, so that one
// message returns them together.
func (l *Ledger) TakeIdle(longIdle, shortIdle time.Time) map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := map[string]bool{}
	for _, slots := range l.borrowed {
		for _, slot := range slots {
			if !slot.busy && !slot.idleSince.After(longIdle) {
				due[slot.home] = true
			}
		}
	}
	if len(due) == 0 {
		return nil
	}
	idle := map[string][]uint64{}
	for upstream, slots := range l.borrowed {
		kept := slots[:0]
		for _, slot := range slots {
			if slot.busy || !due[slot.home] || slot.idleSince.After(shortIdle) {
				kept = append(kept, slot)
				continue
			}
			idle[slot.home] = append(idle[slot.home], slot.id)
		}
		l.borrowed[upstream] = kept
	}
	return idle
}

// BusyLoans returns the IDs of the loans from a home that run a task.
func (l *Ledger) BusyLoans(home string) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busy []uint64
	for _, slots := range l.borrowed {
		for _, slot := range slots {
			if slot.busy && slot.home == home {
				busy = append(busy, slot.id)
			}
		}
	}
	return busy
}

// LoansToRenew returns the IDs of the loans to renew, by home. It includes all loans of a
// home that run a task as soon as one of them has less than half its duration
// left, so that one message renews them together.
func (l *Ledger) LoansToRenew() map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	toRenew := map[string][]uint64{}
	due := map[string]bool{}
	renewBefore := l.options.Now().Add(l.options.LoanDuration / 2)
	for _, slots := range l.borrowed {
		for _, slot := range slots {
			if slot.busy {
				toRenew[slot.home] = append(toRenew[slot.home], slot.id)
				due[slot.home] = due[slot.home] || slot.deadline.Before(renewBefore)
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
