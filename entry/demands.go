package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/quota"
)

// demandTurn is the number of heartbeats from one telling of demands to the next.
const demandTurn = 16

// heardDemand is what a member of the own zone told of its tenants.
type heardDemand struct {
	rates map[string]float64
	until time.Time
}

// zoneDemand is the last summary of another zone.
type zoneDemand struct {
	at     uint64
	rates  map[string]float64
	until  time.Time // afterwards the zone counts as not heard
	passed int
}

// latestZone gives the summary of another zone that was passed on least. One a
// heartbeat keeps the bytes of a heartbeat apart from the number of zones.
func (e *Entry) latestZone() (string, zoneDemand, bool) {
	least := ""
	for name, z := range e.zones {
		if least == "" || z.passed < e.zones[least].passed {
			least = name
		}
	}
	if least == "" {
		return "", zoneDemand{}, false
	}
	z := e.zones[least]
	z.passed++
	e.zones[least] = z
	return least, z, true
}

// summary adds up the demands of the own zone.
func (e *Entry) summary() *wire.Zone {
	now := time.Now()
	total := e.quota.Demands()
	for _, d := range e.demands {
		if d.until.Before(now) {
			continue
		}
		for tenant, rate := range d.rates {
			total[tenant] += rate
		}
	}
	return &wire.Zone{Name: e.settings.Zone, At: uint64(now.UnixMilli()), Demands: packDemands(total)}
}

func packDemands(rates map[string]float64) *wire.Demands {
	d := &wire.Demands{}
	for tenant, rate := range rates {
		d.Tenants = append(d.Tenants, tenantHash(tenant))
		d.Rates = append(d.Rates, float32(rate))
	}
	return d
}

// tenantHash names a tenant in four bytes. Two tenants of the same hash would
// only share their demands.
func tenantHash(tenant string) uint32 { return uint32(xxhash.Sum64String(tenant)) }

// unpackDemands names the tenants of the bundle in force again.
func (e *Entry) unpackDemands(d *wire.Demands) map[string]float64 {
	rates := map[string]float64{}
	b := e.rollout.Bundle()
	if b == nil || len(d.GetTenants()) != len(d.GetRates()) {
		return rates
	}
	byHash := map[uint32]float64{}
	for i, hash := range d.GetTenants() {
		byHash[hash] = float64(d.GetRates()[i])
	}
	for tenant := range b.Tenants {
		if rate, ok := byHash[tenantHash(tenant)]; ok {
			rates[tenant] = rate
		}
	}
	return rates
}

func (e *Entry) hearDemands(from member.Record, beat *wire.Beat) {
	if len(beat.Zones) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// With more zones each is told of less often.
	until := time.Now().Add(4 * demandTurn * e.settings.HeartbeatInterval * time.Duration(1+len(e.zones)/3))
	if from.Zone == e.settings.Zone {
		e.demands[from.ID] = heardDemand{rates: e.unpackDemands(beat.Demands), until: until}
	}
	for _, z := range beat.Zones {
		if z.Name == e.settings.Zone || z.At <= e.zones[z.Name].at {
			continue
		}
		e.zones[z.Name] = zoneDemand{at: z.At, rates: e.unpackDemands(z.Demands), until: until}
	}
}

// share computes this entry's part of the quotas.
func (e *Entry) share() {
	b := e.rollout.Bundle()
	if b == nil {
		return
	}
	view := quota.View{Zones: len(b.Zones()), Members: map[string]map[string]float64{}, Others: map[string]map[string]float64{}, Whole: true}
	live := e.members.Live(e.settings.Zone)
	now := time.Now()
	e.mu.Lock()
	for _, r := range live {
		if r.ID != e.settings.VM {
			view.Members[r.ID] = e.demands[r.ID].rates
		}
	}
	for _, zone := range b.Zones() {
		if zone == e.settings.Zone {
			continue
		}
		z, ok := e.zones[zone]
		view.Others[zone] = z.rates
		if !ok || z.until.Before(now) {
			view.Whole = false
		}
	}
	e.mu.Unlock()
	e.quota.Share(view)
}
