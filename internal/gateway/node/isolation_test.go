package node

import (
	"testing"
	"time"
)

// TestIsolationBeginsAfterDelay removes the known holder of a zone. Clients must not be
// turned away during a takeover, must be turned away after it, and must be accepted again
// once a holder is known.
func TestIsolationBeginsAfterDelay(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	steps := []struct {
		at          time.Duration
		holderKnown bool
		isolated    bool
		changed     bool
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
	var state isolation
	for _, c := range steps {
		now := began.Add(c.at)
		if changed := state.update(c.holderKnown, now); changed != c.changed || state.active(now) != c.isolated {
			t.Fatalf("after %v: isolated %v, changed %v; want %v, %v", c.at, state.active(now), changed, c.isolated, c.changed)
		}
	}
}
