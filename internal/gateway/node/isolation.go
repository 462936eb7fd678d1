package node

import (
	"sync"
	"time"
)

// isolation holds whether an entry knows no holder for the jobs of its zone, for example
// because it is cut off from the other entries. It is safe for concurrent use.
type isolation struct {
	mu           sync.Mutex
	startsAt     time.Time // when isolation begins unless a holder is known before; zero if one is known
	lastReported bool      // result of activeAt in the last update
}

// isolationDelay is how long no holder may be known before an entry counts as isolated. It
// is longer than a takeover takes once the loss of a holder is detected, so that the entries
// of a zone do not all turn clients away during a takeover.
const isolationDelay = time.Second

// update records whether a holder is known and reports whether the isolation began or ended
// since the last update.
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

// active reports whether the entry is isolated.
func (s *isolation) active(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeAt(now)
}

// activeAt reports whether the entry is isolated. The caller holds s.mu.
func (s *isolation) activeAt(now time.Time) bool {
	return !s.startsAt.IsZero() && !now.Before(s.startsAt)
}
