package entry

import (
	"context"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
)

// admit charges the tenant's quota for the tasks of a job, then submits the job
// to the dispatcher. It returns the refusal of whichever rejects the job.
func (e *Entry) admit(j *job.Job) *refusal.Refusal {
	ok, retryAt := e.quotaLimiter.Take(j.Tenant, len(j.TaskList()))
	if !ok {
		return refusal.New(refusal.OverQuota, refusal.NotRun, "tenant %s is over its quota", j.Tenant).WithRetryAt(retryAt)
	}
	if r := e.dispatcher.Submit(j); r != nil {
		return r
	}
	e.admittedJobs.Add(1)
	context.AfterFunc(j.Context(), func() { e.recordJobEnd(j) })
	return nil
}

// recordJobEnd waits for the result of an admitted job and counts the job. It
// runs in a goroutine of its own; drain waits for it.
func (e *Entry) recordJobEnd(j *job.Job) {
	<-j.Done()
	e.metrics.RecordJob(j)
	e.admittedJobs.Done()
}

// countRefusal counts a refusal by kind and outcome.
func (e *Entry) countRefusal(r *refusal.Refusal) {
	e.metrics.Refusals.WithLabelValues(string(r.Kind), string(r.Outcome)).Inc()
}
