package holder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
)

// TestRefusedStartIsAMeeting guards against a worker that is taken back from another holder
// without consent: two holders with the same epoch have tokens that differ in their low bits, so
// that the next count of either is above the token of the other.
func TestRefusedStartIsAMeeting(t *testing.T) {
	tests := []struct {
		name   string
		counts int64 // by how many counts the token of the other holder is higher
	}{
		{"the epochs are equal", 0},
		{"the other epoch is higher", 16},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				meetings := 0
				b := newChangedBench(ctx, func(o *Options) {
					o.OnConflict = func() bool {
						mu.Lock()
						defer mu.Unlock()
						meetings++
						return false // the other holder has the group
					}
				})
				w := b.workers["w1"]
				w.setSilent(true) // the pending hold tells nothing of the other holder
				time.Sleep(450 * time.Millisecond)
				other := b.session("w1").token + c.counts<<20 + 5 // 20 is holderBits of package fence
				w.mu.Lock()
				w.current.highestToken = other
				w.silent = false
				w.mu.Unlock()
				b.admit()
				time.Sleep(1500 * time.Millisecond)
				mu.Lock()
				if meetings == 0 {
					t.Error("the holder has not noticed the other one")
				}
				mu.Unlock()
				w.mu.Lock()
				if w.current.highestToken > other {
					t.Error("the worker is taken back from the other holder without consent")
				}
				if len(w.starts) > 0 {
					t.Errorf("%d starts on a worker of the other holder", len(w.starts))
				}
				w.mu.Unlock()
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRestartedWorkerIsNotUsedAsItWas guards against starts that the new incarnation of a worker
// has no room or not the label for: its report tells of the restart before its registration is
// read, and only the latter says what the worker is like now.
func TestRestartedWorkerIsNotUsedAsItWas(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *platform.Registration)
		task   batch.Step
		starts int
	}{
		{"as before", func(*platform.Registration) {}, batch.Step{Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, RequiredLabel: "k"}, 1},
		{"with less room", func(r *platform.Registration) { r.Capacity.MilliCores = 500 }, batch.Step{Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}}, 0},
		{"of another kind", func(r *platform.Registration) { r.Labels = []string{"j"} }, batch.Step{Resources: resources.Resources{MilliCores: 500, MemoryMB: 10}, RequiredLabel: "k"}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.workers["w1"].restart()
				time.Sleep(500 * time.Millisecond) // a report tells of the restart
				if s := b.session("w1"); s.startUnixMilli != b.workers["w1"].registration("w1").StartUnixMilli {
					t.Fatal("the holder does not know of the restart")
				}
				b.admitTask(c.task)
				time.Sleep(10 * time.Millisecond)
				r := b.workers["w1"].registration("w1")
				c.change(&r)
				b.AddWorker(r)
				time.Sleep(100 * time.Millisecond)
				if first, _ := b.starts(); first != c.starts {
					t.Errorf("%d starts on the new incarnation, want %d", first, c.starts)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRestartWhileTheStoreIsAway guards against a zone without service: its workers start again
// while no registration can be read, and answer.
func TestRestartWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newRestartBench(ctx)
		b.workers["w1"].restart()
		time.Sleep(time.Second) // a report tells of the restart
		b.admit()
		if r := b.result(); r.State != batch.Completed {
			t.Errorf("job: %s %s, want completed within some seconds", r.State, r.Reason)
		}
		cancel()
		b.Wait()
	})
}

