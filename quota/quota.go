// Package quota holds tenants to their starts a second, shared out by zone and entry after recent demand.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandRate is the share of the last interval in the demand.
	demandWeight = 0.3
	// floorShare is the least demand that counts, as a share of the quota.
	minDemandShare = 0.01
	// burst is how many seconds of a share can be saved up.
	burstSeconds = 0.5
)

// DemandView is what an entry knows of demands when it computes its shares.
type DemandView struct {
	Zones         int                           // availability zones that have upstreams
	EntryDemands  map[string]map[string]float64 // demands by tenant of the other live entries of the zone
	ZoneDemands   map[string]map[string]float64 // demands by tenant of the other zones, the last heard
	AllZonesHeard bool                          // every other zone has been heard lately
}

type bucket struct {
	limit         float64 // starts a second of the tenant over all zones; 0 for none
	rate          float64 // share of this entry
	zoneRate      float64 // share of this zone by the last whole view
	tokens        float64
	refilledAt    time.Time
	requested     float64 // since the last interval
	demand        float64 // starts a second
	intervalStart time.Time
}

// Limiter is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// New makes a quota without tenants.
func New(now func() time.Time) *Limiter {
	return &Limiter{now: now, buckets: map[string]*bucket{}}
}

// SetLimits puts the limits of a bundle in force. Zones is the number of availability
// zones; until others are heard each has an equal share.
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

// Take asks for so many starts at once. When refused it tells when they could
// be had. A job larger than the burst is let in once the bucket is full, and
// the tokens go below zero for it.
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

func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed*b.rate, max(1, b.rate*burstSeconds))
}

// Demands gives the recent demand by tenant, in starts a second; call it at
// regular intervals.
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

// UpdateShares computes this entry's part of each quota. While every zone is heard the
// zones divide a quota by demand. When one is not, the zone's part stays what
// it was, so that zones which are cut off from each other never exceed the
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

func zoneShare(view DemandView, tenant string, zoneDemand, minDemand float64) float64 {
	total := zoneDemand
	for _, demands := range view.ZoneDemands {
		total += math.Max(demands[tenant], minDemand)
	}
	return zoneDemand / total
}

// Rate is this entry's present share of a tenant's quota, in starts a second.
func (l *Limiter) Rate(tenant string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[tenant]; ok {
		return b.rate
	}
	return 0
}
