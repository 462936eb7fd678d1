// Package quota limits the task starts per second of each tenant. A quota is divided among availability zones and their entries by recent demand.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWeight is the weight of the last interval in the moving average of demand.
	demandWeight = 0.3
	// minDemandShare is the lowest demand assumed of an entry or zone, as a share of
	// the quota.
	minDemandShare = 0.01
	// burstSeconds is the number of seconds for which unused starts accumulate; a
	// bucket can always hold one.
	burstSeconds = 0.5
)

// DemandView holds the demands of other entries and zones known to an entry.
type DemandView struct {
	Zones         int                           // availability zones that have upstreams
	EntryDemands  map[string]map[string]float64 // by entry and tenant: demands of the other live entries of the zone
	ZoneDemands   map[string]map[string]float64 // by zone and tenant: demands of the other zones, as last reported
	AllZonesHeard bool                          // every other zone has reported its demands recently
}

// bucket is the token bucket of one tenant.
type bucket struct {
	limit         float64 // starts per second of the tenant in all zones; 0 for no limit
	rate          float64 // share of this entry, in starts per second
	zoneRate      float64 // share of this zone when AllZonesHeard was last true
	tokens        float64
	refilledAt    time.Time
	requested     float64 // starts requested since intervalStart
	demand        float64 // recent demand at this entry, in starts per second
	intervalStart time.Time
}

// Limiter enforces this entry's shares of the quotas of all tenants. It is safe for
// concurrent use.
type Limiter struct {
	now func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// New returns a limiter without tenants. now must not be nil.
func New(now func() time.Time) *Limiter {
	return &Limiter{now: now, buckets: map[string]*bucket{}}
}

// SetLimits sets the limits of all tenants and removes tenants that have none. zones
// is the number of availability zones, which have equal shares of a new limit until
// UpdateShares is called with the demands of all zones.
func (l *Limiter) SetLimits(limits map[string]float64, zones int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for tenant, limit := range limits {
		b, ok := l.buckets[tenant]
		if !ok {
			b = &bucket{refilledAt: now, intervalStart: now}
			l.buckets[tenant] = b
		}
		if b.limit != limit {
			b.limit = limit
			b.zoneRate = limit / float64(max(1, zones))
			b.rate = b.zoneRate
			b.tokens = b.rate * burstSeconds
		}
	}
	for tenant := range l.buckets {
		if _, ok := limits[tenant]; !ok {
			delete(l.buckets, tenant)
		}
	}
}

// Take requests a number of starts at once. If they are refused, it returns the time
// at which they could be granted. A job with more starts than the bucket can hold
// is granted when the bucket is full, and leaves it with a negative number of
// tokens.
func (l *Limiter) Take(tenant string, starts int) (bool, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[tenant]
	if !ok || b.limit == 0 {
		return true, time.Time{}
	}
	now := l.now()
	b.requested += float64(starts)
	b.refill(now)
	required := min(float64(starts), max(1, b.rate*burstSeconds))
	if b.tokens >= required {
		b.tokens -= float64(starts)
		return true, time.Time{}
	}
	wait := (required - b.tokens) / max(b.rate, 1e-3)
	return false, now.Add(time.Duration(min(wait, 60) * float64(time.Second)))
}

// refill adds the tokens that have accrued since the last refill.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*b.rate, max(1, b.rate*burstSeconds))
}

// Demands returns the recent demand at this entry by tenant, in starts per second.
// It must be called at regular intervals, which update the moving average.
func (l *Limiter) Demands() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	demands := map[string]float64{}
	for tenant, b := range l.buckets {
		if b.limit == 0 {
			continue
		}
		if elapsed := now.Sub(b.intervalStart).Seconds(); elapsed > 0.1 {
			b.demand += demandWeight * (b.requested/elapsed - b.demand)
			b.requested, b.intervalStart = 0, now
		}
		if b.demand > 0.01 {
			demands[tenant] = b.demand
		}
	}
	return demands
}

// UpdateShares recomputes this entry's share of each quota. If all zones have reported
// their demands, a quota is divided among them by demand. Otherwise the share of this
// zone stays as it was, so that zones partitioned from each other do not exceed the
// quota together.
func (l *Limiter) UpdateShares(view DemandView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for tenant, b := range l.buckets {
		if b.limit == 0 {
			continue
		}
		b.refill(now)
		minDemand := b.limit * minDemandShare
		ownDemand := math.Max(b.demand, minDemand)
		otherDemand, zoneDemand := 0.0, b.demand
		for _, demands := range view.EntryDemands {
			otherDemand += math.Max(demands[tenant], minDemand)
			zoneDemand += demands[tenant]
		}
		if view.AllZonesHeard {
			b.zoneRate = b.limit * zoneShare(view, tenant, math.Max(zoneDemand, minDemand), minDemand)
		}
		b.rate = b.zoneRate * ownDemand / (ownDemand + otherDemand)
	}
}

// zoneShare returns this zone's share of the quota, in proportion to its demand.
func zoneShare(view DemandView, tenant string, zoneDemand, minDemand float64) float64 {
	total := zoneDemand
	for _, demands := range view.ZoneDemands {
		total += math.Max(demands[tenant], minDemand)
	}
	return zoneDemand / total
}

// Rate returns this entry's current share of a tenant's quota, in starts per second.
func (l *Limiter) Rate(tenant string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[tenant]; ok {
		return b.rate
	}
	return 0
}
