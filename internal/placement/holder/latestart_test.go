package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// TestTrueRegistrationReplacesAnOddOne guards against a worker that gets no work for good: another
// writer has stored a registration under its ID with a later start and an address at which nothing
// answers. The registry gives it up for the true ones; so must the holder.
func TestTrueRegistrationReplacesAnOddOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &recorder{}
		hold := func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
			if to.Address == "odd" {
				<-ctx.Done()
				return platform.Report{}, ctx.Err()
			}
			return r.hold(ctx, to, o)
		}
		h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: hold}, make(chan batch.Result, 1))
		registration := registeredWorker("w1")
		registration.StartUnixMilli = 1
		h.AddWorker(registration)
		time.Sleep(100 * time.Millisecond)
		odd := registration
		odd.StartUnixMilli, odd.Address = 4000000000000, "odd"
		h.AddWorker(odd)
		time.Sleep(time.Second)
		for range 10 { // each reading of the registrations
			h.AddWorker(registration)
			time.Sleep(800 * time.Millisecond)
		}
		h.mu.Lock()
		address := h.sessions["w1"].target.Address
		h.mu.Unlock()
		h.Admit(oneTask("0000000000000001", time.Second), nil)
		time.Sleep(500 * time.Millisecond)
		if got := len(r.sent()); got != 1 {
			t.Errorf("%d starts 8 s after the true registration is back, want 1; the session is with the address %q", got, address)
		}
		cancel()
		h.Wait()
	})
}

// TestLateStartAfterARestartRunsAlone guards against two runs at a time: a start without an answer
// is carried out seconds later by the next incarnation of its worker, which has seen no token
// yet and whose clock has begun anew, so that the deadline is no bound.
func TestLateStartAfterARestartRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newRestartBench(ctx)
		w1, w2 := b.workers["w1"], b.workers["w2"]
		w1.mu.Lock()
		w1.delayStart, w1.runtime = 1600*time.Millisecond, 500*time.Millisecond
		w1.mu.Unlock()
		w2.mu.Lock()
		w2.runtime = 500 * time.Millisecond
		w2.mu.Unlock()
		b.admit()
		time.Sleep(5 * time.Millisecond) // the first copy of the start is under way
		w1.setDeaf(true)
		b.AddWorker(w2.registration("w2"))
		b.keepAsking(1200*time.Millisecond, func() bool { return false })
		w1.restart()
		b.keepAsking(1500*time.Millisecond, func() bool { return false })
		if len(b.overlapping) > 0 {
			t.Errorf("tasks %v ran on both workers at a time", b.overlapping)
		}
		first, second := b.starts()
		t.Logf("%d starts on w1, %d on w2", first, second)
		cancel()
		b.Wait()
	})
}

// TestReportOfAnotherIncarnationStopsTheRunElsewhere guards against two runs of a task at a time: a worker has left a
// start unanswered, and the task runs elsewhere. While a hold is pending, an answer on the other connection states
// another start of the worker, which may execute the late start before it accepts a new token.
func TestReportOfAnotherIncarnationStopsTheRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newRestartBench(ctx)
		w1, w2 := b.workers["w1"], b.workers["w2"]
		w2.runtime = 2 * time.Second
		w1.setDeaf(true)
		b.admit()
		time.Sleep(5 * time.Millisecond)
		draining := w1.registration("w1") // so that the task starts on w2 once w1 has accepted a higher token
		draining.Draining = true
		b.AddWorker(draining)
		b.AddWorker(w2.registration("w2"))
		b.keepAsking(450*time.Millisecond, func() bool { return false })
		w1.setDeaf(false)
		b.keepAsking(time.Second, func() bool { _, second := b.starts(); return second > 0 })
		b.keepAsking(20*time.Millisecond, func() bool { return false })
		s := b.session("w1")
		b.mu.Lock()
		token := s.token
		b.mu.Unlock()
		s.applyReport(platform.Report{Verdict: platform.Accepted, ClockMilli: 1, StartUnixMilli: draining.StartUnixMilli + 500}, false, token, time.Now())
		b.keepAsking(500*time.Millisecond, func() bool { return false }) // the stand-in answers the pending hold, which the new token interrupts, after up to 400 ms
		if first, second := b.starts(); first != 0 || second != 2 {
			t.Errorf("%d starts on w1 and %d on w2, want 0 and 2: the run on w2 is stopped, and starts again once w1 has accepted a token", first, second)
		}
		cancel()
		b.Wait()
	})
}
