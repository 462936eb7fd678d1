// Package feed follows topics of keyed records in the store, across outages of the
// store and truncation of a topic's history.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

// Time limits and retry delays of reads. After an outage of the store the next read begins
// within the larger one of answerTimeout and maxRetryDelay, whatever has failed before.
const (
	answerTimeout    = 500 * time.Millisecond  // for a response, in addition to Wait, until another read begins beside; the store needs a few milliseconds
	maxAnswerTimeout = 2500 * time.Millisecond // for a response, in addition to Wait; the store may be slow
	minRetryDelay    = 100 * time.Millisecond
	maxRetryDelay    = 800 * time.Millisecond
)

// Follower reads one topic. It passes the newest record of every key to Reset and
// later records to Apply. After a loss of history it starts over with Reset. Run calls
// all functions from its own goroutine. OnUnavailable and OnAvailable must be set, and
// OnDisabled if Enabled is.
type Follower struct {
	Name      string
	Feed      platform.Feed
	Wait      time.Duration // how long a read waits for a new record
	ReadDelay time.Duration // between reads; batches the records of topics that change all the time
	Reset     func(records []platform.KeyedRecord)
	Apply     func(records []platform.KeyedRecord)
	// OnPosition is called before Reset and Apply with the offset from which the topic is read on
	// after their records, and whether those of Reset are only part of the newest. It may be nil.
	OnPosition func(next int64, partial bool)
	// OnUnavailable is called when reading starts to fail, and before Reset if it gets only
	// part of the records. OnAvailable is called after the first successful read and after
	// the first one that follows OnUnavailable.
	OnUnavailable func()
	OnAvailable   func()
	// Relist makes the follower get the newest records again until it has got all of them. It
	// is for topics whose records are not published again by themselves.
	Relist bool
	// Enabled reports whether to read the topic; nil means always. EnabledChanged
	// receives a value after each change of Enabled. After a change the follower starts
	// over with Reset, even if Enabled was false too briefly to be noticed. OnDisabled
	// is called when reading stops because Enabled is false.
	Enabled        func() bool
	EnabledChanged <-chan struct{}
	OnDisabled     func()
	Log            *slog.Logger

	offset      int64     // of the next record to read; negative if Reset must come first
	failures    int       // consecutive failed reads
	failedAt    time.Time // first of these failures
	relistAt    time.Time // when to get the newest records again, zero if the last list was complete
	attempts    sync.WaitGroup
	truncations int  // losses of history without a read of records in between
	hasRead     bool // whether a read has succeeded since reading was enabled
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.attempts.Wait()
	f.offset = -1
	for ctx.Err() == nil {
		select {
		case <-f.EnabledChanged:
			f.offset = -1
		default:
		}
		if f.Enabled != nil && !f.Enabled() {
			f.offset, f.failures, f.hasRead = -1, 0, false
			f.OnDisabled()
			select {
			case <-ctx.Done():
			case <-f.EnabledChanged:
			}
			continue
		}
		if !f.relistAt.IsZero() && !time.Now().Before(f.relistAt) {
			f.offset = -1
		}
		r, answered := f.read(ctx)
		if !answered {
			f.offset = -1 // Enabled has changed, or the context has ended
			continue
		}
		f.deliver(r)
		f.recordSuccess()
		wait.For(ctx, max(f.ReadDelay, f.truncationDelay()))
	}
}

// truncationDelay returns the time to wait before the next read if the history was gone twice
// in a row.
func (f *Follower) truncationDelay() time.Duration {
	if f.truncations < 2 {
		return 0
	}
	return min(maxRetryDelay, minRetryDelay<<min(f.truncations-2, 4))
}

// recordSuccess resets the failure count, and calls OnAvailable if this was the
// first successful read or followed a failure.
func (f *Follower) recordSuccess() {
	if f.hasRead && f.failures == 0 {
		return
	}
	if f.failures > 0 {
		f.Log.Info("topic can be read again", "topic", f.Name, "missed", f.failures, "ms", time.Since(f.failedAt).Milliseconds())
	}
	f.hasRead, f.failures = true, 0
	f.OnAvailable()
}

// deliver passes the records of an answer to Reset or Apply.
func (f *Follower) deliver(r reply) {
	var truncated *platform.TruncatedError
	var incomplete *platform.IncompleteError
	switch {
	case errors.As(r.err, &truncated):
		if f.truncations++; f.truncations <= 2 {
			f.Log.Info("history of topic is gone", "topic", f.Name, "offset", f.offset, "times", f.truncations)
		}
		f.offset = -1
	case f.offset < 0:
		partial := errors.As(r.err, &incomplete)
		if partial && f.relistAt.IsZero() {
			// Unless Relist is set, later records bring the rest.
			f.Log.Warn("topic can be read only in part", "topic", f.Name, "records", len(r.records), "error", r.err)
			f.OnUnavailable()
			f.hasRead = false // for OnAvailable
		}
		f.relistAt = time.Time{}
		if partial && f.Relist {
			f.relistAt = time.Now().Add(maxRetryDelay)
		}
		f.notePosition(r.next, partial)
		f.Reset(r.records)
		f.offset = r.next
	default:
		f.offset, f.truncations = r.next, 0
		if len(r.records) > 0 {
			f.notePosition(r.next, false)
			f.Apply(r.records)
		}
	}
}

// notePosition calls OnPosition if it is set.
func (f *Follower) notePosition(next int64, partial bool) {
	if f.OnPosition != nil {
		f.OnPosition(next, partial)
	}
}

// maxLoggedFailures is the number of consecutive failures of which each is logged.
const maxLoggedFailures = 20

// recordFailure calls OnUnavailable after the first of a series of failures. It returns the
// time to wait before the next read.
func (f *Follower) recordFailure(startedAt time.Time, err error) time.Duration {
	delay := min(maxRetryDelay, minRetryDelay<<min(f.failures, 4))
	if errors.As(err, new(unansweredError)) {
		delay = 0
	}
	if f.failures++; f.failures <= maxLoggedFailures {
		var call *platform.Error
		reused := errors.As(err, &call) && call.Reused
		f.Log.Warn("topic cannot be read", "topic", f.Name, "failures", f.failures, "ms", time.Since(startedAt).Milliseconds(),
			"reused", reused, "retry_ms", delay.Milliseconds(), "error", err)
	}
	if f.failures == 1 {
		f.failedAt = time.Now()
		f.OnUnavailable()
	}
	return delay
}
