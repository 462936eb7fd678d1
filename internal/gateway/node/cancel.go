package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/cancellation"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/cancels"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/peer/wire"
)

// NoHolderError reports a group without a holder that knows which jobs it has.
type NoHolderError struct {
	Group string
	Cause error // nil if no holder is known
}

// Error implements error.
func (e *NoHolderError) Error() string {
	if e.Cause != nil {
		return "holder of group " + e.Group + ": " + e.Cause.Error()
	}
	return "group " + e.Group + " has no holder"
}

// Unwrap returns the cause.
func (e *NoHolderError) Unwrap() error { return e.Cause }

// unheardTime is how long an entry that is not heard counts as one that may still have clients. Entries freeze for
// seconds; those that are cut off for longer hold up a cancel by their groups as well.
const unheardTime = 30 * time.Second

// maxAsked is how many entries that hold no group are asked to keep a cancel.
const maxAsked = 2

// newCancels returns the exchange of cancels of this entry.
func (n *Node) newCancels() *cancellation.Exchange {
	return cancellation.New(cancellation.Options{
		Context: n.ctx, Table: cancels.New(cancels.Options{Keep: n.settings.CancelKeep, Most: n.settings.CancelLimit}),
		Groups: n.groups(), End: n.endCancelled, AskHolder: n.askHolder, AskOthers: n.askOthers, HeldElsewhere: n.groupHeldElsewhere,
		WaitingJob: func(id string) (string, time.Time, bool) { return n.tracker.WaitingJob(id) },
		Alone:      func() bool { return !n.hasPeers() && !n.othersMayRun() },
		Unheard:    func() bool { return n.members.UnheardInAnyZone(time.Now().Add(-unheardTime)) },
	})
}

// cancelJob cancels a job and reports whether it is known. A client may cancel it through any entry. An error says that
// the cancel may not hold.
func (n *Node) cancelJob(ctx context.Context, _ batch.QueueSettings, id string) (bool, error) {
	known, err := n.cancels.Cancel(ctx, id)
	switch {
	case err != nil:
		n.instruments.cancels.WithLabelValues("unavailable").Inc()
		n.log.Warn("job not cancelled", "job", id, "error", err)
	case known:
		n.instruments.cancels.WithLabelValues("cancelled").Inc()
		n.log.Info("job cancelled by a client", "job", id)
	default:
		n.instruments.cancels.WithLabelValues("gone").Inc()
	}
	return known, err
}

// endCancelled ends a job that a client has cancelled in this entry. The holders come first: the tracker withdraws the
// job from them, and they do not know it afterwards.
func (n *Node) endCancelled(id string) {
	for _, h := range n.currentHolders() {
		h.Cancel(id)
	}
	n.tracker.Cancel(id)
}

// askHolder asks the present holder of a group to cancel a job and to keep the cancel for a time.
func (n *Node) askHolder(ctx context.Context, group, id string, left time.Duration) (cancellation.Reply, error) {
	holder, live := n.currentHolder(group)
	if !live {
		return cancellation.Reply{}, &NoHolderError{Group: group}
	}
	if holder.Local {
		known, held := n.cancelInHolder(group, id)
		if !held {
			return cancellation.Reply{}, &NoHolderError{Group: group}
		}
		return cancellation.Reply{Known: known}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	n.instruments.countMessage("cancel")
	reply, err := n.client.Cancel(ctx, holder.Address, group, id, left)
	if err != nil {
		return cancellation.Reply{}, &NoHolderError{Group: group, Cause: err}
	}
	return cancellation.Reply{Known: reply.Known, Kept: reply.Kept, Earlier: !reply.Kept}, nil
}

// cancelInHolder cancels a job in a group that this entry holds. It reports whether the job may be known, which a
// holder that has just taken the group cannot exclude, and whether the entry holds the group.
func (n *Node) cancelInHolder(group, id string) (known, held bool) {
	h, held := n.holder(group)
	if !held {
		return false, false
	}
	known, certain := h.Cancel(id)
	return known || !certain, true
}

// groupHeldElsewhere reports whether another entry holds a group.
func (n *Node) groupHeldElsewhere() bool {
	return slices.ContainsFunc(n.cancels.Groups, func(group string) bool {
		holder, live := n.currentHolder(group)
		return live && !holder.Local
	})
}

// askOthers asks some other entries to keep a cancel, those of the own zone first, which are the last to be cut off.
func (n *Node) askOthers(ctx context.Context, id string, left time.Duration) []cancellation.Reply {
	var asked []member.Record
	included := map[string]bool{n.settings.VM: true}
	for _, r := range append(n.members.Live(n.settings.Zone), n.members.Live("")...) {
		if !included[r.ID] && len(asked) < maxAsked {
			included[r.ID] = true
			asked = append(asked, r)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var replies []cancellation.Reply
	for _, r := range asked {
		calls.Go(func() {
			n.instruments.countMessage("cancel")
			reply, err := n.client.Cancel(ctx, r.PeerAddress, "", id, left)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, cancellation.Reply{Known: reply.Known, Kept: reply.Kept, Earlier: !reply.Kept})
			}
		})
	}
	calls.Wait()
	return replies
}

// onCancel records a cancel that another entry has received, and ends the job here. group is empty if that entry asks
// this one not as a holder.
func (n *Node) onCancel(group, id string, left time.Duration) peer.CancelReply {
	waiting, kept := n.cancels.Receive(id, left, time.Now())
	known, held := false, group == ""
	if !held {
		known, held = n.cancelInHolder(group, id)
	}
	return peer.CancelReply{Held: held, Known: known || waiting, Kept: kept}
}

// addCancels returns a heartbeat for a member: the given one, with the cancels that the member has not confirmed. The
// caller calls confirm once the heartbeat has been answered.
func (n *Node) addCancels(heartbeat *wire.Beat, to member.Record) (extended *wire.Beat, confirm func()) {
	now := time.Now()
	records, confirm := n.cancels.ForHeartbeat(cancellation.Receiver{ID: to.ID, Incarnation: to.Incarnation}, now)
	if len(records) == 0 {
		return heartbeat, confirm
	}
	extended = copyHeartbeat(heartbeat)
	extended.Cancels = peer.PackCancels(records, now)
	return extended, confirm
}

// replyCancels adds cancels to the answer to a heartbeat of a member.
func (n *Node) replyCancels(reply *wire.Beat, to *wire.Member) *wire.Beat {
	now := time.Now()
	reply.Cancels = peer.PackCancels(n.cancels.ForAnswer(cancellation.Receiver{ID: to.Id, Incarnation: to.Incarnation}, now), now)
	return reply
}
