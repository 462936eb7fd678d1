package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// leaseLapsed reports whether the lease of a worker that is not ready has expired, so that
// nothing can be running there. Leases that another holder may renew do not expire, except on
// workers that count as gone for every holder.
func (p *Plan) leaseLapsed(w *worker) bool {
	renewable := !w.retired && (w.foreign || p.now.Before(p.replacementEnd))
	return w.state != ready && !renewable && !p.now.Before(p.leaseEnd(w.renewedAt))
}

// runLapsed reports whether a run cannot be running: the lease of its worker has expired, and no
// copy of its start can be executed any more. The next incarnation of a worker may execute a start
// that got no answer from the present one, and has seen no token and counts the lease on a clock
// of its own.
func (p *Plan) runLapsed(r *run) bool {
	return p.leaseLapsed(r.worker) && !p.now.Before(r.lateStartEnd)
}

// maxOrderDelay is the time after which a worker no longer executes an order that got no answer.
const maxOrderDelay = 5 * time.Second

// StartSent records that the last copy of a start was sent at a time. It renews the lease of the
// worker.
func (p *Plan) StartSent(worker, task string, runNumber int, at time.Time) {
	p.RenewalSent(worker, at)
	if w, known := p.workers[worker]; known {
		if r, known := w.runs[runKey{task, runNumber}]; known && !r.lateStartEnd.IsZero() {
			r.lateStartEnd = p.leaseEnd(at.Add(maxOrderDelay))
		}
	}
}

// detachRun makes the task of a run pending whose lease has expired. It starts elsewhere once the
// run has lapsed. The resources of the run stay reserved until the worker reports.
func (p *Plan) detachRun(r *run) {
	t := r.task
	r.task, r.phase = nil, unaccounted
	p.unaccountedRuns[r.runKey.task] = append(p.unaccountedRuns[r.runKey.task], r)
	if t != nil && t.activeRun == r {
		t.activeRun = nil
		if !slices.Contains(t.detachedRuns, r) {
			t.detachedRuns = append(t.detachedRuns, r)
		}
		t.previous = r.describeLoss(fmt.Sprintf("lease expired, renewed %d ms ago", p.now.Sub(r.worker.renewedAt).Milliseconds()))
		p.requeue(t)
	}
}

// RenewalSent records that a renewal of a worker's lease was sent at a time. Whether or not it
// arrives, the lease counts as renewed.
func (p *Plan) RenewalSent(id string, at time.Time) {
	if w, known := p.workers[id]; known && at.After(w.renewedAt) {
		w.renewedAt = at
	}
}

// runsLapsed reports whether nothing can be running on a worker that does not answer.
func (p *Plan) runsLapsed(w *worker) bool {
	for _, r := range w.runs {
		if !p.runLapsed(r) {
			return false
		}
	}
	return true
}

// jobOfRun returns the job that a run belongs to, or nil if it is not known.
func (p *Plan) jobOfRun(r *run) *job {
	if r.task != nil {
		return r.task.job
	}
	id, _, _, ok := batch.ParseTaskName(r.runKey.task)
	if !ok {
		return nil
	}
	return p.jobs[id]
}

// askedForRun returns when an entry sent its last message about the job of a run, or the zero time if the
// job is not known.
func (p *Plan) askedForRun(r *run) time.Time {
	if j := p.jobOfRun(r); j != nil {
		return j.askedAt
	}
	return time.Time{}
}
