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
	maxSavedRetries = 10
	maxSavedHedges  = 5
)

// Bounds of the advice when to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Submit admits a job whole or refuses it whole, not run.
func (d *Dispatcher) Submit(j *job.Job) *refusal.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	tasks, total, longest := d.estimateTasks(j)
	if r := d.checkAdmission(j, len(tasks), total, longest); r != nil {
		return r
	}
	d.jobSequence++
	if j.Request {
		d.recordRequestArrival(d.options.Now())
	}
	ideal := d.idealResponse(total, longest)
	j.Expect(ideal)
	due := dueTime(j, ideal)
	loansExpectedBy := d.expectLoans(j)
	for _, t := range tasks {
		t.dueTime, t.idealResponse, t.loansExpectedBy = due, ideal, loansExpectedBy
	}
	d.earnBudgets(j.Tenant, len(tasks))
	d.requeueStaged()
	for _, t := range tasks {
		d.enqueue(t)
	}
	context.AfterFunc(j.Context(), func() { d.dropJob(j) })
	d.schedule()
	if d.slotsWanted > 0 && d.waitingByJob[j] > 0 {
		d.options.OnNewWorkQueued()
	}
	return nil
}

// answerSpan is the time in which peers of the zone answer an ask.
const loanAnswerTime = 5 * time.Millisecond

// borrowing gives the time by which a new job's first loans have come, and has
// the job looked at again then. The zero time is for jobs that do not borrow.
func (d *Dispatcher) expectLoans(j *job.Job) time.Time {
	if j.Request || d.bundle.Rules.Placement != placementHome {
		return time.Time{}
	}
	time.AfterFunc(loanAnswerTime, d.Schedule)
	return d.options.Now().Add(loanAnswerTime)
}

// unstage puts the staged tasks back into the queues, so that new work takes
// its fair place among them.
func (d *Dispatcher) requeueStaged() {
	for _, t := range d.stagedRequests {
		d.requests.Return(t.item)
	}
	for _, t := range d.stagedJobTasks {
		d.jobs.Return(t.item)
	}
	clear(d.stagedRequests)
	clear(d.stagedJobTasks)
	d.stagedRequests, d.stagedJobTasks = d.stagedRequests[:0], d.stagedJobTasks[:0]
}

// stretch is how many times its ideal response a job may take before it goes
// before jobs that came later.
const dueStretch = 3

// dueOf is the time by which jobs are ordered: small ones pass large ones, but
// a job that has waited goes before all that came after its due time.
func dueTime(j *job.Job, ideal time.Duration) time.Time {
	due := j.Arrived.Add(dueStretch * ideal)
	if due.After(j.Deadline) {
		return j.Deadline
	}
	return due
}

// plan estimates the tasks of a job: their number, total and longest run time.
func (d *Dispatcher) estimateTasks(j *job.Job) ([]*task, time.Duration, time.Duration) {
	list := j.List()
	tasks := make([]*task, len(list))
	var total, longest time.Duration
	for i := range list {
		estimate := d.options.Estimator.Predict(j.Service.Name, list[i].Hint, j.Service.Hint)
		lateFactor := d.options.Estimator.Late(j.Service.Name, list[i].Hint)
		tasks[i] = &task{job: j, index: i, spec: &list[i], estimate: estimate, lateFactor: lateFactor}
		total += estimate
		longest = max(longest, estimate)
	}
	return tasks, total, longest
}

// ideal is the response time that a job could have at best: the larger of its
// longest task and its total work over the slots of the zone, speeds counted.
func (d *Dispatcher) idealResponse(total, longest time.Duration) time.Duration {
	return max(longest, time.Duration(float64(total)/max(1, d.zoneCapacity())))
}

// speed sums the slots of the zone, each weighed by its speed.
func (d *Dispatcher) zoneCapacity() float64 {
	capacity := 0.0
	for _, t := range d.targetList {
		if t.inZone && d.usable(t) {
			capacity += d.options.Estimator.Speed(t.name) * float64(t.config.Slots)
		}
	}
	return capacity
}

// refuse judges by the whole zone's speed, so that work is turned away only
// when even all slots together would be too late for it.
func (d *Dispatcher) checkAdmission(j *job.Job, count int, total, longest time.Duration) *refusal.Refusal {
	now := d.options.Now()
	if !j.Bundle.Runnable(j.Service) {
		return refusal.New(refusal.NeverRuns, refusal.NotRun, "no upstream has the labels that service %s needs", j.Service.Name)
	}
	capacity := max(1, d.zoneCapacity())
	wait := time.Duration(float64(d.backlogWork) / capacity)
	retryAt := now.Add(min(max(wait, minRetryAfter), maxRetryAfter))
	if d.backlog+count > d.bundle.Rules.Queue {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%d tasks wait already", d.backlog).Later(retryAt)
	}
	if j.Request {
		wait = 0 // requests go before jobs; their own queue is judged when a slot comes free
	}
	ideal := max(longest, time.Duration(float64(total)/capacity))
	if left := j.Deadline.Sub(now); wait+ideal > left {
		detail := "the work needs about %s and the deadline is %s away"
		return refusal.New(refusal.TooLate, refusal.NotRun, detail, wait+ideal, left).Later(retryAt)
	}
	return nil
}

func (d *Dispatcher) earnBudgets(tenant string, count int) {
	retry, hedge := d.budgets(tenant)
	for range count {
		retry.Earn()
		hedge.Earn()
	}
}

// budgets gives those of a tenant. Tenants are bounded by the bundle.
func (d *Dispatcher) budgets(tenant string) (*budget.Budget, *budget.Budget) {
	if _, ok := d.retries[tenant]; !ok {
		d.retries[tenant] = budget.New(d.bundle.Rules.Retry, maxSavedRetries)
		d.hedges[tenant] = budget.New(d.bundle.Rules.Hedge, maxSavedHedges)
	}
	return d.retries[tenant], d.hedges[tenant]
}

func (d *Dispatcher) enqueue(t *task) {
	share := 1.0
	if tenant, ok := t.job.Bundle.Tenants[t.job.Tenant]; ok {
		share = tenant.Weight
	}
	item := queue.Item[*task]{
		Tenant: t.job.Tenant, Class: t.job.Service.Class, Share: share,
		Weight: t.job.Bundle.Weight(t.job.Service.Class), Deadline: t.dueTime,
		Group: d.jobSequence, Cost: t.estimate.Seconds(), Value: t,
	}
	t.item = item
	if t.job.Request {
		d.requests.Push(item)
	} else {
		d.jobs.Push(item)
	}
	d.waitingByJob[t.job]++
	d.backlog++
	d.backlogWork += t.estimate
}

// leave takes a task out of the counts of waiting ones.
func (d *Dispatcher) removeFromBacklog(t *task) {
	if d.waitingByJob[t.job] == 0 {
		return
	}
	d.waitingByJob[t.job]--
	if d.waitingByJob[t.job] == 0 {
		delete(d.waitingByJob, t.job)
	}
	d.backlog--
	d.backlogWork = max(0, d.backlogWork-t.estimate)
}

// forget drops the waiting tasks of a job that has ended.
func (d *Dispatcher) dropJob(j *job.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backlog -= d.waitingByJob[j]
	delete(d.waitingByJob, j)
	if d.backlog == 0 {
		d.backlogWork = 0
	}
	d.stagedRequests = keepLive(d.stagedRequests)
	d.stagedJobTasks = keepLive(d.stagedJobTasks)
	if d.slotsWanted > 0 {
		d.schedule()
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
