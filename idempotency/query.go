package idempotency

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
)

// Query asks for the state of the job with a key, or cancels the job.
type Query struct {
	Key       string
	WaitUntil time.Time // zero to return at once
	Cancel    bool
	Forwarded bool // came from a peer and must not be forwarded again
}

// Query returns the state of a keyed job. It first cancels the job if q.Cancel is
// set, and waits for its end until q.WaitUntil.
func (rt *Router) Query(ctx context.Context, q Query) Result {
	if !origin.HasPrefix(q.Key) {
		return rt.queryChosenKey(ctx, q)
	}
	key, err := origin.Parse(q.Key)
	if err != nil {
		return refused(refusal.New(refusal.BadKey, refusal.NotRun, "%v", err))
	}
	if !rt.isOwnKey(key) {
		return rt.forwardToOrigin(ctx, key, q.Forwarded, rt.sendQuery(q))
	}
	j, ok, err := rt.options.Window.Get(key.Slot, q.Key)
	if err != nil {
		return refused(windowRefusal(err))
	}
	if !ok {
		return refused(refusal.New(refusal.KeyUnknown, refusal.NotRun, "no job was submitted here under this key"))
	}
	return rt.queryLocal(ctx, j, q)
}

// queryChosenKey answers a query with a client-chosen key.
func (rt *Router) queryChosenKey(ctx context.Context, q Query) Result {
	b := rt.options.Bundle()
	if b == nil {
		return refused(refusal.New(refusal.NotReady, refusal.Unknown, "no bundle is in force yet"))
	}
	index := partitionOf(b, q.Key)
	owner := rt.options.PartitionOwner(index)
	send := rt.sendQuery(q)
	p := rt.options.Partition(index)
	if owner == rt.options.Self.VM {
		// Only the owner has applied all claims in the log, so only it knows that a key is not claimed.
		if err := p.Acquire(ctx); err != nil {
			r := rt.claimRefusal(err)
			r.Outcome = refusal.Unknown
			return refused(r)
		}
	}
	j, ok, err := p.Get(ctx, q.Key)
	switch {
	case err != nil:
		return rt.askEarlierOwner(ctx, rt.claimFailed(err), q.Forwarded, send)
	case ok:
		return rt.queryLocal(ctx, j, q)
	case owner != rt.options.Self.VM:
		result := rt.forwardToOwner(ctx, owner, q.Forwarded, send)
		if result.Refusal != nil && result.Refusal.Kind == refusal.OwnerUnreachable {
			result.Refusal.Outcome = refusal.Unknown
		}
		return rt.askEarlierOwner(ctx, result, q.Forwarded, send)
	}
	return refused(refusal.New(refusal.KeyUnknown, refusal.Unknown, "no claim of this key is remembered"))
}

// queryLocal answers a query from a job of this entry.
func (rt *Router) queryLocal(ctx context.Context, j *job.Job, q Query) Result {
	if q.Cancel {
		j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "the caller cancelled the job"))
	}
	return rt.await(ctx, j, q.WaitUntil)
}
