package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// The reserve follows the number of requests that run at once. Arrivals see the
// average of what runs, so each arrival is one sample; without arrivals the
// average fades.
const (
	reserveRate = 0.05
	reserveFade = 3 * time.Second
	reserveWide = 2 // standard deviations of a Poisson number above its mean
	reserveMost = 4 // at most one of so many held slots
)

// arrive takes one request as a sample. The caller holds the lock.
func (d *Dispatcher) arrive(now time.Time) {
	d.average = d.faded(now)
	d.average += reserveRate * (float64(d.serving+1) - d.average)
	d.sampled = now
}

func (d *Dispatcher) faded(now time.Time) float64 {
	if d.sampled.IsZero() {
		return 0
	}
	idle := now.Sub(d.sampled)
	return d.average * math.Exp(-float64(idle)/float64(reserveFade))
}

// spareSlots is the number of free slots that jobs leave for requests that come.
func (d *Dispatcher) spareSlots(now time.Time, held int) int {
	average := d.faded(now)
	if average < 0.05 {
		return 0
	}
	whole := int(math.Ceil(average + reserveWide*math.Sqrt(average)))
	return max(0, min(whole-d.serving, held/reserveMost))
}

// faster orders targets, the fastest first.
func faster(a, b *target) int { return cmp.Compare(b.speed, a.speed) }

// reserve marks the fastest free slots as kept and gives their number.
func (d *Dispatcher) reserve(now time.Time) int {
	held := 0
	for _, t := range d.order {
		t.kept = 0
		held += t.held
	}
	left := d.spareSlots(now, held)
	if left == 0 {
		return 0
	}
	byFast := slices.Clone(d.order)
	slices.SortStableFunc(byFast, faster)
	marked := 0
	for _, t := range byFast {
		t.kept = min(left, t.free)
		left -= t.kept
		marked += t.kept
	}
	return marked
}

// Lendable lists the upstreams of the own zone, the fastest first, without
// those that should get no work, and with the slots that are kept for requests.
func (d *Dispatcher) Lendable() []loan.Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.survey()
	d.reserve(d.options.Now())
	var near []*target
	for _, t := range d.order {
		if t.near && t.held > 0 && !t.trial {
			near = append(near, t)
		}
	}
	slices.SortStableFunc(near, faster)
	offers := make([]loan.Offer, len(near))
	for i, t := range near {
		offers[i] = loan.Offer{Upstream: t.name, Reserve: t.kept}
	}
	return offers
}
