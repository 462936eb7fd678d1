package keeper

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
)

// Look asks for a job by its key.
type Look struct {
	Key       string
	WaitUntil time.Time
	Cancel    bool
	Forwarded bool
}

// Look gives the state of a keyed job, waits for it, or cancels it.
func (k *Keeper) Look(ctx context.Context, l Look) Result {
	if !origin.Is(l.Key) {
		return k.lookChosen(ctx, l)
	}
	key, err := origin.Parse(l.Key)
	if err != nil {
		return refuse(refusal.New(refusal.BadKey, refusal.NotRun, "%v", err))
	}
	if !k.mine(key) {
		return k.forward(ctx, key, l.Forwarded, k.lookAt(l))
	}
	j, ok, err := k.options.Window.Get(key.Slot, l.Key)
	if err != nil {
		return refuse(keyRefusal(err))
	}
	if !ok {
		return refuse(refusal.New(refusal.KeyUnknown, refusal.NotRun, "no job was submitted here under this key"))
	}
	return k.look(ctx, j, l)
}

func (k *Keeper) lookChosen(ctx context.Context, l Look) Result {
	b := k.options.Bundle()
	if b == nil {
		return refuse(refusal.New(refusal.NotReady, refusal.Unknown, "no bundle is in force yet"))
	}
	index := partitionOf(b, l.Key)
	owner := k.options.Owner(index)
	send := k.lookAt(l)
	p := k.options.Partition(index)
	if owner == k.options.Self.VM {
		// Only an owner has folded all claims and can tell that there is none.
		if err := p.Acquire(ctx); err != nil {
			r := k.claimRefusal(err)
			r.Outcome = refusal.Unknown
			return refuse(r)
		}
	}
	j, ok, err := p.Get(ctx, l.Key)
	switch {
	case err != nil:
		return k.follow(ctx, k.lost(err), l.Forwarded, send)
	case ok:
		return k.look(ctx, j, l)
	case owner != k.options.Self.VM:
		result := k.toOwner(ctx, owner, l.Forwarded, send)
		if result.Refusal != nil && result.Refusal.Kind == refusal.OwnerUnreachable {
			result.Refusal.Outcome = refusal.Unknown
		}
		return k.follow(ctx, result, l.Forwarded, send)
	}
	return refuse(refusal.New(refusal.KeyUnknown, refusal.Unknown, "no claim of this key is remembered"))
}

func (k *Keeper) look(ctx context.Context, j *job.Job, l Look) Result {
	if l.Cancel {
		j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "the caller cancelled the job"))
	}
	return k.await(ctx, j, l.WaitUntil)
}
