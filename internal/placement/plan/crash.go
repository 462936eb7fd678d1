package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// Limits of the starts of a task whose workers crash. A crash is proved, a loss is a crash or
// the suspicion of one. Both also hit tasks that merely ran on the same worker.
const (
	maxCrashes = 2 // crashes with which the job of the task fails
	maxLosses  = 3 // losses with which it is given up, since a task that crashes its workers must not go on
	// maxQuickLosses is the number of losses, and of lost runs whose worker has not answered
	// since, with which the task does not start as usual any more.
	maxQuickLosses = 2
	quietWait      = 500 * time.Millisecond // after a loss, within which a task waits for a quiet worker
	quietDivisor   = 4                      // a worker is quiet while at most 1/quietDivisor of its cores is in use
	earlyDivisor   = 2                      // a run has not ended unseen in the first 1/earlyDivisor of its expected time
)

// ConnectionClosed records that a worker has closed the connection of a call, or has refused
// one, so that it does not answer. Runs that had begun for certain and cannot have ended
// before count as crashed once it is proved that the worker's incarnation has ended.
func (p *Plan) ConnectionClosed(id string, refused bool, now time.Time) {
	w, known := p.workers[id]
	if !known {
		return
	}
	if !w.unanswered {
		w.closedAt = now
		for _, r := range w.runs {
			r.cutShort = r.phase == running && p.mayBeCutShort(r, w)
		}
	}
	w.refusing = w.refusing || refused
	p.suspectIncarnation(w)
	p.markUnresponsive(w, now)
}

// mayBeCutShort reports whether a run that has begun was still going on when the connection to
// its worker was closed. It is not known how long a run has gone on that was not started here.
func (p *Plan) mayBeCutShort(r *run, w *worker) bool {
	if w.closedAt.IsZero() || r.task == nil || r.sentAt.IsZero() || r.crashSuspected {
		return false
	}
	latest := r.sentAt.Add(p.expectedTime(r.task, w) / earlyDivisor)
	return w.closedAt.Before(latest) && w.closedAt.Before(w.renewedAt.Add(p.options.Lease))
}

// forgetClosing records that the worker may live although it has closed a connection.
func (w *worker) forgetClosing() {
	w.closedAt, w.refusing = time.Time{}, false
	for _, r := range w.runs {
		r.cutShort = r.cutShort && r.crashSuspected
	}
}

// WorkerReplaced records that another worker answers at the address of a worker, and removes
// the latter. This proves that it has ended: its runs are lost with it, unless it was about to
// leave.
func (p *Plan) WorkerReplaced(id string, now time.Time) {
	p.now = now
	if w, known := p.workers[id]; known {
		w.suspectCrash()
		for _, r := range w.runs {
			p.loseRun(r)
			p.noteLoss(r)
		}
	}
	p.RemoveWorker(id, now)
}

// suspectCrash marks the runs of a worker whose incarnation has ended. The next incarnation
// may have taken over some of them, since a start may reach either. One that was draining has
// ended as planned.
func (w *worker) suspectCrash() {
	w.closedAt, w.refusing = time.Time{}, false
	if w.Draining {
		return
	}
	for _, r := range w.runs {
		r.crashSuspected = true
	}
}

// noteLoss counts a run that is lost for its task, if it was lost with its worker's
// incarnation: as a crash if it had certainly begun and not ended, and otherwise as the
// suspicion of one.
func (p *Plan) noteLoss(r *run) {
	t := p.taskNamed(r.runKey.task)
	if !r.crashSuspected || t == nil || t.done || p.isListedElsewhere(r) {
		return
	}
	reason := reasonSuspected
	if r.cutShort {
		t.crashes++
		reason = reasonCrashed
	} else {
		t.suspicions++
	}
	t.quietUntil = p.now.Add(quietWait)
	p.emit(Order{Kind: LogLoss, Worker: r.worker.ID, Task: t.name, Run: r.runKey.run, Reason: reason, Crashes: t.crashes, Suspicions: t.suspicions})
	p.endCrashing(t.job)
}

// Reasons for counting the loss of a run.
const (
	reasonCrashed   = "its worker had begun it, closed the connection early in the run and has ended"
	reasonSuspected = "its worker has ended, but the run may not have begun or may have ended before"
)

// isListedElsewhere reports whether another worker has the run too.
func (p *Plan) isListedElsewhere(r *run) bool {
	return slices.ContainsFunc(p.workerList, func(w *worker) bool {
		other := w.runs[r.runKey]
		return other != nil && other != r
	})
}

// endCrashing ends a job one of whose tasks may not start again, since too many workers have
// crashed while they ran it, or may have. It reports whether it did.
func (p *Plan) endCrashing(j *job) bool {
	if j.result.State.Ended() {
		return false
	}
	for _, t := range j.tasks {
		switch {
		case t.done:
		case t.crashes >= maxCrashes:
			p.deliver(j, batch.Result{State: batch.Failed, Reason: fmt.Sprintf("%d workers have crashed while they ran %s", t.crashes, t.name)})
			return true
		case t.losses() >= maxLosses:
			p.deliver(j, batch.Result{State: batch.Unknown, Reason: fmt.Sprintf("%d workers may have crashed while they ran %s", t.losses(), t.name)})
			return true
		}
	}
	return false
}

// taskNamed returns a task by its name, or nil if its job is not known.
func (p *Plan) taskNamed(name string) *task {
	id, _, _, _ := batch.ParseTaskName(name)
	j, known := p.jobs[id]
	if !known {
		return nil
	}
	for _, t := range j.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}

// losses returns the number of workers that have crashed or may have crashed while they ran
// the task.
func (t *task) losses() int { return t.crashes + t.suspicions }

// waitsForProof reports whether the task does not start before one of its workers has
// answered: those that have not answered since may all have crashed. Without the wait it would
// start on the next worker with each lease that expires, long before the first crash is proved.
func (t *task) waitsForProof() bool {
	unsettled := 0
	for _, r := range t.detachedRuns {
		if r.worker.runs[r.runKey] == r {
			unsettled++
		}
	}
	return unsettled > 0 && t.losses()+unsettled >= maxQuickLosses
}

// mayEndanger reports whether a start of the task on a worker could take too many other runs
// down with it: tasks that have lost so many runs wait for a quiet worker for a while.
func (t *task) mayEndanger(w *worker, now time.Time) bool {
	return t.losses() >= maxQuickLosses && now.Before(t.quietUntil) && w.used.MilliCores*quietDivisor > w.Capacity.MilliCores
}

// losses returns the losses of the job's tasks that have not succeeded.
func (j *job) losses() []batch.Losses {
	var all []batch.Losses
	for _, t := range j.tasks {
		if !t.done && t.losses() > 0 {
			all = append(all, batch.Losses{Task: t.name, Crashes: t.crashes, Suspicions: t.suspicions})
		}
	}
	return all
}

// addLosses adds the losses that earlier holders have counted. This holder may have counted some
// of them too.
func (j *job) addLosses(earlier []batch.Losses) {
	for _, l := range earlier {
		for _, t := range j.tasks {
			if t.name == l.Task {
				t.crashes, t.suspicions = max(t.crashes, l.Crashes), max(t.suspicions, l.Suspicions)
			}
		}
	}
}
