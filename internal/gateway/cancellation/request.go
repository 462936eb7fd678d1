package cancellation

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/work/cancels"
)

// Times of a cancel. A group that is being taken over answers within about a second.
const (
	timeout    = 2 * time.Second
	retryDelay = 100 * time.Millisecond // between two attempts to reach a holder or another entry
)

// UncertainError reports a cancel that may not hold.
type UncertainError struct {
	ID    string
	Tally Tally
	Cause error // the last failure of a call; may be nil
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("cancel of job %s is kept by %d other entries, %d groups have not answered, table full: %t, last error: %v",
		e.ID, e.Tally.Kept, len(e.Tally.Missing), e.Tally.Full, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// request is a cancel of which the replies are being collected.
type request struct {
	*Exchange
	id    string
	until time.Time

	mu      sync.Mutex
	tally   Tally
	cause   error
	decided func() // ends the wait for replies
}

// Cancel cancels a job for a client: it records the cancel, ends the job here and asks the holders of all groups to do
// the same. It reports whether the job is, or may be, known. An error, which is an *UncertainError, says that the cancel
// may not hold. Calls without a reply go on for the rest of the timeout after the answer: the job may yet move to a group
// whose holder has no record.
func (x *Exchange) Cancel(ctx context.Context, id string) (known bool, err error) {
	now := time.Now()
	r := &request{Exchange: x, id: id, tally: Tally{Missing: map[string]bool{}}}
	home, expiresAt, waiting := x.WaitingJob(id)
	r.tally.Known, r.until = waiting, x.Table.KeepUntil(expiresAt, now)
	if waiting {
		r.tally.Home = home
	}
	if number, ok := cancels.Number(id); ok {
		_, err := x.Table.Add(cancels.Record{Job: number, Until: r.until}, now)
		r.tally.Full = err != nil
	}
	x.End(id)
	for _, group := range x.Groups {
		r.tally.Missing[group] = true
	}
	callCtx, endCalls := context.WithTimeout(x.Context, timeout)
	waitCtx, decided := context.WithCancel(ctx)
	r.decided = decided
	defer decided()
	var calls sync.WaitGroup
	for _, group := range x.Groups {
		calls.Go(func() { r.askGroup(callCtx, group) })
	}
	calls.Go(func() { r.askOthers(callCtx) })
	go func() {
		calls.Wait()
		endCalls()
	}()
	select {
	case <-waitCtx.Done():
	case <-callCtx.Done():
	}
	tally, cause := r.replies()
	tally.Unheard = x.Unheard()
	switch tally.Answer(true) {
	case Cancelled:
		return true, nil
	case Gone:
		return false, nil
	}
	return false, &UncertainError{ID: id, Tally: tally, Cause: cause}
}

// replies returns a copy of the replies so far, and the last failure of a call.
func (r *request) replies() (Tally, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.tally
	tally.Missing = maps.Clone(tally.Missing)
	return tally, r.cause
}

// askGroup asks the holder of a group until it answers or the context ends.
func (r *request) askGroup(ctx context.Context, group string) {
	for ctx.Err() == nil {
		reply, err := r.AskHolder(ctx, group, r.id, time.Until(r.until))
		if err == nil {
			r.note(func(t *Tally) {
				delete(t.Missing, group)
				t.count(reply)
			})
			return
		}
		if ctx.Err() == nil {
			r.mu.Lock()
			r.cause = err
			r.mu.Unlock()
		}
		wait.For(ctx, retryDelay)
	}
}

// askOthers asks other entries until one replies. While another entry holds a group, they are asked only if after
// retryDelay the answer is still open, since that entry may be cut off, or no other process keeps the record, since that
// entry is of an earlier build.
func (r *request) askOthers(ctx context.Context) {
	if r.HeldElsewhere() {
		wait.For(ctx, retryDelay)
		if tally, _ := r.replies(); tally.Kept > 0 && tally.Answer(false) != Undecided {
			return
		}
	}
	for ctx.Err() == nil {
		alone := r.Alone()
		replies := r.AskOthers(ctx, r.id, time.Until(r.until))
		r.note(func(t *Tally) {
			t.Alone = alone
			for _, reply := range replies {
				t.count(reply)
			}
		})
		if len(replies) > 0 || alone {
			return
		}
		wait.For(ctx, retryDelay)
	}
}

// note counts a reply, and ends the wait for replies if it decides the answer.
func (r *request) note(change func(t *Tally)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.tally)
	if r.tally.Answer(false) != Undecided {
		r.decided()
	}
}

// count counts a reply.
func (t *Tally) count(reply Reply) {
	t.Known = t.Known || reply.Known
	if reply.Kept {
		t.Kept++
	}
	if reply.Earlier {
		t.Earlier++
	}
}
