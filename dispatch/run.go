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
	mostMoves = 8
	// hedgeQuantile of a service's run times is when a second copy may start.
	hedgeQuantile = 95
	// hedgeLeast keeps hedges of short services apart from noise.
	hedgeLeast = 5 * time.Millisecond
	// stuck is how many times its estimate an unanswered task counts against its upstream.
	stuck = 4
)

// start sends a task to a target. The caller holds the lock.
func (d *Dispatcher) start(t *task, g *target, permit loan.Permit, now time.Time, hedge bool) {
	if !hedge {
		d.leave(t)
	}
	if !t.job.Begin() {
		d.put(permit)
		return
	}
	d.starts++
	ctx, cancel := context.WithCancel(t.job.Context())
	need := time.Duration(float64(t.estimate) / max(g.speed, 0.01))
	r := &run{task: t, target: g, permit: permit, began: now, end: now.Add(need), hedge: hedge, cancel: cancel}
	r.used = float64(len(g.running)+1) / float64(max(1, g.held))
	g.running = append(g.running, r)
	if t.job.Request {
		d.serving++
	}
	t.runs = append(t.runs, r)
	d.options.Board.Begin(g.name, t.job.Deadline)
	d.runs.Go(func() { d.run(ctx, r) })
	if !hedge && t.job.Request && t.job.Service.Repeatable {
		d.planHedge(t, r)
	}
}

func (d *Dispatcher) put(permit loan.Permit) {
	if permit.Upstream == "" {
		return
	}
	held := 0
	for _, t := range d.order {
		held += t.held
	}
	d.options.Ledger.Put(permit, float64(d.backlog)/float64(max(1, held)))
}

func (d *Dispatcher) run(ctx context.Context, r *run) {
	defer r.cancel()
	j := r.task.job
	part := r.task.part
	answer, err := d.options.Send(ctx, r.target.name, upstream.Call{
		Path: j.Service.Path, Task: j.Key + "/" + strconv.Itoa(r.task.index),
		Type: part.Type, Body: part.Body, Deadline: j.Deadline,
		Repeatable: j.Service.Repeatable, Limit: j.Service.MaxAnswerBytes,
	})
	if err == nil && !j.Request && !json.Valid(answer.Body) {
		err = &upstream.Failure{Upstream: r.target.name, Known: upstream.Corrupt, Cause: &NotJSONError{Bytes: len(answer.Body)}}
	}
	result := d.settle(ctx, r, answer, err)
	d.options.Seen(Outcome{
		Job: j, Upstream: r.target.name, Result: result, Hedge: r.hedge,
		Wait: r.began.Sub(j.Arrived), Service: d.options.Now().Sub(r.began),
	})
}

// NotJSONError is an answer to a task of a job that is not a JSON value.
type NotJSONError struct{ Bytes int }

// Error gives the size.
func (e *NotJSONError) Error() string { return fmt.Sprintf("answer of %d bytes is not JSON", e.Bytes) }

// settle frees the slot, judges the upstream, and answers, repeats or fails the
// task.
func (d *Dispatcher) settle(ctx context.Context, r *run, answer upstream.Answer, err error) string {
	now := d.options.Now()
	var finish func()
	d.mu.Lock()
	r.target.drop(r)
	if r.task.job.Request {
		d.serving--
	}
	d.put(r.permit)
	result := "ok"
	if err == nil {
		d.learn(r, now)
		finish = d.succeed(r, answer)
	} else {
		var failure *upstream.Failure
		if !errors.As(err, &failure) {
			failure = &upstream.Failure{Upstream: r.target.name, Known: upstream.Unknown, Cause: err}
		}
		result, finish = d.fail(ctx, r, failure, now)
	}
	d.match()
	d.mu.Unlock()
	if finish != nil {
		finish()
	}
	return result
}

// drop takes a run off its target.
func (g *target) drop(r *run) {
	for i, other := range g.running {
		if other == r {
			g.running = append(g.running[:i], g.running[i+1:]...)
			return
		}
	}
}

