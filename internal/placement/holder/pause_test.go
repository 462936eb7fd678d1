package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestNoLeaseExpiresRightAfterAPause guards against a second start of a task whose run the next
// holder keeps alive: a holder resumes after a pause, is cut off from the other entries and from
// the worker of the run, and does not notice that for some time after the suspicion of a takeover
// has timed out.
func TestNoLeaseExpiresRightAfterAPause(t *testing.T) {
	tests := []struct {
		name   string
		cut    bool // the other entries are not heard after the pause
		starts int  // on the other worker, within 3 s
	}{
		{"cut off", true, 0},
		{"the others are heard, and have not taken over", false, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var suspected, unheard atomic.Bool
				b := newChangedBench(ctx, func(o *Options) {
					o.TakeoverSuspected, o.MayBeReplaced = suspected.Load, unheard.Load
				})
				b.workers["w1"].runtime = 4 * time.Second
				b.jobs++
				job := oneTask("0000000000000001", 4*time.Second)
				job.ExpiresAt = job.ArrivedAt.Add(time.Minute)
				b.Admit(job, nil)
				time.Sleep(20 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				time.Sleep(20 * time.Millisecond)
				b.workers["w1"].setDeaf(true)
				time.Sleep(300 * time.Millisecond)
				suspected.Store(true) // also in place of the pause, in which nothing of the process runs
				b.keepAsking(1900*time.Millisecond, func() bool { return false })
				suspected.Store(false)
				b.keepAsking(600*time.Millisecond, func() bool { return false })
				unheard.Store(c.cut)
				b.keepAsking(2*time.Second, func() bool { return false })
				if _, second := b.starts(); second != c.starts {
					t.Errorf("%d starts on the other worker, want %d", second, c.starts)
				}
				cancel()
				b.Wait()
			})
		})
	}
}
