package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// drive runs an upstream whose latency grows when more than its real capacity
// is used, for some seconds, and gives the shares at the end of each second.
func drive(l *Limit, slots, capacity int, slow float64, seconds int) []float64 {
	var shares []float64
	for range seconds {
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			used := l.Allow(slots)
			took := 50 * time.Millisecond
			if used > capacity {
				took = took * time.Duration(used) / time.Duration(capacity)
			}
			l.Observe(time.Duration(float64(took)*slow), 50*time.Millisecond, float64(used)/float64(slots))
		}
		shares = append(shares, l.Share())
	}
	return shares
}

func TestLimitFindsTheCapacityWithin10s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		drive(l, 8, 8, 1, 5)
		if l.Allow(8) != 8 {
			t.Fatalf("a calm upstream gets %d of 8 slots", l.Allow(8))
		}
		shares := drive(l, 8, 3, 1, 10)
		if got := l.Allow(8); got < 2 || got > 6 {
			t.Errorf("an upstream that does 3 at once gets %d of 8: %v", got, shares)
		}
		drive(l, 8, 8, 1, 10)
		if l.Allow(8) != 8 {
			t.Errorf("a recovered upstream gets %d of 8", l.Allow(8))
		}
	})
}

func TestSlowerUpstreamKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(time.Now)
		drive(l, 8, 8, 1, 5)
		drive(l, 8, 8, 3, 60)
		if l.Allow(8) < 6 {
			t.Errorf("an upstream that is slower at any load gets %d of 8", l.Allow(8))
		}
	})
}