func (d *Dispatcher) learn(r *run, now time.Time) {
	took := now.Sub(r.began)
	j := r.task.job
	d.options.Estimator.Observe(j.Service.Name, r.target.name, r.task.hint(), took)
	r.target.limit.Observe(took, r.task.estimate, r.used)
	r.target.budget.Earn()
	d.options.Board.Observe(r.target.name, true)
}

func (d *Dispatcher) succeed(r *run, answer upstream.Answer) func() {
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
func (d *Dispatcher) fail(ctx context.Context, r *run, f *upstream.Failure, now time.Time) (string, func()) {
	t := r.task
	ended := ctx.Err() != nil
	if !ended || now.Sub(r.began) > stuck*r.end.Sub(r.began) {
		d.options.Board.Observe(r.target.name, false)
	}
	if f.Known == upstream.NotRun {
		t.job.Undo()
	}
	if t.done || !t.job.Live() {
		return "cancelled", nil
	}
	if ended && r.hedge {
		return "cancelled", nil
	}
	if f.Known == upstream.NotRun {
		return "not-run", d.move(r, f)
	}
	return results[f.Known], d.repeat(r, f)
}

var results = map[upstream.Known]string{
	upstream.NotRun: "not-run", upstream.Failed: "failed", upstream.Unknown: "unknown", upstream.Corrupt: "corrupt",
}

// move queues a task again that is proved not to have run.
func (d *Dispatcher) move(r *run, f *upstream.Failure) func() {
	t := r.task
	t.attempts++
	if t.attempts > mostMoves {
		refused := refusal.New(refusal.UpstreamUnreachable, refusal.NotRun, "%d upstreams refused the task, the last: %v", t.attempts, f)
		back := d.options.Now().Add(time.Second)
		return func() { t.job.Fail(refused.WithRetryAt(back)) }
	}
	d.again(r)
	return nil
}

func (d *Dispatcher) again(r *run) {
	r.task.avoid = r.target.name
	if r.hedge || d.others(r) {
		return
	}
	d.push(r.task)
}

// others tells whether another copy of the task is still under way.
func (d *Dispatcher) others(r *run) bool {
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
func (d *Dispatcher) repeat(r *run, f *upstream.Failure) func() {
	t := r.task
	if d.others(r) {
		return nil
	}
	retry, _ := d.budgets(t.job.Tenant)
	if t.job.Request && t.job.Service.Repeatable && r.target.budget.Pay() && retry.Pay() {
		t.attempts++
		t.avoid = r.target.name
		d.push(t)
		return nil
	}
	return func() { t.job.Fail(refused(f)) }
}

func refused(f *upstream.Failure) *refusal.Refusal {
	switch f.Known {
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

// planHedge starts a second copy of a repeatable request that takes longer than
// nearly all others, on another upstream, within the tenant's budget of hedges.
// One that takes far longer counts as stuck and may use the budget of retries.
func (d *Dispatcher) planHedge(t *task, first *run) {
	after, known := d.options.Estimator.Quantile(t.job.Service.Name, hedgeQuantile)
	if !known {
		return
	}
	after = max(after, 2*first.end.Sub(first.began), hedgeLeast)
	slow := time.AfterFunc(after, func() { d.hedge(t, first, false) })
	late := time.AfterFunc(stuck*after, func() { d.hedge(t, first, true) })
	context.AfterFunc(t.job.Context(), func() {
		slow.Stop()
		late.Stop()
	})
}

func (d *Dispatcher) hedge(t *task, first *run, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.done || !t.job.Live() || len(t.runs) != 1 || d.open() {
		return
	}
	d.survey()
	t.avoid = first.target.name
	now := d.options.Now()
	g, _, isFree := d.best(t, now, false)
	if g == nil || !isFree || g == first.target || !d.payHedge(t.job.Tenant, late) {
		return
	}
	if permit, ok := d.options.Ledger.Take(g.name); ok {
		d.start(t, g, permit, now, true)
	}
}

func (d *Dispatcher) payHedge(tenant string, late bool) bool {
	retries, hedges := d.budgets(tenant)
	return hedges.Pay() || (late && retries.Pay())
}
