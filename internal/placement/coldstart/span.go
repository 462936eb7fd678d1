// Package coldstart says what a worker can do while it is cold: how much slower it runs tasks, and how much of
// its capacity may be in use.
package coldstart

import (
	"math"
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

// firstShare is the share of its capacity that a worker may use when it has just become cold.
const firstShare = 0.25

// renewalTolerance is the time by which the stated end of a span may move without a new span: a
// registration is read up to some tenths of a second after it was written.
const renewalTolerance = time.Second

// Span is the time for which a worker is cold. The zero value is a warm worker.
type Span struct{ From, Until time.Time }

// Renew returns the span after the worker has stated until when it is cold. One that ends much
// later than stated before has begun anew.
func (s Span) Renew(until, now time.Time) Span {
	switch {
	case !until.After(now):
		return Span{}
	case !s.Until.After(now), until.After(s.Until.Add(renewalTolerance)):
		return Span{From: now, Until: until}
	}
	return Span{From: s.From, Until: until}
}

// Left returns the part of the span that has not passed: 1 at its beginning, 0 for a warm worker.
func (s Span) Left(now time.Time) float64 {
	if !s.Until.After(now) {
		return 0
	}
	return min(1, float64(s.Until.Sub(now))/float64(s.Until.Sub(s.From)))
}

// Share returns the share of its capacity that the worker may use at once. It rises with time.
func (s Span) Share(now time.Time) float64 { return 1 - (1-firstShare)*s.Left(now) }

// UsedShare returns the share of a worker's capacity that its runs use together with one more task, by
// the resource that is the scarcest. It is 0 for the first task, which an empty worker may always get.
func UsedShare(used, task, capacity resources.Resources) float64 {
	if used == (resources.Resources{}) {
		return 0
	}
	total, share := used.Add(task), 0.0
	for _, r := range [][2]int64{{total.MilliCores, capacity.MilliCores}, {total.MemoryMB, capacity.MemoryMB}, {total.Accelerators, capacity.Accelerators}} {
		if r[1] > 0 {
			share = max(share, float64(r[0])/float64(r[1]))
		}
	}
	return share
}

// Factors are the factors by which tasks take longer on a cold worker, learned for each service. The zero
// value has learned nothing. It is not safe for concurrent use.
type Factors struct {
	services map[string]*learned
}

// learned is a moving average of the logarithm of a factor.
type learned struct {
	mean  float64
	count int
}

const (
	firstFactor = 1.5  // until something is learned
	maxFactor   = 10   // greater ones come from faults
	smoothing   = 0.05 // weight of one observation
	minLeft     = 0.1  // of a span on average during a run that is learned from; less shows little of the factor
)

// At returns the factor of a worker at a time, 1 if it is warm. It fades out with the span.
func (f *Factors) At(service string, s Span, now time.Time) float64 {
	left := s.Left(now)
	if left == 0 {
		return 1
	}
	full := firstFactor
	if l, known := f.services[service]; known {
		full = math.Exp(l.mean)
	}
	return 1 + (full-1)*left
}

// Observe records a task that ran on a cold worker. ratio is its run time over the one expected of a warm
// worker.
func (f *Factors) Observe(service string, s Span, began, ended time.Time, ratio float64) {
	left := (s.Left(began) + s.Left(ended)) / 2
	if left < minLeft {
		return
	}
	if f.services == nil {
		f.services = map[string]*learned{}
	}
	l, known := f.services[service]
	if !known {
		l = &learned{}
		f.services[service] = l
	}
	l.count++
	full := math.Log(min(max(1+(ratio-1)/left, 1), maxFactor))
	l.mean += (full - l.mean) * max(smoothing, 1/float64(l.count))
}
