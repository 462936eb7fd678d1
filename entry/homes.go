package entry

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/exchange"
	"github.com/radishgate/radishgate/home"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/peer"
)

// replace brings the homes of slots in line with the members.
func (e *Entry) updateHomes() {
	if b := e.rollout.Bundle(); b != nil {
		e.assignHomes(b)
	}
}

func (e *Entry) assignHomes(b *bundle.Bundle) {
	generation := e.members.Generation()
	ring := home.Ring{}
	for _, r := range e.members.Live(e.settings.Zone) {
		ring.Members = append(ring.Members, home.Member{ID: r.ID, Weight: r.Weight})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if (e.homesGeneration == generation && e.homesBundleVersion == b.Version) || generation < e.homesGeneration {
		return
	}
	for name, u := range b.Upstreams {
		slots := 0
		if u.Zone == e.settings.Zone {
			slots = ring.Slots(e.settings.VM, name, u.Slots)
		}
		if e.homeSlots[name] != slots {
			e.homeSlots[name] = slots
			e.ledger.Set(name, slots)
		}
	}
	e.homesGeneration, e.homesBundleVersion = generation, b.Version
	e.metrics.Changes.WithLabelValues("homes").Inc()
}

func (e *Entry) zonePeers() []exchange.Peer { return e.peersInZone(true) }

func (e *Entry) remotePeers() []exchange.Peer {
	if b := e.rollout.Bundle(); b == nil || !b.Rules.Spill {
		return nil
	}
	return e.peersInZone(false)
}

func (e *Entry) peersInZone(ownZone bool) []exchange.Peer {
	var peers []exchange.Peer
	for _, r := range e.members.Live("") {
		if r.ID != e.settings.VM && (r.Zone == e.settings.Zone) == ownZone {
			peers = append(peers, exchange.Peer{ID: r.ID, Zone: r.Zone, Free: r.Free})
		}
	}
	return peers
}

func (e *Entry) borrow(ctx context.Context, id string, request loan.Ask, service string) (loan.Grant, int, error) {
	r, _, ok := e.members.Find(id)
	if !ok {
		return loan.Grant{}, 0, &UnknownMemberError{ID: id}
	}
	grant, free, err := e.client.Borrow(ctx, r.Peer, request, service)
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
const coalesceDelay = 8 * time.Millisecond

// lend answers an ask for slots, and may hold it until some come free.
func (e *Entry) lend(ctx context.Context, request loan.Ask, service string) (loan.Grant, int) {
	request.Fit = e.usableBy(request.Speed, service)
	var offers []loan.Offer
	if request.Want > 0 {
		offers = e.dispatcher.Lendable()
	}
	grant := e.ledger.Lend(request, offers, e.dispatcher.Demand())
	if request.Want > 0 && len(grant.Loans)+len(grant.Returned) == 0 && request.Until.After(time.Now()) {
		later := e.waitForSlots(ctx, request)
		grant.Loans, grant.Returned = later.Loans, later.Returned
	}
	if len(request.Return) > 0 {
		e.dispatcher.Kick()
	}
	return grant, e.dispatcher.Room()
}

// fit tells which upstreams help the asker: fast enough, and with the labels
// that the service needs.
func (e *Entry) usableBy(speed float64, service string) func(string) bool {
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

func (e *Entry) waitForSlots(ctx context.Context, request loan.Ask) loan.Grant {
	ready, collect := e.ledger.Wait(request)
	timer := time.NewTimer(time.Until(request.Until))
	defer timer.Stop()
	select {
	case <-ready:
		wait.For(ctx, coalesceDelay)
	case <-timer.C:
	case <-ctx.Done():
	case <-e.baseCtx.Done():
	}
	return collect()
}
