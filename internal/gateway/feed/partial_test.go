package feed

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestRecordMissingFromAPartialListIsReadSoon guards against a configuration that an entry never gets:
// its first list of newest records lacked it, and nothing is written until the operators change
// it again. Records that are written meanwhile must be delivered too.
func TestRecordMissingFromAPartialListIsReadSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		const listedAt, writtenAt = 5 * time.Second, 3 * time.Second
		wave := platform.KeyedRecord{Key: "wave", Value: []byte("w"), Offset: 4}
		configuration := platform.KeyedRecord{Key: "config", Value: []byte("c"), Offset: 5}
		written := platform.KeyedRecord{Key: "written", Value: []byte("x"), Offset: 6}
		readAt := map[string]time.Duration{}
		take := func(records []platform.KeyedRecord) {
			for _, k := range records {
				if _, known := readAt[k.Key]; !known {
					readAt[k.Key] = time.Since(startedAt)
				}
			}
		}
		var lines strings.Builder
		lists := 0
		type position struct {
			next    int64
			partial bool
		}
		var positions []position // the first and the last
		f := &Follower{
			Name: "configuration", Wait: pollWait, Relist: true, Log: slog.New(slog.NewTextHandler(&lines, nil)),
			Reset: take, Apply: take, OnUnavailable: func() {}, OnAvailable: func() {},
			OnPosition: func(next int64, partial bool) {
				if positions = append(positions, position{next, partial}); len(positions) > 2 {
					positions = slices.Delete(positions, 1, 2)
				}
			},
			Feed: platform.Feed{
				Reconnect: func() {},
				Newest: func(context.Context) ([]platform.KeyedRecord, int64, error) {
					lists++
					if time.Since(startedAt) < listedAt {
						return []platform.KeyedRecord{wave}, 6, &platform.IncompleteError{Topic: "keyed.op", After: "wave"}
					}
					return []platform.KeyedRecord{configuration, wave, written}, 7, nil
				},
				Read: func(ctx context.Context, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error) {
					due := writtenAt - time.Since(startedAt)
					if from > 6 {
						due = time.Hour
					}
					select {
					case <-time.After(min(wait, max(0, due))):
					case <-ctx.Done():
						return nil, from, ctx.Err()
					}
					if from <= 6 && time.Since(startedAt) >= writtenAt {
						return []platform.KeyedRecord{written}, 7, nil
					}
					return nil, from, nil
				},
			},
		}
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		done.Wait()
		for _, c := range []struct {
			key string
			due time.Duration
		}{{"wave", 0}, {"written", writtenAt}, {"config", listedAt}} {
			if at, read := readAt[c.key]; !read || at > c.due+applyLimit {
				t.Errorf("record %q was read: %v, after %s; want within %s of %s", c.key, read, at, applyLimit, c.due)
			}
		}
		if lists > 9 {
			t.Errorf("%d lists requested, want none after the first complete one", lists)
		}
		if want := []position{{6, true}, {7, false}}; !slices.Equal(positions, want) {
			t.Errorf("first and last position %v, want %v", positions, want)
		}
		if count := strings.Count(lines.String(), "only in part"); count != 1 {
			t.Errorf("partial lists are logged %d times, want once", count)
		}
	})
}
