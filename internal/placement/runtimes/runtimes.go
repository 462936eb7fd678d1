// Package runtimes estimates run times of tasks from earlier ones, by queue, worker and
// kind of worker.
package runtimes

import (
	"math"
	"time"
)

// Weights of one observation in the moving averages.
const (
	queueSmoothing  = 0.05 // a queue has many observations per second
	workerSmoothing = 0.25 // a worker has few observations, and its speed may change
	kindSmoothing   = 0.05
)

// hintWeight is the weight of the client's estimate in the expected run time. The
// estimate and the average of the queue have errors of about the same size.
const hintWeight = 0.5

// defaultRuntime is the expected run time without any observation or estimate.
const defaultRuntime = 200 * time.Millisecond

// workerTolerance is the deviation of a worker's mean from that of its kind, as a
// difference of logarithms, that is ignored. It is also subtracted from larger
// deviations. It is twice the spread that remains after workerSmoothing if run times
// vary by a quarter. Without it half of the workers of a kind appear slow at any time.
const workerTolerance = 0.2

// Bounds of a worker's slowdown factor. Values outside come from faults, not speed.
const (
	maxFactor = 20
	minFactor = 0.05
)

// Once a kind has settledCount observations, each counts as at most maxKindDeviation away
// from its mean, as a difference of logarithms: workers that are slow by a fault must not
// make their kind appear slow.
const (
	settledCount     = 50
	maxKindDeviation = 0.5
)

// average is a moving average of logarithms.
type average struct {
	mean  float64
	count int
}

// add adds one observation. The first ones are averaged with equal weights.
func (a *average) add(x, smoothing float64) {
	a.count++
	a.mean += (x - a.mean) * max(smoothing, 1/float64(a.count))
}

// Estimator learns the run times of queues and the speeds of workers. It is not safe
// for concurrent use.
type Estimator struct {
	queues   map[string]*average // log of the run time in ms on a worker with a slowdown factor of 1
	hintBias map[string]*average // log of the ratio of the run time to the client's estimate
	workers  map[string]*average // log of the ratio of a worker's slowdown factor to that of its kind
	kinds    map[string]*average // log of the slowdown factor
}

// New returns an Estimator without observations.
func New() *Estimator {
	return &Estimator{
		queues: map[string]*average{}, hintBias: map[string]*average{},
		workers: map[string]*average{}, kinds: map[string]*average{},
	}
}

func averageFor(all map[string]*average, key string) *average {
	a, ok := all[key]
	if !ok {
		a = &average{}
		all[key] = a
	}
	return a
}

// current returns a copy of an average, the zero value if there is none yet.
func current(all map[string]*average, key string) average {
	if a, known := all[key]; known {
		return *a
	}
	return average{}
}

// BaseRuntime returns the expected run time of a task on a worker with a slowdown
// factor of 1. hint is the client's estimate, or 0 if there is none.
func (e *Estimator) BaseRuntime(queue string, hint time.Duration) time.Duration {
	q := current(e.queues, queue)
	hinted := math.Log(max(1, float64(hint.Milliseconds()))) + current(e.hintBias, queue).mean
	switch {
	case q.count == 0 && hint <= 0:
		return defaultRuntime
	case q.count == 0:
		return expMilliseconds(hinted)
	case hint <= 0:
		return expMilliseconds(q.mean)
	}
	return expMilliseconds(hintWeight*hinted + (1-hintWeight)*q.mean)
}

// Stated returns the run time that a client states, or a default if it states none.
func Stated(hint time.Duration) time.Duration {
	if hint <= 0 {
		return defaultRuntime
	}
	return hint
}

func expMilliseconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}

// SlowdownFactor returns the expected run time on a worker as a multiple of the base
// run time.
func (e *Estimator) SlowdownFactor(worker, kind string) float64 {
	deviation := averageFor(e.workers, worker).mean
	return math.Exp(averageFor(e.kinds, kind).mean + deviation - min(max(deviation, -workerTolerance), workerTolerance))
}

// KindFactor returns the expected run time on a sound worker of a kind as a multiple of the
// base run time.
func (e *Estimator) KindFactor(kind string) float64 { return math.Exp(averageFor(e.kinds, kind).mean) }

// Observe records the run time of a completed task. base is the base run time that was
// expected of it.
func (e *Estimator) Observe(queue, worker, kind string, hint, base, took time.Duration) {
	ms := math.Log(max(0.1, float64(took)/float64(time.Millisecond)))
	factor := averageFor(e.kinds, kind).mean + averageFor(e.workers, worker).mean
	averageFor(e.queues, queue).add(ms-factor, queueSmoothing)
	if hint > 0 {
		averageFor(e.hintBias, queue).add(ms-factor-math.Log(max(1, float64(hint.Milliseconds()))), queueSmoothing)
	}
	deviation := ms - math.Log(max(0.1, float64(base)/float64(time.Millisecond)))
	deviation = min(max(deviation, math.Log(minFactor)), math.Log(maxFactor))
	k := averageFor(e.kinds, kind)
	if k.count < settledCount {
		k.add(deviation, kindSmoothing)
	} else {
		k.add(min(max(deviation, k.mean-maxKindDeviation), k.mean+maxKindDeviation), kindSmoothing)
	}
	averageFor(e.workers, worker).add(deviation-k.mean, workerSmoothing)
}

// raisedWeight is the number of observations that RaiseSlowdown counts as, so that the next
// one does not replace it.
const raisedWeight = 4

// RaiseSlowdown records that a worker takes ratio times as long as expected for a task that
// still runs.
func (e *Estimator) RaiseSlowdown(worker string, ratio float64) {
	a := averageFor(e.workers, worker)
	a.mean = min(a.mean+math.Log(max(1, ratio)), math.Log(maxFactor))
	a.count = max(a.count, raisedWeight)
}

// slowdownHalfLife is the time in which the deviation of a slow worker from its kind is
// halved. A slow worker gets few tasks, whose run times would show that it has recovered.
const slowdownHalfLife = 20 * time.Second

// DecaySlowdowns lets the workers that are much slower than their kind approach it, as is
// due after some time. Smaller deviations are left to the run times of tasks.
func (e *Estimator) DecaySlowdowns(elapsed time.Duration) {
	remaining := math.Exp2(-float64(max(0, elapsed)) / float64(slowdownHalfLife))
	for _, a := range e.workers {
		if a.mean > 2*workerTolerance {
			a.mean *= remaining
		}
	}
}

// Forget removes a worker that has left.
func (e *Estimator) Forget(worker string) { delete(e.workers, worker) }
