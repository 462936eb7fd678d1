package node

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/platform"
)

// startupDelay is how long a new entry waits before it reads the registrations and claims
// a group: one heartbeat. By then it has sent heartbeats to many other entries, and
// any that was already running has answered with all claims. Without the delay, hundreds
// of entries that start at once would each ask the store for the whole list of workers,
// which the store cannot serve.
const startupDelay = 150 * time.Millisecond

// candidates returns the live entries. The list is cached until the set of members
// changes, because claims are reconciled on every heartbeat and on every message that
// changes members or claims.
func (n *Node) candidates() []election.Candidate {
	generation := n.members.Generation()
	n.candidateCache.mu.Lock()
	defer n.candidateCache.mu.Unlock()
	if n.candidateCache.valid && n.candidateCache.generation == generation {
		return n.candidateCache.candidates
	}
	var live []election.Candidate
	for _, r := range n.members.Live("") {
		live = append(live, election.Candidate{ID: r.ID, Incarnation: r.Incarnation, Zone: r.Zone, Weight: r.Weight, Ready: r.Ready})
	}
	n.candidateCache.candidates, n.candidateCache.generation, n.candidateCache.valid = live, generation, true
	return live
}

// candidateCache holds the last list of candidates, which must not be modified. The
// list is at least as recent as generation, the generation of the member table read
// before listing.
type candidateCache struct {
	mu         sync.Mutex
	candidates []election.Candidate
	generation uint64
	valid      bool
}

// updateRegistryNeed decides whether this entry reads the worker registrations: only the
// holders of the groups of its zone and the entries next in line for them do.
func (n *Node) updateRegistryNeed(live []election.Candidate) {
	needed := false
	for i := range n.settings.Groups {
		needed = needed || n.claims.HolderOrSuccessor(groupName(n.settings.Zone, i), n.settings.Zone, live)
	}
	if n.registryState.setNeeded(needed) {
		n.log.Info("workers read", "wanted", needed)
	}
}

// clearRegistry discards the known workers once they are no longer read, since the
// data goes stale.
func (n *Node) clearRegistry() {
	n.registry.Clear()
	n.mu.Lock()
	n.registryReadAt, n.firstReadFailed, n.registryOutdated, n.workersConfirmed = time.Time{}, false, false, false
	n.mu.Unlock()
}

// reconcileGroups claims the vacant groups for which this entry ranks first, hands groups over to
// larger entries, and starts or ends its holders accordingly.
func (n *Node) reconcileGroups(ctx context.Context) {
	if time.Since(n.startedAt) < startupDelay || ctx.Err() != nil {
		return
	}
	live := n.candidates()
	n.updateRegistryNeed(live)
	registryLoaded := n.registryState.isLoaded()
	workers := n.completeWorkers(registryLoaded)
	n.members.UpdateSelf(func(r *member.Record) { r.Ready, r.Workers = registryLoaded && !r.Leaving, workers })
	live = n.candidates()
	n.claims.ResumeIfMajority(n.members.HasMajority)
	hearsPeers, now, claimed := n.hearsPeers(), time.Now(), false
	for _, zone := range n.settings.Zones {
		for i := range n.settings.Groups {
			group := groupName(zone, i)
			if n.claims.ClaimIfVacant(group, zone, live, hearsPeers, now) || n.allWorkersReady(group) && n.claims.HandOver(group, zone, live, now) {
				claimed = true
			}
		}
	}
	changed := n.syncHolders()
	n.updateIsolation(n.isolation.Update)
	if claimed {
		go n.announce(ctx)
	}
	if changed {
		n.syncWorkers()
	}
}

// allWorkersReady reports whether this entry holds the group and all of its workers
// answer and have accepted its token. Only then does a change of holder cost almost
// nothing.
func (n *Node) allWorkersReady(group string) bool {
	h, held := n.holder(group)
	return held && h.AllWorkersReady()
}

