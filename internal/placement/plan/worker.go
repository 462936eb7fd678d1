package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/placement/coldstart"
	"github.com/radishgate/radishgate/internal/placement/eligibility"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// workerState says whether this holder can use a worker.
type workerState = eligibility.State

const (
	fencing      = eligibility.Fencing
	ready        = eligibility.Ready
	unresponsive = eligibility.Unresponsive // was ready, but does not answer now
)

// phase is the state of a run as far as this holder knows it.
type phase int

const (
	starting     phase = iota // start sent, no answer yet
	startUnknown              // start got no answer, so its outcome is unknown
	running
	stopping    // stop sent, end not reported yet
	unaccounted // belongs to no task of this holder: its job is unknown here, or its lease has expired
)

// runKey identifies a run by its task and run number.
type runKey struct {
	task string
	run  int
}

// run is one run of a task that uses, or may use, resources of a worker.
type run struct {
	runKey
	worker      *worker
	task        *task // nil while unaccounted
	phase       phase
	resources   resources.Resources
	sentAt      time.Time      // when the start was sent, or when a run not started here was first listed; zero once such a run is adopted
	cold        coldstart.Span // of its worker when it was sent
	startedAt   time.Time      // when it was first known to run
	expectedEnd time.Time      // when it should end
	stopSentAt  time.Time      // when the last stop was sent
	// lateStartEnd is the time by which a copy of its start without an answer has been executed, if
	// ever, and the lease that it carried has expired. It is zero if there is no such copy.
	lateStartEnd time.Time
	percent      int  // progress in the last report
	learned      bool // its slow progress counts in the worker's slowdown factor
	// crashSuspected reports whether the worker's incarnation that the run was started on has
	// ended, while the next one has not said yet whether it runs it.
	crashSuspected bool
	cutShort       bool // it had begun, and its worker closed the connection too early for it to have ended
}

// worker is a registered worker with its runs and what is known of its state.
type worker struct {
	Worker
	state             workerState
	used              resources.Resources // by runs, including those that are being stopped
	cold              coldstart.Span
	factor            float64 // learned slowdown factor: run time of a task here as a multiple of its base time
	runs              map[runKey]*run
	addedAt           time.Time
	renewedAt         time.Time // when the last renewal that may have reached it was sent
	grantedUntil      time.Time // when the last lease has expired that it may have been granted
	foreign           bool      // another holder may renew its lease
	leaseUnknown      bool      // an order of which this holder does not know may renew its lease until it accepts the token
	registrationDue   time.Time // when it gets work again although it has not registered since its restart
	retired           bool      // it is removed once the lease of its runs has expired
	unanswered        bool      // it did not answer the last call
	unansweredSince   time.Time // when the first of the unanswered calls was noticed
	closedAt          time.Time // when it closed the connection of the first of them; zero if it did not
	refusing          bool      // it has refused connections since
	reportedAt        time.Time // when the last report came
	reportRequestedAt time.Time // when the last report outside its regular calls was requested
}

// free returns the resources that no run uses.
func (w *worker) free() resources.Resources { return w.Capacity.Sub(w.used) }

// AddWorker adds a worker or updates its registration. A new worker gets tasks once it has
// accepted the fencing token.
func (p *Plan) AddWorker(registration Worker, now time.Time) {
	p.now = now
	w, known := p.workers[registration.ID]
	if !known {
		w = &worker{runs: map[runKey]*run{}, addedAt: now, leaseUnknown: true}
		p.workers[registration.ID] = w
		p.noteEarlierRenewal(w)
	}
	if w.retired { // it may be another incarnation, which this holder has not called yet
		w.retired, w.state, w.leaseUnknown = false, fencing, true
		p.suspectIncarnation(w)
	}
	if !w.Capacity.FitsIn(registration.Capacity) {
		p.noteFormerRoom(w)
	}
	changed := w.Worker.Draining != registration.Draining || w.Worker.Unregistered != registration.Unregistered || w.Worker.Capacity != registration.Capacity || !known
	w.Worker, w.cold = registration, w.cold.Renew(registration.ColdUntil, now)
	if !known {
		p.updateEjectionLimit()
		p.rebuildWorkerList()
	}
	if changed {
		p.placeAll()
	}
}

// updateEjectionLimit adapts the number of workers that may be ejected at once.
func (p *Plan) updateEjectionLimit() {
	p.outliers.SetMaxEjected(max(1, int(maxEjectedShare*float64(len(p.workers)))))
}

