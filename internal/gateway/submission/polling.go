package submission

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// jobsToPoll returns the IDs of the jobs that a poll of their holder asks for, and notes the poll: all but those
// that it has been asked for just now, so that there are few polls.
func jobsToPoll(jobs []*pendingJob, now time.Time) []string {
	var ids []string
	for _, job := range jobs {
		if now.Sub(job.lastPolled) > askInterval/2 {
			job.lastPolled = now
			ids = append(ids, job.batch.ID)
		}
	}
	return ids
}

// poll asks a holder for the results of jobs for which clients waited at a time, which also keeps the
// holder from dropping them as abandoned. Jobs that the holder does not know are marked to be
// placed again.
func (t *Tracker) poll(ctx context.Context, holder GroupHolder, ids []string, askedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results, unknown, isHolder, err := t.options.Await(ctx, holder, ids, askedAt)
	if err != nil {
		t.options.Log.Warn("polling holder for jobs failed", "jobs", len(ids), "of", holder.ID, "error", err)
		return
	}
	t.applyResults(results, &holder)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isHolder {
		unknown = ids
	}
	for _, id := range unknown {
		if job, known := t.jobs[id]; known && job.holder == holder && !job.placing {
			job.accepted = false
		}
	}
}

// stalled reports whether this process has been held up, so that connections of clients may have closed
// unnoticed. What is sent to a holder for such a client would keep its job running while another entry has it.
// The caller holds t.mu.
func (t *Tracker) stalled(now time.Time) bool {
	return !t.sweptAt.IsZero() && now.Sub(t.sweptAt) > batch.MaxAskDelay
}
