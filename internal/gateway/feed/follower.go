// Package feed follows a topic of keyed records through outages of the store and losses of its history.
package feed

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

// Spans of reads.
const (
	answerTimeout = 500 * time.Millisecond // for an answer beyond its wait; the store takes some milliseconds
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Follower reads one topic. Reset gets the newest record of every key, Apply the
// records after them.
type Follower struct {
	Name      string
	Feed      platform.Feed
	Wait      time.Duration // that a read waits for a record
	ReadDelay time.Duration // between reads, for topics that change all the time
	Reset     func(records []platform.Keyed)
	Apply     func(records []platform.Keyed)
	// OnUnavailable and Back are told when the topic can no longer be read, and when it can
	// for the first time or again.
	OnUnavailable func()
	OnAvailable   func()
	// Enabled tells whether the topic is to be read now, nil for always, and Changed
	// has a value once that has changed. What was read before a change counts for
	// nothing after it, also where the pause was too short to be seen. Paused is told
	// when it is no longer read.
	Enabled        func() bool
	EnabledChanged <-chan struct{}
	OnDisabled     func()
	Log            *slog.Logger

	offset    int64 // offset at which reading goes on, negative before the first
	failures  int
	available bool // it has been read
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.offset = -1
	for ctx.Err() == nil {
		select {
		case <-f.EnabledChanged:
			f.offset = -1
		default:
		}
		if f.Enabled != nil && !f.Enabled() {
			f.offset, f.failures, f.available = -1, 0, false
			f.OnDisabled()
			select {
			case <-ctx.Done():
			case <-f.EnabledChanged:
			}
			continue
		}
		if err := f.readOnce(ctx); err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.recordSuccess()
		wait.For(ctx, f.ReadDelay)
	}
}

// recordSuccess notes that a read has worked.
func (f *Follower) recordSuccess() {
	if f.available && f.failures == 0 {
		return
	}
	if f.failures > 0 {
		f.Log.Info("topic can be read again", "topic", f.Name, "missed", f.failures)
	}
	f.available, f.failures = true, 0
	f.OnAvailable()
}

func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+answerTimeout*time.Duration(1+min(f.failures, 4)))
	defer cancel()
	if f.offset < 0 {
		records, end, err := f.Feed.Newest(ctx)
		if err != nil {
			return err
		}
		f.Reset(records)
		f.offset = end
		return nil
	}
	records, next, err := f.Feed.Read(ctx, f.offset, f.Wait)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		f.Log.Info("history of topic is gone", "topic", f.Name, "offset", f.offset)
		f.offset = -1
		return nil
	}
	if err != nil {
		return err
	}
	f.offset = next
	if len(records) > 0 {
		f.Apply(records)
	}
	return nil
}

// handleFailure waits a little after a failed read.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	if f.failures == 1 {
		f.Log.Warn("topic cannot be read", "topic", f.Name, "error", err)
		f.OnUnavailable()
	}
	wait.For(ctx, min(maxRetryDelay, minRetryDelay<<min(f.failures-1, 4)))
}