// TestRestartWithAnEarlierStartTime guards against a session that is replaced at each reading of
// the registrations: the clock of a worker's machine was set back before it started again, and
// the registry keeps the record with the later start time.
func TestRestartWithAnEarlierStartTime(t *testing.T) {
	for _, back := range []time.Duration{0, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var restartedAt time.Time
			b := newChangedBench(ctx, func(o *Options) {
				hold := o.Calls.Hold
				o.Calls.Hold = func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
					r, err := hold(ctx, to, o)
					if r.StartUnixMilli == restartedAt.UnixMilli() {
						r.StartUnixMilli -= back.Milliseconds()
					}
					return r, err
				}
			})
			kept := b.workers["w1"].registration("w1")
			w := b.workers["w1"]
			time.Sleep(100 * time.Millisecond)
			restartedAt = time.Now()
			w.restart()
			if back == 0 {
				kept = w.registration("w1")
			}
			time.Sleep(500 * time.Millisecond)
			before := b.session("w1")
			replaced := 0
			for range 10 {
				b.AddWorker(kept)
				time.Sleep(800 * time.Millisecond)
				if s := b.session("w1"); s != before {
					before = s
					replaced++
				}
			}
			if replaced > 1 {
				t.Errorf("clock set back by %v: %d sessions for one restart in ten readings", back, replaced)
			}
			b.admit()
			if r := b.result(); r.State != batch.Completed {
				t.Errorf("clock set back by %v: job: %s %s, want completed", back, r.State, r.Reason)
			}
			cancel()
			b.Wait()
		})
	}
}

// TestDelayedHoldForgetsNoEnds guards against a second run of a task that is done: a hold that
// acknowledges ends of one incarnation is carried out by the next one.
func TestDelayedHoldForgetsNoEnds(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var mu sync.Mutex
			late := time.Duration(0)
			b := newChangedBench(ctx, func(o *Options) {
				hold := o.Calls.Hold
				o.Calls.Hold = func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
					mu.Lock()
					d := late
					mu.Unlock()
					if o.AckSequence > 0 {
						time.Sleep(d)
					}
					return hold(ctx, to, o)
				}
			})
			b.admit()
			b.result()
			time.Sleep(300 * time.Millisecond) // the end is acknowledged, and the hold with it is pending
			mu.Lock()
			late = delay
			mu.Unlock()
			for before := b.session("w1").answers(b); b.session("w1").answers(b).Equal(before); {
				time.Sleep(100 * time.Microsecond) // until the next hold, which acknowledges the same end, is on its way
			}
			time.Sleep(50500 * time.Microsecond)
			w := b.workers["w1"]
			w.restart()
			w.runtime = 20 * time.Millisecond
			b.admit()
			time.Sleep(400 * time.Millisecond)
			b.AddWorker(w.registration("w1"))
			if r := b.result(); r.State != batch.Completed {
				t.Errorf("job: %s %s, want completed", r.State, r.Reason)
			}
			if first, _ := b.starts(); first != 2 {
				t.Errorf("hold delayed by %v: %d starts of two tasks, want one each", delay, first)
			}
			cancel()
			b.Wait()
		})
	}
}

// TestDelayedAcknowledgementForgetsNoEnds guards against a second run of a task that is done: the
// first acknowledgement of an end is under way when its worker restarts, and is executed by the
// new incarnation, which has taken a start by then. The answer to that start does not state when
// the incarnation started, only its clock.
func TestDelayedAcknowledgementForgetsNoEnds(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			sent := make(chan struct{}, 100) // receives a value with each acknowledgement
			b := newChangedBench(ctx, func(o *Options) {
				hold := o.Calls.Hold
				o.Calls.Hold = func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
					if o.AckSequence > 0 {
						sent <- struct{}{}
					}
					if o.AckSequence == 0 || delay == 0 {
						return hold(ctx, to, o)
					}
					go func() {
						time.Sleep(delay)
						_, _ = hold(context.Background(), to, o)
					}()
					<-ctx.Done()
					return platform.Report{}, ctx.Err()
				}
			})
			b.admit()
			b.result()
			<-sent
			time.Sleep(50 * time.Millisecond)
			w := b.workers["w1"]
			w.restart()
			w.runtime = 20 * time.Millisecond
			b.admit()
			time.Sleep(400 * time.Millisecond)
			b.AddWorker(w.registration("w1"))
			if r := b.result(); r.State != batch.Completed {
				t.Errorf("job: %s %s, want completed", r.State, r.Reason)
			}
			if first, _ := b.starts(); first != 2 {
				t.Errorf("acknowledgement delayed by %v: %d starts of two tasks, want one each", delay, first)
			}
			cancel()
			b.Wait()
			time.Sleep(time.Second) // the delayed acknowledgements have been executed
		})
	}
}

// answers returns until when the worker counts as answering, which moves with each answer.
func (s *session) answers(b *restartBench) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.answeringUntil
}
