package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/exchange"
	"github.com/radishgate/radishgate/home"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/quota"
)

// rampSteps is the number of heartbeats over which a joining entry takes its
// full weight as a home, so that its slots move a few at a time.
const rampSteps = 6

// demandTurn is the number of heartbeats from one telling of demands to the next.
const demandTurn = 8

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

// beatLoop sends heartbeats and applies what the view of members implies.
func (e *Entry) beatLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.Beat)
	defer ticker.Stop()
	e.ramp(0)
	for step := 1; ; step++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.ramp(step)
		e.tick(ctx, step)
	}
}

// ramp raises the own weight step by step. An entry that is alone in its zone
// takes all at once.
func (e *Entry) ramp(step int) {
	alone := len(e.members.Live(e.settings.Zone)) <= 1
	share := min(1, float64(step)/rampSteps)
	if alone && step > 1 {
		share = 1
	}
	// The change runs under the table's lock and must take no other.
	ready, free, backlog := e.Ready(), e.dispatcher.Room(), e.dispatcher.Backlog()
	e.members.Update(func(r *member.Record) {
		r.Weight = max(r.Weight, e.settings.Weight*share)
		if step == 0 {
			r.Weight = 0
		}
		r.Ready, r.Free, r.Backlog = ready, free, backlog
	})
}

func (e *Entry) tick(ctx context.Context, step int) {
	e.members.Sweep()
	records, targets := e.members.Beat()
	beat := e.compose(records, step%demandTurn == 0)
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() { e.gossip(ctx, target, beat) })
	}
	e.replace()
	e.share()
	e.ledger.Expire()
	e.dispatcher.Kick()
	group.Wait()
}

