package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// simulate sends tasks to an upstream for some seconds and returns the share of the
// slots at the end of each second. The latency of the upstream grows in proportion
// to the slots used beyond capacity, and is multiplied by slowdown at any load.
func simulate(l *Limiter, slots, capacity int, slowdown float64, seconds int) []float64 {
	var shares []float64
	for range seconds {
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			used := l.AllowedSlots(slots)
			took := 50 * time.Millisecond
			if used > capacity {
				took = took * time.Duration(used) / time.Duration(capacity)
			}
			l.Observe(time.Duration(float64(took)*slowdown), 50*time.Millisecond, float64(used)/float64(slots))
		}
		shares = append(shares, l.SlotShare())
	}
	return shares
}

// TestLimiterFindsCapacityWithin10s checks that the limit falls to about the capacity
// of an overloaded upstream and rises again after it has recovered.
func TestLimiterFindsCapacityWithin10s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		simulate(l, 8, 8, 1, 5)
		if l.AllowedSlots(8) != 8 {
			t.Fatalf("an upstream without overload gets %d of 8 slots", l.AllowedSlots(8))
		}
		shares := simulate(l, 8, 3, 1, 10)
		if got := l.AllowedSlots(8); got < 2 || got > 6 {
			t.Errorf("an upstream with a capacity of 3 gets %d of 8 slots, shares by second: %v", got, shares)
		}
		simulate(l, 8, 8, 1, 10)
		if l.AllowedSlots(8) != 8 {
			t.Errorf("a recovered upstream gets %d of 8 slots", l.AllowedSlots(8))
		}
	})
}

// TestUniformlySlowUpstreamKeepsItsSlots guards against mistaking an upstream that has
// become slower at any load for an overloaded one.
func TestUniformlySlowUpstreamKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		simulate(l, 8, 8, 1, 5)
		simulate(l, 8, 8, 3, 60)
		if l.AllowedSlots(8) < 6 {
			t.Errorf("an upstream that is slower at any load gets %d of 8 slots", l.AllowedSlots(8))
		}
	})
}
