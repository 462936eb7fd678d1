// Package outlier ejects upstreams that fail or stall, up to a limit, and returns each to service after a successful trial task.
package outlier

import (
	"sync"
	"sync/atomic"
	"time"
)

// Options configure a Detector. Zero values select the defaults.
type Options struct {
	ConsecutiveFailures int           // consecutive failures after which an upstream is ejected; 5 by default
	FailureRate         float64       // failure rate above which an upstream is ejected; 0.5 by default
	MinOutcomes         int           // outcomes needed before FailureRate applies; 10 by default
	BaseEjectionTime    time.Duration // duration of the first ejection, doubled with each further one; 2 s by default
	MaxEjectionTime     time.Duration // longest ejection; 30 s by default
	Now                 func() time.Time
}

// state is the record of one upstream.
type state struct {
	consecutiveFailures int
	outcomes            int // since the last return to service
	failureRate         float64
	ejected             bool
	ejectedUntil        time.Time
	ejections           int // successive ejections, which determine the ejection time
	trialRunning        bool
	trialDeadline       time.Time // after this another trial may start
}

// outcomeWeight is the weight of one outcome in the moving average of the failure rate.
const outcomeWeight = 0.1

// Detector tracks the outcomes of tasks by upstream and decides which upstreams are
// ejected. It ejects none until SetMaxEjected is called. It is safe for concurrent
// use.
type Detector struct {
	options Options
	// ejected is the number of ejected upstreams. It is changed with mu held, and read without it: while it is 0,
	// as usual, IsEjected takes no lock.
	ejected atomic.Int64

	mu         sync.Mutex
	states     map[string]*state
	maxEjected int
}

// New returns a detector without ejected upstreams.
func New(options Options) *Detector {
	if options.ConsecutiveFailures == 0 {
		options.ConsecutiveFailures = 5
	}
	if options.FailureRate == 0 {
		options.FailureRate = 0.5
	}
	if options.MinOutcomes == 0 {
		options.MinOutcomes = 10
	}
	if options.BaseEjectionTime == 0 {
		options.BaseEjectionTime = 2 * time.Second
	}
	if options.MaxEjectionTime == 0 {
		options.MaxEjectionTime = 30 * time.Second
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Detector{options: options, states: map[string]*state{}}
}

// SetMaxEjected sets how many upstreams may be ejected at the same time.
func (d *Detector) SetMaxEjected(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxEjected = count
}

// state returns the state of an upstream and creates it if necessary.
func (d *Detector) state(name string) *state {
	s, ok := d.states[name]
	if !ok {
		s = &state{}
		d.states[name] = s
	}
	return s
}

// Observe records the outcome of a task. It reports whether the upstream was
// ejected or returned to service by it.
func (d *Detector) Observe(name string, success bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(name)
	if s.ejected && !s.trialRunning {
		return false // the task started before the ejection
	}
	s.outcomes++
	if success {
		returned := s.succeed()
		if returned {
			d.ejected.Add(-1)
		}
		return returned
	}
	s.consecutiveFailures++
	s.failureRate += outcomeWeight * (1 - s.failureRate)
	if s.ejected {
		s.trialRunning = false
		d.eject(s)
		return false
	}
	failing := s.consecutiveFailures >= d.options.ConsecutiveFailures || (s.outcomes >= d.options.MinOutcomes && s.failureRate > d.options.FailureRate)
	if !failing || int(d.ejected.Load()) >= d.maxEjected {
		return false
	}
	d.eject(s)
	return true
}

// succeed records a success and reports whether it ended the ejection. An upstream
// that has had more than 100 outcomes since its return is next ejected for
// BaseEjectionTime again.
func (s *state) succeed() bool {
	s.consecutiveFailures = 0
	s.failureRate -= outcomeWeight * s.failureRate
	changed := s.ejected
	if changed {
		s.ejected, s.trialRunning, s.failureRate, s.outcomes = false, false, 0, 0
	}
	if s.ejections > 0 && !changed && s.outcomes > 100 {
		s.ejections = 0
	}
	return changed
}

// eject ejects an upstream, or extends its ejection after a failed trial.
func (d *Detector) eject(s *state) {
	duration := d.options.BaseEjectionTime << min(s.ejections, 10)
	if !s.ejected {
		s.ejected = true
		d.ejected.Add(1)
	}
	s.ejectedUntil = d.options.Now().Add(min(duration, d.options.MaxEjectionTime))
	s.ejections++
}

// IsEjected reports whether the upstream is ejected and may get no task at present.
// When its ejection time is over, TrialDue reports true instead until its trial
// task starts.
func (d *Detector) IsEjected(name string) bool {
	ejected, due := d.ejectionState(name)
	return ejected && !due
}

// TrialDue reports whether the upstream is ejected and may get its trial task now.
func (d *Detector) TrialDue(name string) bool {
	ejected, due := d.ejectionState(name)
	return ejected && due
}

// ejectionState reports whether the upstream is ejected, and whether its trial task
// is due.
func (d *Detector) ejectionState(name string) (bool, bool) {
	if d.ejected.Load() == 0 {
		return false, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.states[name]
	if !ok || !s.ejected {
		return false, false
	}
	now := d.options.Now()
	trialRunning := s.trialRunning && now.Before(s.trialDeadline)
	return true, !now.Before(s.ejectedUntil) && !trialRunning
}

// RecordStart records the start of a task on an upstream. On an ejected upstream the
// task is its trial; a trial without an outcome at the deadline may be repeated.
func (d *Detector) RecordStart(name string, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.states[name]; ok && s.ejected {
		s.trialRunning, s.trialDeadline = true, deadline
	}
}

// EjectedNames returns the names of the ejected upstreams, with those that are due
// for a trial task.
func (d *Detector) EjectedNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, s := range d.states {
		if s.ejected {
			names = append(names, name)
		}
	}
	return names
}

// Forget removes an upstream that no longer exists.
func (d *Detector) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.states[name]; ok && s.ejected {
		d.ejected.Add(-1)
	}
	delete(d.states, name)
}
