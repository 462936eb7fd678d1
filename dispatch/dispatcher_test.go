package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/upstream"
)

func TestRequestsGoBeforeJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		bulk := b.submit(b.job("a", "once", time.Minute, repeat(80, 50*time.Millisecond)...))
		synctest.Wait()
		j := b.submit(b.job("b", "quick", 10*time.Second, 50*time.Millisecond))
		<-j.Done()
		if took := time.Since(j.Arrived); took > 110*time.Millisecond {
			t.Errorf("a request behind a job of 80 tasks took %s", took)
		}
		<-bulk.Done()
	})
}

func TestJobsAreNotStarvedByRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		bulk := b.submit(b.job("a", "once", time.Minute, repeat(20, 50*time.Millisecond)...))
		for range 400 {
			b.submit(b.job("b", "quick", 10*time.Second, 50*time.Millisecond))
		}
		<-bulk.Done()
		if state, _, r := bulk.Result(); state != job.Complete || b.Backlog() == 0 {
			t.Errorf("job is %s %v with %d requests waiting", state, r, b.Backlog())
		}
	})
}

// TestBurstOfOneTenant holds a tenant's requests to what they were without the
// other tenant's burst, within its fair share of the slots.
func TestBurstOfOneTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1)
		for range 600 {
			b.submit(b.job("a", "quick", 10*time.Second, 50*time.Millisecond))
		}
		synctest.Wait()
		var worst time.Duration
		for range 20 {
			j := b.submit(b.job("b", "quick", 10*time.Second, 50*time.Millisecond))
			<-j.Done()
			worst = max(worst, time.Since(j.Arrived))
		}
		// The next slot comes free within one run; then the request runs.
		if worst > 110*time.Millisecond || b.Backlog() == 0 {
			t.Errorf("the other tenant waited %s, backlog %d", worst, b.Backlog())
		}
	})
}

func TestRefusalsAtTheDoor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		if r := b.Submit(b.job("a", "special", time.Second, time.Millisecond)); r == nil || r.Kind != refusal.NeverRuns || r.Outcome != refusal.NotRun {
			t.Errorf("a job that no upstream can run: %v", r)
		}
		if r := b.Submit(b.job("a", "once", time.Second, repeat(400, 50*time.Millisecond)...)); r == nil || r.Kind != refusal.DeadlineTooClose || r.RetryAt.IsZero() {
			t.Errorf("a job of 5 s for a deadline of 1 s: %v", r)
		}
		b.bundle.Rules.MaxQueuedTasks = 10
		if r := b.Submit(b.job("a", "once", time.Minute, repeat(11, time.Millisecond)...)); r == nil || r.Kind != refusal.Overloaded || r.RetryAt.IsZero() {
			t.Errorf("a job over the queue's bound: %v", r)
		}
		if len(b.starts) != 0 {
			t.Errorf("%d tasks of refused jobs started", len(b.starts))
		}
	})
}

// TestCancelledTasksDoNotStart ends the waiting jobs before the running one, so
// that no slot comes free for a job whose own cancellation is still to come.
func TestCancelledTasksDoNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		jobs := b.wave(50)
		for _, j := range slices.Backward(jobs[:49]) {
			j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled"))
		}
		<-jobs[49].Done()
		b.Idle()
		if len(b.starts) != 4+10 || b.Backlog() != 0 {
			t.Errorf("%d starts after a wave of cancellations, backlog %d", len(b.starts), b.Backlog())
		}
		_, _, first := jobs[0].Result()
		_, _, last := jobs[48].Result()
		if first.Outcome != refusal.Unknown || last.Outcome != refusal.NotRun {
			t.Errorf("outcomes: started job %s, waiting job %s", first.Outcome, last.Outcome)
		}
	})
}

