package feed

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestFailedReadsAreLogged guards against an outage whose attempts cannot be told from the logs: each
// of the first ones must have a line, and a long outage must not fill the log.
func TestFailedReadsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var lines strings.Builder
		f, _ := newIdleFollower(time.Second, nil, func() bool { return true })
		f.Log = slog.New(slog.NewTextHandler(&lines, nil))
		var failing atomic.Bool
		failing.Store(true)
		f.Feed.Newest = func(context.Context) ([]platform.KeyedRecord, int64, error) {
			if failing.Load() {
				return nil, 0, &platform.Error{Call: "store", Status: 503, Reused: true}
			}
			return nil, 7, nil
		}
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(time.Minute)
		synctest.Wait()
		failing.Store(false)
		time.Sleep(2 * time.Second)
		cancel()
		done.Wait()
		text := lines.String()
		if count := strings.Count(text, "topic cannot be read"); count != maxLoggedFailures {
			t.Fatalf("%d failures logged, want the first %d", count, maxLoggedFailures)
		}
		for _, want := range []string{"failures=1 ms=0 reused=true retry_ms=100", "topic can be read again"} {
			if !strings.Contains(text, want) {
				t.Fatalf("%q is not in the log:\n%s", want, text)
			}
		}
	})
}
