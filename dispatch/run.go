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
	// mostMoves bounds how often a task is moved on proof that it did not run.
	maxReassignments = 8
	// hedgeQuantile of a service's run times is when a second copy may start.
	hedgeQuantile = 95
	// hedgeLeast keeps hedges of short services apart from noise.
	minHedgeDelay = 5 * time.Millisecond
	// stuck is how many times its estimate an unanswered task counts against its upstream.
	stuckFactor = 4
)

// start sends a task to a target. The caller holds the lock.
func (d *Dispatcher) startTask(t *task, g *target, permit loan.Permit, now time.Time, hedge bool) {
	if !hedge {
		d.removeFromBacklog(t)
	}
	if !t.job.Begin() {
		d.returnPermit(permit)
		return
	}
	d.startCount++
	ctx, cancel := context.WithCancel(t.job.Context())
	runTime := time.Duration(float64(t.estimate) / max(g.speed, 0.01))
	r := &run{task: t, target: g, permit: permit, began: now, expectedEnd: now.Add(runTime), isHedge: hedge, cancel: cancel}
	r.usedShare = float64(len(g.running)+1) / float64(max(1, g.held))
	g.running = append(g.running, r)
	if t.job.Request {
		d.runningRequests++
	}
	t.runs = append(t.runs, r)
	d.options.Outliers.Begin(g.name, t.job.Deadline)
	d.activeRuns.Go(func() { d.execute(ctx, r) })
	if !hedge && t.job.Request && t.job.Service.Repeatable {
		d.scheduleHedge(t, r)
	}
}

func (d *Dispatcher) returnPermit(permit loan.Permit) {
	if permit.Upstream == "" {
		return
	}
	held := 0
	for _, t := range d.targetList {
		held += t.held
	}
	d.options.Ledger.Put(permit, float64(d.backlog)/float64(max(1, held)))
}

func (d *Dispatcher) execute(ctx context.Context, r *run) {
	defer r.cancel()
	j := r.task.job
	spec := r.task.spec
	answer, err := d.options.Send(ctx, r.target.name, upstream.Call{
		Path: j.Service.Path, Task: j.Key + "/" + strconv.Itoa(r.task.index),
		Type: spec.Type, Body: spec.Body, Deadline: j.Deadline,
		Repeatable: j.Service.Repeatable, Limit: j.Service.Answer,
	})
	if err == nil && !j.Request && !json.Valid(answer.Body) {
		err = &upstream.Failure{Upstream: r.target.name, Known: upstream.Corrupt, Cause: &NotJSONError{Bytes: len(answer.Body)}}
	}
	result := d.finishRun(ctx, r, answer, err)
	d.options.OnOutcome(Outcome{
		Job: j, Upstream: r.target.name, Result: result, Hedge: r.isHedge,
		WaitTime: r.began.Sub(j.Arrived), ServiceTime: d.options.Now().Sub(r.began),
	})
}

// NotJSONError is an answer to a task of a job that is not a JSON value.
type NotJSONError struct{ Bytes int }

// Error gives the size.
func (e *NotJSONError) Error() string { return fmt.Sprintf("answer of %d bytes is not JSON", e.Bytes) }

// settle frees the slot, judges the upstream, and answers, repeats or fails the
// task.
func (d *Dispatcher) finishRun(ctx context.Context, r *run, answer upstream.Answer, err error) string {
	now := d.options.Now()
	var notify func()
	d.mu.Lock()
	r.target.removeRun(r)
	if r.task.job.Request {
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
			failure = &upstream.Failure{Upstream: r.target.name, Known: upstream.Unknown, Cause: err}
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

// drop takes a run off its target.
func (g *target) removeRun(r *run) {
	for i, other := range g.running {
		if other == r {
			g.running = append(g.running[:i], g.running[i+1:]...)
			return
		}
	}
}

func (d *Dispatcher) recordSuccess(r *run, now time.Time) {
	took := now.Sub(r.began)
	j := r.task.job
	d.options.Estimator.Observe(j.Service.Name, r.target.name, r.task.hint(), took)
	r.target.limit.Observe(took, r.task.estimate, r.usedShare)
	r.target.retryBudget.Earn()
	d.options.Outliers.Observe(r.target.name, true)
}

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
		t.job.Finish(t.index, job.Answer{Status: answer.Status, Type: answer.Type, Body: answer.Body})
	}
}

