// Package estimate learns run times of services and speeds of upstreams from finished tasks.
package estimate

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Learning rates: the share of one observation in the estimate once it has settled.
const (
	serviceRate = 0.01
	speedRate   = 0.05
	errorRate   = 0.02
)

// Histogram bounds in microseconds, and the span after which old values go.
const (
	lowest  = 1
	highest = 3_600_000_000
	digits  = 2
	turn    = 30 * time.Second
	fewest  = 20 // observations before a quantile is trusted
)

// service holds two models of the run time on the fastest upstream: one mean,
// and a factor on the caller's hint. The one that errs less is used.
type service struct {
	seen      int
	hinted    int
	mean      float64 // logarithm of seconds
	factor    float64 // logarithm of run time by hint
	meanError float64
	hintError float64
	now, past *hdrhistogram.Histogram
	turnAt    time.Time
}

type speed struct {
	seen  int
	value float64 // logarithm, 0 is the reference
}

// Estimator is safe for concurrent use.
type Estimator struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*service
	speeds   map[string]*speed
	fastest  float64
}

// New makes an estimator that knows nothing.
func New(now func() time.Time) *Estimator {
	return &Estimator{now: now, services: map[string]*service{}, speeds: map[string]*speed{}}
}

// rate is the share of one observation in a mean over few, then the settled one.
func rate(settled float64, seen int) float64 {
	return math.Max(settled, 1/float64(seen+1))
}

// Observe takes the time that a task took on an upstream.
func (e *Estimator) Observe(name, upstream string, hint, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.speed(upstream)
	value := math.Log(max(took, time.Microsecond).Seconds())
	s := e.service(name, value+u.value)
	gap := value - (e.expect(s, hint) - u.value)
	u.value -= rate(speedRate, u.seen) * gap
	u.seen++
	e.learn(s, hint, value+u.value)
	e.settle()
	if now := e.now(); now.After(s.turnAt) {
		s.past, s.now = s.now, s.past
		s.now.Reset()
		s.turnAt = now.Add(turn)
	}
	_ = s.now.RecordValue(min(max(took.Microseconds(), lowest), highest))
}

// service gives the model of a service; mean is for one not seen before.
func (e *Estimator) service(name string, mean float64) *service {
	s, ok := e.services[name]
	if !ok {
		s = &service{
			mean:   mean,
			now:    hdrhistogram.New(lowest, highest, digits),
			past:   hdrhistogram.New(lowest, highest, digits),
			turnAt: e.now().Add(turn),
		}
		e.services[name] = s
	}
	return s
}

func (e *Estimator) speed(name string) *speed {
	u, ok := e.speeds[name]
	if !ok {
		u = &speed{}
		e.speeds[name] = u
	}
	return u
}

// learn moves both models towards a value that is free of the upstream's speed.
func (e *Estimator) learn(s *service, hint time.Duration, value float64) {
	s.meanError += errorRate * (math.Abs(value-s.mean) - s.meanError)
	s.mean += rate(serviceRate, s.seen) * (value - s.mean)
	s.seen++
	if hint <= 0 {
		return
	}
	ratio := value - math.Log(hint.Seconds())
	if s.hinted == 0 {
		s.factor = ratio
	}
	s.hintError += errorRate * (math.Abs(ratio-s.factor) - s.hintError)
	s.factor += rate(serviceRate, s.hinted) * (ratio - s.factor)
	s.hinted++
}

func (e *Estimator) expect(s *service, hint time.Duration) float64 {
	if hint > 0 && s.hinted > 0 && s.hintError <= s.meanError {
		return s.factor + math.Log(hint.Seconds())
	}
	return s.mean
}

// settle keeps the fastest speed for Speed, which is relative to it.
func (e *Estimator) settle() {
	e.fastest = math.Inf(-1)
	for _, u := range e.speeds {
		e.fastest = math.Max(e.fastest, u.value)
	}
}

