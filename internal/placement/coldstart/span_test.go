package coldstart

import (
	"math"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestColdWorkerWarmsUp guards against a worker that stays slow in the plan for good, since each registration
// that is read begins its cold time anew, and against one that is filled at once.
func TestColdWorkerWarmsUp(t *testing.T) {
	var none Factors
	tests := []struct {
		name          string
		until         []int // stated at 0, 1000, 2000 ms and so on
		at            int
		factor, share float64
	}{
		{"warm", nil, 0, 1, 1},
		{"stated as warm", []int{0}, 0, 1, 1},
		{"at first", []int{4000}, 0, 1.5, 0.25},
		{"half of the time later", []int{4000}, 2000, 1.25, 0.625},
		{"after its time", []int{4000}, 4000, 1, 1},
		{"registrations that are read late", []int{4000, 4300, 4000}, 2000, 1.25, 0.625},
		{"warm sooner than stated", []int{4000, 0}, 1500, 1, 1},
		{"cold again", []int{4000, 9000}, 1000, 1.5, 0.25},
	}
	for _, c := range tests {
		var s Span
		for i, until := range c.until {
			s = s.Renew(after(until), after(1000*i))
		}
		if f, share := none.At("s", s, after(c.at)), s.Share(after(c.at)); math.Abs(f-c.factor) > 1e-9 || math.Abs(share-c.share) > 1e-9 {
			t.Errorf("%s: factor %.3f, share %.3f; want %.3f, %.3f", c.name, f, share, c.factor, c.share)
		}
	}
}

// TestUsedShare guards against a cold worker that gets nothing at all, since one task is more than its
// share, and against one that is filled with tasks that need little of one resource.
func TestUsedShare(t *testing.T) {
	capacity, task := resources.Resources{MilliCores: 8000, MemoryMB: 1000}, resources.Resources{MilliCores: 4000, MemoryMB: 100}
	if got := UsedShare(resources.Resources{}, task, capacity); got != 0 {
		t.Errorf("first task: %g, want 0", got)
	}
	if got := UsedShare(task, task, capacity); got != 1 {
		t.Errorf("second task: %g, want 1", got)
	}
	if got := UsedShare(resources.Resources{MemoryMB: 500}, task, capacity); got != 0.6 {
		t.Errorf("by memory: %g, want 0.6", got)
	}
}

// TestFactorIsLearned guards against a factor that stays at its first value or follows faults, and against one that
// is learned from runs that were hardly cold.
func TestFactorIsLearned(t *testing.T) {
	s := Span{From: start, Until: after(10_000)}
	tests := []struct {
		name           string
		began, ended   int
		ratio          float64
		least, largest float64
	}{
		{"three times as long", 0, 0, 3, 2.99, 3.01},
		{"in the middle of its time", 4000, 6000, 2, 2.99, 3.01},
		{"no longer than usual", 0, 0, 0.8, 1, 1},
		{"a fault", 0, 0, 500, 10, 10.01},
		{"almost warm", 9500, 9900, 3, 1.5, 1.5},
	}
	for _, c := range tests {
		var f Factors
		for range 100 {
			f.Observe("s", s, after(c.began), after(c.ended), c.ratio)
		}
		if got := f.At("s", s, start); got < c.least-1e-9 || got > c.largest {
			t.Errorf("%s: %.3f, want %.3f to %.3f", c.name, got, c.least, c.largest)
		}
		if got := f.At("other", s, start); got != firstFactor {
			t.Errorf("%s: factor of another service %.3f", c.name, got)
		}
	}
}
