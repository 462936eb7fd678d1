package entry

import (
	"context"

	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/refusal"
)

// admit asks quota and dispatcher, in this order.
func (e *Entry) admit(j *job.Job) *refusal.Refusal {
	ok, at := e.quota.Take(j.Tenant, len(j.List()))
	if !ok {
		return refusal.New(refusal.OverQuota, refusal.NotRun, "tenant %s is over its quota", j.Tenant).WithRetryAt(at)
	}
	if r := e.dispatcher.Submit(j); r != nil {
		return r
	}
	e.running.Add(1)
	context.AfterFunc(j.Context(), func() { e.ended(j) })
	return nil
}

// ended counts a job that was admitted.
func (e *Entry) ended(j *job.Job) {
	<-j.Done()
	e.measures.Job(j)
	e.running.Done()
}

func (e *Entry) refused(r *refusal.Refusal) {
	e.measures.Refusals.WithLabelValues(string(r.Kind), string(r.Outcome)).Inc()
}
