package node

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// Times of a cancel. A group that is being taken over answers within about a second.
const (
	cancelTimeout    = 2 * time.Second
	cancelRetryDelay = 100 * time.Millisecond // between two attempts to reach the holder of a group
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

// cancelJob cancels a job and reports whether it is known. A client may cancel it through any entry, while
// another one waits for it, so the holders of all groups are asked. An error says that one of them did not
// answer, and that none of the others knows the job.
func (n *Node) cancelJob(ctx context.Context, _ batch.QueueSettings, id string) (bool, error) {
	if n.tracker.Cancel(id) {
		n.log.Info("job cancelled by a client", "job", id)
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var failure error
	known := false
	for _, zone := range n.settings.Zones {
		for i := range n.settings.Groups {
			group := groupName(zone, i)
			calls.Go(func() {
				knows, err := n.cancelInGroup(ctx, group, id)
				mu.Lock()
				defer mu.Unlock()
				if known = known || knows; known {
					cancel() // the others need not be waited for
				}
				if err != nil {
					failure = err
				}
			})
		}
	}
	calls.Wait()
	if known {
		n.log.Info("job cancelled by a client", "job", id)
		return true, nil
	}
	if failure != nil {
		n.log.Warn("job not cancelled", "job", id, "error", failure)
	}
	return false, failure
}

// cancelInGroup asks the holder of a group to cancel a job, until one answers or the context ends.
func (n *Node) cancelInGroup(ctx context.Context, group, id string) (known bool, err error) {
	for {
		known, err = n.cancelAt(ctx, group, id)
		if err == nil || ctx.Err() != nil {
			return known, err
		}
		wait.For(ctx, cancelRetryDelay)
	}
}

// cancelAt asks the present holder of a group to cancel a job.
func (n *Node) cancelAt(ctx context.Context, group, id string) (bool, error) {
	holder, live := n.currentHolder(group)
	if !live {
		return false, &NoHolderError{Group: group}
	}
	if holder.Local {
		known, certain := n.onCancel(group, id)
		if !certain {
			return false, &NoHolderError{Group: group}
		}
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	n.instruments.countMessage("cancel")
	known, err := n.client.Cancel(ctx, holder.Address, group, id)
	if err != nil {
		return false, &NoHolderError{Group: group, Cause: err}
	}
	return known, nil
}

// onCancel cancels a job if this entry holds the group. It reports whether the job is known, and whether that
// is certain: it is not in an entry that does not hold the group or has just taken it.
func (n *Node) onCancel(group, id string) (known, certain bool) {
	h, held := n.holder(group)
	if !held {
		return false, false
	}
	return h.Cancel(id)
}
