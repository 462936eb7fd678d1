package dispatch

import (
	"context"
	"errors"
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

// TestRequestsGoBeforeJobs guards against requests that wait behind all tasks of
// a large job.
func TestRequestsGoBeforeJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		bulk := f.submit(f.job("a", "once", time.Minute, runtimes(80, 50*time.Millisecond)...))
		synctest.Wait()
		j := f.submit(f.job("b", "quick", 10*time.Second, 50*time.Millisecond))
		<-j.Done()
		if took := time.Since(j.ArrivedAt); took > 110*time.Millisecond {
			t.Errorf("a request behind a job of 80 tasks took %s", took)
		}
		<-bulk.Done()
	})
}

// TestJobsAreNotStarvedByRequests guards against a job that does not progress
// while the backlog always contains requests.
func TestJobsAreNotStarvedByRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		bulk := f.submit(f.job("a", "once", time.Minute, runtimes(20, 50*time.Millisecond)...))
		for range 400 {
			f.submit(f.job("b", "quick", 10*time.Second, 50*time.Millisecond))
		}
		<-bulk.Done()
		if state, _, r := bulk.Result(); state != job.Complete || f.Backlog() == 0 {
			t.Errorf("job is %s %v with %d requests waiting", state, r, f.Backlog())
		}
	})
}

// TestBurstOfOneTenantDoesNotDelayOthers guards against one tenant's burst of
// requests that delays those of another tenant within its fair share of the slots.
func TestBurstOfOneTenantDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		for range 600 {
			f.submit(f.job("a", "quick", 10*time.Second, 50*time.Millisecond))
		}
		synctest.Wait()
		var worst time.Duration
		for range 20 {
			j := f.submit(f.job("b", "quick", 10*time.Second, 50*time.Millisecond))
			<-j.Done()
			worst = max(worst, time.Since(j.ArrivedAt))
		}
		// A slot becomes free within one run time of 50 ms, and the request takes
		// another.
		if worst > 110*time.Millisecond || f.Backlog() == 0 {
			t.Errorf("the other tenant waited %s, backlog %d", worst, f.Backlog())
		}
	})
}

// TestSubmitRefusals guards against tasks that start although their job is refused,
// and against refusals without the time at which to retry.
func TestSubmitRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		if r := f.Submit(f.job("a", "special", time.Second, time.Millisecond)); r == nil || r.Kind != refusal.NeverRuns || r.Outcome != refusal.NotRun {
			t.Errorf("a job that no upstream can run: %v", r)
		}
		if r := f.Submit(f.job("a", "once", time.Second, runtimes(400, 50*time.Millisecond)...)); r == nil || r.Kind != refusal.DeadlineTooClose || r.RetryAt.IsZero() {
			t.Errorf("a job of 5 s for a deadline of 1 s: %v", r)
		}
		f.bundle.Rules.MaxQueuedTasks = 10
		if r := f.Submit(f.job("a", "once", time.Minute, runtimes(11, time.Millisecond)...)); r == nil || r.Kind != refusal.Overloaded || r.RetryAt.IsZero() {
			t.Errorf("a job over the queue's bound: %v", r)
		}
		if len(f.starts) != 0 {
			t.Errorf("%d tasks of refused jobs started", len(f.starts))
		}
	})
}

// TestCancelledTasksDoNotStart guards against starts of tasks whose job has been
// cancelled. It cancels the waiting jobs before the running one, so that no slot
// becomes free for a job that is yet to be cancelled.
func TestCancelledTasksDoNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		jobs := f.submitJobs(50)
		for _, j := range slices.Backward(jobs[:49]) {
			j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled"))
		}
		<-jobs[49].Done()
		f.WaitIdle()
		if len(f.starts) != 4+10 || f.Backlog() != 0 {
			t.Errorf("%d starts after a wave of cancellations, backlog %d", len(f.starts), f.Backlog())
		}
		_, _, first := jobs[0].Result()
		_, _, last := jobs[48].Result()
		if first.Outcome != refusal.Unknown || last.Outcome != refusal.NotRun {
			t.Errorf("outcomes: started job %s, waiting job %s", first.Outcome, last.Outcome)
		}
	})
}

