package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestReportsDoNotAskForOtherEntries guards against a holder whose processor time goes into the
// table of members: whether another entry may have taken over is asked about all members of a zone,
// and reports arrive thousands of times a second.
func TestReportsDoNotAskForOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		asked := 0
		b := newChangedBench(ctx, func(o *Options) {
			o.MayBeReplaced = func() bool {
				asked++
				return false
			}
		})
		b.mu.Lock()
		before := asked
		b.mu.Unlock()
		const ticks = 4
		for range 100 * ticks {
			b.KeepAlive(nil, time.Now())
			time.Sleep(tickInterval / 100)
		}
		b.mu.Lock()
		if got := asked - before; got > ticks+1 {
			t.Errorf("asked %d times in %d ticks", got, ticks)
		}
		b.mu.Unlock()
		cancel()
		b.Wait()
	})
}
