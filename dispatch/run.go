package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/upstream"
)

const (
	// maxReassignments bounds how often a task that provably did not run is sent to
	// another upstream.
	maxReassignments = 8
	// hedgeQuantile is the percentile of a service's run times after which a hedge, a
	// second copy of a request, may start.
	hedgeQuantile = 95
	// minHedgeDelay prevents noise in the latency of short services from causing
	// hedges.
	minHedgeDelay = 5 * time.Millisecond
	// stuckFactor is the multiple of its estimate after which a task that was
	// cancelled without an answer counts as a failure of its upstream. It is also
	// the multiple of the hedge delay after which a request counts as stuck.
	stuckFactor = 4
)

// startTask starts a run of a task on a target, unless the job has ended. The
// caller must hold the lock.
func (d *Dispatcher) startTask(t *task, dest *target, permit loan.Permit, now time.Time, hedge bool) {
	if !hedge {
		d.removeFromBacklog(t)
	}
	if !t.job.BeginTask() {
		d.returnPermit(permit)
		return
	}
	d.startCount++
	ctx, cancel := context.WithCancel(t.job.Context())
	runtime := time.Duration(float64(t.estimate) / max(dest.speed, 0.01))
	r := &run{task: t, target: dest, permit: permit, startedAt: now, expectedEnd: now.Add(runtime), isHedge: hedge, cancel: cancel}
	r.usedShare = float64(len(dest.running)+1) / float64(max(1, dest.held))
	dest.running = append(dest.running, r)
	if t.job.IsRequest {
		d.runningRequests++
	}
	t.runs = append(t.runs, r)
	d.options.Outliers.RecordStart(dest.name, t.job.Deadline)
	d.activeRuns.Go(func() { d.execute(ctx, r) })
	if !hedge && t.job.IsRequest && t.job.Service.Repeatable {
		d.scheduleHedge(t, r)
	}
}

// returnPermit returns a permit to the ledger, if there is one: the baseline
// placements run tasks without permits.
func (d *Dispatcher) returnPermit(permit loan.Permit) {
	if permit.Upstream == "" {
		return
	}
	held := 0
	for _, t := range d.targetList {
		held += t.held
	}
	d.options.Ledger.Release(permit, float64(d.backlog)/float64(max(1, held)))
}

// execute sends the task to the upstream, handles the answer and reports the
// outcome.
func (d *Dispatcher) execute(ctx context.Context, r *run) {
	defer r.cancel()
	j := r.task.job
	answer, err := d.send(ctx, r)
	if err == nil && !j.IsRequest && !json.Valid(answer.Body) {
		err = &upstream.Failure{Upstream: r.target.name, Outcome: upstream.Corrupt, Cause: &NotJSONError{Bytes: len(answer.Body)}}
	}
	result := d.finishRun(ctx, r, answer, err)
	d.options.OnOutcome(RunOutcome{
		Job: j, Upstream: r.target.name, Result: result, Hedge: r.isHedge,
		WaitTime: r.startedAt.Sub(j.ArrivedAt), ServiceTime: d.options.Now().Sub(r.startedAt),
	})
}

// send sends the task to the upstream, unless its job has released the tasks because it has ended.
func (d *Dispatcher) send(ctx context.Context, r *run) (upstream.Answer, error) {
	j := r.task.job
	tasks := j.TaskList()
	if tasks == nil {
		return upstream.Answer{}, &upstream.Failure{Upstream: r.target.name, Outcome: upstream.NotRun, Cause: context.Cause(j.Context())}
	}
	spec := tasks[r.task.index]
	return d.options.Send(ctx, r.target.name, upstream.Call{
		Path: j.Service.Path, TaskID: j.Key + "/" + strconv.Itoa(r.task.index),
		ContentType: spec.ContentType, Body: spec.Body, Deadline: j.Deadline,
		Repeatable: j.Service.Repeatable, MaxAnswerBytes: j.Service.MaxAnswerBytes,
	})
}

// NotJSONError reports that an upstream answered a task of a job with something
// other than a JSON value.
type NotJSONError struct{ Bytes int }

