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
	runtimeLearningRate = 0.01
	speedLearningRate   = 0.05
	errorLearningRate   = 0.02
)

// Histogram bounds in microseconds, and the span after which old values go.
const (
	minMicros         = 1
	maxMicros         = 3_600_000_000
	significantDigits = 2
	histogramPeriod   = 30 * time.Second
	minObservations   = 20 // observations before a quantile is trusted
)

// serviceModel holds two models of the run time on the fastest upstream: one mean,
// and a factor on the caller's hint. The one that errs less is used.
type serviceModel struct {
	observations       int
	hintedObservations int
	logMean            float64 // logarithm of seconds
	logHintFactor      float64 // logarithm of run time by hint
	meanError          float64
	hintError          float64
	current, previous  *hdrhistogram.Histogram
	rotateAt           time.Time
}

type upstreamModel struct {
	observations int
	logSpeed     float64 // logarithm, 0 is the reference
}

// Estimator is safe for concurrent use.
type Estimator struct {
	now func() time.Time

	mu          sync.Mutex
	services    map[string]*serviceModel
	speeds      map[string]*upstreamModel
	maxLogSpeed float64
}

// New makes an estimator that knows nothing.
func New(now func() time.Time) *Estimator {
	return &Estimator{now: now, services: map[string]*serviceModel{}, speeds: map[string]*upstreamModel{}}
}

// learningRate is the share of one observation in a mean over few, then the settled one.
func learningRate(settled float64, observations int) float64 {
	return math.Max(settled, 1/float64(observations+1))
}

// Observe takes the time that a task took on an upstream.
func (e *Estimator) Observe(service, upstream string, hint, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreamModel(upstream)
	logRuntime := math.Log(max(took, time.Microsecond).Seconds())
	s := e.serviceModel(service, logRuntime+u.logSpeed)
	gap := logRuntime - (e.predictLog(s, hint) - u.logSpeed)
	u.logSpeed -= learningRate(speedLearningRate, u.observations) * gap
	u.observations++
	e.updateService(s, hint, logRuntime+u.logSpeed)
	e.updateMaxSpeed()
	if now := e.now(); now.After(s.rotateAt) {
		s.previous, s.current = s.current, s.previous
		s.current.Reset()
		s.rotateAt = now.Add(histogramPeriod)
	}
	_ = s.current.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros))
}

// serviceModel gives the model of a service; mean is for one not seen before.
func (e *Estimator) serviceModel(service string, logMean float64) *serviceModel {
	s, ok := e.services[service]
	if !ok {
		s = &serviceModel{
			logMean:  logMean,
			current:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
			previous: hdrhistogram.New(minMicros, maxMicros, significantDigits),
			rotateAt: e.now().Add(histogramPeriod),
		}
		e.services[service] = s
	}
	return s
}

func (e *Estimator) upstreamModel(upstream string) *upstreamModel {
	u, ok := e.speeds[upstream]
	if !ok {
		u = &upstreamModel{}
		e.speeds[upstream] = u
	}
	return u
}

// updateService moves both models towards a value that is free of the upstream's speed.
func (e *Estimator) updateService(s *serviceModel, hint time.Duration, logRuntime float64) {
	s.meanError += errorLearningRate * (math.Abs(logRuntime-s.logMean) - s.meanError)
	s.logMean += learningRate(runtimeLearningRate, s.observations) * (logRuntime - s.logMean)
	s.observations++
	if hint <= 0 {
		return
	}
	ratio := logRuntime - math.Log(hint.Seconds())
	if s.hintedObservations == 0 {
		s.logHintFactor = ratio
	}
	s.hintError += errorLearningRate * (math.Abs(ratio-s.logHintFactor) - s.hintError)
	s.logHintFactor += learningRate(runtimeLearningRate, s.hintedObservations) * (ratio - s.logHintFactor)
	s.hintedObservations++
}

func (e *Estimator) predictLog(s *serviceModel, hint time.Duration) float64 {
	if hint > 0 && s.hintedObservations > 0 && s.hintError <= s.meanError {
		return s.logHintFactor + math.Log(hint.Seconds())
	}
	return s.logMean
}

// updateMaxSpeed keeps the fastest speed for Speed, which is relative to it.
func (e *Estimator) updateMaxSpeed() {
	e.maxLogSpeed = math.Inf(-1)
	for _, u := range e.speeds {
		e.maxLogSpeed = math.Max(e.maxLogSpeed, u.logSpeed)
	}
}

