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
		slots := 0
		if u.Zone == e.settings.Zone {
			slots = ring.Slots(e.settings.VM, name, u.Slots)
		}
		if e.homes[name] != slots {
			e.homes[name] = slots
			e.ledger.Set(name, slots)
		}
	}
	e.placed, e.placedBy = generation, b.Version
	e.measures.Changes.WithLabelValues("homes").Inc()
}

func (e *Entry) nearPeers() []exchange.Peer { return e.lenders(true) }

func (e *Entry) farPeers() []exchange.Peer {
	if b := e.rollout.Bundle(); b == nil || !b.Rules.Spillover {
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
		return s == nil || (u != nil && u.CanServe(s))
	}
}

func (e *Entry) hold(ctx context.Context, ask loan.Ask) loan.Grant {
	ready, leave := e.ledger.Wait(ask)
	timer := time.NewTimer(time.Until(ask.Until))
	defer timer.Stop()
	select {
	case <-ready:
		wait.For(ctx, coalesce)
	case <-timer.C:
	case <-ctx.Done():
	case <-e.life.Done():
	}
	return leave()
}
