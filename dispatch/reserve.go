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
	requestAverageWeight = 0.05
	requestAverageDecay  = 3 * time.Second
	reserveDeviations    = 2 // standard deviations of a Poisson number above its mean
	reserveMaxDivisor    = 4 // at most one of so many held slots
)

// arrive takes one request as a sample. The caller holds the lock.
func (d *Dispatcher) recordRequestArrival(now time.Time) {
	d.averageRequests = d.decayedAverage(now)
	d.averageRequests += requestAverageWeight * (float64(d.runningRequests+1) - d.averageRequests)
	d.averagedAt = now
}

func (d *Dispatcher) decayedAverage(now time.Time) float64 {
	if d.averagedAt.IsZero() {
		return 0
	}
	idle := now.Sub(d.averagedAt)
	return d.averageRequests * math.Exp(-float64(idle)/float64(requestAverageDecay))
}

// spareSlots is the number of free slots that jobs leave for requests that come.
func (d *Dispatcher) requestReserve(now time.Time, held int) int {
	average := d.decayedAverage(now)
	if average < 0.05 {
		return 0
	}
	wanted := int(math.Ceil(average + reserveDeviations*math.Sqrt(average)))
	return max(0, min(wanted-d.runningRequests, held/reserveMaxDivisor))
}

// faster orders targets, the fastest first.
func fasterFirst(a, b *target) int { return cmp.Compare(b.speed, a.speed) }

// reserve marks the fastest free slots as kept and gives their number.
func (d *Dispatcher) reserveForRequests(now time.Time) int {
	held := 0
	for _, t := range d.targetList {
		t.reserved = 0
		held += t.held
	}
	left := d.requestReserve(now, held)
	if left == 0 {
		return 0
	}
	bySpeed := slices.Clone(d.targetList)
	slices.SortStableFunc(bySpeed, fasterFirst)
	reserved := 0
	for _, t := range bySpeed {
		t.reserved = min(left, t.free)
		left -= t.reserved
		reserved += t.reserved
	}
	return reserved
}

// Lendable lists the upstreams of the own zone, the fastest first, without
// those that should get no work, and with the slots that are kept for requests.
func (d *Dispatcher) LoanOffers() []loan.Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshTargets()
	d.reserveForRequests(d.options.Now())
	var lendable []*target
	for _, t := range d.targetList {
		if t.inZone && t.held > 0 && !t.trialDue {
			lendable = append(lendable, t)
		}
	}
	slices.SortStableFunc(lendable, fasterFirst)
	offers := make([]loan.Offer, len(lendable))
	for i, t := range lendable {
		offers[i] = loan.Offer{Upstream: t.name, Keep: t.reserved}
	}
	return offers
}
