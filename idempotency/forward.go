package idempotency

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

// sendFunc sends one submission or query to a member.
type sendFunc func(ctx context.Context, to member.Record) (Result, error)

// sendSubmission returns a sendFunc that forwards a submission.
func (rt *Router) sendSubmission(s Submission) sendFunc {
	return func(ctx context.Context, to member.Record) (Result, error) {
		return rt.options.ForwardSubmit(ctx, to, s)
	}
}

// sendQuery returns a sendFunc that forwards a query.
func (rt *Router) sendQuery(q Query) sendFunc {
	return func(ctx context.Context, to member.Record) (Result, error) {
		return rt.options.ForwardQuery(ctx, to, q)
	}
}

// livenessInterval is how often the state of a member is checked while a forwarded
// call waits for it.
const livenessInterval = 250 * time.Millisecond

// deadGracePeriod is how long a forwarded call continues after its member was found
// dead, in case the member answers after all.
const deadGracePeriod = time.Second

// cancelWhenDead returns a context that is canceled once the member has been dead or
// unknown for deadGracePeriod, so that a caller does not wait for an answer that
// cannot come.
func (rt *Router) cancelWhenDead(ctx context.Context, to member.Record) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(livenessInterval)
		defer ticker.Stop()
		var giveUpAt time.Time
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			now := rt.options.Now()
			_, state, known := rt.options.FindMember(to.ID)
			switch {
			case known && state != member.Dead:
				giveUpAt = time.Time{}
			case giveUpAt.IsZero():
				giveUpAt = now.Add(deadGracePeriod)
			case now.After(giveUpAt):
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// forwardToOrigin sends a call to the entry that issued the key. It makes at most
// one hop and only sends to a member with the incarnation in the key.
func (rt *Router) forwardToOrigin(ctx context.Context, key origin.Key, forwarded bool, send sendFunc) Result {
	to, _, known := rt.options.FindMember(key.VM)
	if !known || to.Zone != key.Zone {
		return refused(refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "entry %s of the key is not known here", key.VM))
	}
	if to.Incarnation != key.Incarnation {
		return refused(refusal.New(refusal.Lost, refusal.Unknown, "entry %s has been replaced since the key was given out", key.VM))
	}
	if forwarded {
		return refused(refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "key was forwarded to an entry that is not its origin"))
	}
	ctx, cancel := rt.cancelWhenDead(ctx, to)
	defer cancel()
	result, err := send(ctx, to)
	if err != nil {
		r := refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "entry %s of the key does not answer: %v", key.VM, err)
		return refused(r.WithRetryAt(rt.options.Now().Add(time.Second)))
	}
	return result
}

// claimFailed returns the result for a failed claim, with the earlier owner if there
// is one.
func (rt *Router) claimFailed(err error) Result {
	result := refused(rt.claimRefusal(err))
	var claimedByOther *claim.ClaimedByOtherError
	if errors.As(err, &claimedByOther) {
		result.EarlierOwner = claimedByOther.Owner
	}
	return result
}

// askEarlierOwner sends the call to the earlier owner that claimed the key, unless that
// process has been replaced: only it knows the outcome of the job. It is asked also if it
// counts as dead, since it may only have been held up. Without an answer the given result is returned.
func (rt *Router) askEarlierOwner(ctx context.Context, result Result, forwarded bool, send sendFunc) Result {
	if result.EarlierOwner == "" || forwarded {
		return result
	}
	vm, incarnation, _ := strings.Cut(result.EarlierOwner, "~")
	to, _, known := rt.options.FindMember(vm)
	if !known || strconv.FormatUint(to.Incarnation, 16) != incarnation || vm == rt.options.Self.VM {
		return result
	}
	ctx, cancel := rt.cancelWhenDead(ctx, to)
	defer cancel()
	if earlier, err := send(ctx, to); err == nil {
		return earlier
	}
	return result
}

// forwardToOwner sends a call with a client-chosen key to the owner of the key's
// partition. It makes at most one hop.
func (rt *Router) forwardToOwner(ctx context.Context, owner string, forwarded bool, send sendFunc) Result {
	retryAt := rt.options.Now().Add(500 * time.Millisecond)
	to, _, known := rt.options.FindMember(owner)
	if forwarded || !known {
		r := refusal.New(refusal.OwnerUnreachable, refusal.NotRun, "the owner of the key's partition is not settled")
		return refused(r.WithRetryAt(retryAt))
	}
	ctx, cancel := rt.cancelWhenDead(ctx, to)
	defer cancel()
	result, err := send(ctx, to)
	if err != nil {
		r := refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "owner %s of the key's partition does not answer: %v", owner, err)
		return refused(r.WithRetryAt(retryAt))
	}
	return result
}
