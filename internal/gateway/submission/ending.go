package submission

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// Reasons for results that this entry decides without a holder.
const (
	reasonNoHolder    = "no entry places its tasks"
	reasonIsolated    = "this entry reaches no other one"
	reasonResultsLost = "the entry that places its tasks cannot be reached"
	reasonCancelled   = "a client has cancelled it"
	reasonStopping    = "the entry that waits for it stops"
)

// refusal returns the result for a job that no holder has accepted. It is no refusal if tasks of the
// job completed before it moved.
func (j *pendingJob) refusal(reason string, retryDelay time.Duration) batch.Result {
	if len(j.completedTasks) > 0 {
		return batch.Result{ID: j.batch.ID, Attempt: j.batch.Attempt, State: batch.Unknown, Reason: reason}
	}
	return batch.Result{ID: j.batch.ID, Attempt: j.batch.Attempt, State: batch.Refused, Reason: reason, RetryAt: time.Now().Add(retryDelay)}
}

// lost returns the result for a job that a holder may have accepted and whose result does not arrive.
func (j *pendingJob) lost() batch.Result {
	return batch.Result{ID: j.batch.ID, Attempt: j.batch.Attempt, State: batch.Unknown, Reason: reasonResultsLost}
}

// refuseUnlessSent refuses a job, unless it has ended or a holder may have got it meanwhile.
func (t *Tracker) refuseUnlessSent(job *pendingJob, reason string, retryDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs[job.batch.ID] == job && !job.placing && !job.maybeAccepted {
		t.end(job, job.refusal(reason, retryDelay))
	}
}

// end ends a pending job with a result. The caller holds t.mu.
func (t *Tracker) end(job *pendingJob, r batch.Result) {
	delete(t.jobs, job.batch.ID)
	job.result = r
	close(job.done)
	t.options.OnEnd(job.batch, r, job.tries)
}

// expiredResult returns the result of a job whose deadline has passed. It is
// unknown if a holder may have started the job, and otherwise a refusal.
func (t *Tracker) expiredResult(job *pendingJob) batch.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if job.maybeAccepted || len(job.completedTasks) > 0 {
		return batch.Result{ID: job.batch.ID, State: batch.Unknown, Reason: "its client's time is over"}
	}
	return batch.Result{ID: job.batch.ID, State: batch.Refused, RetryAt: time.Now().Add(retryDelay)}
}
