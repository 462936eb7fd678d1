package submission

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// Cancel ends a job that a client has cancelled and withdraws it from its holder. It reports whether a client
// of this entry was waiting for the job.
func (t *Tracker) Cancel(id string) bool {
	t.mu.Lock()
	job, known := t.jobs[id]
	if !known {
		t.mu.Unlock()
		return false
	}
	withdraw := job.withdrawal(t)
	t.end(job, batch.Result{ID: id, Attempt: job.batch.Attempt, State: batch.Cancelled, Reason: reasonCancelled})
	t.mu.Unlock()
	withdraw()
	return true
}

// WaitingJob returns the group of a job that a client of this entry waits for, and when that client leaves.
func (t *Tracker) WaitingJob(id string) (group string, expiresAt time.Time, waiting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	job, known := t.jobs[id]
	if !known {
		return "", time.Time{}, false
	}
	return job.group, job.batch.ExpiresAt, true
}

// withdrawal returns a function that withdraws the job from the holder that may have it. The caller of
// withdrawal holds t.mu, that of the function must not.
func (j *pendingJob) withdrawal(t *Tracker) func() {
	group, holder, b := j.group, j.holder, j.batch
	switch {
	case !j.maybeAccepted || holder.ID == "":
		return func() {}
	case holder.Local:
		return func() { t.withdraw(group, holder, b) }
	}
	return func() { go t.withdraw(group, holder, b) }
}

// withdrawAttempts bounds the attempts to withdraw a job. A holder that gets none of them abandons the job
// at about the same time.
const withdrawAttempts = 3

// withdraw asks the holder of a job to cancel it, and the next holder of the group if that one does not
// answer.
func (t *Tracker) withdraw(group string, holder GroupHolder, b *batch.Batch) {
	for attempt := 1; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := t.options.Withdraw(ctx, holder, b)
		cancel()
		if err == nil {
			return
		}
		t.options.Log.Warn("job not withdrawn", "job", b.ID, "from", holder.ID, "attempt", attempt, "error", err)
		if attempt == withdrawAttempts {
			return
		}
		time.Sleep(sweepInterval)
		if next, known := t.options.FindHolder(group); known {
			holder = next
		}
	}
}
