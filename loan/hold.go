package loan

import (
	"time"
)

// credit is one slot borrowed from a home.
type credit struct {
	id       uint64
	home     string
	deadline time.Time
	busy     bool
	recalled bool
	idle     time.Time // since when it runs nothing
}

func (c *credit) usable(now time.Time) bool {
	return !c.busy && !c.recalled && c.deadline.After(now)
}

// Receive takes a grant from a home; sent is when the ask was sent, from which
// all deadlines count, so that the holder's always come before the home's.
func (l *Ledger) Receive(home string, grant Grant, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range grant.Returned {
		if lent, ok := l.leases[id]; ok && lent.holder == home {
			l.end(id, lent)
		}
	}
	deadline := sent.Add(grant.Life)
	now := l.options.Now()
	for _, lent := range grant.Loans {
		c := &credit{id: lent.ID, home: home, deadline: deadline, idle: now}
		l.credits[lent.Upstream] = append(l.credits[lent.Upstream], c)
	}
	renewed := set(grant.Renewed)
	recalled := set(grant.Recalled)
	for _, credits := range l.credits {
		for _, c := range credits {
			if c.home == home && renewed[c.id] {
				c.deadline = deadline
				c.recalled = c.recalled || recalled[c.id]
			}
		}
	}
}

func set(ids []uint64) map[uint64]bool {
	if len(ids) == 0 {
		return nil
	}
	s := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		s[id] = true
	}
	return s
}

// Idle takes out borrowed slots to be returned, by home: where one has run
// nothing since the time long, all of that home go that have run nothing since
// the time short, in one message.
func (l *Ledger) Idle(long, short time.Time) map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := map[string]bool{}
	for _, credits := range l.credits {
		for _, c := range credits {
			if !c.busy && !c.idle.After(long) {
				due[c.home] = true
			}
		}
	}
	if len(due) == 0 {
		return nil
	}
	idle := map[string][]uint64{}
	for upstream, credits := range l.credits {
		kept := credits[:0]
		for _, c := range credits {
			if c.busy || !due[c.home] || c.idle.After(short) {
				kept = append(kept, c)
				continue
			}
			idle[c.home] = append(idle[c.home], c.id)
		}
		l.credits[upstream] = kept
	}
	return idle
}

// Busy lists the loans of a home that run a task.
func (l *Ledger) Busy(home string) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busy []uint64
	for _, credits := range l.credits {
		for _, c := range credits {
			if c.busy && c.home == home {
				busy = append(busy, c.id)
			}
		}
	}
	return busy
}

// Ending lists the loans to renew, by home: all that run a task, as soon as one
// of that home is past half its life, so that one message renews them together.
func (l *Ledger) Ending() map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ending := map[string][]uint64{}
	due := map[string]bool{}
	soon := l.options.Now().Add(l.options.Life / 2)
	for _, credits := range l.credits {
		for _, c := range credits {
			if c.busy {
				ending[c.home] = append(ending[c.home], c.id)
				due[c.home] = due[c.home] || c.deadline.Before(soon)
			}
		}
	}
	for home := range ending {
		if !due[home] {
			delete(ending, home)
		}
	}
	return ending
}
