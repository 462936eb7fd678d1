package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// simulate runs an upstream whose latency grows when more than its real capacity
// is used, for some seconds, and gives the shares at the end of each second.
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

func TestLimiterFindsCapacityWithin10s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		simulate(l, 8, 8, 1, 5)
		if l.AllowedSlots(8) != 8 {
			t.Fatalf("a calm upstream gets %d of 8 slots", l.AllowedSlots(8))
		}
		shares := simulate(l, 8, 3, 1, 10)
		if got := l.AllowedSlots(8); got < 2 || got > 6 {
			t.Errorf("an upstream that does 3 at once gets %d of 8: %v", got, shares)
		}
		simulate(l, 8, 8, 1, 10)
		if l.AllowedSlots(8) != 8 {
			t.Errorf("a recovered upstream gets %d of 8", l.AllowedSlots(8))
		}
	})
}

func TestUniformlySlowUpstreamKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		simulate(l, 8, 8, 1, 5)
		simulate(l, 8, 8, 3, 60)
		if l.AllowedSlots(8) < 6 {
			t.Errorf("an upstream that is slower at any load gets %d of 8", l.AllowedSlots(8))
		}
	})
}
