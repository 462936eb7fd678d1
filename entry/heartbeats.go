package entry

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/peer/wire"
)

// rampSteps is the number of heartbeats over which a joining entry takes its
// full weight as a home, so that its slots move a few at a time.
const rampSteps = 6

// beatLoop sends heartbeats and applies what the view of members implies.
func (e *Entry) heartbeatLoop(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(e.settings.Beat)
	defer ticker.Stop()
	e.updateOwnRecord(0)
	for step := 1; ; step++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.updateOwnRecord(step)
		e.heartbeat(ctx, step, &sends)
	}
}

// ramp raises the own weight step by step. An entry that is alone in its zone
// takes all at once.
func (e *Entry) updateOwnRecord(step int) {
	alone := len(e.members.Live(e.settings.Zone)) <= 1
	fraction := min(1, float64(step)/rampSteps)
	if alone && step > 1 {
		fraction = 1
	}
	// The change runs under the table's lock and must take no other.
	ready, free, backlog, learned := e.Ready(), e.dispatcher.Room(), e.dispatcher.Backlog(), e.estimator.Learned()
	e.members.Update(func(r *member.Record) {
		r.Weight = max(r.Weight, e.settings.Weight*fraction)
		if step == 0 {
			r.Weight = 0
		}
		r.Ready, r.Free, r.Backlog, r.Learned = ready, free, backlog, learned
	})
}

// tick begins one heartbeat. It does not wait for the answers: one that a cut
// swallows must not delay the next heartbeat to the others.
func (e *Entry) heartbeat(ctx context.Context, step int, sends *sync.WaitGroup) {
	e.members.Sweep()
	records, targets := e.members.Beat()
	message := e.buildHeartbeat(records, step%demandInterval == 0)
	for _, target := range targets {
		sends.Go(func() { e.exchangeHeartbeat(ctx, target, message) })
	}
	e.updateHomes()
	e.updateQuotaShare()
	e.ledger.Expire()
	e.dispatcher.Kick()
}

func (e *Entry) buildHeartbeat(records []member.Record, withDemands bool) *wire.Beat {
	heartbeat := &wire.Beat{}
	for _, r := range records {
		heartbeat.Members = append(heartbeat.Members, peer.Pack(r))
	}
	if !withDemands {
		return heartbeat
	}
	heartbeat.Demands = packDemands(e.quota.Demands())
	e.mu.Lock()
	defer e.mu.Unlock()
	heartbeat.Zones = append(heartbeat.Zones, e.zoneSummary())
	if name, z, ok := e.nextZoneToForward(); ok {
		heartbeat.Zones = append(heartbeat.Zones, &wire.Zone{Name: name, At: z.timestamp, Demands: packDemands(z.rates)})
	}
	return heartbeat
}

func (e *Entry) exchangeHeartbeat(ctx context.Context, target member.Record, heartbeat *wire.Beat) {
	ctx, cancel := context.WithTimeout(ctx, 2*e.settings.Beat)
	defer cancel()
	e.metrics.Messages.WithLabelValues("beat").Inc()
	reply, err := e.client.Gossip(ctx, target.Peer, heartbeat)
	e.members.Reached(target.ID, err == nil)
	if err != nil {
		if peer.Refused(err) {
			e.members.Refused(target.ID)
		}
		return
	}
	e.handleHeartbeat(ctx, reply)
}

// heard answers a heartbeat with the own record.
func (e *Entry) answerHeartbeat(heartbeat *wire.Beat) *wire.Beat {
	e.handleHeartbeat(e.baseCtx, heartbeat)
	reply := &wire.Beat{}
	for _, r := range e.members.Digest() {
		reply.Members = append(reply.Members, peer.Pack(r))
	}
	return reply
}

func (e *Entry) handleHeartbeat(ctx context.Context, heartbeat *wire.Beat) {
	if len(heartbeat.Members) == 0 {
		return
	}
	var records []member.Record
	for _, m := range heartbeat.Members {
		records = append(records, peer.Unpack(m))
	}
	oldGeneration := e.members.Generation()
	e.members.Merge(records)
	if e.members.Generation() != oldGeneration {
		go e.updateHomes()
	}
	e.recordDemands(records[0], heartbeat)
	if records[0].Zone == e.settings.Zone && records[0].Learned > e.estimator.Learned() && e.fetchingEstimates.CompareAndSwap(false, true) {
		go e.fetchEstimates(ctx, records[0])
	}
	if records[0].Version > e.bundleVersion() {
		go e.fetchBundle(ctx, records[0])
	}
}

// learn takes run times and speeds from a member of the own zone that knows more
// of them, so that each is learned once and not at the cost of each entry's callers.
func (e *Entry) fetchEstimates(ctx context.Context, from member.Record) {
	defer e.fetchingEstimates.Store(false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.metrics.Messages.WithLabelValues("fetch").Inc()
	estimates, err := e.client.Lesson(ctx, from.Peer)
	if err != nil {
		return
	}
	e.estimator.Learn(estimates)
}

// fetch takes a newer bundle from a peer, which is the way when the platform
// cannot be reached.
func (e *Entry) fetchBundle(ctx context.Context, from member.Record) {
	if e.rollout.Reading() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.metrics.Messages.WithLabelValues("fetch").Inc()
	chain, err := e.client.Fetch(ctx, from.Peer, e.bundleVersion())
	if err != nil {
		return
	}
	if err := e.rollout.Adopt(chain); err != nil {
		e.log.Warn("bundle from a peer is refused", "peer", from.ID, "error", err)
	}
}

func (e *Entry) bundleChainAbove(version int64) []bundle.Record {
	chain := e.rollout.Chain()
	if len(chain) == 0 || chain[len(chain)-1].Version <= version {
		return nil
	}
	return chain
}
