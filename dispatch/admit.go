package dispatch

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/budget"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/queue"
	"github.com/radishgate/radishgate/refusal"
)

// Repeats that a tenant or upstream can save up.
const (
	repeatsSaved = 10
	hedgesSaved  = 5
)

// Bounds of the advice when to come back.
const (
	soonest = 100 * time.Millisecond
	latest  = 30 * time.Second
)

// Submit admits a job whole or refuses it whole, not run.
func (d *Dispatcher) Submit(j *job.Job) *refusal.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	tasks, total, longest := d.plan(j)
	if r := d.refuse(j, len(tasks), total, longest); r != nil {
		return r
	}
	d.group++
	if j.Request {
		d.arrive(d.options.Now())
	}
	ideal := d.ideal(total, longest)
	j.Expect(ideal)
	due := dueOf(j, ideal)
	borrowed := d.borrowing(j)
	for _, t := range tasks {
		t.due, t.ideal, t.borrowed = due, ideal, borrowed
	}
	d.earn(j.Tenant, len(tasks))
	d.unstage()
	for _, t := range tasks {
		d.push(t)
	}
	context.AfterFunc(j.Context(), func() { d.forget(j) })
	d.match()
	if d.want > 0 && d.waiting[j] > 0 {
		d.options.Fresh()
	}
	return nil
}

// answerSpan is the time in which peers of the zone answer an ask.
const answerSpan = 5 * time.Millisecond

// borrowing gives the time by which a new job's first loans have come, and has
// the job looked at again then. The zero time is for jobs that do not borrow.
func (d *Dispatcher) borrowing(j *job.Job) time.Time {
	if j.Request || d.bundle.Rules.Placement != placementHome {
		return time.Time{}
	}
	time.AfterFunc(answerSpan, d.Kick)
	return d.options.Now().Add(answerSpan)
}

// unstage puts the staged tasks back into the queues, so that new work takes
// its fair place among them.
func (d *Dispatcher) unstage() {
	for _, t := range d.urgent {
		d.requests.Return(t.item)
	}
	for _, t := range d.staged {
		d.jobs.Return(t.item)
	}
	clear(d.urgent)
	clear(d.staged)
	d.urgent, d.staged = d.urgent[:0], d.staged[:0]
}

// stretch is how many times its ideal response a job may take before it goes
// before jobs that came later.
const stretch = 3

// dueOf is the time by which jobs are ordered: small ones pass large ones, but
// a job that has waited goes before all that came after its due time.
func dueOf(j *job.Job, ideal time.Duration) time.Time {
	due := j.Arrived.Add(stretch * ideal)
	if due.After(j.Deadline) {
		return j.Deadline
	}
	return due
}

// plan estimates the tasks of a job: their number, total and longest run time.
func (d *Dispatcher) plan(j *job.Job) ([]*task, time.Duration, time.Duration) {
	list := j.List()
	tasks := make([]*task, len(list))
	var total, longest time.Duration
	for i := range list {
		estimate := d.options.Estimator.Predict(j.Service.Name, list[i].Hint, j.Service.RuntimeHint)
		late := d.options.Estimator.Late(j.Service.Name, list[i].Hint)
		tasks[i] = &task{job: j, index: i, part: &list[i], estimate: estimate, late: late}
		total += estimate
		longest = max(longest, estimate)
	}
	return tasks, total, longest
}

// ideal is the response time that a job could have at best: the larger of its
// longest task and its total work over the slots of the zone, speeds counted.
func (d *Dispatcher) ideal(total, longest time.Duration) time.Duration {
	return max(longest, time.Duration(float64(total)/max(1, d.speed())))
}

// speed sums the slots of the zone, each weighed by its speed.
func (d *Dispatcher) speed() float64 {
	sum := 0.0
	for _, t := range d.order {
		if t.near && d.usable(t) {
			sum += d.options.Estimator.Speed(t.name) * float64(t.bundle.Slots)
		}
	}
	return sum
}

// refuse judges by the whole zone's speed, so that work is turned away only
// when even all slots together would be too late for it.
func (d *Dispatcher) refuse(j *job.Job, count int, total, longest time.Duration) *refusal.Refusal {
	now := d.options.Now()
	if !j.Bundle.HasUpstreamFor(j.Service) {
		return refusal.New(refusal.NeverRuns, refusal.NotRun, "no upstream has the labels that service %s needs", j.Service.Name)
	}
	speed := max(1, d.speed())
	wait := time.Duration(float64(d.work) / speed)
	back := now.Add(min(max(wait, soonest), latest))
	if d.backlog+count > d.bundle.Rules.MaxQueuedTasks {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%d tasks wait already", d.backlog).WithRetryAt(back)
	}
	if j.Request {
		wait = 0 // requests go before jobs; their own queue is judged when a slot comes free
	}
	ideal := max(longest, time.Duration(float64(total)/speed))
	if left := j.Deadline.Sub(now); wait+ideal > left {
		detail := "the work needs about %s and the deadline is %s away"
		return refusal.New(refusal.DeadlineTooClose, refusal.NotRun, detail, wait+ideal, left).WithRetryAt(back)
	}
	return nil
}

func (d *Dispatcher) earn(tenant string, count int) {
	retry, hedge := d.budgets(tenant)
	for range count {
		retry.Earn()
		hedge.Earn()
	}
}

// budgets gives those of a tenant. Tenants are bounded by the bundle.
func (d *Dispatcher) budgets(tenant string) (*budget.Budget, *budget.Budget) {
	if _, ok := d.retries[tenant]; !ok {
		d.retries[tenant] = budget.New(d.bundle.Rules.RetryRatio, repeatsSaved)
		d.hedges[tenant] = budget.New(d.bundle.Rules.HedgeRatio, hedgesSaved)
	}
	return d.retries[tenant], d.hedges[tenant]
}

func (d *Dispatcher) push(t *task) {
	share := 1.0
	if tenant, ok := t.job.Bundle.Tenants[t.job.Tenant]; ok {
		share = tenant.Weight
	}
	item := queue.Item[*task]{
		Tenant: t.job.Tenant, Class: t.job.Service.Class, Share: share,
		Weight: t.job.Bundle.ClassWeight(t.job.Service.Class), Deadline: t.due,
		Group: d.group, Cost: t.estimate.Seconds(), Value: t,
	}
	t.item = item
	if t.job.Request {
		d.requests.Push(item)
	} else {
		d.jobs.Push(item)
	}
	d.waiting[t.job]++
	d.backlog++
	d.work += t.estimate
}

// leave takes a task out of the counts of waiting ones.
func (d *Dispatcher) leave(t *task) {
	if d.waiting[t.job] == 0 {
		return
	}
	d.waiting[t.job]--
	if d.waiting[t.job] == 0 {
		delete(d.waiting, t.job)
	}
	d.backlog--
	d.work = max(0, d.work-t.estimate)
}

// forget drops the waiting tasks of a job that has ended.
func (d *Dispatcher) forget(j *job.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backlog -= d.waiting[j]
	delete(d.waiting, j)
	if d.backlog == 0 {
		d.work = 0
	}
	d.urgent = keepLive(d.urgent)
	d.staged = keepLive(d.staged)
	if d.want > 0 {
		d.match()
	}
}

func keepLive(tasks []*task) []*task {
	kept := tasks[:0]
	for _, t := range tasks {
		if t.job.Live() {
			kept = append(kept, t)
		}
	}
	clear(tasks[len(kept):])
	return kept
}