// TestCancelledStartedJobsAreNotReportedNotRun guards against a cancelled job that
// is reported as not run although a task of it started. It cancels the running job
// first, so its slots may go to jobs that are yet to be cancelled.
func TestCancelledStartedJobsAreNotReportedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		jobs := f.submitJobs(50)
		for _, j := range jobs[:49] {
			j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "cancelled"))
		}
		<-jobs[49].Done()
		f.WaitIdle()
		started := map[string]int{}
		for _, s := range f.starts {
			key, _, _ := strings.Cut(s.task, "/")
			started[key]++
		}
		for _, j := range jobs[:49] {
			if _, _, r := j.Result(); (started[j.Key] > 0) && r.Outcome == refusal.NotRun {
				t.Errorf("job %s had %d starts but is reported as not run", j.Key, started[j.Key])
			}
		}
		if started[jobs[49].Key] != 10 || f.Backlog() != 0 {
			t.Errorf("the job that stayed had %d starts, backlog %d", started[jobs[49].Key], f.Backlog())
		}
	})
}

// submitJobs submits count jobs of ten tasks each and returns once the first tasks
// run.
func (f *fixture) submitJobs(count int) []*job.Job {
	var jobs []*job.Job
	for range count {
		jobs = append(jobs, f.submit(f.job("a", "once", time.Minute, runtimes(10, 50*time.Millisecond)...)))
	}
	synctest.Wait()
	return jobs
}

// TestNoRetryStorm guards against retries that multiply the load when upstreams
// fail. Half of the upstreams fail at once; starts may exceed requests by a tenth
// plus the tokens saved in the budgets.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 1, 1)
		f.beforeRun = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if name == "u0" || name == "u1" {
				return &upstream.Failure{Upstream: name, Outcome: upstream.Failed, Status: 500}
			}
			return nil
		}
		const requests = 2000
		complete := 0
		for range requests {
			j := f.submit(f.job("a", "quick", 10*time.Second, 10*time.Millisecond))
			time.Sleep(2 * time.Millisecond)
			go func() { <-j.Done() }()
			if state, _, _ := j.Result(); state == job.Complete {
				complete++
			}
		}
		time.Sleep(time.Second)
		if len(f.starts) > requests*11/10+maxSavedRetries+maxSavedHedges {
			t.Errorf("%d starts for %d requests", len(f.starts), requests)
		}
		if u0 := f.startsOf("u0"); u0 > requests/10 {
			t.Errorf("the failing upstream got %d of %d starts", u0, len(f.starts))
		}
	})
}

// TestFailingZoneEjectsOnlyAllowedShare guards against ejecting every upstream of
// a zone when all of them fail, and against upstreams that stay ejected after they
// have recovered.
func TestFailingZoneEjectsOnlyAllowedShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 1, 1)
		var failing atomic.Bool
		failing.Store(true)
		f.beforeRun = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if failing.Load() {
				return &upstream.Failure{Upstream: name, Outcome: upstream.Failed, Status: 500}
			}
			return nil
		}
		for range 100 {
			<-f.submit(f.job("a", "quick", 10*time.Second, 10*time.Millisecond)).Done()
		}
		if ejected := len(f.options.Outliers.EjectedNames()); ejected != 1 {
			t.Errorf("%d of 4 upstreams are ejected, 30 %% allow 1", ejected)
		}
		failing.Store(false)
		time.Sleep(40 * time.Second)
		for range 20 {
			<-f.submit(f.job("a", "quick", 10*time.Second, 10*time.Millisecond)).Done()
		}
		if ejected := f.options.Outliers.EjectedNames(); len(ejected) != 0 {
			t.Errorf("%v stay ejected after they work again", ejected)
		}
	})
}

// TestEjectedUpstreamGetsSingleTrial guards against several tasks that start on an
// ejected upstream at once when its ejection time is over. Only one may start, as
// a trial; the others must run elsewhere until it succeeds.
func TestEjectedUpstreamGetsSingleTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1, 1, 1)
		var failing atomic.Bool
		failing.Store(true)
		f.beforeRun = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if name == "u0" && failing.Load() {
				return &upstream.Failure{Upstream: name, Outcome: upstream.NotRun, Status: 503}
			}
			return nil
		}
		<-f.submit(f.job("a", "once", time.Minute, runtimes(40, 20*time.Millisecond)...)).Done()
		if ejected := f.options.Outliers.EjectedNames(); len(ejected) != 1 {
			t.Fatalf("ejected: %v, want one upstream", ejected)
		}
		time.Sleep(3 * time.Second)
		before := f.startsOf("u0")
		<-f.submit(f.job("a", "once", time.Minute, runtimes(40, 20*time.Millisecond)...)).Done()
		if trials := f.startsOf("u0") - before; trials != 1 {
			t.Errorf("%d tasks started as trial, want 1", trials)
		}
	})
}

