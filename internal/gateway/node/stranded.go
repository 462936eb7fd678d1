package node

import (
	"sync"
	"time"
)

// stranded is whether an entry knows no holder for the jobs of its zone, as when it
// is cut off from the others. It is safe for concurrent use.
type stranded struct {
	mu   sync.Mutex
	from time.Time // when it counts as stranded if no holder is known until then
	told bool      // what note has told last
}

// strandedSpan is how long there may be no holder: longer than a takeover takes once
// the loss is known, so that the entries of a zone do not all turn clients away then.
const strandedSpan = time.Second

// note takes whether a holder is known and tells whether the entry has become
// stranded, or is so no longer.
func (s *stranded) note(held bool, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case held:
		s.from = time.Time{}
	case s.from.IsZero():
		s.from = now.Add(strandedSpan)
	}
	changed = s.told != s.at(now)
	s.told = s.at(now)
	return changed
}

// is tells whether the entry is stranded.
func (s *stranded) is(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(now)
}

// at tells whether the entry is stranded. The lock is held.
func (s *stranded) at(now time.Time) bool { return !s.from.IsZero() && !now.Before(s.from) }