// RemoveWorker removes a worker that is known to have ended. Nothing runs there any more, so
// its tasks are pending again.
func (p *Plan) RemoveWorker(id string, now time.Time) {
	p.now = now
	w, known := p.workers[id]
	if !known {
		return
	}
	p.removeWorker(w)
	p.placeAll()
}

// removeWorker removes a worker and loses its runs.
func (p *Plan) removeWorker(w *worker) {
	for _, r := range w.runs {
		p.loseRun(r)
	}
	if !w.Draining {
		p.noteFormerRoom(w)
	}
	p.lateStarts.RemoveWorker(w.ID)
	delete(p.workers, w.ID)
	p.estimator.Forget(w.ID)
	p.updateEjectionLimit()
	p.rebuildWorkerList()
}

// MarkUnresponsive records that a worker does not answer within the time of a call. It gets no
// new tasks, and its runs count as lost once its lease has expired.
func (p *Plan) MarkUnresponsive(id string, now time.Time) {
	w, known := p.workers[id]
	if !known {
		return
	}
	if !w.refusing {
		w.forgetClosing()
	}
	p.markUnresponsive(w, now)
}

// markUnresponsive keeps new tasks off a worker that does not answer.
func (p *Plan) markUnresponsive(w *worker, now time.Time) {
	p.now = now
	if !w.unanswered {
		w.unanswered, w.unansweredSince = true, now
	}
	if w.state == ready {
		p.stopUsing(w, unresponsive)
	}
}

// RequireFence keeps new tasks off a worker until it has accepted a new fencing token, for
// example since the outcome of an order is unknown.
func (p *Plan) RequireFence(id string, now time.Time) {
	p.now = now
	if w, known := p.workers[id]; known {
		p.stopUsing(w, fencing)
	}
}

// stopUsing gives a worker a state in which it gets no new tasks. Another holder that has been seen
// lately may be taking it over.
func (p *Plan) stopUsing(w *worker, state workerState) {
	if w.state == ready {
		w.foreign = p.now.Before(p.conflictEnd)
	}
	w.state = state
}

// OtherHolderSeen records that a worker has accepted the fencing token of another holder.
// Until all workers of its service have accepted a token of this holder, or the leases of
// the other one have expired, no job starts. Runs on the worker, and on those that do not
// answer, are not taken for ended: the other holder may reach these workers and renew their
// leases.
func (p *Plan) OtherHolderSeen(id string, now time.Time) {
	p.RequireFence(id, now)
	p.otherLeasesEnd = p.leaseEnd(now)
	p.conflictEnd = p.otherLeasesEnd
	for _, w := range p.workers {
		w.foreign = w.foreign || w.ID == id || w.state != ready
	}
}

// loseRun removes a run that no longer exists and makes its task pending again.
func (p *Plan) loseRun(r *run) {
	p.removeRun(r)
	if t := r.task; t != nil && t.activeRun == r {
		t.activeRun = nil
		t.previous = r.describeLoss("gone with its worker, not listed or refused")
		p.requeue(t)
	}
}

// describeLoss returns a text for the log about a run and how it was lost.
func (r *run) describeLoss(how string) string {
	return fmt.Sprintf("run %d on %s: %s", r.runKey.run, r.worker.ID, how)
}

// removeRun removes a run from its worker and frees its resources.
func (p *Plan) removeRun(r *run) {
	if _, found := r.worker.runs[r.runKey]; !found {
		return
	}
	delete(r.worker.runs, r.runKey)
	p.keepLateStart(r)
	p.dropUnaccounted(r)
	r.worker.used = r.worker.used.Sub(r.resources)
}

// dropUnaccounted removes a run from those that belong to no task, if it is one of them.
func (p *Plan) dropUnaccounted(r *run) {
	rest := slices.DeleteFunc(p.unaccountedRuns[r.runKey.task], func(other *run) bool { return other == r })
	if len(rest) == 0 {
		delete(p.unaccountedRuns, r.runKey.task)
		return
	}
	p.unaccountedRuns[r.runKey.task] = rest
}

// addRun adds a run to its worker and reserves its resources.
func (p *Plan) addRun(r *run) {
	r.worker.runs[r.runKey] = r
	r.worker.used = r.worker.used.Add(r.resources)
}

