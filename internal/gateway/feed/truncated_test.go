package feed

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestHistoryThatIsGoneAgainIsReadSlowly guards against a follower that reads without a pause:
// another writer fills the topic so fast, or the list of newest records states such an end, that
// the history at the end of the list is gone whenever it is read.
func TestHistoryThatIsGoneAgainIsReadSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lists, resets := 0, 0
		f := &Follower{
			Name: "configuration", Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Reset: func([]platform.KeyedRecord) { resets++ }, Apply: func([]platform.KeyedRecord) {},
			OnUnavailable: func() {}, OnAvailable: func() {},
			Feed: platform.Feed{
				Reconnect: func() {},
				Newest: func(context.Context) ([]platform.KeyedRecord, int64, error) {
					lists++
					if lists > 1000 {
						cancel()
					}
					return nil, 3, nil
				},
				Read: func(_ context.Context, from int64, _ time.Duration) ([]platform.KeyedRecord, int64, error) {
					return nil, from, &platform.TruncatedError{Topic: "keyed.op", Offset: from, FirstOffset: 9}
				},
			},
		}
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(10 * time.Second)
		cancel()
		done.Wait()
		// A retry waits 0.1 s at first and 0.8 s after some failures.
		if lists > 110 || lists < 10 || resets != lists {
			t.Fatalf("%d lists requested and %d delivered in 10 s", lists, resets)
		}
	})
}
