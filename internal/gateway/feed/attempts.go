package feed

import (
	"context"
	"errors"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// unansweredError reports an attempt that may still be answered, but not in the usual time.
type unansweredError struct{}

// Error says that the attempt goes on.
func (unansweredError) Error() string { return "no answer yet" }

// reply is the outcome of one attempt to read: the records and the offset after them, or an error.
type reply struct {
	attempt int
	records []platform.KeyedRecord
	next    int64
	err     error
}

// isAnswer reports whether the store has answered, be it with an error that says what it holds.
func (r reply) isAnswer() bool {
	var truncated *platform.TruncatedError
	var incomplete *platform.IncompleteError
	return r.err == nil || errors.As(r.err, &truncated) || errors.As(r.err, &incomplete)
}

// read returns the first answer of the store, or false if the context ended or Enabled changed.
// An attempt that is not answered in time goes on, since the store may be slow, while
// another one begins over a new connection, since the store or the connection may have been
// silent only when the first one began.
func (f *Follower) read(ctx context.Context) (reply, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply)
	attempt, startedAt, poll := 0, time.Time{}, f.Wait
	if !f.relistAt.IsZero() {
		poll = max(0, min(poll, time.Until(f.relistAt)))
	}
	start := func() time.Duration {
		attempt++
		startedAt = time.Now()
		number, offset, wait := attempt, f.offset, poll
		f.attempts.Go(func() {
			limited, cancel := context.WithTimeout(ctx, wait+maxAnswerTimeout)
			defer cancel()
			r := f.readOnce(limited, offset, wait)
			r.attempt = number
			select {
			case replies <- r:
			case <-ctx.Done():
			}
		})
		poll = 0 // whether the store answers matters more than new records
		return wait + answerTimeout
	}
	timer := time.NewTimer(start())
	defer timer.Stop()
	failed := false // the latest attempt has failed, and the next one waits for timer
	for {
		select {
		case <-ctx.Done():
			return reply{}, false
		case <-f.EnabledChanged:
			return reply{}, false
		case r := <-replies:
			if r.isAnswer() {
				return r, true
			}
			// The failure of an earlier attempt has been recorded when it was not answered in time.
			if r.attempt == attempt {
				failed = true
				timer.Reset(f.recordFailure(startedAt, r.err))
			}
		case <-timer.C:
			if !failed {
				f.recordFailure(startedAt, unansweredError{})
			}
			failed = false
			f.Feed.Reconnect()
			timer.Reset(start())
		}
	}
}

// readOnce makes one attempt to read either the newest record of every key, if offset is
// negative, or the records from offset on.
func (f *Follower) readOnce(ctx context.Context, offset int64, wait time.Duration) (r reply) {
	if offset < 0 {
		r.records, r.next, r.err = f.Feed.Newest(ctx)
		return r
	}
	r.records, r.next, r.err = f.Feed.Read(ctx, offset, wait)
	return r
}