// stopRun orders the end of a run, again if the last order is old. Its resources stay
// reserved until its end is reported.
func (p *Plan) stopRun(r *run, reason string) {
	if r.phase == stopping && p.now.Before(r.stopSentAt.Add(stopRepeatInterval)) {
		return
	}
	if r.phase != unaccounted {
		r.phase = stopping
	}
	r.stopSentAt = p.now
	p.emit(Order{Kind: Stop, Worker: r.worker.ID, Task: r.runKey.task, Run: r.runKey.run, Reason: reason, AskedAt: p.askedForRun(r)})
}

// stopRepeatInterval is the time after which an order to stop a run is repeated.
const stopRepeatInterval = 100 * time.Millisecond

// checkRuns detaches the runs of a worker whose lease has expired, stops runs of unknown
// jobs, repeats stops without effect, detects stalled runs and requests overdue reports.
func (p *Plan) checkRuns(w *worker) {
	lapsed, unknownSince := p.leaseLapsed(w), p.now.Add(-p.unknownRunGrace(w))
	for _, r := range w.runs {
		switch {
		case lapsed && r.phase == unaccounted:
		case lapsed:
			p.detachRun(r)
		case r.phase == unaccounted && unknownSince.After(r.sentAt) && !p.now.Before(r.stopSentAt.Add(stopRepeatInterval)):
			p.stopRun(r, "its job is not known here")
		case r.phase == stopping:
			p.stopRun(r, "stop not confirmed yet")
		case r.phase == running:
			p.checkProgress(r)
		}
	}
	p.requestOverdueReport(w)
}

// unknownRunGrace returns how long a run of an unknown job may go on at a worker. It is shorter beside runs
// that entries have asked for, since these lapse if the lease can't be renewed.
func (p *Plan) unknownRunGrace(w *worker) time.Duration {
	for _, r := range w.runs {
		if r.task != nil {
			return p.options.UnknownJobGrace / 2
		}
	}
	return p.options.UnknownJobGrace
}

// Times for requesting reports outside a worker's regular calls.
const (
	overdueMargin         = 30 * time.Millisecond  // covers the network delay and part of the variation of run times; replays with 10 ms give no better results
	reportRequestInterval = 100 * time.Millisecond // shortest time between two requests to a worker
)

// requestOverdueReport requests a report when a run should have ended and none has come
// since. A report may be lost or late, and the resources of the ended run would stay
// reserved until the pending call to the worker times out.
func (p *Plan) requestOverdueReport(w *worker) {
	if w.state != ready || p.now.Before(w.reportRequestedAt.Add(reportRequestInterval)) {
		return
	}
	for _, r := range w.runs {
		var due time.Time
		switch r.phase {
		case running:
			due = r.expectedEnd.Add(overdueMargin)
		case stopping:
			due = r.stopSentAt.Add(overdueMargin)
		default:
			continue
		}
		if !p.now.Before(due) && w.reportedAt.Before(due) {
			w.reportRequestedAt = p.now
			p.emit(Order{Kind: RequestReport, Worker: w.ID})
			return
		}
	}
}

// checkProgress stops a run that makes no progress, or is so slow that another worker would
// end the task sooner. This catches workers that hang or slow down without failing.
// Time since the last report does not count: under load reports are lost or late, and
// counting it would eject healthy workers and stop runs that are about to end.
func (p *Plan) checkProgress(r *run) {
	t := r.task
	if t == nil || t.job.result.State.Ended() || t.stalls >= maxStalls || r.worker.Draining && r.percent > 0 {
		return
	}
	if ratio := r.slowness(); ratio > 0 {
		p.learnFromProgress(r, ratio)
		if p.worthRestarting(r) {
			p.restarts--
			t.stalls++
			p.stopRun(r, reasonStraggler)
			return
		}
	}
	elapsed := r.worker.reportedAt.Sub(r.startedAt)
	expectedTotal := r.expectedEnd.Sub(r.startedAt)
	if elapsed < expectedTotal*2+stallMargin {
		return
	}
	if r.percent > 0 {
		remaining := elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
		if remaining < expectedTotal*2 {
			return
		}
	}
	t.stalls++
	if !r.wasCold() {
		p.outliers.Observe(r.worker.ID, false)
	}
	p.stopRun(r, "no progress")
}

const (
	maxStalls   = 2                      // how often a task may be stopped for lack of progress
	stallMargin = 150 * time.Millisecond // a progress report may be this old
)

// completedTasks returns the names of the tasks that have succeeded.
func (j *job) completedTasks() []string {
	var names []string
	for _, t := range j.tasks {
		if t.done {
			names = append(names, t.name)
		}
	}
	return names
}
