package dispatch

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/budget"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/queue"
	"github.com/radishgate/radishgate/refusal"
)

// Maximum numbers of tokens in a retry budget and in a hedge budget. One token pays
// for one retry or hedge.
const (
	maxSavedRetries = 10
	maxSavedHedges  = 5
)

// Bounds on the retry time that refusals suggest to clients.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Submit queues all tasks of a job, or refuses the job before any of them has
// run. It does not end a refused job; the caller must do that with Job.Fail.
func (d *Dispatcher) Submit(j *job.Job) *refusal.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	tasks, total, longest := d.estimateTasks(j)
	if r := d.checkAdmission(j, len(tasks), total, longest); r != nil {
		return r
	}
	d.jobSequence++
	if j.IsRequest {
		d.recordRequestArrival(d.options.Now())
	}
	ideal := d.idealResponse(total, longest)
	j.SetIdealResponse(ideal)
	due := dueTime(j, ideal)
	loansExpectedBy := d.expectLoans(j)
	for _, t := range tasks {
		t.dueTime, t.idealResponse, t.loansExpectedBy = due, ideal, loansExpectedBy
	}
	d.creditBudgets(j.Tenant, len(tasks))
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

// loanAnswerTime is the time within which peers in the zone are expected to answer
// a request for slots.
const loanAnswerTime = 5 * time.Millisecond

// expectLoans returns the time by which the first borrowed slots for a new job
// should have arrived, and schedules another placement pass for that time. It
// returns the zero time for requests and if entries do not lend slots.
func (d *Dispatcher) expectLoans(j *job.Job) time.Time {
	if j.IsRequest || d.bundle.Rules.Placement != placementHome {
		return time.Time{}
	}
	time.AfterFunc(loanAnswerTime, d.Schedule)
	return d.options.Now().Add(loanAnswerTime)
}

// requeueStaged returns the staged tasks to their queues, so that they are
// ordered fairly with newly submitted tasks.
func (d *Dispatcher) requeueStaged() {
	for _, t := range d.stagedRequests {
		d.requests.Requeue(t.item)
	}
	for _, t := range d.stagedJobTasks {
		d.jobs.Requeue(t.item)
	}
	clear(d.stagedRequests)
	clear(d.stagedJobTasks)
	d.stagedRequests, d.stagedJobTasks = d.stagedRequests[:0], d.stagedJobTasks[:0]
}

// dueStretch is the multiple of its ideal response time after which a job takes
// precedence over jobs that arrive later.
const dueStretch = 3

// dueTime returns the time by which the queue orders the jobs of a class. Small
// jobs overtake large ones, but no job that arrives after the due time overtakes
// this one.
func dueTime(j *job.Job, ideal time.Duration) time.Time {
	due := j.ArrivedAt.Add(dueStretch * ideal)
	if due.After(j.Deadline) {
		return j.Deadline
	}
	return due
}

// estimateTasks creates the tasks of a job with their estimated run times, and
// returns them with the total and the longest estimate.
func (d *Dispatcher) estimateTasks(j *job.Job) ([]*task, time.Duration, time.Duration) {
	list := j.TaskList()
	tasks := make([]*task, len(list))
	var total, longest time.Duration
	for i := range list {
		estimate := d.options.Estimator.Predict(j.Service.Name, list[i].RuntimeHint, j.Service.RuntimeHint)
		lateFactor := d.options.Estimator.LatenessFactor(j.Service.Name, list[i].RuntimeHint)
		tasks[i] = &task{job: j, index: i, runtimeHint: list[i].RuntimeHint, estimate: estimate, lateFactor: lateFactor}
		total += estimate
		longest = max(longest, estimate)
	}
	return tasks, total, longest
}

// idealResponse returns the best possible response time of a job: its longest
// task, or its total work divided by the capacity of the zone if that is larger.
func (d *Dispatcher) idealResponse(total, longest time.Duration) time.Duration {
	return max(longest, time.Duration(float64(total)/max(1, d.zoneCapacity())))
}

