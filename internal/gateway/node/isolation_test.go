package node

import (
	"testing"
	"time"
)

// TestIsolationBeginsAfterDelay loses the holder of a zone: for the time of a takeover nothing changes,
// after it clients are to go to other entries until one is known again.
func TestIsolationBeginsAfterDelay(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	steps := []struct {
		at       time.Duration
		held     bool
		stranded bool
		changed  bool
	}{
		{0, true, false, false},
		{100 * time.Millisecond, false, false, false},
		{900 * time.Millisecond, false, false, false},
		{100*time.Millisecond + isolationDelay, false, true, true},
		{3 * time.Second, false, true, false},
		{3100 * time.Millisecond, true, false, true},
		{3200 * time.Millisecond, false, false, false},
		{3300 * time.Millisecond, true, false, false},
	}
	var s isolation
	for _, c := range steps {
		now := began.Add(c.at)
		if changed := s.update(c.held, now); changed != c.changed || s.active(now) != c.stranded {
			t.Fatalf("after %v: stranded %v, changed %v; want %v, %v", c.at, s.active(now), changed, c.stranded, c.changed)
		}
	}
}
