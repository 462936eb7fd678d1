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

// rampSteps is the number of heartbeats over which a joining entry raises its
// weight as a home to the full value, so that slots move to it a few at a time.
const rampSteps = 6

// heartbeatLoop runs one heartbeat per interval until the context ends.
func (e *Entry) heartbeatLoop(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(e.settings.HeartbeatInterval)
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

// updateOwnRecord refreshes the load figures in this entry's member record and
// raises its weight step by step. An entry that is alone in its zone takes its
// full weight at once.
func (e *Entry) updateOwnRecord(step int) {
	alone := len(e.members.Live(e.settings.Zone)) <= 1
	fraction := min(1, float64(step)/rampSteps)
	if alone && step > 1 {
		fraction = 1
	}
	// The callback runs under the lock of the member table and must not acquire
	// another lock, so all values are read before.
	ready, free, backlog, learned := e.Ready(), e.dispatcher.LendableSlots(), e.dispatcher.Backlog(), e.estimator.SpeedCount()
	e.members.UpdateSelf(func(r *member.Record) {
		r.Weight = max(r.Weight, e.settings.Weight*fraction)
		if step == 0 {
			r.Weight = 0
		}
		r.Ready, r.FreeSlots, r.Backlog, r.LearnedUpstreams = ready, free, backlog, learned
	})
}

// heartbeat sends one round of heartbeats and then updates homes, quota shares and
// loans. It does not wait for the replies: one that is lost in a network partition
// must not delay the next heartbeat to the other members.
func (e *Entry) heartbeat(ctx context.Context, step int, sends *sync.WaitGroup) {
	e.members.CheckTimeouts()
	records, targets := e.members.NextHeartbeat()
	message := e.buildHeartbeat(records, step%demandInterval == 0)
	for _, target := range targets {
		sends.Go(func() { e.exchangeHeartbeat(ctx, target, message) })
	}
	e.updateHomes()
	e.updateQuotaShare()
	e.ledger.Expire()
	e.dispatcher.Schedule()
}

// buildHeartbeat returns a heartbeat with the given member records and, if
// withDemands is set, the demands of this entry, of its zone and of one other zone.
func (e *Entry) buildHeartbeat(records []member.Record, withDemands bool) *wire.Beat {
	heartbeat := &wire.Beat{}
	for _, r := range records {
		heartbeat.Members = append(heartbeat.Members, peer.PackMember(r))
	}
	if !withDemands {
		return heartbeat
	}
	heartbeat.Demands = packDemands(e.quotaLimiter.Demands())
	e.mu.Lock()
	defer e.mu.Unlock()
	heartbeat.Zones = append(heartbeat.Zones, e.zoneSummary())
	if name, z, ok := e.nextZoneToForward(); ok {
		heartbeat.Zones = append(heartbeat.Zones, &wire.Zone{Name: name, At: z.timestamp, Demands: packDemands(z.rates)})
	}
	return heartbeat
}

// exchangeHeartbeat sends a heartbeat to one member and processes its reply.
func (e *Entry) exchangeHeartbeat(ctx context.Context, target member.Record, heartbeat *wire.Beat) {
	ctx, cancel := context.WithTimeout(ctx, 2*e.settings.HeartbeatInterval)
	defer cancel()
	e.metrics.Messages.WithLabelValues("beat").Inc()
	reply, err := e.peerClient.SendHeartbeat(ctx, target.PeerAddress, heartbeat)
	e.members.NoteContact(target.ID, err == nil)
	if err != nil {
		if peer.IsConnectionRefused(err) {
			e.members.NoteRefused(target.ID)
		}
		return
	}
	e.handleHeartbeat(ctx, reply)
}

// answerHeartbeat processes a heartbeat from a peer and returns this entry's own
// record as the reply.
func (e *Entry) answerHeartbeat(heartbeat *wire.Beat) *wire.Beat {
	e.handleHeartbeat(e.baseCtx, heartbeat)
	reply := &wire.Beat{}
	for _, r := range e.members.ReplyRecords() {
		reply.Members = append(reply.Members, peer.PackMember(r))
	}
	return reply
}

// handleHeartbeat merges a heartbeat or a reply to one into the local state. The
// first record is the sender's own; if it shows a newer bundle or more learned
// speeds in the same zone, they are fetched from the sender.
func (e *Entry) handleHeartbeat(ctx context.Context, heartbeat *wire.Beat) {
	if len(heartbeat.Members) == 0 {
		return
	}
	var records []member.Record
	for _, m := range heartbeat.Members {
		records = append(records, peer.UnpackMember(m))
	}
	oldGeneration := e.members.Generation()
	e.members.Merge(records)
	if e.members.Generation() != oldGeneration {
		go e.updateHomes()
	}
	e.recordDemands(records[0], heartbeat)
	if records[0].Zone == e.settings.Zone && records[0].LearnedUpstreams > e.estimator.SpeedCount() && e.fetchingEstimates.CompareAndSwap(false, true) {
		go e.fetchEstimates(ctx, records[0])
	}
	if records[0].BundleVersion > e.bundleVersion() {
		go e.fetchBundle(ctx, records[0])
	}
}

// fetchEstimates copies run times and speeds of upstreams from a member of the same
// zone that has more of them. This way they are learned once per zone, rather than by
// every entry at the expense of its own callers.
func (e *Entry) fetchEstimates(ctx context.Context, from member.Record) {
	defer e.fetchingEstimates.Store(false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.metrics.Messages.WithLabelValues("fetch").Inc()
	estimates, err := e.peerClient.FetchEstimates(ctx, from.PeerAddress)
	if err != nil {
		return
	}
	e.estimator.Merge(estimates)
}

// fetchBundle copies a newer bundle from a peer when the log of the platform
// cannot be read.
func (e *Entry) fetchBundle(ctx context.Context, from member.Record) {
	if e.rollout.LogReadable() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.metrics.Messages.WithLabelValues("fetch").Inc()
	chain, err := e.peerClient.FetchBundle(ctx, from.PeerAddress, e.bundleVersion())
	if err != nil {
		return
	}
	if err := e.rollout.Adopt(chain); err != nil {
		e.log.Warn("bundle from a peer is refused", "peer", from.ID, "error", err)
	}
}

// bundleChainAbove returns the signed records of the bundle in force if it is newer
// than version, and nil otherwise.
func (e *Entry) bundleChainAbove(version int64) []bundle.Record {
	chain := e.rollout.Chain()
	if len(chain) == 0 || chain[len(chain)-1].Version <= version {
		return nil
	}
	return chain
}
