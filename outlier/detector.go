// Package outlier puts aside upstreams that fail or stall, a bounded share at a time, and takes them back by single trials.
package outlier

import (
	"sync"
	"time"
)

// Options of a board.
type Options struct {
	ConsecutiveFailures int           // in a row that put an upstream aside
	FailureRate         float64       // failure rate that does, once Sample outcomes are known
	MinOutcomes         int           // outcomes
	BaseEjectionTime    time.Duration // first time aside; doubles up to Longest
	MaxEjectionTime     time.Duration
	Now                 func() time.Time
}

type state struct {
	consecutiveFailures int
	outcomes            int
	failureRate         float64
	ejected             bool
	ejectedUntil        time.Time
	ejections           int
	trialRunning        bool
	trialDeadline       time.Time
}

// rateStep is the share of one outcome in the failure rate.
const outcomeWeight = 0.1

// Detector judges the upstreams of one zone. It is safe for concurrent use.
type Detector struct {
	options Options

	mu         sync.Mutex
	states     map[string]*state
	maxEjected int
}

// New makes a board on which nobody is aside.
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

// SetMaxEjected sets how many upstreams may be aside at once.
func (d *Detector) SetMaxEjected(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxEjected = count
}

func (d *Detector) state(name string) *state {
	s, ok := d.states[name]
	if !ok {
		s = &state{}
		d.states[name] = s
	}
	return s
}

// Observe takes one outcome and tells whether the upstream's standing changed.
func (d *Detector) Observe(name string, success bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(name)
	if s.ejected && !s.trialRunning {
		return false // a task that began before tells nothing new
	}
	s.outcomes++
	if success {
		return s.succeed()
	}
	s.consecutiveFailures++
	s.failureRate += outcomeWeight * (1 - s.failureRate)
	if s.ejected {
		s.trialRunning = false
		d.eject(s)
		return false
	}
	bad := s.consecutiveFailures >= d.options.ConsecutiveFailures || (s.outcomes >= d.options.MinOutcomes && s.failureRate > d.options.FailureRate)
	if !bad || d.countEjected() >= d.maxEjected {
		return false
	}
	d.eject(s)
	return true
}

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

func (d *Detector) eject(s *state) {
	duration := d.options.BaseEjectionTime << min(s.ejections, 10)
	s.ejected = true
	s.ejectedUntil = d.options.Now().Add(min(duration, d.options.MaxEjectionTime))
	s.ejections++
}

func (d *Detector) countEjected() int {
	count := 0
	for _, s := range d.states {
		if s.ejected {
			count++
		}
	}
	return count
}

// IsEjected tells whether the upstream gets no ordinary work. Once its time aside
// is over, it is due for one trial task.
func (d *Detector) IsEjected(name string) bool {
	ejected, due := d.ejectionState(name)
	return ejected && !due
}

// TrialDue tells whether the upstream is aside and may get its one trial task now.
func (d *Detector) TrialDue(name string) bool {
	ejected, due := d.ejectionState(name)
	return ejected && due
}

// ejectionState tells whether the upstream is aside, and whether its trial is due.
func (d *Detector) ejectionState(name string) (bool, bool) {
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

// RecordStart notes a start on an upstream; for one that is aside it is the trial.
func (d *Detector) RecordStart(name string, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.states[name]; ok && s.ejected {
		s.trialRunning, s.trialDeadline = true, deadline
	}
}

// EjectedNames lists the upstreams that are aside.
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

// Forget drops an upstream that is gone.
func (d *Detector) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, name)
}
