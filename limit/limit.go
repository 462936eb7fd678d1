// Package limit adapts the share of an upstream's slots that is used to the latency seen under that use.
package limit

import (
	"math"
	"sync"
	"time"
)

// Bounds and rates of the adaptation.
const (
	lowest    = 0.125 // share of the declared slots
	shrink    = 0.85
	grow      = 1.05
	tolerance = 1.4 // latency over the calm level that counts as crowding
	fastRate  = 0.15
	slowRate  = 0.01
	step      = 200 * time.Millisecond
)

// Limit holds one upstream's share between 1/8 and 1. It compares recent
// latency, taken relative to what the task should need, with the level seen
// while the upstream was calm. It is safe for concurrent use.
type Limit struct {
	now func() time.Time

	mu     sync.Mutex
	share  float64
	recent float64 // logarithm of latency by expectation
	calm   float64
	seen   int
	next   time.Time
}

// New makes a limit that allows all slots.
func New(now func() time.Time) *Limit { return &Limit{now: now, share: 1} }

// Observe takes a finished task: expected is the run time on the fastest
// upstream, used the share of the slots that were busy when it began.
func (l *Limit) Observe(took, expected time.Duration, used float64) {
	if took <= 0 || expected <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	value := math.Log(float64(took) / float64(expected))
	l.seen++
	if l.seen == 1 {
		l.recent, l.calm = value, value
	}
	l.recent += fastRate * (value - l.recent)
	l.settle(value, used)
	now := l.now()
	if now.Before(l.next) || l.seen < 10 {
		return
	}
	l.next = now.Add(step)
	l.adapt(used)
}

// settle moves the calm level: quickly from lightly used moments, slowly
// otherwise, so that a lasting change of speed becomes the new level.
func (l *Limit) settle(value, used float64) {
	weight := slowRate
	if used <= 0.3 || value < l.calm {
		weight = fastRate / 2
	}
	l.calm += weight * (value - l.calm)
}

func (l *Limit) adapt(used float64) {
	crowded := l.recent-l.calm > math.Log(tolerance)
	if crowded && used >= l.share/2 {
		l.share = max(lowest, l.share*shrink)
		return
	}
	if !crowded {
		l.share = min(1, l.share*grow)
	}
}

// Allow gives how many of so many slots may be used, at least 1.
func (l *Limit) Allow(slots int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, int(math.Ceil(l.share*float64(slots)-1e-9)))
}

// Share is the present share.
func (l *Limit) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}
