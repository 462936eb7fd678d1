package entry

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
)

// admit reserves memory for the tasks of a job and charges the tenant's quota for them, then submits the job
// to the dispatcher. It returns the refusal of whichever rejects the job. The memory counts until the job has ended, also
// when no caller waits for it and when another entry has forwarded it.
func (e *Entry) admit(j *job.Job) *refusal.Refusal {
	release, ok := e.guard.ReserveHeld(j.PendingBytes())
	if !ok {
		return refusal.New(refusal.Overloaded, refusal.NotRun, "the entry has no memory for the job").WithRetryAt(time.Now().Add(ingress.RetryDelay))
	}
	if r := e.submit(j); r != nil {
		release()
		return r
	}
	e.admittedJobs.Add(1)
	context.AfterFunc(j.Context(), func() {
		e.recordJobEnd(j)
		release()
	})
	return nil
}

// submit charges the tenant's quota for the tasks of a job and submits the job to the dispatcher.
func (e *Entry) submit(j *job.Job) *refusal.Refusal {
	ok, retryAt := e.quotaLimiter.Take(j.Tenant, len(j.TaskList()))
	if !ok {
		return refusal.New(refusal.OverQuota, refusal.NotRun, "tenant %s is over its quota", j.Tenant).WithRetryAt(retryAt)
	}
	return e.dispatcher.Submit(j)
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
