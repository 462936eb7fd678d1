package feed

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// Limits of the platform: the time until a change is in force, and how long the poll of a read lasts.
const (
	applyLimit = 2 * time.Second
	pollWait   = 800 * time.Millisecond
)

// outageStore is a topic with one record a second. During an outage it answers as fail does.
type outageStore struct {
	startedAt time.Time
	away      [2]time.Duration // since the start
	fail      func(ctx context.Context) error
	answer    time.Duration // how long a call takes
}

// written returns the offset after the last record.
func (s *outageStore) written() int64 { return int64(time.Since(s.startedAt) / time.Second) }

// call waits for the answer to one call.
func (s *outageStore) call(ctx context.Context) error {
	if since := time.Since(s.startedAt); since >= s.away[0] && since < s.away[1] {
		return s.fail(ctx)
	}
	select {
	case <-time.After(s.answer):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// records returns the records from an offset on.
func (s *outageStore) records(from int64) ([]platform.KeyedRecord, int64) {
	var records []platform.KeyedRecord
	end := s.written()
	for o := from; o < end; o++ {
		records = append(records, platform.KeyedRecord{Key: "k", Value: []byte("v"), Offset: o})
	}
	return records, max(from, end)
}

func (s *outageStore) feed() platform.Feed {
	return platform.Feed{
		Reconnect: func() {},
		Newest: func(ctx context.Context) ([]platform.KeyedRecord, int64, error) {
			if err := s.call(ctx); err != nil {
				return nil, 0, err
			}
			records, end := s.records(max(0, s.written()-1))
			return records, end, nil
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error) {
			if err := s.call(ctx); err != nil {
				return nil, from, err
			}
			nextAt := s.startedAt.Add(time.Duration(from+1) * time.Second)
			select {
			case <-time.After(min(wait, time.Until(nextAt))):
			case <-ctx.Done():
				return nil, from, ctx.Err()
			}
			records, end := s.records(from)
			return records, end, nil
		},
	}
}

// silent is a store that accepts calls and never answers them, refuse one that answers with an error.
func silent(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
func refuse(context.Context) error     { return &platform.Error{Call: "read", Status: 503} }

// TestRecordsAreReadSoonAfterASilentStoreAnswersAgain guards against a reader that goes on waiting for an
// attempt that began while the store was silent: a configuration was in force more than three seconds
// after the store answered again. Each record must be read within the limit after it was
// written or the store answered again.
func TestRecordsAreReadSoonAfterASilentStoreAnswersAgain(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		delay  time.Duration
		fail   func(context.Context) error
		answer time.Duration
	}{
		{"configuration, silent", pollWait, 0, silent, 4 * time.Millisecond},
		{"configuration, refusing", pollWait, 0, refuse, 4 * time.Millisecond},
		{"workers, silent", 0, pollWait, silent, 4 * time.Millisecond},
		{"workers, refusing", 0, pollWait, refuse, 4 * time.Millisecond},
		{"configuration, silent, then slow", pollWait, 0, silent, 300 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for length := 500 * time.Millisecond; length < 13*time.Second; length += 100 * time.Millisecond {
				if late := playOutage(t, c.wait, c.delay, &outageStore{
					away: [2]time.Duration{1300 * time.Millisecond, 1300*time.Millisecond + length}, fail: c.fail, answer: c.answer,
				}); late != "" {
					t.Errorf("outage of %s: %s", length, late)
				}
			}
		})
	}
}

// playOutage follows the topic of a store for 20 seconds. It returns a text if a record was read
// later than allowed, or not at all.
func playOutage(t *testing.T, wait, delay time.Duration, s *outageStore) (late string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s.startedAt = time.Now()
		read := int64(0) // offset after the last record that was delivered
		take := func(records []platform.KeyedRecord) {
			for _, k := range records {
				dueAt := max(time.Duration(k.Offset+1)*time.Second, s.away[1]) + applyLimit
				if since := time.Since(s.startedAt); since > dueAt && late == "" {
					late = fmt.Sprintf("record %d was read after %s, %s late", k.Offset, since, since-dueAt)
				}
				read = k.Offset + 1
			}
		}
		f := &Follower{
			Name: "topic", Feed: s.feed(), Wait: wait, ReadDelay: delay, Reset: take, Apply: take,
			OnUnavailable: func() {}, OnAvailable: func() {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		cancel()
		done.Wait()
		if want := int64(20 - applyLimit/time.Second); read < want && late == "" {
			late = fmt.Sprintf("%d records read after 20 s, want at least %d", read, want)
		}
	})
	return late
}
