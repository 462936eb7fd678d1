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

// TestSlowStoreIsRead guards against attempts that are given up before a slow store can answer.
func TestSlowStoreIsRead(t *testing.T) {
	for _, answer := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 2400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &outageStore{startedAt: time.Now(), answer: answer}
			read := 0
			take := func(records []platform.KeyedRecord) { read += len(records) }
			f := &Follower{
				Name: "workers", Feed: s.feed(), Reset: take, Apply: take, OnUnavailable: func() {}, OnAvailable: func() {},
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			var done sync.WaitGroup
			done.Go(func() { f.Run(ctx) })
			time.Sleep(30 * time.Second)
			cancel()
			done.Wait()
			if read < 20 {
				t.Errorf("%d records read in 30 s from a store that answers after %s, want 20 or more", read, answer)
			}
		})
	}
}
