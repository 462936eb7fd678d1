// Package estimate estimates the run times of services and the relative speeds of upstreams from finished tasks.
package estimate

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Learning rates: the weight of one observation in a moving average once enough
// observations have been made, see learningRate.
const (
	runtimeLearningRate = 0.01
	speedLearningRate   = 0.05
	errorLearningRate   = 0.02
)

// Histograms hold run times in microseconds. A histogram collects them for
// one period and is kept for another.
const (
	minMicros         = 1
	maxMicros         = 3_600_000_000
	significantDigits = 2
	histogramPeriod   = 30 * time.Second
	minObservations   = 20 // observations needed for a quantile
)

// serviceModel holds two models of the run time at speed 1: a mean, and a factor
// by which the caller's hint is multiplied. Predictions use the one with the
// smaller mean error.
type serviceModel struct {
	observations       int
	hintedObservations int
	logMean            float64 // logarithm of the run time in seconds
	logHintFactor      float64 // logarithm of run time / hint
	meanError          float64
	hintError          float64
	current, previous  *hdrhistogram.Histogram
	rotateAt           time.Time
}

type upstreamModel struct {
	observations int
	logSpeed     float64 // logarithm of the speed, 0 for the reference speed 1
}

// Estimator keeps a run time model for each service and a speed for each
// upstream. It is safe for concurrent use.
type Estimator struct {
	now func() time.Time

	mu          sync.Mutex
	services    map[string]*serviceModel
	upstreams   map[string]*upstreamModel
	maxLogSpeed float64
}

// New returns an estimator without observations. now must not be nil.
func New(now func() time.Time) *Estimator {
	return &Estimator{now: now, services: map[string]*serviceModel{}, upstreams: map[string]*upstreamModel{}}
}

// learningRate returns the weight of the next observation: that of a plain mean
// while there are few observations, and settled after that.
func learningRate(settled float64, observations int) float64 {
	return math.Max(settled, 1/float64(observations+1))
}

// Observe records the run time of a task on an upstream. A hint of 0 means that
// the caller gave none.
func (e *Estimator) Observe(service, upstream string, hint, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreamModel(upstream)
	logRuntime := math.Log(max(took, time.Microsecond).Seconds())
	s := e.serviceModel(service, logRuntime+u.logSpeed)
	logError := logRuntime - (e.predictLog(s, hint) - u.logSpeed)
	u.logSpeed -= learningRate(speedLearningRate, u.observations) * logError
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

// serviceModel returns the model of a service. A service without a model gets one
// that starts with logMean.
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

// upstreamModel returns the model of an upstream and creates it if necessary.
func (e *Estimator) upstreamModel(upstream string) *upstreamModel {
	u, ok := e.upstreams[upstream]
	if !ok {
		u = &upstreamModel{}
		e.upstreams[upstream] = u
	}
	return u
}

// updateService updates both models of a service. logRuntime is the logarithm of
// the run time at speed 1, that is, with the speed of the upstream taken out.
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

// predictLog returns the logarithm of the predicted run time at speed 1.
func (e *Estimator) predictLog(s *serviceModel, hint time.Duration) float64 {
	if hint > 0 && s.hintedObservations > 0 && s.hintError <= s.meanError {
		return s.logHintFactor + math.Log(hint.Seconds())
	}
	return s.logMean
}

// updateMaxSpeed recomputes the speed of the fastest upstream, to which Speed and
// Predict are relative.
func (e *Estimator) updateMaxSpeed() {
	e.maxLogSpeed = math.Inf(-1)
	for _, u := range e.upstreams {
		e.maxLogSpeed = math.Max(e.maxLogSpeed, u.logSpeed)
	}
}

// Predict returns the expected run time of a task on the fastest upstream. For a
// service without observations it returns hint, the caller's estimate for this
// task, or declared, the bundle's estimate for the service, if hint is 0.
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

// LatenessFactor returns the ratio of actual to predicted run time that about one
// task in fifteen exceeds, derived from past prediction errors.
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

// A task counts as late when the logarithm of its run time exceeds the predicted
// one by latenessErrors times the mean error, at most by maxLogLateness, which is a
// factor of 3.
const (
	latenessErrors = 2
	maxLogLateness = 1.1
)

// Speed returns the speed of an upstream relative to the fastest. It returns 1 for
// an upstream whose speed is not known.
func (e *Estimator) Speed(upstream string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.upstreams[upstream]
	if !ok {
		return 1
	}
	return math.Exp(u.logSpeed - e.maxLogSpeed)
}

// HasSpeed reports whether the speed of the upstream is known, from a task that
// finished on it or from a merged snapshot.
func (e *Estimator) HasSpeed(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.upstreams[upstream]
	return ok
}

// Snapshot holds the estimates of an estimator, with which one that has just
// started can begin.
type Snapshot struct {
	LogRuntimes    map[string]float64 // logarithm of the mean run time in seconds at speed 1
	LogHintFactors map[string]float64 // logarithm of run time / hint, for services whose callers give hints
	LogSpeeds      map[string]float64 // logarithm of the speed
}

// Snapshot returns a copy of the current estimates.
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
	for name, u := range e.upstreams {
		snapshot.LogSpeeds[name] = u.logSpeed
	}
	return snapshot
}

// snapshotObservations is the number of observations that a merged estimate counts as.
const snapshotObservations = 8

// Merge adds the estimates of a snapshot for services and upstreams that have none
// yet. Each estimator has its own reference speed; the offset between the two is
// computed from the estimates that both have.
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
		if _, ok := e.upstreams[name]; !ok {
			e.upstreams[name] = &upstreamModel{observations: snapshotObservations, logSpeed: logSpeed + offset}
		}
	}
	e.updateMaxSpeed()
}

// scaleOffset returns the mean difference between the logarithms of this estimator's
// estimates and those of a snapshot: of the speeds, or of the run times if they have
// no upstream in common.
func (e *Estimator) scaleOffset(snapshot Snapshot) float64 {
	sum, count := 0.0, 0
	for name, logSpeed := range snapshot.LogSpeeds {
		if u, ok := e.upstreams[name]; ok {
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

// SpeedCount returns the number of upstreams whose speed is known.
func (e *Estimator) SpeedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.upstreams)
}

// Forget removes an upstream that no longer exists.
func (e *Estimator) Forget(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.upstreams, upstream)
	e.updateMaxSpeed()
}

// Quantile returns a quantile (0 to 100) of the service's run times on all
// upstreams over about the last half minute. It returns false if there are fewer
// than 20 observations.
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
