package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// Some free slots are reserved for requests, according to the average number of
// requests that run at once. That number is sampled at each arrival, since
// arrivals observe the time average. Without arrivals the average decays.
const (
	requestAverageWeight = 0.05            // weight of one sample in the average
	requestAverageDecay  = 3 * time.Second // time without arrivals in which the average falls to 1/e
	reserveDeviations    = 2               // standard deviations of a Poisson distribution above its mean
	reserveMaxDivisor    = 4               // at most 1/reserveMaxDivisor of the held slots
)

// recordRequestArrival updates the average number of running requests. The caller
// must hold the lock.
func (d *Dispatcher) recordRequestArrival(now time.Time) {
	d.averageRequests = d.decayedAverage(now)
	d.averageRequests += requestAverageWeight * (float64(d.runningRequests+1) - d.averageRequests)
	d.averagedAt = now
}

// decayedAverage returns the average number of running requests, decayed by the
// time since the last arrival.
func (d *Dispatcher) decayedAverage(now time.Time) float64 {
	if d.averagedAt.IsZero() {
		return 0
	}
	idle := now.Sub(d.averagedAt)
	return d.averageRequests * math.Exp(-float64(idle)/float64(requestAverageDecay))
}

// requestReserve returns the number of free slots that jobs must leave for
// requests yet to arrive.
func (d *Dispatcher) requestReserve(now time.Time, held int) int {
	average := d.decayedAverage(now)
	if average < 0.05 {
		return 0
	}
	wanted := int(math.Ceil(average + reserveDeviations*math.Sqrt(average)))
	return max(0, min(wanted-d.runningRequests, held/reserveMaxDivisor))
}

// fasterFirst compares targets by descending speed.
func fasterFirst(a, b *target) int { return cmp.Compare(b.speed, a.speed) }

// reserveForRequests reserves the fastest free slots for requests and returns
// their number.
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

// LoanOffers returns the upstreams in the zone that peers may borrow slots of,
// fastest first, with the number of free slots that are reserved for requests
// here. Upstreams that are not usable or due for a trial task are left out.
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
		offers[i] = loan.Offer{Upstream: t.name, Reserve: t.reserved}
	}
	return offers
}