func (e *Entry) compose(records []member.Record, demands bool) *wire.Beat {
	beat := &wire.Beat{}
	for _, r := range records {
		beat.Members = append(beat.Members, peer.Pack(r))
	}
	if !demands {
		return beat
	}
	beat.Demands = packDemands(e.quota.Demands())
	e.mu.Lock()
	defer e.mu.Unlock()
	beat.Zones = append(beat.Zones, e.summary())
	if name, z, ok := e.latestZone(); ok {
		beat.Zones = append(beat.Zones, &wire.Zone{Name: name, At: z.at, Demands: packDemands(z.rates)})
	}
	return beat
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

func (e *Entry) gossip(ctx context.Context, target member.Record, beat *wire.Beat) {
	ctx, cancel := context.WithTimeout(ctx, 2*e.settings.Beat)
	defer cancel()
	e.measures.Messages.WithLabelValues("beat").Inc()
	answer, err := e.client.Gossip(ctx, target.Peer, beat)
	e.members.Reached(target.ID, err == nil)
	if err != nil {
		if peer.Refused(err) {
			e.members.Refused(target.ID)
		}
		return
	}
	e.hear(ctx, answer)
}

// heard answers a heartbeat with the own record.
func (e *Entry) heard(beat *wire.Beat) *wire.Beat {
	e.hear(e.life, beat)
	answer := &wire.Beat{}
	for _, r := range e.members.Digest() {
		answer.Members = append(answer.Members, peer.Pack(r))
	}
	return answer
}

func (e *Entry) hear(ctx context.Context, beat *wire.Beat) {
	if len(beat.Members) == 0 {
		return
	}
	var records []member.Record
	for _, m := range beat.Members {
		records = append(records, peer.Unpack(m))
	}
	before := e.members.Generation()
	e.members.Merge(records)
	if e.members.Generation() != before {
		go e.replace()
	}
	e.hearDemands(records[0], beat)
	if records[0].Zone == e.settings.Zone && records[0].Ready && e.taught.CompareAndSwap(false, true) {
		go e.learn(ctx, records[0])
	}
	if records[0].Version > e.version() {
		go e.fetch(ctx, records[0])
	}
}

func (e *Entry) hearDemands(from member.Record, beat *wire.Beat) {
	if len(beat.Zones) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// With more zones each is told of less often.
	until := time.Now().Add(4 * demandTurn * e.settings.Beat * time.Duration(1+len(e.zones)/3))
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

// learn takes run times and speeds from a member of the own zone that serves
// already, so that a replaced VM does not learn them at its callers' cost.
func (e *Entry) learn(ctx context.Context, from member.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.measures.Messages.WithLabelValues("fetch").Inc()
	lesson, err := e.client.Lesson(ctx, from.Peer)
	if err != nil {
		e.taught.Store(false)
		return
	}
	e.estimator.Learn(lesson)
}

// fetch takes a newer bundle from a peer, which is the way when the platform
// cannot be reached.
func (e *Entry) fetch(ctx context.Context, from member.Record) {
	if e.rollout.Reading() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.measures.Messages.WithLabelValues("fetch").Inc()
	chain, err := e.client.Fetch(ctx, from.Peer, e.version())
	if err != nil {
		return
	}
	if err := e.rollout.Adopt(chain); err != nil {
		e.log.Warn("bundle from a peer is refused", "peer", from.ID, "error", err)
	}
}

func (e *Entry) chain(above int64) []bundle.Record {
	chain := e.rollout.Chain()
	if len(chain) == 0 || chain[len(chain)-1].Version <= above {
		return nil
	}
	return chain
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

// replace brings the homes of slots in line with the members.
func (e *Entry) replace() {
	if b := e.rollout.Bundle(); b != nil {
		e.place(b)
	}
}

func (e *Entry) place(b *bundle.Bundle) {
	generation := e.members.Generation()
	ring := home.Ring{}
	for _, r := range e.members.Live(e.settings.Zone) {
		ring.Members = append(ring.Members, home.Member{ID: r.ID, Weight: r.Weight})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if (e.placed == generation && e.placedBy == b.Version) || generation < e.placed {
		return
	}
	for name, u := range b.Upstreams {
		if u.Zone != e.settings.Zone {
			continue
		}
		slots := ring.Slots(e.settings.VM, name, u.Slots)
		if old, ok := e.homes[name]; !ok || old != slots {
			e.homes[name] = slots
			e.ledger.Set(name, slots)
		}
	}
	e.placed, e.placedBy = generation, b.Version
	e.measures.Changes.WithLabelValues("homes").Inc()
}

// owner names the member that should own a partition: the same for all whose
// views agree.
func (e *Entry) owner(index int) string {
	ring := home.Ring{}
	for _, r := range e.members.Live("") {
		ring.Members = append(ring.Members, home.Member{ID: r.ID, Weight: 1})
	}
	return ring.Home("partition/" + strconv.Itoa(index))
}

// ownLoop acquires the partitions that this entry should own before the first
// key needs them, and lets go of the others.
func (e *Entry) ownLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.Beat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b := e.rollout.Bundle()
		if b == nil || !e.Ready() {
			continue
		}
		for index := range b.Rules.Partitions {
			e.own(ctx, index)
		}
	}
}

func (e *Entry) own(ctx context.Context, index int) {
	p := e.partition(index)
	should := e.owner(index) == e.settings.VM
	switch {
	case should && !p.Owned():
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if p.Acquire(ctx) == nil {
			e.measures.Changes.WithLabelValues("partition").Inc()
			e.log.Info("partition acquired", "partition", index)
		}
	case !should && p.Owned():
		p.Release()
		e.log.Info("partition released", "partition", index)
	}
}

// listLoop reads the platform's list of VMs.
func (e *Entry) listLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.Poll)
	defer ticker.Stop()
	for {
		e.list(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Poll)
	defer cancel()
	list, err := e.platform.VMs(ctx, e.settings.Zone, e.listed)
	if err != nil {
		return
	}
	if list.Whole {
		clear(e.vms)
	}
	for _, vm := range list.VMs {
		e.vms[vm.ID] = vm
	}
	for _, id := range list.Removed {
		delete(e.vms, id)
	}
	e.listed = list.Version
	e.follow()
}

// follow applies the list: seeds for members, leaving marks and leases.
func (e *Entry) follow() {
	var seeds []member.Record
	leaving := map[string]bool{}
	leases := map[string]time.Time{}
	for _, vm := range e.vms {
		if vm.Role == "entry" {
			seeds = append(seeds, member.Record{ID: vm.ID, Zone: vm.Zone, Peer: vm.Peer, Leaving: vm.Leaving})
			continue
		}
		if vm.Leaving {
			leaving[vm.ID] = true
		}
		if !vm.Lease.IsZero() {
			leases[vm.ID] = vm.Lease
		}
	}
	e.members.Seed(seeds)
	e.mu.Lock()
	e.leaving, e.leases = leaving, leases
	e.mu.Unlock()
}

// announce puts this entry into the platform's list.
func (e *Entry) announce(ctx context.Context) {
	callers, peers, _ := e.Addresses()
	vm := platform.VM{ID: e.settings.VM, Zone: e.settings.Zone, Role: "entry", Address: callers, Peer: peers}
	ctx, cancel := context.WithTimeout(ctx, e.settings.Poll)
	defer cancel()
	_ = e.platform.Announce(ctx, vm)
}

func (e *Entry) nearPeers() []exchange.Peer { return e.lenders(true) }

func (e *Entry) farPeers() []exchange.Peer {
	if b := e.rollout.Bundle(); b == nil || !b.Rules.Spill {
		return nil
	}
	return e.lenders(false)
}

func (e *Entry) lenders(near bool) []exchange.Peer {
	var peers []exchange.Peer
	for _, r := range e.members.Live("") {
		if r.ID != e.settings.VM && (r.Zone == e.settings.Zone) == near {
			peers = append(peers, exchange.Peer{ID: r.ID, Zone: r.Zone, Free: r.Free})
		}
	}
	return peers
}

func (e *Entry) ask(ctx context.Context, id string, ask loan.Ask, service string) (loan.Grant, int, error) {
	r, _, ok := e.members.Find(id)
	if !ok {
		return loan.Grant{}, 0, &UnknownMemberError{ID: id}
	}
	grant, free, err := e.client.Borrow(ctx, r.Peer, ask, service)
	if err != nil && peer.Refused(err) {
		e.members.Refused(id)
	}
	return grant, free, err
}

// UnknownMemberError is a member that has been forgotten.
type UnknownMemberError struct{ ID string }

// Error names the member.
func (e *UnknownMemberError) Error() string { return "member " + e.ID + " is not known" }

// coalesce is how long an answer is held back for more slots to come free.
const coalesce = 8 * time.Millisecond

// lend answers an ask for slots, and may hold it until some come free.
func (e *Entry) lend(ctx context.Context, ask loan.Ask, service string) (loan.Grant, int) {
	ask.Fit = e.fit(ask.Speed, service)
	var offers []loan.Offer
	if ask.Want > 0 {
		offers = e.dispatcher.Lendable()
	}
	grant := e.ledger.Lend(ask, offers, e.dispatcher.Demand())
	if ask.Want > 0 && len(grant.Loans)+len(grant.Returned) == 0 && ask.Until.After(time.Now()) {
		held := e.hold(ctx, ask)
		grant.Loans, grant.Returned = held.Loans, held.Returned
	}
	if len(ask.Return) > 0 {
		e.dispatcher.Kick()
	}
	return grant, e.dispatcher.Room()
}

// fit tells which upstreams help the asker: fast enough, and with the labels
// that the service needs.
func (e *Entry) fit(speed float64, service string) func(string) bool {
	b := e.rollout.Bundle()
	return func(name string) bool {
		if speed > 0 && e.estimator.Speed(name) < speed {
			return false
		}
		if b == nil || service == "" {
			return true
		}
		s, u := b.Services[service], b.Upstreams[name]
		return s == nil || (u != nil && u.Suits(s))
	}
}

func (e *Entry) hold(ctx context.Context, ask loan.Ask) loan.Grant {
	ready, leave := e.ledger.Wait(ask)
	timer := time.NewTimer(time.Until(ask.Until))
	defer timer.Stop()
	select {
	case <-ready:
		wait(ctx, coalesce)
	case <-timer.C:
	case <-ctx.Done():
	}
	return leave()
}
