package holder

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestLostStartIsNoCrash guards against a job that is shown as failed although no two workers
// crashed under a task of it. Only a worker that had accepted the start, and closed its
// connections before the run can have ended, counts as crashed.
func TestLostStartIsNoCrash(t *testing.T) {
	silence := func(b *restartBench) { b.keepAsking(1500*time.Millisecond, func() bool { return false }) }
	crash := func(_ *restartBench, w *restartingWorker) {
		time.Sleep(20 * time.Millisecond)
		w.restart()
	}
	tests := []struct {
		name   string
		before func(w *restartingWorker)                  // done to the second worker before the task starts there
		after  func(b *restartBench, w *restartingWorker) // done to it afterwards
		state  batch.State
	}{
		{"the second start never arrives, and the worker restarts", func(w *restartingWorker) { w.setDeaf(true) }, func(b *restartBench, w *restartingWorker) {
			silence(b)
			w.restart()
			w.setDeaf(false)
		}, batch.Completed},
		{"contact to the second worker is lost in the run, and it restarts later", func(*restartingWorker) {}, func(b *restartBench, w *restartingWorker) {
			time.Sleep(20 * time.Millisecond)
			w.setDeaf(true)
			silence(b)
			w.restart()
			w.setDeaf(false)
		}, batch.Completed},
		{"the second worker crashes late in the run", func(*restartingWorker) {}, func(_ *restartBench, w *restartingWorker) {
			time.Sleep(150 * time.Millisecond) // of 200
			w.restart()
		}, batch.Completed},
		{"the second worker crashes too", func(*restartingWorker) {}, crash, batch.Failed},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				second := b.workers["w2"]
				b.admit()
				time.Sleep(time.Millisecond)
				b.AddWorker(second.registration("w2"))
				time.Sleep(50 * time.Millisecond)
				c.before(second)
				crash(b, b.workers["w1"])
				b.keepAsking(5*time.Second, func() bool {
					b.mu.Lock()
					defer b.mu.Unlock()
					return b.sessions["w2"].startToken != 0
				})
				c.after(b, second)
				time.Sleep(5 * time.Millisecond)
				b.AddWorker(b.workers["w1"].registration("w1"))
				b.AddWorker(second.registration("w2"))
				if r := b.result(); r.State != c.state {
					t.Errorf("job: %s %s, want %s", r.State, r.Reason, c.state)
				}
				if len(b.overlapping) > 0 {
					t.Errorf("two runs at a time of %v", b.overlapping)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRefusedStartIsNoLoss guards against a start that counts as lost with its worker although the
// worker had crashed before: it refuses the connection, so that the run cannot have begun. The
// task must start elsewhere without waiting for a lease.
func TestRefusedStartIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var log bytes.Buffer
		b := newChangedBench(ctx, func(o *Options) { o.Log = slog.New(slog.NewTextHandler(&log, nil)) })
		first, second := b.workers["w1"], b.workers["w2"]
		time.Sleep(2 * time.Second) // leases of an earlier holder have expired
		first.setRefusing(true)
		b.admit()
		time.Sleep(time.Millisecond)
		b.AddWorker(second.registration("w2"))
		time.Sleep(50 * time.Millisecond)
		if onFirst, onSecond := b.starts(); onFirst != 0 || onSecond != 1 {
			t.Errorf("%d and %d starts 50 ms after the refused one, want none on the first worker and one on the second", onFirst, onSecond)
		}
		first.restart()
		first.setRefusing(false)
		b.AddWorker(first.registration("w1"))
		if r := b.result(); r.State != batch.Completed {
			t.Errorf("job: %s %s, want completed", r.State, r.Reason)
		}
		cancel()
		b.Wait()
		if lost := strings.Count(log.String(), "run lost with its worker"); lost != 0 {
			t.Errorf("%d runs counted as lost with their worker, want none:\n%s", lost, log.String())
		}
	})
}
