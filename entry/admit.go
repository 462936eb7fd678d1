package entry

import (
	"context"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
)

// admit asks quota and dispatcher, in this order.
func (e *Entry) admit(j *job.Job) *refusal.Refusal {
	ok, retryAt := e.quota.Take(j.Tenant, len(j.List()))
	if !ok {
		return refusal.New(refusal.OverQuota, refusal.NotRun, "tenant %s is over its quota", j.Tenant).Later(retryAt)
	}
	if r := e.dispatcher.Submit(j); r != nil {
		return r
	}
	e.admittedJobs.Add(1)
	context.AfterFunc(j.Context(), func() { e.finishJob(j) })
	return nil
}

// ended counts a job that was admitted.
func (e *Entry) finishJob(j *job.Job) {
	<-j.Done()
	e.metrics.Job(j)
	e.admittedJobs.Done()
}

func (e *Entry) countRefusal(r *refusal.Refusal) {
	e.metrics.Refusals.WithLabelValues(string(r.Kind), string(r.Outcome)).Inc()
}
