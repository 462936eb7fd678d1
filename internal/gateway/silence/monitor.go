// Package silence notices entries that stop answering calls, long before heartbeats show that
// they are dead. It does no I/O.
package silence

import (
	"sync"
	"time"
)

// Limits of a Monitor.
const (
	// limit is the time without any answer to pending calls after which an entry counts as
	// silent: many times a round trip between zones, and short against the objectives of jobs.
	limit = 100 * time.Millisecond
	// retryInterval is the time after a failed call within which no other one is tried.
	retryInterval = 200 * time.Millisecond
)

// calls is the state of the calls to one entry.
type calls struct {
	pending      int
	waitingSince time.Time // beginning of the first pending call, or the last answer if that is later
	failedAt     time.Time // end of the last call, if that failed
}

// Monitor records calls to other entries. It is safe for concurrent use; its zero value is
// ready to use.
type Monitor struct {
	mu      sync.Mutex
	entries map[string]*calls // without those whose last call was answered
}

// Begin records that a call to an entry begins. End must follow.
func (m *Monitor) Begin(entry string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries == nil {
		m.entries = map[string]*calls{}
	}
	c, known := m.entries[entry]
	if !known {
		c = &calls{}
		m.entries[entry] = c
	}
	if c.pending == 0 {
		c.waitingSince = now
	}
	c.pending++
}

// End records that a call to an entry has ended, with an answer or without one.
func (m *Monitor) End(entry string, answered bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.entries[entry]
	c.pending--
	switch {
	case !answered:
		c.failedAt = now
	case c.pending == 0:
		delete(m.entries, entry)
	default:
		c.waitingSince, c.failedAt = now, time.Time{}
	}
}

// Silent reports whether an entry does not answer. Calls that need not go there should not.
func (m *Monitor) Silent(entry string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.entries[entry]
	if !known {
		return false
	}
	return c.pending > 0 && now.Sub(c.waitingSince) >= limit || !c.failedAt.IsZero() && now.Before(c.failedAt.Add(retryInterval))
}
