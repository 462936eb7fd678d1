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

// updateHomes recomputes which slots have their home here, if there is a bundle.
func (e *Entry) updateHomes() {
	if b := e.rollout.Bundle(); b != nil {
		e.assignHomes(b)
	}
}

// assignHomes computes from the live members of the zone how many slots of each
// upstream have their home here. It does nothing if neither the members nor the
// bundle changed, or if a concurrent call has already used newer members.
func (e *Entry) assignHomes(b *bundle.Bundle) {
	generation := e.members.Generation()
	memberSet := home.MemberSet{}
	for _, r := range e.members.Live(e.settings.Zone) {
		memberSet.Members = append(memberSet.Members, home.Member{ID: r.ID, Weight: r.Weight})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if (e.homesGeneration == generation && e.homesBundleVersion == b.Version) || generation < e.homesGeneration {
		return
	}
	for name, u := range b.Upstreams {
		slots := 0
		if u.Zone == e.settings.Zone {
			slots = memberSet.CountSlots(e.settings.VM, name, u.Slots)
		}
		if e.homeSlots[name] != slots {
			e.homeSlots[name] = slots
			e.ledger.SetHomeSlots(name, slots)
		}
	}
	e.homesGeneration, e.homesBundleVersion = generation, b.Version
	e.metrics.StateChanges.WithLabelValues("homes").Inc()
}

// zonePeers returns the entries of the same zone that slots can be borrowed from.
func (e *Entry) zonePeers() []exchange.Peer { return e.lendingPeers(true) }

// remotePeers returns the entries of other zones that slots can be borrowed from,
// or none unless the bundle allows spillover.
func (e *Entry) remotePeers() []exchange.Peer {
	if b := e.rollout.Bundle(); b == nil || !b.Rules.Spillover {
		return nil
	}
	return e.lendingPeers(false)
}

func (e *Entry) lendingPeers(sameZone bool) []exchange.Peer {
	var peers []exchange.Peer
	for _, r := range e.members.Live("") {
		if r.ID != e.settings.VM && (r.Zone == e.settings.Zone) == sameZone {
			peers = append(peers, exchange.Peer{ID: r.ID, Zone: r.Zone, FreeSlots: r.FreeSlots})
		}
	}
	return peers
}

// borrow sends a request for slots to the member with this ID. It returns the grant
// and the number of free slots that the member has left.
func (e *Entry) borrow(ctx context.Context, id string, request loan.Request, service string) (loan.Grant, int, error) {
	r, _, ok := e.members.Find(id)
	if !ok {
		return loan.Grant{}, 0, &UnknownMemberError{ID: id}
	}
	grant, free, err := e.peerClient.Borrow(ctx, r.PeerAddress, request, service)
	if err != nil && peer.IsConnectionRefused(err) {
		e.members.NoteRefused(id)
	}
	return grant, free, err
}

// UnknownMemberError reports a request to a member that is not in the member table,
// for example because it was removed after its failure.
type UnknownMemberError struct{ ID string }

// Error implements error.
func (e *UnknownMemberError) Error() string { return "member " + e.ID + " is not known" }

// coalesceDelay is how long a reply is delayed after the first slot becomes free, so
// that it can carry more than one.
const coalesceDelay = 8 * time.Millisecond

// lend answers a request for slots. If none is free, it waits for some until the
// deadline of the request. It also returns the number of slots left to lend.
func (e *Entry) lend(ctx context.Context, request loan.Request, service string) (loan.Grant, int) {
	request.Suits = e.upstreamFilter(request.MinSpeed, service)
	var offers []loan.Offer
	if request.Wanted > 0 {
		offers = e.dispatcher.LoanOffers()
	}
	grant := e.ledger.Lend(request, offers, e.dispatcher.BacklogPerSlot())
	if request.Wanted > 0 && len(grant.Loans)+len(grant.Returned) == 0 && request.WaitUntil.After(time.Now()) {
		granted := e.waitForSlots(ctx, request)
		grant.Loans, grant.Returned = granted.Loans, granted.Returned
	}
	if len(request.ReturnIDs) > 0 {
		e.dispatcher.Schedule()
	}
	return grant, e.dispatcher.LendableSlots()
}

// upstreamFilter returns a function that reports whether a slot on an upstream is of
// use to a borrower: the upstream is fast enough and has the labels that the
// service requires.
func (e *Entry) upstreamFilter(minSpeed float64, service string) func(string) bool {
	b := e.rollout.Bundle()
	return func(name string) bool {
		if minSpeed > 0 && e.estimator.Speed(name) < minSpeed {
			return false
		}
		if b == nil || service == "" {
			return true
		}
		s, u := b.Services[service], b.Upstreams[name]
		return s == nil || (u != nil && u.CanServe(s))
	}
}

// waitForSlots queues a request until slots become free or its deadline passes, and
// returns what it was granted.
func (e *Entry) waitForSlots(ctx context.Context, request loan.Request) loan.Grant {
	ready, collect := e.ledger.QueueRequest(request)
	timer := time.NewTimer(time.Until(request.WaitUntil))
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
