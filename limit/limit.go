// Package limit adapts the share of an upstream's slots that is used to the latency of its tasks.
package limit

import (
	"math"
	"sync"
	"time"
)

// Parameters of the adaptation.
const (
	levels        = 8           // the share changes in eighths of the declared slots
	overloadRatio = 1.4         // latency / baseline above which a lower level is tried
	minGain       = 1.05        // factor by which a higher level must raise the throughput
	latencyWeight = 0.1         // weight of one task in the moving average of a level's latency
	tasksPerLevel = 16          // tasks at a level before it is evaluated
	trialInterval = time.Second // time without trials of a higher level after a failed trial
)

// trial says whether the current level is on trial against the level next to it.
type trial int

const (
	noTrial trial = iota
	lowerTrial
	higherTrial
)

// Limiter searches for the lowest level whose throughput is close to the best one.
// The throughput of a level is the level divided by its latency. A higher latency
// alone does not show whether an upstream is overloaded or slower at any load, so
// the limiter tries a lower level: an overloaded upstream loses no throughput by
// it. Limiter is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu          sync.Mutex
	level       int
	trial       trial
	tasks       int                 // tasks observed at the current level
	logLatency  [levels + 1]float64 // by level: mean logarithm of actual / expected run time
	hasBaseline bool
	baseline    float64   // the same while the upstream is not overloaded
	nextTrial   time.Time // earliest time of the next trial of a higher level
}

// New returns a limiter that allows all slots. now must not be nil.
func New(now func() time.Time) *Limiter { return &Limiter{now: now, level: levels} }

// Observe records a finished task. expected is its predicted run time on the
// fastest upstream, usedShare the share of the slots that were busy when it
// started. Only tasks that started at the limit count towards the current level.
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

// throughput returns the throughput of a level in tasks per expected run time.
func (l *Limiter) throughput(level int) float64 {
	return float64(level) / math.Exp(l.logLatency[level])
}

func (l *Limiter) setLevel(level int, t trial) {
	l.level, l.trial, l.tasks = level, t, 0
}

// evaluate ends the current trial and decides whether to start another one.
func (l *Limiter) evaluate() {
	now := l.now()
	switch l.trial {
	case lowerTrial:
		if l.throughput(l.level)*minGain < l.throughput(l.level+1) {
			// The lower level has less throughput: the upstream is slower, not overloaded.
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
	overloaded := l.logLatency[l.level]-l.baseline > math.Log(overloadRatio)
	switch {
	case overloaded && l.level > 1:
		l.setLevel(l.level-1, lowerTrial)
	case l.level < levels && now.After(l.nextTrial):
		l.setLevel(l.level+1, higherTrial)
	}
}

// AllowedSlots returns how many of an upstream's slots may be used, at least 1.
func (l *Limiter) AllowedSlots(slots int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, (l.level*slots+levels-1)/levels)
}

// SlotShare returns the share of the slots that may be used.
func (l *Limiter) SlotShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.level) / levels
}