// TestCancelledInTurn ends the running job first. Its slots may then go to jobs
// whose cancellation is still to come, and each such start is told.
func TestCancelledInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		jobs := b.wave(50)
		for _, j := range jobs[:49] {
			j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled"))
		}
		<-jobs[49].Done()
		b.Idle()
		started := map[string]int{}
		for _, s := range b.starts {
			key, _, _ := strings.Cut(s.task, "/")
			started[key]++
		}
		for _, j := range jobs[:49] {
			if _, _, r := j.Result(); (started[j.Key] > 0) && r.Outcome == refusal.NotRun {
				t.Errorf("job %s had %d starts and is said not to have run", j.Key, started[j.Key])
			}
		}
		if started[jobs[49].Key] != 10 || b.Backlog() != 0 {
			t.Errorf("the job that stayed had %d starts, backlog %d", started[jobs[49].Key], b.Backlog())
		}
	})
}

// wave submits jobs of ten tasks, and returns when the first of them runs.
func (b *bench) wave(count int) []*job.Job {
	var jobs []*job.Job
	for range count {
		jobs = append(jobs, b.submit(b.job("a", "once", time.Minute, repeat(10, 50*time.Millisecond)...)))
	}
	synctest.Wait()
	return jobs
}

// TestNoRetryStorm fails half of the upstreams at once. Starts may exceed
// requests by a tenth and what the budgets had saved.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1, 1, 1)
		b.act = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if name == "u0" || name == "u1" {
				return &upstream.Failure{Upstream: name, Known: upstream.Failed, Status: 500}
			}
			return nil
		}
		const requests = 2000
		complete := 0
		for range requests {
			j := b.submit(b.job("a", "quick", 10*time.Second, 10*time.Millisecond))
			time.Sleep(2 * time.Millisecond)
			go func() { <-j.Done() }()
			if state, _, _ := j.Result(); state == job.Complete {
				complete++
			}
		}
		time.Sleep(time.Second)
		if len(b.starts) > requests*11/10+repeatsSaved+hedgesSaved {
			t.Errorf("%d starts for %d requests", len(b.starts), requests)
		}
		if u0 := b.startsOf("u0"); u0 > requests/10 {
			t.Errorf("the failing upstream got %d of %d starts", u0, len(b.starts))
		}
	})
}

func TestFailingZoneIsNotEjectedIntoNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1, 1, 1)
		var failing atomic.Bool
		failing.Store(true)
		b.act = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if failing.Load() {
				return &upstream.Failure{Upstream: name, Known: upstream.Failed, Status: 500}
			}
			return nil
		}
		for range 100 {
			<-b.submit(b.job("a", "quick", 10*time.Second, 10*time.Millisecond)).Done()
		}
		if aside := len(b.options.Board.Names()); aside != 1 {
			t.Errorf("%d of 4 upstreams are aside, 30 %% allow 1", aside)
		}
		failing.Store(false)
		time.Sleep(40 * time.Second)
		for range 20 {
			<-b.submit(b.job("a", "quick", 10*time.Second, 10*time.Millisecond)).Done()
		}
		if aside := b.options.Board.Names(); len(aside) != 0 {
			t.Errorf("%v stay aside after they work again", aside)
		}
	})
}

// TestReturnBySingleTrial puts an upstream aside and brings a job once its time
// aside is over: one task is the trial, the others go elsewhere until it is good.
func TestReturnBySingleTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1, 1, 1)
		var failing atomic.Bool
		failing.Store(true)
		b.act = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if name == "u0" && failing.Load() {
				return &upstream.Failure{Upstream: name, Known: upstream.NotRun, Status: 503}
			}
			return nil
		}
		<-b.submit(b.job("a", "once", time.Minute, repeat(40, 20*time.Millisecond)...)).Done()
		if aside := b.options.Board.Names(); len(aside) != 1 {
			t.Fatalf("aside: %v", aside)
		}
		time.Sleep(3 * time.Second)
		before := b.startsOf("u0")
		<-b.submit(b.job("a", "once", time.Minute, repeat(40, 20*time.Millisecond)...)).Done()
		if trials := b.startsOf("u0") - before; trials != 1 {
			t.Errorf("%d tasks were the single trial", trials)
		}
	})
}

