// Package outlier puts aside upstreams that fail or stall, a bounded share at a time, and takes them back by single trials.
package outlier

import (
	"sync"
	"time"
)

// Options of a board.
type Options struct {
	Failures int           // in a row that put an upstream aside
	Rate     float64       // failure rate that does, once Sample outcomes are known
	Sample   int           // outcomes
	Aside    time.Duration // first time aside; doubles up to Longest
	Longest  time.Duration
	Now      func() time.Time
}

type score struct {
	row     int
	seen    int
	rate    float64
	aside   bool
	until   time.Time
	times   int
	trial   bool
	trialBy time.Time
}

// rateStep is the share of one outcome in the failure rate.
const rateStep = 0.1

// Board judges the upstreams of one zone. It is safe for concurrent use.
type Board struct {
	options Options

	mu     sync.Mutex
	scores map[string]*score
	most   int
}

// New makes a board on which nobody is aside.
func New(options Options) *Board {
	if options.Failures == 0 {
		options.Failures = 5
	}
	if options.Rate == 0 {
		options.Rate = 0.5
	}
	if options.Sample == 0 {
		options.Sample = 10
	}
	if options.Aside == 0 {
		options.Aside = 2 * time.Second
	}
	if options.Longest == 0 {
		options.Longest = 30 * time.Second
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Board{options: options, scores: map[string]*score{}}
}

// Limit sets how many upstreams may be aside at once.
func (b *Board) Limit(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
}

func (b *Board) score(name string) *score {
	s, ok := b.scores[name]
	if !ok {
		s = &score{}
		b.scores[name] = s
	}
	return s
}

// Observe takes one outcome and tells whether the upstream's standing changed.
func (b *Board) Observe(name string, good bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.score(name)
	if s.aside && !s.trial {
		return false // a task that began before tells nothing new
	}
	s.seen++
	if good {
		return s.succeed()
	}
	s.row++
	s.rate += rateStep * (1 - s.rate)
	if s.aside {
		s.trial = false
		b.put(s)
		return false
	}
	bad := s.row >= b.options.Failures || (s.seen >= b.options.Sample && s.rate > b.options.Rate)
	if !bad || b.aside() >= b.most {
		return false
	}
	b.put(s)
	return true
}

func (s *score) succeed() bool {
	s.row = 0
	s.rate -= rateStep * s.rate
	changed := s.aside
	if changed {
		s.aside, s.trial, s.rate, s.seen = false, false, 0, 0
	}
	if s.times > 0 && !changed && s.seen > 100 {
		s.times = 0
	}
	return changed
}

func (b *Board) put(s *score) {
	span := b.options.Aside << min(s.times, 10)
	s.aside = true
	s.until = b.options.Now().Add(min(span, b.options.Longest))
	s.times++
}

func (b *Board) aside() int {
	count := 0
	for _, s := range b.scores {
		if s.aside {
			count++
		}
	}
	return count
}

// Aside tells whether the upstream gets no ordinary work. Once its time aside
// is over, it is due for one trial task.
func (b *Board) Aside(name string) bool {
	aside, due := b.standing(name)
	return aside && !due
}

// Trial tells whether the upstream is aside and may get its one trial task now.
func (b *Board) Trial(name string) bool {
	aside, due := b.standing(name)
	return aside && due
}

// standing tells whether the upstream is aside, and whether its trial is due.
func (b *Board) standing(name string) (bool, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.scores[name]
	if !ok || !s.aside {
		return false, false
	}
	now := b.options.Now()
	underWay := s.trial && now.Before(s.trialBy)
	return true, !now.Before(s.until) && !underWay
}

// Begin notes a start on an upstream; for one that is aside it is the trial.
func (b *Board) Begin(name string, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.scores[name]; ok && s.aside {
		s.trial, s.trialBy = true, deadline
	}
}

// Names lists the upstreams that are aside.
func (b *Board) Names() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, s := range b.scores {
		if s.aside {
			names = append(names, name)
		}
	}
	return names
}

// Forget drops an upstream that is gone.
func (b *Board) Forget(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.scores, name)
}