// zoneCapacity returns the number of usable slots in the zone, weighted by speed.
func (d *Dispatcher) zoneCapacity() float64 {
	capacity := 0.0
	for _, t := range d.targetList {
		if t.inZone && d.usable(t) {
			capacity += d.options.Estimator.Speed(t.name) * float64(t.config.Slots)
		}
	}
	return capacity
}

// checkAdmission returns a refusal if the job cannot run, the queue is full or
// the deadline cannot be met, and nil otherwise. It assumes the capacity of the
// whole zone, so a job is refused as too late only if all slots of the zone
// together could not finish it in time.
func (d *Dispatcher) checkAdmission(j *job.Job, count int, total, longest time.Duration) *refusal.Refusal {
	now := d.options.Now()
	if !j.Bundle.HasUpstreamFor(j.Service) {
		return refusal.New(refusal.NeverRuns, refusal.NotRun, "no upstream has the labels that service %s needs", j.Service.Name)
	}
	capacity := max(1, d.zoneCapacity())
	wait := time.Duration(float64(d.backlogWork) / capacity)
	retryAt := now.Add(min(max(wait, minRetryAfter), maxRetryAfter))
	if d.backlog+count > d.bundle.Rules.MaxQueuedTasks {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%d tasks wait already", d.backlog).WithRetryAt(retryAt)
	}
	if j.IsRequest {
		wait = 0 // requests precede jobs; placement fails those that have waited too long
	}
	ideal := max(longest, time.Duration(float64(total)/capacity))
	if left := j.Deadline.Sub(now); wait+ideal > left {
		detail := "the work needs about %s and the deadline is %s away"
		return refusal.New(refusal.DeadlineTooClose, refusal.NotRun, detail, wait+ideal, left).WithRetryAt(retryAt)
	}
	return nil
}

// creditBudgets credits the tenant's retry and hedge budgets with first attempts.
func (d *Dispatcher) creditBudgets(tenant string, count int) {
	retryBudget, hedgeBudget := d.budgets(tenant)
	for range count {
		retryBudget.Deposit()
		hedgeBudget.Deposit()
	}
}

// budgets returns the retry and hedge budgets of a tenant, and creates them on
// first use. The tenants of the bundle bound the size of the maps.
func (d *Dispatcher) budgets(tenant string) (*budget.Budget, *budget.Budget) {
	if _, ok := d.retryBudgets[tenant]; !ok {
		d.retryBudgets[tenant] = budget.New(d.bundle.Rules.RetryRatio, maxSavedRetries)
		d.hedgeBudgets[tenant] = budget.New(d.bundle.Rules.HedgeRatio, maxSavedHedges)
	}
	return d.retryBudgets[tenant], d.hedgeBudgets[tenant]
}

func (d *Dispatcher) enqueue(t *task) {
	tenantWeight := 1.0
	if tenant, ok := t.job.Bundle.Tenants[t.job.Tenant]; ok {
		tenantWeight = tenant.Weight
	}
	item := queue.Item[*task]{
		Tenant: t.job.Tenant, Class: t.job.Service.Class, TenantWeight: tenantWeight,
		ClassWeight: t.job.Bundle.ClassWeight(t.job.Service.Class), DueTime: t.dueTime,
		JobNumber: d.jobSequence, Cost: t.estimate.Seconds(), Value: t,
	}
	t.item = item
	if t.job.IsRequest {
		d.requests.Push(item)
	} else {
		d.jobs.Push(item)
	}
	d.waitingByJob[t.job]++
	d.backlog++
	d.backlogWork += t.estimate
}

// removeFromBacklog subtracts a task from the counts of waiting tasks. It does
// nothing if the job has no waiting tasks.
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

// dropJob removes the waiting tasks of a job that has ended. Those still in a
// queue are skipped when stageTasks pops them.
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
		if t.job.IsRunning() {
			kept = append(kept, t)
		}
	}
	clear(tasks[len(kept):])
	return kept
}