// Error describes the answer by its size.
func (e *NotJSONError) Error() string { return fmt.Sprintf("answer of %d bytes is not JSON", e.Bytes) }

// finishRun frees the slot, records the outcome for the upstream, and completes,
// retries or fails the task. It returns the result for metrics.
func (d *Dispatcher) finishRun(ctx context.Context, r *run, answer upstream.Answer, err error) string {
	now := d.options.Now()
	var notify func()
	d.mu.Lock()
	r.target.removeRun(r)
	if r.task.job.IsRequest {
		d.runningRequests--
	}
	d.returnPermit(r.permit)
	result := "ok"
	if err == nil {
		d.recordSuccess(r, now)
		notify = d.completeTask(r, answer)
	} else {
		var failure *upstream.Failure
		if !errors.As(err, &failure) {
			failure = &upstream.Failure{Upstream: r.target.name, Outcome: upstream.Unknown, Cause: err}
		}
		result, notify = d.handleFailure(ctx, r, failure, now)
	}
	d.schedule()
	d.mu.Unlock()
	if notify != nil {
		notify()
	}
	return result
}

// removeRun removes a run from the target's list of active runs.
func (g *target) removeRun(r *run) {
	for i, other := range g.running {
		if other == r {
			g.running = append(g.running[:i], g.running[i+1:]...)
			return
		}
	}
}

// recordSuccess updates the estimates, the limit, the retry budget and the outlier
// detection of the upstream after a successful run.
func (d *Dispatcher) recordSuccess(r *run, now time.Time) {
	took := now.Sub(r.startedAt)
	j := r.task.job
	d.options.Estimator.Observe(j.Service.Name, r.target.name, r.task.runtimeHint, took)
	r.target.limit.Observe(took, r.task.estimate, r.usedShare)
	r.target.retryBudget.Deposit()
	d.options.Outliers.Observe(r.target.name, true)
}

