package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// TestRegistrationAfterReportKeepsRuns guards against a second start of a task whose run is
// alive: the registration of a new incarnation is read after a report has told of it, and is
// taken for a further restart.
func TestRegistrationAfterReportKeepsRuns(t *testing.T) {
	tests := []struct {
		name   string
		first  bool // the first registration states the start time
		second bool // the one of the new incarnation does
	}{
		{"both state the start", true, true},
		{"only the second states it", false, true},
		{"only the first states it", true, false},
		{"none states it", false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				register := func(id string, stated bool) {
					r := b.workers[id].registration(id)
					if !stated {
						r.StartUnixMilli = 0
					}
					b.AddWorker(r)
				}
				if !c.first {
					b.RemoveWorker("w1", "it is registered anew")
					register("w1", false)
					time.Sleep(20 * time.Millisecond)
				}
				b.workers["w1"].restart()
				time.Sleep(500 * time.Millisecond) // the next hold tells of the restart
				b.admit()
				time.Sleep(10 * time.Millisecond)
				register("w2", true)
				time.Sleep(10 * time.Millisecond)
				register("w1", c.second)
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != 1 {
					t.Errorf("%d starts on the restarted worker and %d on the other, want one in all", first, second)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRestartKeepsRunsUntilListed guards against a second start of a task whose run is alive on
// the new incarnation of a worker, or may still begin there, when the holder learns of the
// restart.
func TestRestartKeepsRunsUntilListed(t *testing.T) {
	tests := []struct {
		name string
		// learn restarts the worker and lets the holder learn of it. A task is ordered from
		// the worker through order.
		learn  func(b *restartBench, order func())
		starts int // on both workers
	}{
		{"the new incarnation takes a start before any report of it", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true) // the hold that is pending tells nothing
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			order()
			time.Sleep(10 * time.Millisecond)
			b.workers["w1"].setSilent(false)
		}, 1},
		{"the new incarnation takes a start and registers before any report of it", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true)
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w1"].registration("w1"))
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w1"].registration("w1"))
		}, 1},
		{"a start takes effect between the report of the restart and the next token", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true)
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			b.workers["w1"].delayStart = 11500 * time.Microsecond
			order()
			b.AddWorker(b.workers["w2"].registration("w2"))
			time.Sleep(10 * time.Millisecond)
			b.session("w1").requestReport()
		}, 1},
		{"a report of the old incarnation comes after one of the new", func(b *restartBench, order func()) {
			old := b.workers["w1"].report(platform.HoldRequest{Token: 1 << 60})
			b.workers["w1"].restart()
			time.Sleep(500 * time.Millisecond)
			b.AddWorker(b.workers["w1"].registration("w1"))
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			s := b.session("w1")
			s.applyReport(old, false, s.token, time.Now())
		}, 1},
		{"an old registration comes after the new one", func(b *restartBench, order func()) {
			old := b.workers["w1"].registration("w1")
			b.workers["w1"].restart()
			b.AddWorker(b.workers["w1"].registration("w1"))
			time.Sleep(20 * time.Millisecond)
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			b.AddWorker(old)
		}, 1},
		{"a registration tells of the restart before a start is answered", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true)
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			order()
			b.AddWorker(b.workers["w2"].registration("w2"))
			b.AddWorker(b.workers["w1"].registration("w1"))
		}, 1},
		{"an answer to the session before comes after the registration", func(b *restartBench, order func()) {
			s := b.session("w1")
			old := b.workers["w1"].report(platform.HoldRequest{Token: s.token})
			b.workers["w1"].restart()
			b.AddWorker(b.workers["w1"].registration("w1"))
			time.Sleep(20 * time.Millisecond)
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			s.applyReport(old, false, s.token, time.Now())
		}, 1},
		{"the run has ended with the old incarnation", func(b *restartBench, order func()) {
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			time.Sleep(10 * time.Millisecond)
			b.workers["w1"].restart()
		}, 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				c.learn(b, b.admit)
				time.Sleep(10 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != c.starts {
					t.Errorf("%d starts on the restarted worker and %d on the other, want %d in all", first, second, c.starts)
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

// TestEndsAreAcknowledgedToTheirIncarnation guards against a second run of a task that is done:
// the new incarnation of a worker numbers its ends from 1 and forgets those that are
// acknowledged, so it must not get the number of an end of the old one.
func TestEndsAreAcknowledgedToTheirIncarnation(t *testing.T) {
	tests := []struct {
		name  string
		learn func(b *restartBench)
	}{
		{"by the hold that follows a lost one", func(*restartBench) {}},
		{"by a request for a report", func(b *restartBench) { b.session("w1").requestReport() }},
		{"by a new registration", func(b *restartBench) { b.AddWorker(b.workers["w1"].registration("w1")) }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.admit()
				b.result()
				time.Sleep(10 * time.Millisecond) // the next hold acknowledges the end
				w := b.workers["w1"]
				w.setSilent(true)
				time.Sleep(450 * time.Millisecond)
				w.restart()
				w.runtime = 20 * time.Millisecond
				b.admit()
				time.Sleep(30 * time.Millisecond)
				c.learn(b)
				w.setSilent(false)
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, _ := b.starts(); first != 2 {
					t.Errorf("%d starts of two tasks, want one each", first)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestUnregisteredWorkerKeepsRuns guards against a second start of a task whose worker is alive
// although its registration has gone.
func TestUnregisteredWorkerKeepsRuns(t *testing.T) {
	tests := []struct {
		name     string
		register bool // the worker is registered again while the run goes on
		starts   int  // on both workers
	}{
		{"the registration stays away", false, 2},
		{"the registration is back", true, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.admit()
				time.Sleep(10 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				time.Sleep(10 * time.Millisecond)
				b.RemoveWorker("w1", "its registration has gone")
				time.Sleep(50 * time.Millisecond)
				if c.register {
					b.AddWorker(b.workers["w1"].registration("w1"))
				}
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != c.starts {
					t.Errorf("%d starts on the unregistered worker and %d on the other, want %d in all", first, second, c.starts)
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

// TestRestartedWorkerWaitsForItsRegistration guards against a start beyond the capacity of a
// worker that has become smaller with its restart.
func TestRestartedWorkerWaitsForItsRegistration(t *testing.T) {
	tests := []struct {
		name     string
		capacity int64 // of the new incarnation, in thousandths of a core
		starts   int   // on the worker
	}{
		{"it is as large as before", 1000, 1},
		{"it is too small for the task", 500, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.workers["w1"].restart()
				time.Sleep(500 * time.Millisecond) // the next hold tells of the restart
				b.admit()
				time.Sleep(100 * time.Millisecond)
				if first, _ := b.starts(); first != 0 {
					t.Errorf("%d starts before the new incarnation has registered, want none", first)
				}
				r := b.workers["w1"].registration("w1")
				r.Capacity.MilliCores = c.capacity
				b.AddWorker(r)
				time.Sleep(100 * time.Millisecond)
				if first, _ := b.starts(); first != c.starts {
					t.Errorf("%d starts after the new incarnation has registered, want %d", first, c.starts)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestEndedWorkerIsNotCalledAgain guards against a worker that is dropped and added by turns
// while its registration outlives it and another worker answers at its address.
func TestEndedWorkerIsNotCalledAgain(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *platform.Registration) // of the registration that is read next
		after  time.Duration                  // when it is read
		calls  int64
	}{
		{"the same registration", func(*platform.Registration) {}, time.Second, 1},
		{"the same registration after some time", func(*platform.Registration) {}, endedCheckDelay, 2},
		{"a later start", func(r *platform.Registration) { r.StartUnixMilli++ }, time.Second, 2},
		{"another address", func(r *platform.Registration) { r.Address = "elsewhere" }, time.Second, 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var calls atomic.Int64
				h := newHolder(ctx, WorkerCalls{Hold: func(context.Context, platform.Target, platform.HoldRequest) (platform.Report, error) {
					calls.Add(1)
					return platform.Report{Verdict: platform.OtherIncarnation}, nil
				}}, nil)
				r := newRestartingWorker().registration("w1")
				h.AddWorker(r)
				time.Sleep(10 * time.Millisecond)
				time.Sleep(c.after)
				c.change(&r)
				h.AddWorker(r)
				time.Sleep(10 * time.Millisecond)
				if got := calls.Load(); got != c.calls {
					t.Errorf("%d calls, want %d", got, c.calls)
				}
				cancel()
				h.Wait()
			})
		})
	}
}

// TestStartAnswerTellsOfARestart guards against an end that is acknowledged unseen: the first
// answer of a new incarnation may be one to a start, and a hold of the old one that is
// answered afterwards would be followed by one that acknowledges its ends.
func TestStartAnswerTellsOfARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newRestartBench(ctx)
		w := b.workers["w1"]
		w.statesStart = true
		w.setSilent(true)
		time.Sleep(450 * time.Millisecond)
		w.restart()
		b.admit()
		time.Sleep(10 * time.Millisecond)
		s := b.session("w1")
		b.mu.Lock()
		if want := w.registration("w1").StartUnixMilli; s.startUnixMilli != want {
			t.Errorf("the session knows the incarnation of %d, want that of %d", s.startUnixMilli, want)
		}
		b.mu.Unlock()
		if r := b.result(); r.State != batch.Completed {
			t.Errorf("job: %s %s, want completed", r.State, r.Reason)
		}
		if first, _ := b.starts(); first != 1 {
			t.Errorf("%d starts, want 1", first)
		}
		cancel()
		b.Wait()
	})
}

// TestSessionOutlivesOldNews guards against a session that is replaced, or whose worker is
// removed, on news of an incarnation that is not the one it knows.
func TestSessionOutlivesOldNews(t *testing.T) {
	tests := []struct {
		name string
		news func(b *restartBench, first platform.Registration, before *session)
	}{
		{"the registration from before the restart", func(b *restartBench, first platform.Registration, _ *session) { b.AddWorker(first) }},
		{"the registration that it began with", func(b *restartBench, _ platform.Registration, _ *session) {
			b.AddWorker(b.workers["w1"].registration("w1"))
		}},
		{"another worker at the address of the session before", func(b *restartBench, _ platform.Registration, before *session) {
			b.removeEnded(before, "another incarnation answers at its address")
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				first, before := b.workers["w1"].registration("w1"), b.session("w1")
				b.workers["w1"].restart()
				b.AddWorker(b.workers["w1"].registration("w1"))
				present := b.session("w1")
				if present == before {
					t.Error("the registration of the new incarnation has begun no session")
				}
				c.news(b, first, before)
				time.Sleep(20 * time.Millisecond)
				if b.session("w1") != present {
					t.Error("the session has been replaced or removed")
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRestartWithoutAStatedStart guards against a worker that is called without a pause and never
// used again: it restarts under its ID and states no start time, so that its clock, which has
// begun anew, seems to be that of an older report.
func TestRestartWithoutAStatedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newRestartBench(ctx)
		w := b.workers["w1"]
		w.mu.Lock()
		w.startless = true
		w.mu.Unlock()
		r := w.registration("w1")
		r.StartUnixMilli = 0
		b.RemoveWorker("w1", "test")
		b.AddWorker(r)
		time.Sleep(time.Minute)
		w.restart()
		time.Sleep(500 * time.Millisecond)
		b.admit()
		if r := b.result(); r.State != batch.Completed {
			t.Errorf("job: %s %s, want completed", r.State, r.Reason)
		}
		if first, _ := b.starts(); first != 1 {
			t.Errorf("%d starts, want 1", first)
		}
		cancel()
		b.Wait()
	})
}
