package dispatch

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/outlier"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/upstream"
)

// bench is a dispatcher in a synctest bubble, whose upstreams are functions of
// virtual time.
type bench struct {
	*Dispatcher
	t       *testing.T
	bundle  *bundle.Bundle
	ledger  *loan.Ledger
	speeds  map[string]float64
	act     func(ctx context.Context, name string, call upstream.Call, span time.Duration) error
	leaving map[string]bool
	leases  map[string]time.Time

	mu     sync.Mutex
	starts []start
	busy   map[string]int
	peak   map[string]int
}

type start struct {
	upstream, task string
	at             time.Time
}

const rules = `
[tenant a]
weight = 1
[tenant b]
weight = 1
[class counter]
weight = 1
[service quick]
path = /q
class = counter
repeatable = true
limit = 10s
hint = 50ms
[service once]
path = /o
limit = 60s
hint = 50ms
[service special]
path = /s
needs = gpu
`

// newBench makes upstreams u0, u1, … of 4 slots with these speeds.
func newBench(t *testing.T, speeds ...float64) *bench {
	b := &bench{
		t: t, speeds: map[string]float64{}, busy: map[string]int{}, peak: map[string]int{},
		leaving: map[string]bool{}, leases: map[string]time.Time{}, ledger: loan.New(loan.Options{}),
	}
	text := rules
	for i, speed := range speeds {
		name := fmt.Sprintf("u%d", i)
		b.speeds[name] = speed
		text += fmt.Sprintf("[upstream %s]\nzone = z\naddress = 127.0.0.1:%d\nslots = 4\n", name, i+1)
		b.ledger.Set(name, 4)
		b.ledger.Settle(name)
	}
	parsed, err := bundle.Parse("test", 1, text)
	if err != nil {
		t.Fatal(err)
	}
	b.bundle = parsed
	b.Dispatcher = New(Options{
		Zone: "z", Ledger: b.ledger, Estimator: estimate.New(time.Now), Board: outlier.New(outlier.Options{}),
		Send:    b.send,
		Leaving: func(name string) bool { return b.leaving[name] },
		Lease:   func(name string) (time.Time, bool) { end, ok := b.leases[name]; return end, ok },
	})
	b.Apply(parsed)
	return b
}

func (b *bench) send(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error) {
	b.mu.Lock()
	b.starts = append(b.starts, start{upstream: name, task: call.Task, at: time.Now()})
	b.busy[name]++
	b.peak[name] = max(b.peak[name], b.busy[name])
	act := b.act
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.busy[name]--
		b.mu.Unlock()
	}()
	run, _ := time.ParseDuration(string(call.Body[1 : len(call.Body)-1]))
	span := time.Duration(float64(run) / b.speeds[name])
	if act != nil {
		if err := act(ctx, name, call, span); err != nil {
			return upstream.Answer{}, err
		}
	}
	if !sleep(ctx, span) {
		return upstream.Answer{}, &upstream.Failure{Upstream: name, Known: upstream.Unknown, Cause: ctx.Err()}
	}
	return upstream.Answer{Status: 200, Body: call.Body}, nil
}

func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *bench) job(tenant, service string, limit time.Duration, runs ...time.Duration) *job.Job {
	j := &job.Job{
		Key: fmt.Sprintf("%s-%d", tenant, rand.Uint64()), Tenant: tenant, Service: b.bundle.Services[service], Bundle: b.bundle,
		Request: service == "quick", Arrived: time.Now(), Deadline: time.Now().Add(limit),
	}
	for _, run := range runs {
		j.Tasks = append(j.Tasks, job.Task{Body: []byte(`"` + run.String() + `"`), Hint: run})
	}
	return job.New(b.t.Context(), j)
}

func (b *bench) submit(j *job.Job) *job.Job {
	b.t.Helper()
	if r := b.Submit(j); r != nil {
		b.t.Fatal(r)
	}
	return j
}

func (b *bench) startsOf(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, s := range b.starts {
		if s.upstream == name {
			count++
		}
	}
	return count
}

func repeat(count int, run time.Duration) []time.Duration {
	return slices.Repeat([]time.Duration{run}, count)
}

// warm teaches the estimator the speeds.
func (b *bench) warm() {
	for range 3 {
		j := b.submit(b.job("a", "once", time.Minute, repeat(16*len(b.speeds), 20*time.Millisecond)...))
		<-j.Done()
	}
	time.Sleep(time.Second)
}