// fail decides what follows a failed start.
func (d *Dispatcher) handleFailure(ctx context.Context, r *run, f *upstream.Failure, now time.Time) (string, func()) {
	t := r.task
	cancelled := ctx.Err() != nil
	if !cancelled || now.Sub(r.began) > stuckFactor*r.expectedEnd.Sub(r.began) {
		d.options.Outliers.Observe(r.target.name, false)
	}
	if f.Known == upstream.NotRun {
		t.job.Undo()
	}
	if t.done || !t.job.Live() {
		return "cancelled", nil
	}
	if cancelled && r.isHedge {
		return "cancelled", nil
	}
	if f.Known == upstream.NotRun {
		return "not-run", d.reassign(r, f)
	}
	return resultNames[f.Known], d.retry(r, f)
}

var resultNames = map[upstream.Known]string{
	upstream.NotRun: "not-run", upstream.Failed: "failed", upstream.Unknown: "unknown", upstream.Corrupt: "corrupt",
}

// move queues a task again that is proved not to have run.
func (d *Dispatcher) reassign(r *run, f *upstream.Failure) func() {
	t := r.task
	t.attempts++
	if t.attempts > maxReassignments {
		reason := refusal.New(refusal.UpstreamGone, refusal.NotRun, "%d upstreams refused the task, the last: %v", t.attempts, f)
		retryAt := d.options.Now().Add(time.Second)
		return func() { t.job.Fail(reason.Later(retryAt)) }
	}
	d.requeue(r)
	return nil
}

func (d *Dispatcher) requeue(r *run) {
	r.task.avoidUpstream = r.target.name
	if r.isHedge || d.hasOtherRun(r) {
		return
	}
	d.enqueue(r.task)
}

// others tells whether another copy of the task is still under way.
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

// repeat starts a repeatable request again within the budgets; all else fails.
func (d *Dispatcher) retry(r *run, f *upstream.Failure) func() {
	t := r.task
	if d.hasOtherRun(r) {
		return nil
	}
	retry, _ := d.budgets(t.job.Tenant)
	if t.job.Request && t.job.Service.Repeatable && r.target.retryBudget.Pay() && retry.Pay() {
		t.attempts++
		t.avoidUpstream = r.target.name
		d.enqueue(t)
		return nil
	}
	return func() { t.job.Fail(refusalFor(f)) }
}

func refusalFor(f *upstream.Failure) *refusal.Refusal {
	switch f.Known {
	case upstream.Failed:
		return refusal.New(refusal.UpstreamFail, refusal.Failed, "%v", f)
	case upstream.Corrupt:
		var large *upstream.TooLargeError
		if errors.As(f, &large) {
			return refusal.New(refusal.AnswerTooBig, refusal.Unknown, "%v", f)
		}
		return refusal.New(refusal.CorruptAnswer, refusal.Unknown, "%v", f)
	default:
		return refusal.New(refusal.UpstreamGone, refusal.Unknown, "%v", f)
	}
}

// planHedge starts a second copy of a repeatable request that takes longer than
// nearly all others, on another upstream, within the tenant's budget of hedges.
// One that takes far longer counts as stuck and may use the budget of retries.
func (d *Dispatcher) scheduleHedge(t *task, first *run) {
	delay, known := d.options.Estimator.Quantile(t.job.Service.Name, hedgeQuantile)
	if !known {
		return
	}
	delay = max(delay, 2*first.expectedEnd.Sub(first.began), minHedgeDelay)
	hedgeTimer := time.AfterFunc(delay, func() { d.startHedge(t, first, false) })
	stuckTimer := time.AfterFunc(stuckFactor*delay, func() { d.startHedge(t, first, true) })
	context.AfterFunc(t.job.Context(), func() {
		hedgeTimer.Stop()
		stuckTimer.Stop()
	})
}

func (d *Dispatcher) startHedge(t *task, first *run, stuck bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.done || !t.job.Live() || len(t.runs) != 1 || d.uncoordinated() {
		return
	}
	d.refreshTargets()
	t.avoidUpstream = first.target.name
	now := d.options.Now()
	g, _, isFree := d.bestTarget(t, now, false)
	if g == nil || !isFree || g == first.target || !d.payForHedge(t.job.Tenant, stuck) {
		return
	}
	if permit, ok := d.options.Ledger.Take(g.name); ok {
		d.startTask(t, g, permit, now, true)
	}
}

func (d *Dispatcher) payForHedge(tenant string, stuck bool) bool {
	retries, hedges := d.budgets(tenant)
	return hedges.Pay() || (stuck && retries.Pay())
}