// TestJobTaskRetriedOnlyIfNotRun guards against running a task of a job twice. It
// may be sent to another upstream only if the first provably did not run it.
func TestJobTaskRetriedOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		failure upstream.Outcome
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
			f := newFixture(t, 1, 0.5)
			var first atomic.Bool
			first.Store(true)
			f.beforeRun = func(_ context.Context, name string, _ upstream.Call, _ time.Duration) error {
				if first.Swap(false) {
					return &upstream.Failure{Upstream: name, Outcome: test.failure}
				}
				return nil
			}
			j := f.submit(f.job("a", "once", time.Minute, 10*time.Millisecond))
			<-j.Done()
			f.WaitIdle()
			state, _, r := j.Result()
			if state != test.state || (r != nil && r.Outcome != test.outcome) || len(f.starts) != test.starts {
				t.Errorf("%v: job is %s %v after %d starts", test.failure, state, r, len(f.starts))
			}
		})
	}
}

// TestSlowRequestIsHedgedOnce guards against a request that waits for a stuck
// upstream, and against more than one hedge for it.
func TestSlowRequestIsHedgedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		for range 60 {
			<-f.submit(f.job("a", "quick", 10*time.Second, 20*time.Millisecond)).Done()
		}
		var stuck atomic.Bool
		stuck.Store(true)
		f.beforeRun = func(ctx context.Context, name string, _ upstream.Call, _ time.Duration) error {
			if stuck.Swap(false) {
				<-ctx.Done()
				return &upstream.Failure{Upstream: name, Outcome: upstream.Unknown, Cause: ctx.Err()}
			}
			return nil
		}
		before := len(f.starts)
		j := f.submit(f.job("a", "quick", 10*time.Second, 20*time.Millisecond))
		<-j.Done()
		f.WaitIdle()
		if state, _, _ := j.Result(); state != job.Complete || time.Since(j.ArrivedAt) > 150*time.Millisecond || len(f.starts)-before != 2 {
			t.Errorf("request is %s after %s and %d starts", state, time.Since(j.ArrivedAt), len(f.starts)-before)
		}
	})
}

// TestLeavingUpstreamGetsNothing guards against starts on an upstream that is about
// to leave. It covers the bundle and the IsLeaving option, through which the entry
// passes on the list of VMs and the upstream's own answers.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0.25)
		f.leaving["u0"] = true
		<-f.submit(f.job("a", "once", time.Minute, runtimes(8, 10*time.Millisecond)...)).Done()
		if got := f.startsOf("u0"); got != 0 {
			t.Errorf("%d starts after the IsLeaving option marked it", got)
		}
		f.leaving["u0"] = false
		next := *f.bundle
		next.Upstreams = map[string]*bundle.Upstream{}
		for name, u := range f.bundle.Upstreams {
			changed := *u
			changed.Leaving = name == "u0"
			next.Upstreams[name] = &changed
		}
		f.Apply(&next)
		<-f.submit(f.job("a", "once", time.Minute, runtimes(8, 10*time.Millisecond)...)).Done()
		if got := f.startsOf("u0"); got != 0 {
			t.Errorf("%d starts after the bundle marked it", got)
		}
	})
}

// TestNoStartThatMayOutliveLease guards against tasks that start on a worker whose
// lease may end before they do.
func TestNoStartThatMayOutliveLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0.5)
		f.leases["u0"] = time.Now().Add(100 * time.Millisecond)
		j := f.submit(f.job("a", "once", time.Minute, runtimes(4, 50*time.Millisecond)...))
		<-j.Done()
		if got := f.startsOf("u0"); got != 0 {
			t.Errorf("%d starts of 50 ms on a lease of 100 ms", got)
		}
	})
}

// TestCorruptJSONFailsJob guards against a job that completes with an answer that
// is not valid JSON.
func TestCorruptJSONFailsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		j := f.job("a", "once", time.Minute, 10*time.Millisecond)
		j.Tasks[0].Body = []byte(`"10ms"x`)
		f.submit(j)
		<-j.Done()
		if _, _, r := j.Result(); r == nil || r.Kind != refusal.AnswerCorrupt {
			t.Errorf("an answer that is not JSON: %v", r)
		}
	})
}

// TestTasksOfEndedJobAreNotSent guards against tasks that stay in a queue, keep the body of an ended job in memory and send it
// later.
func TestTasksOfEndedJobAreNotSent(t *testing.T) {
	f := newFixture(t, 1)
	j := f.job("a", "once", time.Minute, time.Second)
	j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "its caller has cancelled it"))
	j.ReleaseTasks()
	_, err := f.Dispatcher.send(t.Context(), &run{task: &task{job: j}, target: &target{name: "u0"}})
	var failure *upstream.Failure
	if !errors.As(err, &failure) || failure.Outcome != upstream.NotRun || len(f.starts) != 0 {
		t.Errorf("error %v and %d starts, want a failure that has not run and no start", err, len(f.starts))
	}
}
