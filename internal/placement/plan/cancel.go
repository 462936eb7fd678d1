package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// Withdraw ends a job whose client has left and stops its runs. The message may overtake
// the one that brings the job; that one then starts nothing.
func (p *Plan) Withdraw(id string, attempt uint64, now time.Time) {
	p.now = now
	j, known := p.jobs[id]
	switch {
	case !known:
		j = &job{Batch: &batch.Batch{ID: id, Attempt: attempt}}
		p.keep(j)
	case j.Attempt != attempt || j.result.State.Ended():
		return
	}
	j.withdrawn = true
	p.abandon(j, batch.Result{State: batch.Cancelled, Reason: reasonClientLeft})
	p.stopUnaccounted(id, reasonClientLeft)
	p.placeAll()
}

// Cancel ends a job that a client has cancelled, stops its runs and reports whether the job was known. The
// entry that waits for it gets the result, also for a further request under its ID. A job that is not
// known may yet come from an earlier holder, or run on one of its workers, while certain is false.
func (p *Plan) Cancel(id string, now time.Time) (known, certain bool) {
	p.now = now
	known = p.stopUnaccounted(id, reasonCancelled)
	j, admitted := p.jobs[id]
	switch {
	case !admitted || len(j.tasks) == 0 || j.abandoned:
		return known, known || !p.otherLeasesActive()
	case j.result.State.Ended():
		return j.result.State == batch.Cancelled, true
	}
	p.deliver(j, batch.Result{State: batch.Cancelled, Reason: reasonCancelled})
	p.placeAll()
	return true, true
}

// admitCancelled ends a job that was cancelled before its entry sent this message about it: the result is
// delivered, and nothing starts, whatever became of the job here.
func (p *Plan) admitCancelled(b *batch.Batch) {
	p.stopUnaccounted(b.ID, reasonCancelled)
	result := batch.Result{ID: b.ID, Attempt: b.Attempt, State: batch.Cancelled, Reason: reasonCancelled}
	if j, known := p.jobs[b.ID]; known && !j.result.State.Ended() {
		j.Batch = j.withOwnWork(b)
		p.deliver(j, result)
		p.placeAll()
		return
	}
	p.emit(Order{Kind: DeliverResult, Batch: b, Result: result})
}

// reasonCancelled is the reason for ending a job that a client has cancelled.
const reasonCancelled = "a client has cancelled it"

// reasonClientLeft is the reason for cancelling a job that was withdrawn.
const reasonClientLeft = "its client has left"

// stopUnaccounted stops the runs of a job that an earlier holder has started, and reports whether there
// are any.
func (p *Plan) stopUnaccounted(id, reason string) (found bool) {
	for name, runs := range p.unaccountedRuns {
		if job, _, _, ok := batch.ParseTaskName(name); !ok || job != id {
			continue
		}
		found = found || len(runs) > 0
		for _, r := range runs {
			if r.stopSentAt.IsZero() {
				p.stopRun(r, reason)
			}
		}
	}
	return found
}
