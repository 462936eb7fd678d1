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

// TestFollowerSurvivesOutageAndTruncation writes to a topic whose store fails and
// recovers, or drops the topic's history. The follower must deliver the records
// written before and after, and report each loss and return of the store, including
// the first successful read.
func TestFollowerSurvivesOutageAndTruncation(t *testing.T) {
	tests := []struct {
		name   string
		during func(store *ledger.TopicStore, seen func(what string))
		events []string
	}{
		{"the store answers", func(*ledger.TopicStore, func(string)) {}, []string{"back"}},
		{"the store goes away", func(store *ledger.TopicStore, seen func(string)) {
			store.Down.Store(true)
			seen("lost")
			store.Down.Store(false)
		}, []string{"back", "lost", "back"}},
		{"the history is dropped", func(store *ledger.TopicStore, _ func(string)) {
			store.Compact("keyed.op")
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
			var events, values []string
			record := func(list *[]string, text string) {
				mu.Lock()
				defer mu.Unlock()
				*list = append(*list, text)
			}
			take := func(records []platform.KeyedRecord) {
				for _, k := range records {
					record(&values, string(k.Value))
				}
			}
			f := &Follower{
				Name: "configuration", Feed: client.OperatorFeed(), Wait: 50 * time.Millisecond, Reset: take, Apply: take,
				OnUnavailable: func() { record(&events, "lost") }, OnAvailable: func() { record(&events, "back") },
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
					found := slices.Contains(*list, text)
					mu.Unlock()
					if found {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
				t.Fatalf("%s: not seen", text)
			}
			for i := range 2 {
				store.Put("keyed.op", "config", fmt.Appendf(nil, "value %d", i))
				waitFor(&values, fmt.Sprintf("value %d", i))
			}
			c.during(store, func(what string) { waitFor(&events, what) })
			store.Put("keyed.op", "config", []byte("last"))
			waitFor(&values, "last")
			cancel()
			<-done
			if !slices.Equal(events, c.events) {
				t.Fatalf("events %v, want %v", events, c.events)
			}
		})
	}
}

// callCounts counts the calls that a follower has made.
type callCounts struct{ newest, enabled, reads, available atomic.Int64 }

// newIdleFollower returns a follower of a topic without new records.
func newIdleFollower(readDelay time.Duration, changed <-chan struct{}, enabled func() bool) (*Follower, *callCounts) {
	c := &callCounts{}
	return &Follower{
		Name: "workers", ReadDelay: readDelay, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		EnabledChanged: changed, Enabled: func() bool { c.enabled.Add(1); return enabled() },
		Feed: platform.Feed{
			Reconnect: func() {},
			Newest:    func(context.Context) ([]platform.KeyedRecord, int64, error) { c.newest.Add(1); return nil, 7, nil },
			Read: func(_ context.Context, from int64, _ time.Duration) ([]platform.KeyedRecord, int64, error) {
				c.reads.Add(1)
				return nil, from, nil
			},
		},
		Reset: func([]platform.KeyedRecord) {}, Apply: func([]platform.KeyedRecord) {}, OnUnavailable: func() {}, OnAvailable: func() { c.available.Add(1) }, OnDisabled: func() {},
	}, c
}

// TestDisabledFollowerDoesNotRead disables and enables a follower. While disabled it
// must neither read nor poll Enabled. When enabled again it must start over with the
// newest records, since it has missed removals meanwhile.
func TestDisabledFollowerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var enabled atomic.Bool
		changed := make(chan struct{}, 1)
		f, c := newIdleFollower(100*time.Millisecond, changed, enabled.Load)
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		steps := []struct {
			enabled           bool
			newest, available int64
		}{{false, 0, 0}, {true, 1, 1}, {false, 1, 1}, {true, 2, 2}}
		for i, s := range steps {
			enabled.Store(s.enabled)
			changed <- struct{}{}
			time.Sleep(time.Second)
			synctest.Wait()
			before, enabledCalls := c.reads.Load(), c.enabled.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			read := c.reads.Load() - before
			if enabledCalls = c.enabled.Load() - enabledCalls; !s.enabled && enabledCalls > 0 {
				t.Errorf("step %d: %d calls of Enabled in a second while disabled, want none", i, enabledCalls)
			}
			if c.newest.Load() != s.newest || c.available.Load() != s.available || (read > 0) != s.enabled {
				t.Errorf("step %d: Newest called %d times, OnAvailable called %d times, %d reads in a second", i, c.newest.Load(), c.available.Load(), read)
			}
		}
		cancel()
		done.Wait()
	})
}

// TestFollowerRereadsAfterMissedDisable disables and enables a follower between two
// reads. The follower never sees Enabled return false, but its user has dropped the
// records read so far, so it must start over.
func TestFollowerRereadsAfterMissedDisable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		changed := make(chan struct{}, 1)
		resets := 0
		f, _ := newIdleFollower(time.Second, changed, func() bool { return true })
		f.Reset = func([]platform.KeyedRecord) { resets++ }
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(2500 * time.Millisecond)
		changed <- struct{}{}
		time.Sleep(2500 * time.Millisecond)
		cancel()
		done.Wait()
		if resets != 2 {
			t.Fatalf("Reset called %d times, want 2", resets)
		}
	})
}
