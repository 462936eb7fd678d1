package keeper

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
)

// sender is one message to a member.
type sender func(ctx context.Context, to member.Record) (Result, error)

func (k *Keeper) submitTo(s Submission) sender {
	return func(ctx context.Context, to member.Record) (Result, error) { return k.options.Submit(ctx, to, s) }
}

func (k *Keeper) lookAt(l Look) sender {
	return func(ctx context.Context, to member.Record) (Result, error) { return k.options.Look(ctx, to, l) }
}

// watchSpan is the time between looks at a member that a forwarded call waits for.
const watchSpan = 250 * time.Millisecond

// deadSpan is how long a member that seems dead is given to answer after all.
const deadSpan = time.Second

// watched bounds a forwarded call: it ends when the member has seemed dead for
// a while, so that a caller is not left waiting for an answer that cannot come.
func (k *Keeper) watched(ctx context.Context, to member.Record) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(watchSpan)
		defer ticker.Stop()
		var dead time.Time
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			now := k.options.Now()
			_, state, known := k.options.Find(to.ID)
			switch {
			case known && state != member.Dead:
				dead = time.Time{}
			case dead.IsZero():
				dead = now.Add(deadSpan)
			case now.After(dead):
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// forward sends a key to its origin, at most one hop and only to a member that
// is known with the key's incarnation.
func (k *Keeper) forward(ctx context.Context, key origin.Key, forwarded bool, send sender) Result {
	to, _, known := k.options.Find(key.VM)
	if !known || to.Zone != key.Zone {
		return refuse(refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "entry %s of the key is not known here", key.VM))
	}
	if to.Incarnation != key.Incarnation {
		return refuse(refusal.New(refusal.Lost, refusal.Unknown, "entry %s has been replaced since the key was given out", key.VM))
	}
	if forwarded {
		return refuse(refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "key was forwarded to an entry that is not its origin"))
	}
	ctx, cancel := k.watched(ctx, to)
	defer cancel()
	result, err := send(ctx, to)
	if err != nil {
		r := refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "entry %s of the key does not answer: %v", key.VM, err)
		return refuse(r.WithRetryAt(k.options.Now().Add(time.Second)))
	}
	return result
}

// lost makes the result of a failed claim and names the earlier owner, if any.
func (k *Keeper) lost(err error) Result {
	result := refuse(k.claimRefusal(err))
	var lost *claim.LostError
	if errors.As(err, &lost) {
		result.Earlier = lost.Owner
	}
	return result
}

// follow asks the earlier owner that claimed a key, while it is still there. It
// alone can tell what became of the job.
func (k *Keeper) follow(ctx context.Context, result Result, forwarded bool, send sender) Result {
	if result.Earlier == "" || forwarded {
		return result
	}
	vm, incarnation, _ := strings.Cut(result.Earlier, "~")
	to, state, known := k.options.Find(vm)
	if !known || state == member.Dead || strconv.FormatUint(to.Incarnation, 16) != incarnation || vm == k.options.Self.VM {
		return result
	}
	ctx, cancel := k.watched(ctx, to)
	defer cancel()
	if earlier, err := send(ctx, to); err == nil {
		return earlier
	}
	return result
}

// toOwner sends a chosen key to the owner of its partition, at most one hop.
func (k *Keeper) toOwner(ctx context.Context, owner string, forwarded bool, send sender) Result {
	back := k.options.Now().Add(500 * time.Millisecond)
	to, _, known := k.options.Find(owner)
	if forwarded || !known {
		r := refusal.New(refusal.OwnerUnreachable, refusal.NotRun, "the owner of the key's partition is not settled")
		return refuse(r.WithRetryAt(back))
	}
	ctx, cancel := k.watched(ctx, to)
	defer cancel()
	result, err := send(ctx, to)
	if err != nil {
		r := refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "owner %s of the key's partition does not answer: %v", owner, err)
		return refuse(r.WithRetryAt(back))
	}
	return result
}