// Predict gives the run time of a task on the fastest upstream; hint is the
// caller's guess for this task and declared the bundle's for the service.
func (e *Estimator) Predict(name string, hint, declared time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[name]
	if !ok {
		if hint > 0 {
			return hint
		}
		return declared
	}
	return time.Duration(math.Exp(e.expect(s, hint)-e.fastest) * float64(time.Second))
}

// Late gives how many times its prediction a task takes that is as late as one
// in fifteen are, by the errors of the past.
func (e *Estimator) Late(name string, hint time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[name]
	if !ok {
		return 1
	}
	gap := s.meanError
	if hint > 0 && s.hinted > 0 && s.hintError <= s.meanError {
		gap = s.hintError
	}
	return math.Exp(min(lateGaps*gap, lateMost))
}

// lateGaps is how many mean errors late is, and lateMost bounds the logarithm.
const (
	lateGaps = 2
	lateMost = 1.1
)

// Speed gives the speed of an upstream, 1 for the fastest.
func (e *Estimator) Speed(upstream string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.speeds[upstream]
	if !ok {
		return 1
	}
	return math.Exp(u.value - e.fastest)
}

// Known tells whether a task has ended on the upstream.
func (e *Estimator) Known(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.speeds[upstream]
	return ok
}

// Lesson is what an estimator has learned, for one that has just started.
type Lesson struct {
	Services map[string]float64 // logarithm of the mean run time in seconds at speed 1
	Hints    map[string]float64 // logarithm of run time by hint, where callers give hints
	Speeds   map[string]float64 // logarithm of the speed
}

// Lesson gives what has been learned.
func (e *Estimator) Lesson() Lesson {
	e.mu.Lock()
	defer e.mu.Unlock()
	lesson := Lesson{Services: map[string]float64{}, Hints: map[string]float64{}, Speeds: map[string]float64{}}
	for name, s := range e.services {
		lesson.Services[name] = s.mean
		if s.hinted > 0 {
			lesson.Hints[name] = s.factor
		}
	}
	for name, u := range e.speeds {
		lesson.Speeds[name] = u.value
	}
	return lesson
}

// lessonWeight is the number of observations that a lesson counts for.
const lessonWeight = 8

// Learn takes a lesson for what is not known yet. What both know tells how far
// the other's scale of speeds is from the own one.
func (e *Estimator) Learn(lesson Lesson) {
	e.mu.Lock()
	defer e.mu.Unlock()
	shift := e.shift(lesson)
	for name, mean := range lesson.Services {
		if _, ok := e.services[name]; !ok {
			e.service(name, mean+shift).seen = lessonWeight
		}
	}
	for name, factor := range lesson.Hints {
		if s, ok := e.services[name]; ok && s.hinted == 0 {
			s.factor, s.hinted = factor+shift, lessonWeight
		}
	}
	for name, value := range lesson.Speeds {
		if _, ok := e.speeds[name]; !ok {
			e.speeds[name] = &speed{seen: lessonWeight, value: value + shift}
		}
	}
	e.settle()
}

// shift is the mean gap between the own scale and a lesson's.
func (e *Estimator) shift(lesson Lesson) float64 {
	sum, count := 0.0, 0
	for name, value := range lesson.Speeds {
		if u, ok := e.speeds[name]; ok {
			sum += u.value - value
			count++
		}
	}
	if count > 0 {
		return sum / float64(count)
	}
	for name, mean := range lesson.Services {
		if s, ok := e.services[name]; ok {
			sum += s.mean - mean
			count++
		}
	}
	return sum / float64(max(1, count))
}

// Learned counts the upstreams whose speed is known.
func (e *Estimator) Learned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.speeds)
}

// Forget drops an upstream that is gone.
func (e *Estimator) Forget(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.speeds, upstream)
	e.settle()
}

// Quantile gives a quantile (0 to 100) of the service's run times over the last
// half minute or so, and false while too few are known.
func (e *Estimator) Quantile(name string, q float64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[name]
	if !ok {
		return 0, false
	}
	histogram := s.now
	if histogram.TotalCount() < fewest {
		histogram = s.past
	}
	if histogram.TotalCount() < fewest {
		return 0, false
	}
	return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond, true
}