// completeTask marks the task as done and cancels its other runs. It returns a
// function that passes the answer to the job, to be called without the lock, or
// nil if another run has already completed the task.
func (d *Dispatcher) completeTask(r *run, answer upstream.Answer) func() {
	t := r.task
	if t.done {
		return nil
	}
	t.done = true
	for _, other := range t.runs {
		if other != r {
			other.cancel()
		}
	}
	return func() {
		t.job.FinishTask(t.index, job.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
	}
}

// handleFailure reassigns, retries or fails a task after a failed run. It returns
// the result for metrics and a function to call without the lock, or nil.
func (d *Dispatcher) handleFailure(ctx context.Context, r *run, f *upstream.Failure, now time.Time) (string, func()) {
	t := r.task
	cancelled := ctx.Err() != nil
	if !cancelled || now.Sub(r.startedAt) > stuckFactor*r.expectedEnd.Sub(r.startedAt) {
		d.options.Outliers.Observe(r.target.name, false)
	}
	if f.Outcome == upstream.NotRun {
		t.job.UndoBegin()
	}
	if t.done || !t.job.IsRunning() {
		return "cancelled", nil
	}
	if cancelled && r.isHedge {
		return "cancelled", nil
	}
	if f.Outcome == upstream.NotRun {
		return "not-run", d.reassign(r, f)
	}
	return resultNames[f.Outcome], d.retry(r, f)
}

var resultNames = map[upstream.Outcome]string{
	upstream.NotRun: "not-run", upstream.Failed: "failed", upstream.Unknown: "unknown", upstream.Corrupt: "corrupt",
}

// reassign queues a task again that provably did not run, up to maxReassignments
// times.
func (d *Dispatcher) reassign(r *run, f *upstream.Failure) func() {
	t := r.task
	t.attempts++
	if t.attempts > maxReassignments {
		reason := refusal.New(refusal.UpstreamUnreachable, refusal.NotRun, "%d upstreams refused the task, the last: %v", t.attempts, f)
		retryAt := d.options.Now().Add(time.Second)
		return func() { t.job.Fail(reason.WithRetryAt(retryAt)) }
	}
	d.requeue(r)
	return nil
}

// requeue queues the task again for another upstream, unless the run was a hedge
// or another run of the task is still active.
func (d *Dispatcher) requeue(r *run) {
	r.task.avoidUpstream = r.target.name
	if r.isHedge || d.hasOtherRun(r) {
		return
	}
	d.enqueue(r.task)
}

// hasOtherRun reports whether another run of the task is still active.
func (d *Dispatcher) hasOtherRun(r *run) bool {
	for _, other := range r.task.runs {
		if other == r {
			continue
		}
		for _, running := range other.target.running {
			if running == other {
				return true
			}
		}
	}
	return false
}

// retry queues a repeatable request again if the retry budgets of the upstream
// and the tenant allow it, and fails all other tasks. It does nothing while
// another run of the task is active.
func (d *Dispatcher) retry(r *run, f *upstream.Failure) func() {
	t := r.task
	if d.hasOtherRun(r) {
		return nil
	}
	tenantBudget, _ := d.budgets(t.job.Tenant)
	if t.job.IsRequest && t.job.Service.Repeatable && r.target.retryBudget.TryWithdraw() && tenantBudget.TryWithdraw() {
		t.attempts++
		t.avoidUpstream = r.target.name
		d.enqueue(t)
		return nil
	}
	return func() { t.job.Fail(refusalFor(f)) }
}

// refusalFor returns the refusal that reports a failure to the client.
func refusalFor(f *upstream.Failure) *refusal.Refusal {
	switch f.Outcome {
	case upstream.Failed:
		return refusal.New(refusal.UpstreamFailed, refusal.Failed, "%v", f)
	case upstream.Corrupt:
		var large *upstream.TooLargeError
		if errors.As(f, &large) {
			return refusal.New(refusal.AnswerTooLarge, refusal.Unknown, "%v", f)
		}
		return refusal.New(refusal.AnswerCorrupt, refusal.Unknown, "%v", f)
	default:
		return refusal.New(refusal.UpstreamUnreachable, refusal.Unknown, "%v", f)
	}
}

// scheduleHedge arranges for a second copy of a repeatable request to start on
// another upstream if the first run takes longer than hedgeQuantile percent of the
// service's runs and at least twice its estimate. The copy uses the tenant's hedge
// budget. A request that takes stuckFactor times as long counts as stuck and may
// also use the retry budget.
func (d *Dispatcher) scheduleHedge(t *task, first *run) {
	delay, known := d.options.Estimator.Quantile(t.job.Service.Name, hedgeQuantile)
	if !known {
		return
	}
	delay = max(delay, 2*first.expectedEnd.Sub(first.startedAt), minHedgeDelay)
	hedgeTimer := time.AfterFunc(delay, func() { d.startHedge(t, first, false) })
	stuckTimer := time.AfterFunc(stuckFactor*delay, func() { d.startHedge(t, first, true) })
	context.AfterFunc(t.job.Context(), func() {
		hedgeTimer.Stop()
		stuckTimer.Stop()
	})
}

// startHedge starts a second run of a task on another upstream if a slot is free
// there and the budgets allow it.
func (d *Dispatcher) startHedge(t *task, first *run, stuck bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.done || !t.job.IsRunning() || len(t.runs) != 1 || d.uncoordinated() {
		return
	}
	d.refreshTargets()
	t.avoidUpstream = first.target.name
	now := d.options.Now()
	dest, _, isFree := d.bestTarget(t, now, false)
	if dest == nil || !isFree || dest == first.target || !d.payForHedge(t.job.Tenant, stuck) {
		return
	}
	if permit, ok := d.options.Ledger.Acquire(dest.name); ok {
		d.startTask(t, dest, permit, now, true)
	}
}

// payForHedge withdraws a token from the tenant's hedge budget or, if the first run
// is stuck, from its retry budget. It reports whether either had one.
func (d *Dispatcher) payForHedge(tenant string, stuck bool) bool {
	retryBudget, hedgeBudget := d.budgets(tenant)
	return hedgeBudget.TryWithdraw() || (stuck && retryBudget.TryWithdraw())
}
