// Package limit adapts the share of an upstream's slots that is used to what its latency shows.
package limit

import (
	"math"
	"sync"
	"time"
)

// Bounds and rates of the adaptation.
const (
	levels        = 8    // the share moves in eighths of the declared slots
	crowdedRatio  = 1.4  // latency over the calm level that starts a trial with less
	minGain       = 1.05 // throughput by which more slots must pay
	latencyWeight = 0.1  // share of one task in a level's latency
	tasksPerLevel = 16   // tasks at a level before it is judged
	trialInterval = time.Second
)

// trial is a level that is being tried.
type trial int

const (
	noTrial trial = iota
	lowerTrial
	higherTrial
)

// Limiter climbs to the least level that has nearly the best throughput, level by
// latency. Whether an upstream is crowded or merely slower shows only when less
// is tried: a crowded one loses no throughput by it. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu          sync.Mutex
	level       int
	trial       trial
	tasks       int // tasks at this level
	logLatency  [levels + 1]float64
	hasBaseline bool
	baseline    float64
	nextTrial   time.Time // of the next trial
}

// New makes a limit that allows all slots.
func New(now func() time.Time) *Limiter { return &Limiter{now: now, level: levels} }

// Observe takes a finished task: expected is the run time on the fastest
// upstream, used the share of the slots that were busy when it began. Only tasks
// that began at the limit tell anything about it.
func (l *Limiter) Observe(took, expected time.Duration, usedShare float64) {
	if took <= 0 || expected <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	logRatio := math.Log(float64(took) / float64(expected))
	if !l.hasBaseline {
		l.hasBaseline, l.baseline = true, logRatio
	}
	if logRatio < l.baseline {
		l.baseline += latencyWeight * (logRatio - l.baseline)
	}
	if usedShare*levels < float64(l.level)-0.5 {
		return
	}
	l.tasks++
	if l.tasks == 1 {
		l.logLatency[l.level] = logRatio
	}
	l.logLatency[l.level] += max(latencyWeight, 1/float64(l.tasks)) * (logRatio - l.logLatency[l.level])
	if l.tasks >= tasksPerLevel {
		l.evaluate()
	}
}

// throughput of a level in tasks by expected run time.
func (l *Limiter) throughput(level int) float64 {
	return float64(level) / math.Exp(l.logLatency[level])
}

func (l *Limiter) setLevel(level int, t trial) {
	l.level, l.trial, l.tasks = level, t, 0
}

// evaluate ends a trial, or begins one.
func (l *Limiter) evaluate() {
	now := l.now()
	switch l.trial {
	case lowerTrial:
		if l.throughput(l.level)*minGain < l.throughput(l.level+1) {
			// Less was worse: the upstream is slower now, not crowded.
			l.baseline = l.logLatency[l.level+1]
			l.setLevel(l.level+1, noTrial)
			l.nextTrial = now.Add(trialInterval)
			return
		}
	case higherTrial:
		if l.throughput(l.level) < minGain*l.throughput(l.level-1) {
			l.setLevel(l.level-1, noTrial)
			l.nextTrial = now.Add(trialInterval)
			return
		}
	}
	l.trial = noTrial
	crowded := l.logLatency[l.level]-l.baseline > math.Log(crowdedRatio)
	switch {
	case crowded && l.level > 1:
		l.setLevel(l.level-1, lowerTrial)
	case l.level < levels && now.After(l.nextTrial):
		l.setLevel(l.level+1, higherTrial)
	}
}

// AllowedSlots gives how many of so many slots may be used, at least 1.
func (l *Limiter) AllowedSlots(slots int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, (l.level*slots+levels-1)/levels)
}

// SlotShare is the present share.
func (l *Limiter) SlotShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.level) / levels
}
