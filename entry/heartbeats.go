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
func (e *Entry) beatLoop(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(e.settings.HeartbeatInterval)
	defer ticker.Stop()
	e.ramp(0)
	for step := 1; ; step++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.ramp(step)
		e.tick(ctx, step, &group)
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
	ready, free, backlog, learned := e.Ready(), e.dispatcher.Room(), e.dispatcher.Backlog(), e.estimator.Learned()
	e.members.Update(func(r *member.Record) {
		r.Weight = max(r.Weight, e.settings.Weight*share)
		if step == 0 {
			r.Weight = 0
		}
		r.Ready, r.Free, r.Backlog, r.Learned = ready, free, backlog, learned
	})
}

// tick begins one heartbeat. It does not wait for the answers: one that a cut
// swallows must not delay the next heartbeat to the others.
func (e *Entry) tick(ctx context.Context, step int, group *sync.WaitGroup) {
	e.members.Sweep()
	records, targets := e.members.Beat()
	beat := e.compose(records, step%demandTurn == 0)
	for _, target := range targets {
		group.Go(func() { e.gossip(ctx, target, beat) })
	}
	e.replace()
	e.share()
	e.ledger.Expire()
	e.dispatcher.Kick()
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

func (e *Entry) gossip(ctx context.Context, target member.Record, beat *wire.Beat) {
	ctx, cancel := context.WithTimeout(ctx, 2*e.settings.HeartbeatInterval)
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
	if records[0].Zone == e.settings.Zone && records[0].Learned > e.estimator.Learned() && e.learning.CompareAndSwap(false, true) {
		go e.learn(ctx, records[0])
	}
	if records[0].Version > e.version() {
		go e.fetch(ctx, records[0])
	}
}

// learn takes run times and speeds from a member of the own zone that knows more
// of them, so that each is learned once and not at the cost of each entry's callers.
func (e *Entry) learn(ctx context.Context, from member.Record) {
	defer e.learning.Store(false)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	e.measures.Messages.WithLabelValues("fetch").Inc()
	lesson, err := e.client.Lesson(ctx, from.Peer)
	if err != nil {
		return
	}
	e.estimator.Learn(lesson)
}

// fetch takes a newer bundle from a peer, which is the way when the platform
// cannot be reached.
func (e *Entry) fetch(ctx context.Context, from member.Record) {
	if e.rollout.LogReadable() {
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
