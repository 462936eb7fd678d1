// Package limit adapts the share of an upstream's slots that is used to what its latency shows.
package limit

import (
	"math"
	"sync"
	"time"
)

// Bounds and rates of the adaptation.
const (
	levels    = 8    // the share moves in eighths of the declared slots
	tolerance = 1.4  // latency over the calm level that starts a trial with less
	worth     = 1.05 // throughput by which more slots must pay
	rate      = 0.1  // share of one task in a level's latency
	enough    = 16   // tasks at a level before it is judged
	again     = time.Second
)

// trial is a level that is being tried.
type trial int

const (
	none trial = iota
	less
	more
)

// Limit climbs to the least level that has nearly the best throughput, level by
// latency. Whether an upstream is crowded or merely slower shows only when less
// is tried: a crowded one loses no throughput by it. It is safe for concurrent use.
type Limit struct {
	now func() time.Time

	mu      sync.Mutex
	level   int
	trial   trial
	seen    int // tasks at this level
	latency [levels + 1]float64
	began   bool
	calm    float64
	next    time.Time // of the next trial
}

// New makes a limit that allows all slots.
func New(now func() time.Time) *Limit { return &Limit{now: now, level: levels} }

// Observe takes a finished task: expected is the run time on the fastest
// upstream, used the share of the slots that were busy when it began. Only tasks
// that began at the limit tell anything about it.
func (l *Limit) Observe(took, expected time.Duration, used float64) {
	if took <= 0 || expected <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	value := math.Log(float64(took) / float64(expected))
	if !l.began {
		l.began, l.calm = true, value
	}
	if value < l.calm {
		l.calm += rate * (value - l.calm)
	}
	if used*levels < float64(l.level)-0.5 {
		return
	}
	l.seen++
	if l.seen == 1 {
		l.latency[l.level] = value
	}
	l.latency[l.level] += max(rate, 1/float64(l.seen)) * (value - l.latency[l.level])
	if l.seen >= enough {
		l.judge()
	}
}

// throughput of a level in tasks by expected run time.
func (l *Limit) throughput(level int) float64 {
	return float64(level) / math.Exp(l.latency[level])
}

func (l *Limit) move(level int, t trial) {
	l.level, l.trial, l.seen = level, t, 0
}

// judge ends a trial, or begins one.
func (l *Limit) judge() {
	now := l.now()
	switch l.trial {
	case less:
		if l.throughput(l.level)*worth < l.throughput(l.level+1) {
			// Less was worse: the upstream is slower now, not crowded.
			l.calm = l.latency[l.level+1]
			l.move(l.level+1, none)
			l.next = now.Add(again)
			return
		}
	case more:
		if l.throughput(l.level) < worth*l.throughput(l.level-1) {
			l.move(l.level-1, none)
			l.next = now.Add(again)
			return
		}
	}
	l.trial = none
	crowded := l.latency[l.level]-l.calm > math.Log(tolerance)
	switch {
	case crowded && l.level > 1:
		l.move(l.level-1, less)
	case l.level < levels && now.After(l.next):
		l.move(l.level+1, more)
	}
}

// Allow gives how many of so many slots may be used, at least 1.
func (l *Limit) Allow(slots int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, (l.level*slots+levels-1)/levels)
}

// Share is the present share.
func (l *Limit) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.level) / levels
}
