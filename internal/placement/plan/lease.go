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

// StartSent records that the last copy of a start was sent at a time. The next incarnation of the worker
// counts its lease from then on, at the latest.
func (p *Plan) StartSent(worker, task string, runNumber int, at time.Time) {
	if w, known := p.workers[worker]; known {
		w.noteRenewal(at, w.grantedUntil) // copies of the start grant the same lease
		end := p.leaseEnd(at.Add(maxOrderDelay))
		if r, known := w.runs[runKey{task, runNumber}]; known && !r.lateStartEnd.IsZero() {
			r.lateStartEnd = end
		}
		p.lateStarts.Extend(worker, task, runNumber, end)
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

// RenewalSent records that a renewal of a worker's lease was sent at a time, and the time by which that lease
// has expired. Whether or not it arrives, the lease counts as renewed.
func (p *Plan) RenewalSent(id string, at, end time.Time) {
	if w, known := p.workers[id]; known {
		w.noteRenewal(at, end)
	}
}

// noteRenewal records that a lease was granted at a time, and the time by which it has expired.
func (w *worker) noteRenewal(at, end time.Time) {
	if at.After(w.renewedAt) {
		w.renewedAt = at
	}
	if end.After(w.grantedUntil) {
		w.grantedUntil = end
	}
}

// noteEarlierRenewal records that the lease of a worker may have been renewed until now, by another holder or
// by an order that its next incarnation has executed late.
func (p *Plan) noteEarlierRenewal(w *worker) {
	w.noteRenewal(p.now, p.now.Add(p.longestLease()))
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

// RenewableUntil returns the time by which a lease of a worker that is renewed now must have expired. It is
// the zero time if the lease must not be renewed: no entry has asked for a run there, or asks any more.
func (p *Plan) RenewableUntil(id string, now time.Time) time.Time {
	w, known := p.workers[id]
	if !known {
		return time.Time{}
	}
	end := p.interestInRuns(w, now.Add(p.longestLease()))
	if !end.After(now) {
		return time.Time{}
	}
	if p.waitingInterestEnd.After(now) && p.waitingInterestEnd.Before(end) {
		return p.waitingInterestEnd
	}
	return end
}

// interestInRuns returns when the interest in the runs of a worker ends first, but not after latest. It is the zero
// time if a run's job is not known here.
func (p *Plan) interestInRuns(w *worker, latest time.Time) time.Time {
	for _, r := range w.runs {
		j := p.jobOfRun(r)
		if j == nil {
			return time.Time{}
		}
		if end := p.interestEnd(j); end.Before(latest) {
			latest = end
		}
	}
	return latest
}

// interestEnd returns the time by which the leases of the workers that run a job must have expired unless
// its entry asks for it again. The entry may have been lost right after it asked, or its client may have left
// just before, and have the job started in another group of workers, where nobody knows of these runs.
func (p *Plan) interestEnd(j *job) time.Time {
	return j.askedAt.Add(p.interestTime())
}

// interestTime returns for how long after a message about a job leases for it may be valid.
func (p *Plan) interestTime() time.Duration {
	return p.options.ClientRetryAfter - batch.MaxAskDelay - leaseMargin
}

// updateWaitingInterest updates waitingInterestEnd, which no safety depends on. Jobs whose entry may have been lost
// do not count: they would shorten the leases of all workers.
func (p *Plan) updateWaitingInterest() {
	p.waitingInterestEnd = time.Time{}
	for _, j := range p.waiting {
		end := p.interestEnd(j)
		if j.askedAt.Add(maxMissedAsks).After(p.now) && (p.waitingInterestEnd.IsZero() || end.Before(p.waitingInterestEnd)) {
			p.waitingInterestEnd = end
		}
	}
}

// maxMissedAsks is the time without a message of an entry after which it may have been lost. It covers two
// messages that are lost.
const maxMissedAsks = 600 * time.Millisecond

// leaseFits reports whether a task of a job may start under the lease of a worker. A lease that has been
// granted is not shortened by a start, so it must not outlast the interest in the job; and the jobs that
// run there must not keep it from being renewed.
func (p *Plan) leaseFits(w *worker, j *job) bool {
	interestEnd := p.interestEnd(j)
	if w.grantedUntil.After(interestEnd) {
		return false
	}
	enough := p.now.Add(minStartLease)
	return !interestEnd.Before(enough) && !p.RenewableUntil(w.ID, p.now).Before(enough)
}

// minStartLease is the shortest lease of a start. The lease is renewed before it ends if entries still ask
// for the jobs of its worker.
const minStartLease = 200 * time.Millisecond

// SlowestClock returns by how much the clock of a worker advances in a time at least.
func SlowestClock(elapsed time.Duration) time.Duration {
	return elapsed - elapsed/clockSlackDivisor
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
