package node

import (
	"sync"
	"time"
)

// isolation is whether an entry knows no holder for the jobs of its zone, as when it
// is cut off from the others. It is safe for concurrent use.
type isolation struct {
	mu           sync.Mutex
	startsAt     time.Time // when it counts as stranded if no holder is known until then
	lastReported bool      // what note has told last
}

// isolationDelay is how long there may be no holder: longer than a takeover takes once
// the loss is known, so that the entries of a zone do not all turn clients away then.
const isolationDelay = time.Second

// update takes whether a holder is known and tells whether the entry has become
// stranded, or is so no longer.
func (s *isolation) update(holderKnown bool, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case holderKnown:
		s.startsAt = time.Time{}
	case s.startsAt.IsZero():
		s.startsAt = now.Add(isolationDelay)
	}
	changed = s.lastReported != s.activeAt(now)
	s.lastReported = s.activeAt(now)
	return changed
}

// active tells whether the entry active stranded.
func (s *isolation) active(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeAt(now)
}

// activeAt tells whether the entry is stranded. The lock is held.
func (s *isolation) activeAt(now time.Time) bool {
	return !s.startsAt.IsZero() && !now.Before(s.startsAt)
}
