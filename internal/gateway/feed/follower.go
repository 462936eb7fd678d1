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
	answerSpan = 500 * time.Millisecond // for an answer beyond its wait; the store takes some milliseconds
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Follower reads one topic. Reset gets the newest record of every key, Apply the
// records after them.
type Follower struct {
	Name  string
	Feed  platform.Feed
	Wait  time.Duration // that a read waits for a record
	Pause time.Duration // between reads, for topics that change all the time
	Reset func(records []platform.KeyedRecord)
	Apply func(records []platform.KeyedRecord)
	// Lost and Back are told when the topic can no longer be read, and when it can
	// for the first time or again.
	Lost func()
	Back func()
	// Wanted tells whether the topic is to be read now, nil for always, and Changed
	// has a value once that has changed. What was read before a change counts for
	// nothing after it, also where the pause was too short to be seen. Paused is told
	// when it is no longer read.
	Wanted  func() bool
	Changed <-chan struct{}
	Paused  func()
	Log     *slog.Logger

	from   int64 // offset at which reading goes on, negative before the first
	failed int
	read   bool // it has been read
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.from = -1
	for ctx.Err() == nil {
		select {
		case <-f.Changed:
			f.from = -1
		default:
		}
		if f.Wanted != nil && !f.Wanted() {
			f.from, f.failed, f.read = -1, 0, false
			f.Paused()
			select {
			case <-ctx.Done():
			case <-f.Changed:
			}
			continue
		}
		if err := f.step(ctx); err != nil {
			f.miss(ctx, err)
			continue
		}
		f.reached()
		wait.For(ctx, f.Pause)
	}
}

// reached notes that a read has worked.
func (f *Follower) reached() {
	if f.read && f.failed == 0 {
		return
	}
	if f.failed > 0 {
		f.Log.Info("topic can be read again", "topic", f.Name, "missed", f.failed)
	}
	f.read, f.failed = true, 0
	f.Back()
}

func (f *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+answerSpan*time.Duration(1+min(f.failed, 4)))
	defer cancel()
	if f.from < 0 {
		records, end, err := f.Feed.Newest(ctx)
		if err != nil {
			return err
		}
		f.Reset(records)
		f.from = end
		return nil
	}
	records, next, err := f.Feed.Read(ctx, f.from, f.Wait)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		f.Log.Info("history of topic is gone", "topic", f.Name, "offset", f.from)
		f.from = -1
		return nil
	}
	if err != nil {
		return err
	}
	f.from = next
	if len(records) > 0 {
		f.Apply(records)
	}
	return nil
}

// miss waits a little after a failed read.
func (f *Follower) miss(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failed++
	if f.failed == 1 {
		f.Log.Warn("topic cannot be read", "topic", f.Name, "error", err)
		f.Lost()
	}
	wait.For(ctx, min(retryMost, retryFirst<<min(f.failed-1, 4)))
}