// syncHolders starts a holder for each claim of this entry, ends the others, and
// reports whether a holder was started.
func (n *Node) syncHolders() bool {
	n.mu.Lock()
	ended := map[heldGroup]*holder.Holder{}
	changed := false
	for _, c := range n.claims.Claims() {
		own := c.Holder == n.settings.VM && c.Incarnation == n.incarnation
		h, held := n.holders[c.Group]
		if held && own && h.Epoch() != c.Epoch {
			// Claimed again: messages under the earlier claim may still be in flight.
			delete(n.holders, c.Group)
			ended[heldGroup{c.Group, h.Epoch()}] = h
			held = false
		}
		switch {
		case own && !held:
			n.holders[c.Group] = n.newHolder(c)
			changed = true
			n.log.Info("group taken", "group", c.Group, "epoch", c.Epoch)
		case !own && held:
			delete(n.holders, c.Group)
			ended[heldGroup{c.Group, h.Epoch()}] = h
			n.log.Info("group given up", "group", c.Group, "epoch", c.Epoch, "holder", c.Holder)
		}
	}
	n.mu.Unlock()
	for g, h := range ended {
		h.Release()
		n.occupancy.Remove(g)
		n.loops.Go(h.Wait)
	}
	return changed
}

// heldGroup is a group that this entry holds under one claim.
type heldGroup struct {
	group string
	epoch uint64
}

// newHolder starts the holder of a group under the given claim.
func (n *Node) newHolder(c election.Claim) *holder.Holder {
	incompleteUntil := n.workersIncompleteFor(c)
	if left := time.Until(incompleteUntil); left > 0 {
		n.log.Info("list of workers may be incomplete", "group", c.Group, "ms", left.Milliseconds())
	}
	return holder.New(n.ctx, holder.Options{
		Group: c.Group, Epoch: c.Epoch, Tokens: fence.New(fence.HolderNumber(c.Holder, c.Incarnation), c.Epoch),
		Lease: n.settings.Lease, ClientRetryAfter: n.settings.ClientRetryAfter, WorkersIncompleteUntil: incompleteUntil,
		Calls: holder.WorkerCalls{Start: n.workers.Start, Stop: n.workers.Stop, Hold: n.workers.Hold},
		Log:   n.log, OnResult: n.deliverResult, CountCall: n.instruments.countOrder,
		TakeoverSuspected: func() bool { return n.pauseDetector.takeoverSuspected(time.Now()) },
		MayBeReplaced:     n.mayBeReplaced,
		LastContact:       n.lastContact,
		Cancelled:         n.cancels.Cancelled,
		JobBytes:          func() int64 { return n.jobRoom(heldGroup{c.Group, c.Epoch}) },
		OnJobBytes:        func(bytes int64) { n.occupancy.Set(heldGroup{c.Group, c.Epoch}, bytes) },
		Self:              n.settings.VM,
		Lookahead:         n.settings.Lookahead,
		Priorities:        n.settings.Priorities,
		StartedElsewhere:  func(id string) string { return n.startedElsewhere(c.Group, id) },
		Zone:              zoneOfGroup(c.Group), Evacuations: n.planEvacuations, EvacuationTarget: n.evacuationTarget,
		OnConflict: func() bool {
			now := time.Now()
			n.claims.NoteConflict(n.hearsPeers(), n.members.HasMajority(), now)
			return n.claims.MaySchedule(c.Group, now)
		},
	})
}

// jobRoom returns how much memory the jobs of a group may take: what those of the other groups of this entry leave; 0
// for any.
func (n *Node) jobRoom(g heldGroup) int64 {
	limit := n.ingress.Limits().Held
	if limit <= 0 {
		return 0
	}
	return max(1, n.occupancy.Room(g, limit))
}

// mayBeReplaced reports whether an entry that may be running is not heard: it may have taken over a
// group of this one on the other side of a partition.
func (n *Node) mayBeReplaced() bool {
	return n.members.Unheard() || !n.hearsPeers() && n.othersMayRun()
}

