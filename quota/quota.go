// Package quota holds tenants to their starts a second, shared out by zone and entry after recent demand.
package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// demandRate is the share of the last interval in the demand.
	demandRate = 0.3
	// floorShare is the least demand that counts, as a share of the quota.
	floorShare = 0.01
	// burst is how many seconds of a share can be saved up.
	burst = 0.5
)

// View is what an entry knows of demands when it computes its shares.
type View struct {
	Zones   int                           // availability zones that have upstreams
	Members map[string]map[string]float64 // demands by tenant of the other live entries of the zone
	Others  map[string]map[string]float64 // demands by tenant of the other zones, the last heard
	Whole   bool                          // every other zone has been heard lately
}

type bucket struct {
	limit    float64 // starts a second of the tenant over all zones; 0 for none
	rate     float64 // share of this entry
	zone     float64 // share of this zone by the last whole view
	tokens   float64
	filled   time.Time
	asked    float64 // since the last interval
	demand   float64 // starts a second
	interval time.Time
}

// Quota is safe for concurrent use.
type Quota struct {
	now func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// New makes a quota without tenants.
func New(now func() time.Time) *Quota {
	return &Quota{now: now, buckets: map[string]*bucket{}}
}

// Set puts the limits of a bundle in force. Zones is the number of availability
// zones; until others are heard each has an equal share.
func (q *Quota) Set(limits map[string]float64, zones int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for tenant, limit := range limits {
		b, ok := q.buckets[tenant]
		if !ok {
			b = &bucket{filled: now, interval: now}
			q.buckets[tenant] = b
		}
		if b.limit != limit {
			b.limit = limit
			b.zone = limit / float64(max(1, zones))
			b.rate = b.zone
			b.tokens = b.rate * burst
		}
	}
	for tenant := range q.buckets {
		if _, ok := limits[tenant]; !ok {
			delete(q.buckets, tenant)
		}
	}
}

// Take asks for so many starts at once. When refused it tells when they could
// be had. A job larger than the burst is let in once the bucket is full, and
// the tokens go below zero for it.
func (q *Quota) Take(tenant string, starts int) (bool, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b, ok := q.buckets[tenant]
	if !ok || b.limit == 0 {
		return true, time.Time{}
	}
	now := q.now()
	b.asked += float64(starts)
	b.fill(now)
	need := min(float64(starts), max(1, b.rate*burst))
	if b.tokens >= need {
		b.tokens -= float64(starts)
		return true, time.Time{}
	}
	wait := (need - b.tokens) / max(b.rate, 1e-3)
	return false, now.Add(time.Duration(min(wait, 60) * float64(time.Second)))
}

func (b *bucket) fill(now time.Time) {
	span := now.Sub(b.filled).Seconds()
	b.filled = now
	b.tokens = min(b.tokens+span*b.rate, max(1, b.rate*burst))
}

// Demands gives the recent demand by tenant, in starts a second; call it at
// regular intervals.
func (q *Quota) Demands() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	demands := map[string]float64{}
	for tenant, b := range q.buckets {
		if b.limit == 0 {
			continue
		}
		if span := now.Sub(b.interval).Seconds(); span > 0.1 {
			b.demand += demandRate * (b.asked/span - b.demand)
			b.asked, b.interval = 0, now
		}
		if b.demand > 0.01 {
			demands[tenant] = b.demand
		}
	}
	return demands
}

// Share computes this entry's part of each quota. While every zone is heard the
// zones divide a quota by demand. When one is not, the zone's part stays what
// it was, so that zones which are cut off from each other never exceed the
// quota together.
func (q *Quota) Share(v View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for tenant, b := range q.buckets {
		if b.limit == 0 {
			continue
		}
		b.fill(now)
		floor := b.limit * floorShare
		own := math.Max(b.demand, floor)
		mates, zone := 0.0, b.demand
		for _, demands := range v.Members {
			mates += math.Max(demands[tenant], floor)
			zone += demands[tenant]
		}
		if v.Whole {
			b.zone = b.limit * zoneShare(v, tenant, math.Max(zone, floor), floor)
		}
		b.rate = b.zone * own / (own + mates)
	}
}

func zoneShare(v View, tenant string, own, floor float64) float64 {
	total := own
	for _, demands := range v.Others {
		total += math.Max(demands[tenant], floor)
	}
	return own / total
}

// Rate is this entry's present share of a tenant's quota, in starts a second.
func (q *Quota) Rate(tenant string) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b, ok := q.buckets[tenant]; ok {
		return b.rate
	}
	return 0
}