// TestJobAgainstTheIdeal runs jobs alone on upstreams whose speeds differ
// fourfold. Time is virtual, so that the ratios are the same in every run.
func TestJobAgainstTheIdeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.5, 0.25, 0.75, 1, 0.5)
		b.warm()
		random := rand.New(rand.NewPCG(1, 1))
		rate := 0.0
		for _, speed := range b.speeds {
			rate += 4 * speed
		}
		var ratios []float64
		for range 40 {
			var runs []time.Duration
			var total, longest time.Duration
			for range 20 + random.IntN(200) {
				run := time.Duration(80 * math.Exp(0.5*random.NormFloat64()) * float64(time.Millisecond))
				runs, total, longest = append(runs, run), total+run, max(longest, run)
			}
			j := b.submit(b.job("a", "once", time.Minute, runs...))
			<-j.Done()
			ideal := max(longest, time.Duration(float64(total)/rate))
			ratios = append(ratios, float64(time.Since(j.Arrived))/float64(ideal))
			time.Sleep(time.Second)
		}
		slices.Sort(ratios)
		if half, most := ratios[20], ratios[39]; half > 1.15 || most > 1.6 {
			t.Errorf("response against the ideal: p50 %.3f, worst of 40 %.3f", half, most)
		}
		for name, peak := range b.peak {
			if peak > 4 {
				t.Errorf("%s had %d tasks in 4 slots", name, peak)
			}
		}
	})
}

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
		if r := b.Submit(b.job("a", "once", time.Second, repeat(400, 50*time.Millisecond)...)); r == nil || r.Kind != refusal.TooLate || r.RetryAt.IsZero() {
			t.Errorf("a job of 5 s for a deadline of 1 s: %v", r)
		}
		b.bundle.Rules.Queue = 10
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
		if _, _, r := j.Result(); r == nil || r.Kind != refusal.CorruptAnswer {
			t.Errorf("an answer that is not JSON: %v", r)
		}
	})
}

// TestNewJobWaitsForLoans gives a job to an entry that is home to a slow upstream
// only. Its peer's slots on fast ones come a millisecond later: no long task may
// have begun on a slow slot by then.
func TestNewJobWaitsForLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.25)
		b.warm()
		b.Idle()
		b.ledger.Set("u0", 0)
		b.starts = nil
		j := b.submit(b.job("a", "once", time.Minute, repeat(4, 100*time.Millisecond)...))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		b.ledger.Set("u0", 4)
		b.ledger.Settle("u0")
		b.Kick()
		<-j.Done()
		if late := time.Since(j.Arrived); b.startsOf("u1") != 0 || late > 110*time.Millisecond {
			t.Errorf("%d tasks of 100 ms began on a slow slot, the job took %s", b.startsOf("u1"), late)
		}
	})
}

// TestNewJobDoesNotWaitLong is the same without loans that come.
func TestNewJobDoesNotWaitLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1, 0.25)
		b.warm()
		b.Idle()
		b.ledger.Set("u0", 0)
		j := b.submit(b.job("a", "once", time.Minute, repeat(4, 100*time.Millisecond)...))
		<-j.Done()
		if late := time.Since(j.Arrived); late > 400*time.Millisecond+2*answerSpan {
			t.Errorf("without peers the job took %s", late)
		}
	})
}

// TestUncertainTasksKeepOffSlowUpstreams has one task whose hint may be far too
// short. It waits for a fast slot, which is expected to end it a little later.
func TestUncertainTasksKeepOffSlowUpstreams(t *testing.T) {
	for _, test := range []struct {
		name string
		gap  float64
		slow int
	}{{"exact hints", 0, 1}, {"hints off by a half", 0.5, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1, 0.5)
				random := rand.New(rand.NewPCG(1, 1))
				for range 600 {
					hint := time.Duration(float64(100*time.Millisecond) * math.Exp(test.gap*random.NormFloat64()))
					b.options.Estimator.Observe("once", "u0", hint, 100*time.Millisecond)
					b.options.Estimator.Observe("once", "u1", hint, 200*time.Millisecond)
				}
				running := b.submit(b.job("a", "once", time.Minute, repeat(4, 120*time.Millisecond)...))
				synctest.Wait()
				b.starts = nil
				j := b.submit(b.job("a", "once", time.Minute, 100*time.Millisecond))
				<-j.Done()
				<-running.Done()
				if got := b.startsOf("u1"); got != test.slow {
					t.Errorf("%d starts on the slow upstream", got)
				}
			})
		})
	}
}