// lastContact returns when an entry that is not heard may have been in contact with others for the
// last time, at the latest. Its last heartbeat may have come an interval earlier.
func (n *Node) lastContact() time.Time {
	at, unheard := n.members.UnheardSince()
	if !unheard {
		return time.Time{}
	}
	return at.Add(n.settings.HeartbeatInterval)
}

// othersMayRun reports whether another entry may be running at any known address.
func (n *Node) othersMayRun() bool { return n.contacts.mayRun(n.settings.AdvertisedAddress) }

// groupOfJob returns the group of the own zone that a job belongs to. All entries of
// the zone compute the same group.
func (n *Node) groupOfJob(b *batch.Batch) string {
	return groupName(n.settings.Zone, int(xxhash.Sum64String(b.ID)%uint64(n.settings.Groups)))
}

// groups returns the names of all groups.
func (n *Node) groups() []string {
	var names []string
	for _, zone := range n.settings.Zones {
		for i := range n.settings.Groups {
			names = append(names, groupName(zone, i))
		}
	}
	return names
}

// currentHolder returns the current holder of a group, and false if it is not known or
// not live.
func (n *Node) currentHolder(group string) (submission.GroupHolder, bool) {
	c, ok := n.claims.Holder(group)
	if !ok {
		return submission.GroupHolder{}, false
	}
	if c.Holder == n.settings.VM {
		return submission.GroupHolder{Group: group, Epoch: c.Epoch, ID: c.Holder, Local: true}, c.Incarnation == n.incarnation && n.claims.MaySchedule(group, time.Now())
	}
	r, state, known := n.members.Find(c.Holder)
	if !known || state == member.Dead || r.Incarnation != c.Incarnation {
		return submission.GroupHolder{}, false
	}
	return submission.GroupHolder{Group: group, Epoch: c.Epoch, ID: c.Holder, Address: r.PeerAddress}, true
}

// waitHolders waits for the current holders to end after the node's context is
// cancelled.
func (n *Node) waitHolders() {
	for _, h := range n.currentHolders() {
		h.Wait()
	}
}

// currentHolders returns a copy of the holders that this entry runs, by group. Results of their
// jobs may be delivered to another one of them, so they are not called with n.mu held.
func (n *Node) currentHolders() map[string]*holder.Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.holders)
}

// load returns the total work of the groups that this entry holds.
func (n *Node) load() plan.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum plan.Load
	for _, h := range n.holders {
		l := h.Load()
		sum.Waiting += l.Waiting
		sum.Running += l.Running
		sum.Ejected += l.Ejected
	}
	return sum
}

// holder returns the holder that this entry runs for a group, if any.
func (n *Node) holder(group string) (*holder.Holder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.holders[group]
	return h, ok
}

// holderCallTimeout bounds a call to another entry: to the holder of a group, or with
// results for the entry that waits for them.
const holderCallTimeout = 400 * time.Millisecond

// placeAt sends a job to the holder of its group and reports whether the holder accepted
// it. completed names the tasks that completed under an earlier holder.
func (n *Node) placeAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch, completed []string) (bool, error) {
	if to.Local {
		return n.onPlace(to.Group, to.Epoch, b, completed), nil
	}
	n.instruments.countMessage("place")
	n.silence.Begin(to.ID, time.Now())
	accepted, err := n.client.Place(ctx, to.Address, to.Group, to.Epoch, b, completed)
	n.silence.End(to.ID, err == nil, time.Now())
	if unsent := new(peer.NotSentError); errors.As(err, &unsent) {
		n.log.Warn("job not sent", "job", b.ID, "to", to.ID, "error", unsent.Cause)
		return false, nil
	}
	return accepted, err
}

