package submission

import (
	"context"
	"sync"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// maxRefusalCalls bounds the calls by which a holder is asked to refuse a job: one without an answer and its repeat.
const maxRefusalCalls = 2

// Stop ends all jobs before the entry stops, so that each client gets an answer. Jobs that no holder may
// have are refused, as are new ones from now on; holders are asked to refuse the others, unless something of
// them has run. Those are waited for until the context ends. Then their outcome is unknown, and they are withdrawn.
func (t *Tracker) Stop(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	var pending []*pendingJob
	for _, job := range t.jobs {
		pending = append(pending, job)
	}
	t.mu.Unlock()
	var jobs sync.WaitGroup
	for _, job := range pending {
		jobs.Go(func() { t.stopJob(ctx, job) })
	}
	jobs.Wait()
}

// stopJob ends a job before the entry stops, see Stop.
func (t *Tracker) stopJob(ctx context.Context, job *pendingJob) {
	t.askForRefusal(ctx, job, reasonStopping)
	select {
	case <-job.done:
		return
	case <-ctx.Done():
	}
	t.giveUp(job, reasonStopping)
}

// giveUp ends a job that has not ended, outcome unknown, and withdraws it.
func (t *Tracker) giveUp(job *pendingJob, reason string) {
	t.mu.Lock()
	if t.jobs[job.batch.ID] != job {
		t.mu.Unlock()
		return
	}
	withdraw := job.withdrawal(t)
	t.end(job, batch.Result{ID: job.batch.ID, Attempt: job.batch.Attempt, State: batch.Unknown, Reason: reason})
	t.mu.Unlock()
	withdraw()
}

// askForRefusal refuses a job that no holder may have, or asks its holder to do so, until the holder answers.
func (t *Tracker) askForRefusal(ctx context.Context, job *pendingJob, reason string) {
	for calls := 0; calls < maxRefusalCalls && ctx.Err() == nil; {
		t.mu.Lock()
		if t.jobs[job.batch.ID] != job || t.refuseIfUnsent(job) {
			t.mu.Unlock()
			return
		}
		holder, b := job.holder, job.batch
		t.mu.Unlock()
		if holder.ID == "" { // the job was moved during a call
			wait.For(ctx, sweepInterval)
			continue
		}
		calls++
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		refused, err := t.options.Refuse(callCtx, holder, b)
		cancel()
		if err == nil {
			t.noteRefusal(job, holder, refused, reason)
			return
		}
		t.options.Log.Warn("job not refused by its holder", "job", b.ID, "holder", holder.ID, "call", calls, "error", err)
	}
}

// noteRefusal ends a job that its holder has refused. Like any refusal it does not count if another holder
// may have got the job.
func (t *Tracker) noteRefusal(job *pendingJob, holder GroupHolder, refused bool, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refused && t.jobs[job.batch.ID] == job && job.holder == holder && !job.multipleHolders {
		t.end(job, job.refusal(reason, retryDelay))
	}
}

// refuseIfUnsent refuses a job that no holder may have while the entry stops, and reports whether it did. The
// caller holds t.mu.
func (t *Tracker) refuseIfUnsent(job *pendingJob) bool {
	if !t.stopping || job.placing || job.maybeAccepted || t.jobs[job.batch.ID] != job {
		return false
	}
	t.end(job, job.refusal(reasonStopping, retryDelay))
	return true
}