// Predict gives the run time of a task on the fastest upstream; hint is the
// caller's guess for this task and declared the bundle's for the service.
func (e *Estimator) Predict(service string, hint, declared time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[service]
	if !ok {
		if hint > 0 {
			return hint
		}
		return declared
	}
	return time.Duration(math.Exp(e.predictLog(s, hint)-e.maxLogSpeed) * float64(time.Second))
}

// LatenessFactor gives how many times its prediction a task takes that is as late as one
// in fifteen are, by the errors of the past.
func (e *Estimator) LatenessFactor(service string, hint time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[service]
	if !ok {
		return 1
	}
	meanError := s.meanError
	if hint > 0 && s.hintedObservations > 0 && s.hintError <= s.meanError {
		meanError = s.hintError
	}
	return math.Exp(min(latenessErrors*meanError, maxLogLateness))
}

// lateGaps is how many mean errors late is, and lateMost bounds the logarithm.
const (
	latenessErrors = 2
	maxLogLateness = 1.1
)

// Speed gives the speed of an upstream, 1 for the fastest.
func (e *Estimator) Speed(upstream string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.speeds[upstream]
	if !ok {
		return 1
	}
	return math.Exp(u.logSpeed - e.maxLogSpeed)
}

// HasSpeed tells whether a task has ended on the upstream.
func (e *Estimator) HasSpeed(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.speeds[upstream]
	return ok
}

// Snapshot is what an estimator has learned, for one that has just started.
type Snapshot struct {
	LogRuntimes    map[string]float64 // logarithm of the mean run time in seconds at speed 1
	LogHintFactors map[string]float64 // logarithm of run time by hint, where callers give hints
	LogSpeeds      map[string]float64 // logarithm of the speed
}

// Snapshot gives what has been learned.
func (e *Estimator) Snapshot() Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot := Snapshot{LogRuntimes: map[string]float64{}, LogHintFactors: map[string]float64{}, LogSpeeds: map[string]float64{}}
	for name, s := range e.services {
		snapshot.LogRuntimes[name] = s.logMean
		if s.hintedObservations > 0 {
			snapshot.LogHintFactors[name] = s.logHintFactor
		}
	}
	for name, u := range e.speeds {
		snapshot.LogSpeeds[name] = u.logSpeed
	}
	return snapshot
}

// lessonWeight is the number of observations that a lesson counts for.
const snapshotObservations = 8

// Merge takes a lesson for what is not known yet. What both know tells how far
// the other's scale of speeds is from the own one.
func (e *Estimator) Merge(snapshot Snapshot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	offset := e.scaleOffset(snapshot)
	for name, logMean := range snapshot.LogRuntimes {
		if _, ok := e.services[name]; !ok {
			e.serviceModel(name, logMean+offset).observations = snapshotObservations
		}
	}
	for name, logFactor := range snapshot.LogHintFactors {
		if s, ok := e.services[name]; ok && s.hintedObservations == 0 {
			s.logHintFactor, s.hintedObservations = logFactor+offset, snapshotObservations
		}
	}
	for name, logSpeed := range snapshot.LogSpeeds {
		if _, ok := e.speeds[name]; !ok {
			e.speeds[name] = &upstreamModel{observations: snapshotObservations, logSpeed: logSpeed + offset}
		}
	}
	e.updateMaxSpeed()
}

// scaleOffset is the mean gap between the own scale and a lesson's.
func (e *Estimator) scaleOffset(snapshot Snapshot) float64 {
	sum, count := 0.0, 0
	for name, logSpeed := range snapshot.LogSpeeds {
		if u, ok := e.speeds[name]; ok {
			sum += u.logSpeed - logSpeed
			count++
		}
	}
	if count > 0 {
		return sum / float64(count)
	}
	for name, logMean := range snapshot.LogRuntimes {
		if s, ok := e.services[name]; ok {
			sum += s.logMean - logMean
			count++
		}
	}
	return sum / float64(max(1, count))
}

// SpeedCount counts the upstreams whose speed is known.
func (e *Estimator) SpeedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.speeds)
}

// Forget drops an upstream that is gone.
func (e *Estimator) Forget(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.speeds, upstream)
	e.updateMaxSpeed()
}

// Quantile gives a quantile (0 to 100) of the service's run times over the last
// half minute or so, and false while too few are known.
func (e *Estimator) Quantile(service string, q float64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[service]
	if !ok {
		return 0, false
	}
	histogram := s.current
	if histogram.TotalCount() < minObservations {
		histogram = s.previous
	}
	if histogram.TotalCount() < minObservations {
		return 0, false
	}
	return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond, true
}
