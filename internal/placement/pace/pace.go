// Package pace learns how long tasks run, by queue and by worker.
package pace

import (
	"math"
	"time"
)

// Weights of one outcome in the averages.
const (
	queueSmoothing  = 0.05 // a queue has many outcomes a second
	workerSmoothing = 0.25 // a worker has few, and its speed may change
	kindSmoothing   = 0.05
)

// trust is the share of the client's estimate in the expected run time. The
// estimate and the queue's average are off by about as much.
const hintWeight = 0.5

// unknown is the run time expected of a queue without any outcome or estimate.
const defaultRuntime = 200 * time.Millisecond

// alike is how far, in logarithms, the mean of a worker may lie off that of its kind
// and count as the same, and what is taken off larger distances: twice the spread
// that workerStep leaves of run times which are off by a fourth. Without it half of
// the workers of a kind look slow at any time.
const workerTolerance = 0.2

// Bounds of a worker's factor: what lies outside is a fault, not a speed.
const (
	maxFactor = 20
	minFactor = 0.05
)

type average struct {
	mean  float64 // logarithm
	count int
}

// add takes one outcome; the first ones weigh as in a plain mean.
func (a *average) add(x, smoothing float64) {
	a.count++
	a.mean += (x - a.mean) * max(smoothing, 1/float64(a.count))
}

// Estimator is not safe for concurrent use.
type Estimator struct {
	queues   map[string]*average // log of ms at the speed 1
	hintBias map[string]*average // log of the run time over the client's estimate
	workers  map[string]*average // log of the factor against the kind's
	kinds    map[string]*average // log of the factor
}

// New makes a pace that has seen nothing.
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

// BaseRuntime is the run time of a task on a worker of the speed 1.
func (p *Estimator) BaseRuntime(queue string, hint time.Duration) time.Duration {
	q := averageFor(p.queues, queue)
	hinted := math.Log(max(1, float64(hint.Milliseconds()))) + averageFor(p.hintBias, queue).mean
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

func expMilliseconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}

// SlowdownFactor is how many times as long as on a worker of the speed 1 a task takes.
func (p *Estimator) SlowdownFactor(worker, kind string) float64 {
	deviation := averageFor(p.workers, worker).mean
	return math.Exp(averageFor(p.kinds, kind).mean + deviation - min(max(deviation, -workerTolerance), workerTolerance))
}

// Observe takes the run time of a task that ended well.
func (p *Estimator) Observe(queue, worker, kind string, hint, base, took time.Duration) {
	ms := math.Log(max(0.1, float64(took)/float64(time.Millisecond)))
	factor := averageFor(p.kinds, kind).mean + averageFor(p.workers, worker).mean
	averageFor(p.queues, queue).add(ms-factor, queueSmoothing)
	if hint > 0 {
		averageFor(p.hintBias, queue).add(ms-factor-math.Log(max(1, float64(hint.Milliseconds()))), queueSmoothing)
	}
	deviation := ms - math.Log(max(0.1, float64(base)/float64(time.Millisecond)))
	deviation = min(max(deviation, math.Log(minFactor)), math.Log(maxFactor))
	k := averageFor(p.kinds, kind)
	k.add(deviation, kindSmoothing)
	averageFor(p.workers, worker).add(deviation-k.mean, workerSmoothing)
}

// Forget drops a worker that has left.
func (p *Estimator) Forget(worker string) { delete(p.workers, worker) }