// awaitAt polls a holder for jobs that clients still wait for. It returns the results of
// those that have ended, the IDs that the holder does not know, and whether it still holds
// the group under this epoch.
func (n *Node) awaitAt(ctx context.Context, to submission.GroupHolder, ids []string, askedAt time.Time) ([]batch.Result, []string, bool, error) {
	if to.Local {
		results, unknown, held := n.onAwait(to.Group, to.Epoch, ids, askedAt)
		return results, unknown, held, nil
	}
	n.instruments.countMessage("await")
	return n.client.Await(ctx, to.Address, to.Group, to.Epoch, ids, askedAt)
}

// withdrawAt asks a holder to cancel a job whose client has left.
func (n *Node) withdrawAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch) error {
	if to.Local {
		n.onWithdraw(to.Group, b.ID, b.Attempt)
		return nil
	}
	n.instruments.countMessage("withdraw")
	return n.client.Withdraw(ctx, to.Address, to.Group, b.ID, b.Attempt)
}

// onPlace admits a job to a group that this entry holds. It returns false if this entry
// does not hold the group under the given epoch or may have lost it during a pause.
func (n *Node) onPlace(group string, epoch uint64, b *batch.Batch, completed []string) bool {
	h, held := n.holder(group)
	if !held || h.Epoch() != epoch || n.pauseDetector.takeoverSuspected(time.Now()) {
		return false
	}
	n.logLateMessage(b.AskedAt, "group", group, "job", b.ID, "from", b.WaitingEntry)
	h.Admit(b, completed)
	return true
}

// onAwait answers an awaitAt call of this or another entry.
func (n *Node) onAwait(group string, epoch uint64, ids []string, askedAt time.Time) ([]batch.Result, []string, bool) {
	h, held := n.holder(group)
	if !held || h.Epoch() != epoch {
		return nil, nil, false
	}
	n.logLateMessage(askedAt, "group", group, "jobs", len(ids))
	results, unknown := h.KeepAlive(ids, askedAt)
	return results, unknown, true
}

// lateMessage is the age from which a message about jobs is logged.
const lateMessage = 150 * time.Millisecond

// logLateMessage logs a message of another entry that was under way, or waited here, for long.
func (n *Node) logLateMessage(sentAt time.Time, values ...any) {
	if age := time.Since(sentAt); age > lateMessage {
		n.log.Warn("late message about jobs", append(values, "age_ms", age.Milliseconds())...)
	}
}

// onWithdraw cancels a job if this entry holds the group.
func (n *Node) onWithdraw(group, id string, attempt uint64) {
	if h, held := n.holder(group); held {
		h.Withdraw(id, attempt)
	}
}

// deliverResult sends the result of a job to the entry that waits for it.
func (n *Node) deliverResult(b *batch.Batch, r batch.Result) {
	if r.Reason == plan.ReasonMemory {
		n.ingress.Refused(ingress.CauseHeld)
	}
	if b.WaitingEntry == n.settings.VM {
		n.tracker.DeliverResults([]batch.Result{r})
		return
	}
	n.outbox.add(b.WaitingEntry, r)
}

// publishAddress stores the peer address of this entry so that other entries can find
// it, and reports whether that succeeded.
func (n *Node) publishAddress(ctx context.Context, put func(ctx context.Context, key string, value []byte) error) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := put(ctx, n.settings.VM, []byte(n.settings.AdvertisedAddress)); err != nil {
		n.log.Warn("address not published in the store", "error", err)
		return false
	}
	return true
}

// readAddresses adds the addresses that other entries have stored to the contacts.
func (n *Node) readAddresses(ctx context.Context, newest func(ctx context.Context) ([]platform.KeyedRecord, int64, error)) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, _, err := newest(ctx)
	if err != nil {
		n.log.Warn("addresses of other entries not read", "error", err)
		return
	}
	for _, k := range records {
		if len(k.Value) > 0 && k.Key != n.settings.VM {
			n.contacts.add(string(k.Value))
		}
	}
}
