package history

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// entryCallTimeout is the timeout of a call to another entry.
const entryCallTimeout = 400 * time.Millisecond

// findHolder returns the current holder of the group, and false if it is not known or not live.
func (e *entry) findHolder(of string) (submission.GroupHolder, bool) {
	if of == neighbourGroup {
		return e.neighbour.presentHolder()
	}
	c, claimed := e.claims.Holder(group)
	if !claimed {
		return submission.GroupHolder{}, false
	}
	if c.Holder == e.id {
		return submission.GroupHolder{Group: group, Epoch: c.Epoch, ID: c.Holder, Local: true}, c.Incarnation == e.incarnation && e.claims.MaySchedule(group, time.Now())
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	h, known := e.heartbeats[c.Holder]
	if !known || time.Since(h.receivedAt) >= e.deadAfter() || h.candidate.Incarnation != c.Incarnation {
		return submission.GroupHolder{}, false
	}
	return submission.GroupHolder{Group: group, Epoch: c.Epoch, ID: c.Holder}, true
}

// callHolder calls the holder of a group over the simulated network. It reports whether the entry
// holds the group at this epoch; without an answer the call may have been executed. One that places a
// job may be executed later, and is rejected by an entry that may have lost the group.
func (e *entry) callHolder(ctx context.Context, to submission.GroupHolder, places bool, call func(h *holder.Holder)) (bool, error) {
	if to.Group == neighbourGroup {
		return e.callNeighbour(ctx, to, places, call)
	}
	for _, o := range e.liveEntries() {
		if o.id != to.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, entryCallTimeout)
		defer cancel()
		if o != e {
			if err := e.transmit(ctx, e.id, o.id); err != nil {
				if places && o.active(frozen(o.id)) && e.canReach(e.id, o.id) {
					e.goroutines.Go(func() { // the call waits in the buffers of the paused process
						if o.waitThawed(o.ctx, o.id) == nil {
							o.executeCall(to.Epoch, places, call)
						}
					})
				}
				return false, err
			}
		}
		held := o.executeCall(to.Epoch, places, call)
		if o != e {
			if err := e.transmit(ctx, o.id, e.id); err != nil {
				return false, err
			}
		}
		return held, nil
	}
	return false, errUnreachable
}

// executeCall executes a call to the holder of the group and reports whether this entry holds the
// group at the epoch.
func (e *entry) executeCall(epoch uint64, places bool, call func(h *holder.Holder)) bool {
	e.lock.Lock()
	h := e.holder
	e.lock.Unlock()
	if h == nil || h.Epoch() != epoch || e.ctx.Err() != nil || places && e.takeoverSuspected() {
		return false
	}
	call(h)
	return true
}

func (e *entry) placeAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch, completed []string) (bool, error) {
	return e.callHolder(ctx, to, true, func(h *holder.Holder) { h.Admit(b, completed) })
}

func (e *entry) keepAliveAt(ctx context.Context, to submission.GroupHolder, ids []string, askedAt time.Time) (results []batch.Result, unknown []string, held bool, err error) {
	held, err = e.callHolder(ctx, to, false, func(h *holder.Holder) { results, unknown = h.KeepAlive(ids, askedAt) })
	if err != nil {
		return nil, nil, false, err
	}
	return results, unknown, held, nil
}

func (e *entry) withdrawAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch) error {
	_, err := e.callHolder(ctx, to, false, func(h *holder.Holder) { h.Withdraw(b.ID, b.Attempt) })
	return err
}

func (e *entry) refuseAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch) (refused bool, err error) {
	_, err = e.callHolder(ctx, to, false, func(h *holder.Holder) { refused = h.Refuse(b.ID, b.Attempt) })
	return refused, err
}

// deliverResult sends a result to the entry that waits for it.
func (e *entry) deliverResult(b *batch.Batch, r batch.Result) {
	receivers := e.world
	if b.SpilledOver {
		receivers = e.neighbour
	}
	for _, o := range receivers.liveEntries() {
		if o.id != b.WaitingEntry {
			continue
		}
		if o == e {
			o.tracker.DeliverResults([]batch.Result{r})
			return
		}
		e.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, entryCallTimeout)
			defer cancel()
			if e.transmit(ctx, e.id, o.id) == nil && o.ctx.Err() == nil {
				o.tracker.DeliverResults([]batch.Result{r})
			}
		})
	}
}
