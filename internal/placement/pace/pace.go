// Package pace learns how long tasks run, by queue and by worker.
package pace

import (
	"math"
	"time"
)

// Weights of one outcome in the averages.
const (
	queueStep  = 0.05 // a queue has many outcomes a second
	workerStep = 0.25 // a worker has few, and its speed may change
	kindStep   = 0.05
)

// trust is the share of the client's estimate in the expected run time. The
// estimate and the queue's average are off by about as much.
const trust = 0.5

// unknown is the run time expected of a queue without any outcome or estimate.
const unknown = 200 * time.Millisecond

// alike is how far, in logarithms, the mean of a worker may lie off that of its kind
// and count as the same, and what is taken off larger distances: twice the spread
// that workerStep leaves of run times which are off by a fourth. Without it half of
// the workers of a kind look slow at any time.
const alike = 0.2

// Bounds of a worker's factor: what lies outside is a fault, not a speed.
const (
	slowest = 20
	fastest = 0.05
)

type average struct {
	value float64 // logarithm
	seen  int
}

// add takes one outcome; the first ones weigh as in a plain mean.
func (a *average) add(x, step float64) {
	a.seen++
	a.value += (x - a.value) * max(step, 1/float64(a.seen))
}

// Pace is not safe for concurrent use.
type Pace struct {
	queues  map[string]*average // log of ms at the speed 1
	bias    map[string]*average // log of the run time over the client's estimate
	workers map[string]*average // log of the factor against the kind's
	kinds   map[string]*average // log of the factor
}

// New makes a pace that has seen nothing.
func New() *Pace {
	return &Pace{
		queues: map[string]*average{}, bias: map[string]*average{},
		workers: map[string]*average{}, kinds: map[string]*average{},
	}
}

func get(all map[string]*average, key string) *average {
	a, ok := all[key]
	if !ok {
		a = &average{}
		all[key] = a
	}
	return a
}

// Base is the run time of a task on a worker of the speed 1.
func (p *Pace) Base(queue string, hint time.Duration) time.Duration {
	q := get(p.queues, queue)
	hinted := math.Log(max(1, float64(hint.Milliseconds()))) + get(p.bias, queue).value
	switch {
	case q.seen == 0 && hint <= 0:
		return unknown
	case q.seen == 0:
		return milliseconds(hinted)
	case hint <= 0:
		return milliseconds(q.value)
	}
	return milliseconds(trust*hinted + (1-trust)*q.value)
}

func milliseconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}

// Factor is how many times as long as on a worker of the speed 1 a task takes.
func (p *Pace) Factor(worker, kind string) float64 {
	off := get(p.workers, worker).value
	return math.Exp(get(p.kinds, kind).value + off - min(max(off, -alike), alike))
}

// Observe takes the run time of a task that ended well.
func (p *Pace) Observe(queue, worker, kind string, hint, base, took time.Duration) {
	ms := math.Log(max(0.1, float64(took)/float64(time.Millisecond)))
	factor := get(p.kinds, kind).value + get(p.workers, worker).value
	get(p.queues, queue).add(ms-factor, queueStep)
	if hint > 0 {
		get(p.bias, queue).add(ms-factor-math.Log(max(1, float64(hint.Milliseconds()))), queueStep)
	}
	off := ms - math.Log(max(0.1, float64(base)/float64(time.Millisecond)))
	off = min(max(off, math.Log(fastest)), math.Log(slowest))
	k := get(p.kinds, kind)
	k.add(off, kindStep)
	get(p.workers, worker).add(off-k.value, workerStep)
}

// Forget drops a worker that has left.
func (p *Pace) Forget(worker string) { delete(p.workers, worker) }
