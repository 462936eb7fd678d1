package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/quota"
)

// demandInterval is the number of heartbeats between two that carry the demands
// of tenants.
const demandInterval = 16

// memberDemand is the demand by tenant that another entry of the same zone last
// reported.
type memberDemand struct {
	rates     map[string]float64
	expiresAt time.Time
}

// zoneDemand is the latest summary of the demands of another zone.
type zoneDemand struct {
	timestamp uint64 // Unix time in milliseconds at the sender; the highest wins
	rates     map[string]float64
	expiresAt time.Time // after this the summary is stale
	forwarded int       // number of heartbeats that carried this summary
}

// nextZoneToForward returns the summary that was forwarded least often among those
// of other zones. Only one is sent per heartbeat, so that the size of a heartbeat
// does not depend on the number of zones. The caller must hold e.mu.
func (e *Entry) nextZoneToForward() (string, zoneDemand, bool) {
	next := ""
	for name, z := range e.zoneDemands {
		if next == "" || z.forwarded < e.zoneDemands[next].forwarded {
			next = name
		}
	}
	if next == "" {
		return "", zoneDemand{}, false
	}
	z := e.zoneDemands[next]
	z.forwarded++
	e.zoneDemands[next] = z
	return next, z, true
}

// zoneSummary returns the sum of the demands of all entries in the zone of this
// entry. The caller must hold e.mu.
func (e *Entry) zoneSummary() *wire.Zone {
	now := time.Now()
	totals := e.quotaLimiter.Demands()
	for _, d := range e.memberDemands {
		if d.expiresAt.Before(now) {
			continue
		}
		for tenant, rate := range d.rates {
			totals[tenant] += rate
		}
	}
	return &wire.Zone{Name: e.settings.Zone, At: uint64(now.UnixMilli()), Demands: packDemands(totals)}
}

// packDemands encodes demands by tenant for the wire.
func packDemands(rates map[string]float64) *wire.Demands {
	d := &wire.Demands{}
	for tenant, rate := range rates {
		d.Tenants = append(d.Tenants, tenantHash(tenant))
		d.Rates = append(d.Rates, float32(rate))
	}
	return d
}

// tenantHash shortens the name of a tenant to four bytes. If two tenants collide,
// they only share their demands.
func tenantHash(tenant string) uint32 { return uint32(xxhash.Sum64String(tenant)) }

// unpackDemands decodes demands, keyed by tenant name again. Hashes that match no
// tenant of the current bundle are ignored.
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

// recordDemands stores the demands of the sender, if it is in the same zone, and
// those summaries of other zones that are newer than the stored ones.
func (e *Entry) recordDemands(from member.Record, heartbeat *wire.Beat) {
	if len(heartbeat.Zones) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A heartbeat forwards only one zone, so with more zones each is reported less often.
	expiresAt := time.Now().Add(4 * demandInterval * e.settings.HeartbeatInterval * time.Duration(1+len(e.zoneDemands)/3))
	if from.Zone == e.settings.Zone {
		e.memberDemands[from.ID] = memberDemand{rates: e.unpackDemands(heartbeat.Demands), expiresAt: expiresAt}
	}
	for _, z := range heartbeat.Zones {
		if z.Name == e.settings.Zone || z.At <= e.zoneDemands[z.Name].timestamp {
			continue
		}
		e.zoneDemands[z.Name] = zoneDemand{timestamp: z.At, rates: e.unpackDemands(z.Demands), expiresAt: expiresAt}
	}
}

// updateQuotaShare recomputes this entry's share of each tenant's quota from the
// demands of the other entries and zones.
func (e *Entry) updateQuotaShare() {
	b := e.rollout.Bundle()
	if b == nil {
		return
	}
	view := quota.DemandView{Zones: len(b.Zones()), EntryDemands: map[string]map[string]float64{}, ZoneDemands: map[string]map[string]float64{}, AllZonesHeard: true}
	live := e.members.Live(e.settings.Zone)
	now := time.Now()
	e.mu.Lock()
	for _, r := range live {
		if r.ID != e.settings.VM {
			view.EntryDemands[r.ID] = e.memberDemands[r.ID].rates
		}
	}
	for _, zone := range b.Zones() {
		if zone == e.settings.Zone {
			continue
		}
		z, ok := e.zoneDemands[zone]
		view.ZoneDemands[zone] = z.rates
		if !ok || z.expiresAt.Before(now) {
			view.AllZonesHeard = false
		}
	}
	e.mu.Unlock()
	e.quotaLimiter.UpdateShares(view)
}