func TestTaskOfAJobMovesOnlyOnProof(t *testing.T) {
	tests := []struct {
		known   upstream.Known
		state   job.State
		outcome refusal.Outcome
		starts  int
	}{
		{upstream.NotRun, job.Complete, "", 2},
		{upstream.Failed, job.Failed, refusal.Failed, 1},
		{upstream.Unknown, job.Failed, refusal.Unknown, 1},
		{upstream.Corrupt, job.Failed, refusal.Unknown, 1},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, 1, 0.5)
			var first atomic.Bool
			first.Store(true)
			b.act = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
				if first.Swap(false) {
					return &upstream.Failure{Upstream: name, Known: test.known}
				}
				return nil
			}
			j := b.submit(b.job("a", "once", time.Minute, 10*time.Millisecond))
			<-j.Done()
			b.Idle()
			state, _, r := j.Result()
			if state != test.state || (r != nil && r.Outcome != test.outcome) || len(b.starts) != test.starts {
				t.Errorf("%v: job is %s %v after %d starts", test.known, state, r, len(b.starts))
			}
		})
	}
}

func TestSlowRequestIsHedgedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 1)
		for range 60 {
			<-b.submit(b.job("a", "quick", 10*time.Second, 20*time.Millisecond)).Done()
		}
		var stuck atomic.Bool
		stuck.Store(true)
		b.act = func(ctx context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if stuck.Swap(false) {
				<-ctx.Done()
				return &upstream.Failure{Upstream: name, Known: upstream.Unknown, Cause: ctx.Err()}
			}
			return nil
		}
		before := len(b.starts)
		j := b.submit(b.job("a", "quick", 10*time.Second, 20*time.Millisecond))
		<-j.Done()
		b.Idle()
		if state, _, _ := j.Result(); state != job.Complete || time.Since(j.Arrived) > 150*time.Millisecond || len(b.starts)-before != 2 {
			t.Errorf("request is %s after %s and %d starts", state, time.Since(j.Arrived), len(b.starts)-before)
		}
	})
}

// TestLeavingUpstreamGetsNothing covers the three signals: the list, the
// bundle, and the upstream's own answer, which reaches Leaving by its client.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.25)
		b.leaving["u0"] = true
		<-b.submit(b.job("a", "once", time.Minute, repeat(8, 10*time.Millisecond)...)).Done()
		if got := b.startsOf("u0"); got != 0 {
			t.Errorf("%d starts after the list marked it", got)
		}
		b.leaving["u0"] = false
		next := *b.bundle
		next.Upstreams = map[string]*bundle.Upstream{}
		for name, u := range b.bundle.Upstreams {
			changed := *u
			changed.Leaving = name == "u0"
			next.Upstreams[name] = &changed
		}
		b.Apply(&next)
		<-b.submit(b.job("a", "once", time.Minute, repeat(8, 10*time.Millisecond)...)).Done()
		if got := b.startsOf("u0"); got != 0 {
			t.Errorf("%d starts after the bundle marked it", got)
		}
	})
}

func TestNoStartThatCouldOutliveALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.5)
		b.leases["u0"] = time.Now().Add(100 * time.Millisecond)
		j := b.submit(b.job("a", "once", time.Minute, repeat(4, 50*time.Millisecond)...))
		<-j.Done()
		if got := b.startsOf("u0"); got != 0 {
			t.Errorf("%d starts of 50 ms on a lease of 100 ms", got)
		}
	})
}

func TestCorruptJSONFailsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		j := b.job("a", "once", time.Minute, 10*time.Millisecond)
		j.Tasks[0].Body = []byte(`"10ms"x`)
		b.submit(j)
		<-j.Done()
		if _, _, r := j.Result(); r == nil || r.Kind != refusal.AnswerCorrupt {
			t.Errorf("an answer that is not JSON: %v", r)
		}
	})
}
