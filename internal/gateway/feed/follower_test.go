package feed

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/ledger"
)

// TestFollowerSurvivesOutageAndTruncation writes to a topic while its store goes away, comes back and drops
// its history. The follower gives every value, and tells each time that the store
// is lost or there, the first time as well.
func TestFollowerSurvivesOutageAndTruncation(t *testing.T) {
	tests := []struct {
		name   string
		during func(store *ledger.Ledger, seen func(what string))
		events []string
	}{
		{"the store answers", func(*ledger.Ledger, func(string)) {}, []string{"back"}},
		{"the store goes away", func(store *ledger.Ledger, seen func(string)) {
			store.Down.Store(true)
			seen("lost")
			store.Down.Store(false)
		}, []string{"back", "lost", "back"}},
		{"the history is dropped", func(store *ledger.Ledger, _ func(string)) {
			store.Forget("keyed.op")
		}, []string{"back"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			store := ledger.New()
			server := httptest.NewServer(store)
			defer server.Close()
			client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			defer client.Close()
			var mu sync.Mutex
			var told, values []string
			record := func(list *[]string, text string) {
				mu.Lock()
				defer mu.Unlock()
				*list = append(*list, text)
			}
			take := func(records []platform.Keyed) {
				for _, k := range records {
					record(&values, string(k.Value))
				}
			}
			f := &Follower{
				Name: "configuration", Feed: client.Operator(), Wait: 50 * time.Millisecond, Reset: take, Apply: take,
				OnUnavailable: func() { record(&told, "lost") }, OnAvailable: func() { record(&told, "back") },
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Run(ctx)
			}()
			waitFor := func(list *[]string, text string) {
				t.Helper()
				for range 2000 {
					mu.Lock()
					there := slices.Contains(*list, text)
					mu.Unlock()
					if there {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
				t.Fatalf("%s: never", text)
			}
			for i := range 2 {
				store.Put("keyed.op", "config", fmt.Appendf(nil, "value %d", i))
				waitFor(&values, fmt.Sprintf("value %d", i))
			}
			c.during(store, func(what string) { waitFor(&told, what) })
			store.Put("keyed.op", "config", []byte("last"))
			waitFor(&values, "last")
			cancel()
			<-done
			if !slices.Equal(told, c.events) {
				t.Fatalf("told %v, want %v", told, c.events)
			}
		})
	}
}

// callCounts is what a follower of a topic without news has done.
type callCounts struct{ newest, enabled, reads, available atomic.Int64 }

// newIdleFollower makes a follower of a topic without news.
func newIdleFollower(readDelay time.Duration, changed <-chan struct{}, enabled func() bool) (*Follower, *callCounts) {
	c := &callCounts{}
	return &Follower{
		Name: "workers", ReadDelay: readDelay, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		EnabledChanged: changed, Enabled: func() bool { c.enabled.Add(1); return enabled() },
		Feed: platform.Feed{
			Newest: func(context.Context) ([]platform.Keyed, int64, error) { c.newest.Add(1); return nil, 7, nil },
			Read: func(_ context.Context, from int64, _ time.Duration) ([]platform.Keyed, int64, error) {
				c.reads.Add(1)
				return nil, from, nil
			},
		},
		Reset: func([]platform.Keyed) {}, Apply: func([]platform.Keyed) {}, OnUnavailable: func() {}, OnAvailable: func() { c.available.Add(1) }, OnDisabled: func() {},
	}, c
}

// TestDisabledFollowerDoesNotRead pauses a follower: it reads nothing meanwhile, and begins
// with the newest records after it, since it has missed what went.
func TestDisabledFollowerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var enabled atomic.Bool
		changed := make(chan struct{}, 1)
		f, c := newIdleFollower(100*time.Millisecond, changed, enabled.Load)
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		steps := []struct {
			wanted        bool
			newest, backs int64
		}{{false, 0, 0}, {true, 1, 1}, {false, 1, 1}, {true, 2, 2}}
		for i, s := range steps {
			enabled.Store(s.wanted)
			changed <- struct{}{}
			time.Sleep(time.Second)
			synctest.Wait()
			before, enabledCalls := c.reads.Load(), c.enabled.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			read := c.reads.Load() - before
			if enabledCalls = c.enabled.Load() - enabledCalls; !s.wanted && enabledCalls > 0 {
				t.Errorf("step %d: %d looks in a second at a topic that is not wanted, want none", i, enabledCalls)
			}
			if c.newest.Load() != s.newest || c.available.Load() != s.backs || (read > 0) != s.wanted {
				t.Errorf("step %d: %d lists read, told of %d times, %d reads in a second", i, c.newest.Load(), c.available.Load(), read)
			}
		}
		cancel()
		done.Wait()
	})
}

// TestFollowerRereadsAfterMissedDisable wants a topic no longer and again between two reads:
// the follower has seen no pause, while who wanted it has dropped what was read.
func TestFollowerRereadsAfterMissedDisable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		changed := make(chan struct{}, 1)
		resets := 0
		f, _ := newIdleFollower(time.Second, changed, func() bool { return true })
		f.Reset = func([]platform.Keyed) { resets++ }
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(2500 * time.Millisecond)
		changed <- struct{}{}
		time.Sleep(2500 * time.Millisecond)
		cancel()
		done.Wait()
		if resets != 2 {
			t.Fatalf("all records read %d times, want 2", resets)
		}
	})
}
