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

// TestFollower writes to a topic while its store goes away, comes back and drops
// its history. The follower gives every value, and tells each time that the store
// is lost or there, the first time as well.
func TestFollower(t *testing.T) {
	tests := []struct {
		name   string
		during func(store *ledger.Ledger, seen func(what string))
		told   []string
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
			note := func(list *[]string, text string) {
				mu.Lock()
				defer mu.Unlock()
				*list = append(*list, text)
			}
			take := func(records []platform.KeyedRecord) {
				for _, k := range records {
					note(&values, string(k.Value))
				}
			}
			f := &Follower{
				Name: "configuration", Feed: client.OperatorFeed(), Wait: 50 * time.Millisecond, Reset: take, Apply: take,
				Lost: func() { note(&told, "lost") }, Back: func() { note(&told, "back") },
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Run(ctx)
			}()
			until := func(list *[]string, text string) {
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
				until(&values, fmt.Sprintf("value %d", i))
			}
			c.during(store, func(what string) { until(&told, what) })
			store.Put("keyed.op", "config", []byte("last"))
			until(&values, "last")
			cancel()
			<-done
			if !slices.Equal(told, c.told) {
				t.Fatalf("told %v, want %v", told, c.told)
			}
		})
	}
}

// counts is what a follower of a topic without news has done.
type counts struct{ newest, asked, reads, backs atomic.Int64 }

// quiet makes a follower of a topic without news.
func quiet(pause time.Duration, changed <-chan struct{}, wanted func() bool) (*Follower, *counts) {
	c := &counts{}
	return &Follower{
		Name: "workers", Pause: pause, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Changed: changed, Wanted: func() bool { c.asked.Add(1); return wanted() },
		Feed: platform.Feed{
			Newest: func(context.Context) ([]platform.KeyedRecord, int64, error) { c.newest.Add(1); return nil, 7, nil },
			Read: func(_ context.Context, from int64, _ time.Duration) ([]platform.KeyedRecord, int64, error) {
				c.reads.Add(1)
				return nil, from, nil
			},
		},
		Reset: func([]platform.KeyedRecord) {}, Apply: func([]platform.KeyedRecord) {}, Lost: func() {}, Back: func() { c.backs.Add(1) }, Paused: func() {},
	}, c
}

// TestUnwantedTopicIsNotRead pauses a follower: it reads nothing meanwhile, and begins
// with the newest records after it, since it has missed what went.
func TestUnwantedTopicIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wanted atomic.Bool
		changed := make(chan struct{}, 1)
		f, c := quiet(100*time.Millisecond, changed, wanted.Load)
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		steps := []struct {
			wanted        bool
			newest, backs int64
		}{{false, 0, 0}, {true, 1, 1}, {false, 1, 1}, {true, 2, 2}}
		for i, s := range steps {
			wanted.Store(s.wanted)
			changed <- struct{}{}
			time.Sleep(time.Second)
			synctest.Wait()
			before, looks := c.reads.Load(), c.asked.Load()
			time.Sleep(time.Second)
			synctest.Wait()
			read := c.reads.Load() - before
			if looks = c.asked.Load() - looks; !s.wanted && looks > 0 {
				t.Errorf("step %d: %d looks in a second at a topic that is not wanted, want none", i, looks)
			}
			if c.newest.Load() != s.newest || c.backs.Load() != s.backs || (read > 0) != s.wanted {
				t.Errorf("step %d: %d lists read, told of %d times, %d reads in a second", i, c.newest.Load(), c.backs.Load(), read)
			}
		}
		cancel()
		done.Wait()
	})
}

// TestTopicWantedAgainIsReadAnew wants a topic no longer and again between two reads:
// the follower has seen no pause, while who wanted it has dropped what was read.
func TestTopicWantedAgainIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		changed := make(chan struct{}, 1)
		resets := 0
		f, _ := quiet(time.Second, changed, func() bool { return true })
		f.Reset = func([]platform.KeyedRecord) { resets++ }
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
