package holder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
)

// unreliable is a fakeWorker whose first answers to a start are lost. It executes an order
// once, also if it gets several copies, as workers do.
type unreliable struct {
	fakeWorker
	lostStarts int                   // number of starts without an answer
	executed   func(number int) bool // reports whether a lost copy is executed at once

	startMu sync.Mutex
	starts  int
}

func (u *unreliable) start(ctx context.Context, to platform.Target, o platform.StartRequest) (platform.Report, error) {
	u.startMu.Lock()
	u.starts++
	n := u.starts
	u.startMu.Unlock()
	lost := n <= u.lostStarts
	u.mu.Lock()
	known := slices.ContainsFunc(u.runs, func(r fakeRun) bool { return r.task == o.Task && r.run == o.Run })
	u.mu.Unlock()
	if !known && (!lost || u.executed(n)) {
		if _, err := u.fakeWorker.start(ctx, to, o); err != nil {
			return platform.Report{}, err
		}
	}
	if lost {
		<-ctx.Done()
		return platform.Report{}, ctx.Err()
	}
	return platform.Report{Verdict: platform.Accepted}, nil
}

// TestStartWithoutAnswerIsRepeated loses answers to starts. Fencing the worker at once would
// reject all other starts under way there, so the same start must be sent again first, and
// only when no copy is answered and no report lists the run may the worker be fenced. A copy
// follows after a quarter of the timeout, which is 0.4 s before the first answer.
func TestStartWithoutAnswerIsRepeated(t *testing.T) {
	always, never := func(int) bool { return true }, func(int) bool { return false }
	tests := []struct {
		name       string
		lostStarts int
		executed   func(int) bool
		fences     int
		limit      time.Duration // for one task of 40 ms
	}{
		{"one copy is lost on its way", 1, never, 0, 160 * time.Millisecond},
		{"the answer to one copy is lost", 1, always, 0, 160 * time.Millisecond},
		{"two copies are lost on their way", 2, never, 0, 260 * time.Millisecond},
		{"the answers to all copies are lost, but a hold lists the run", maxCopies, always, 0, 160 * time.Millisecond},
		{"all copies are lost on their way", maxCopies, never, 1, 1500 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &unreliable{fakeWorker: fakeWorker{runtime: 40 * time.Millisecond, lost: func(int) bool { return false }}, lostStarts: c.lostStarts, executed: c.executed}
				result, fences, took := runOneJob(t, w)
				if result.State != batch.Completed || fences != c.fences || took > c.limit {
					t.Errorf("job %s %q after %v with %d fences, want completed within %v with %d", result.State, result.Reason, took, fences, c.limit, c.fences)
				}
				if runs := len(w.runs); runs != 1 {
					t.Errorf("%d runs of the task, want 1", runs)
				}
			})
		})
	}
}

// runOneJob runs a job of one task on a worker and returns its result, the number of times
// that the worker was fenced after its start, and how long the job took.
func runOneJob(t *testing.T, w *unreliable) (batch.Result, int, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	results := make(chan batch.Result, 1)
	h := newHolder(ctx, WorkerCalls{Start: w.start, Stop: w.stop, Hold: w.hold}, results)
	var mu sync.Mutex
	fences := 0
	h.options.CountCall = func(kind string) {
		mu.Lock()
		defer mu.Unlock()
		if kind == "fence" {
			fences++
		}
	}
	h.AddWorker(platform.Registration{ID: "w", Service: "listing", Zone: "a", Address: "w", Labels: []string{"k"}, Capacity: resources.Resources{MilliCores: 1000, MemoryMB: 100}})
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	h.Admit(&batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 1, Stretch: 1.6, Slack: time.Second},
		ID:            "0000000000000001", ArrivedAt: began, ExpiresAt: began.Add(5 * time.Second),
		Steps: []batch.Step{{Count: 1, Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, Hint: 40 * time.Millisecond}},
	}, nil)
	var result batch.Result
	select {
	case result = <-results:
	case <-time.After(5 * time.Second): // no entry asks for the job, so that the holder may have abandoned it
	}
	took := time.Since(began)
	cancel()
	h.Wait()
	mu.Lock()
	defer mu.Unlock()
	return result, fences, took
}

// TestOutcomeOfRepeatedStart guards against taking a rejection of a later copy as proof that
// the run does not exist: an earlier copy may have been executed, or may still be.
func TestOutcomeOfRepeatedStart(t *testing.T) {
	tests := []struct {
		verdict platform.Verdict
		err     error
		copies  int
		want    plan.StartOutcome
	}{
		{platform.Accepted, nil, 1, plan.StartAccepted},
		{platform.Accepted, nil, 3, plan.StartAccepted},
		{platform.StaleRun, nil, 1, plan.StaleRunNumber},
		{platform.StaleRun, nil, 2, plan.StartAccepted}, // it has ended meanwhile; the next report lists how
		{platform.OtherIncarnation, nil, 1, plan.StartRejected},
		{platform.OtherIncarnation, nil, 2, plan.StartRejected},
		{platform.Fenced, nil, 1, plan.StartRejected},
		{platform.Fenced, nil, 2, plan.OutcomeUnknown},
		{platform.LeaseExpired, nil, 1, plan.StartLate},
		{platform.LeaseExpired, nil, 2, plan.OutcomeUnknown},
		{platform.NoRoom, nil, 1, plan.WorkerUnhealthy},
		{platform.NoRoom, nil, 2, plan.OutcomeUnknown},
		{platform.Busy, nil, 1, plan.WorkerUnhealthy},
		{platform.Busy, nil, 2, plan.OutcomeUnknown},
		{"", errors.New("connection reset"), 1, plan.OutcomeUnknown},
		{"", context.DeadlineExceeded, 4, plan.OutcomeUnknown},
	}
	for _, c := range tests {
		if got := startOutcome(answer{report: platform.Report{Verdict: c.verdict}, err: c.err, copies: c.copies}); got != c.want {
			t.Errorf("verdict %q, error %v, %d copies: outcome %d, want %d", c.verdict, c.err, c.copies, got, c.want)
		}
	}
}
