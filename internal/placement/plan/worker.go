package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/room"
)

// workerState is how far a worker can be relied on.
type workerState int

const (
	fencing workerState = iota // it has not yet taken the token of this holder
	ready
	unresponsive // it does not answer
)

// phase of a run.
type phase int

const (
	starting     phase = iota // the start is under way
	startUnknown              // the start brought no answer
	running
	stopping
	unaccounted // of a job that is not known here
)

type runKey struct {
	task string
	run  int
}

// run is one run of a task that takes room of a worker, or may.
type run struct {
	runKey
	worker      *worker
	task        *task // nil while foreign
	phase       phase
	room        room.Room
	sentAt      time.Time
	startedAt   time.Time // when it was known to run
	expectedEnd time.Time // when it should end
	stopSentAt  time.Time // when the order to stop it was given
	percent     int
}

type worker struct {
	Worker
	state      workerState
	used       room.Room
	factor     float64 // run time of a task against that at the speed 1
	runs       map[runKey]*run
	renewedAt  time.Time // when the last renewal that may have reached it was sent
	unanswered bool      // brought no answer the last time it was asked
	reportedAt time.Time // when the last report came
	polledAt   time.Time // when it was last asked outside its turn
}

// usable tells whether new work may go to the worker.
func (w *worker) usable() bool {
	if w.state != ready || w.Draining {
		return false
	}
	for _, r := range w.runs {
		if r.phase == unaccounted || r.phase == startUnknown {
			return false // its room is not known
		}
	}
	return true
}

func (w *worker) free() room.Room { return w.Room.Minus(w.used) }

// AddWorker takes a worker's registration. A worker that is new gets work once it
// has taken the token.
func (p *Plan) AddWorker(registration Worker, now time.Time) {
	p.now = now
	w, known := p.workers[registration.ID]
	if !known {
		w = &worker{runs: map[runKey]*run{}, renewedAt: now}
		p.workers[registration.ID] = w
	}
	changed := w.Worker.Draining != registration.Draining || w.Worker.Room != registration.Room || !known
	w.Worker = registration
	if !known {
		p.updateEjectionLimit()
		p.rebuildWorkerList()
	}
	if changed {
		p.placeAll()
	}
}

func (p *Plan) updateEjectionLimit() {
	p.board.Limit(max(1, int(maxEjectedShare*float64(len(p.workers)))))
}

// RemoveWorker takes a worker whose life is over: nothing runs there any more.
func (p *Plan) RemoveWorker(id string, now time.Time) {
	p.now = now
	w, known := p.workers[id]
	if !known {
		return
	}
	for _, r := range w.runs {
		p.loseRun(r)
	}
	delete(p.workers, id)
	p.pace.Forget(id)
	p.updateEjectionLimit()
	p.rebuildWorkerList()
	p.placeAll()
}

// MarkUnresponsive notes that a worker does not answer. Its runs are lost once their
// lease is over.
func (p *Plan) MarkUnresponsive(id string, now time.Time) {
	p.now = now
	w, known := p.workers[id]
	if !known {
		return
	}
	w.unanswered = true
	if w.state == ready {
		w.state = unresponsive
	}
}

// RequireFence notes that a worker has to take a new token before it is used again,
// since the fate of an order is unknown.
func (p *Plan) RequireFence(id string, now time.Time) {
	p.now = now
	if w, known := p.workers[id]; known {
		w.state = fencing
	}
}

// OtherHolderSeen notes that another holder was met at a worker. Until it is known what
// that one has started, or its leases have lapsed, no job starts.
func (p *Plan) OtherHolderSeen(id string, now time.Time) {
	p.RequireFence(id, now)
	p.otherLeasesEnd = p.leaseEnd(now)
}

// RenewalSent notes that a renewal of a worker's lease is on its way.
func (p *Plan) RenewalSent(id string, now time.Time) {
	if w, known := p.workers[id]; known {
		w.renewedAt = now
	}
}

// loseRun takes a run off its worker; its task waits for another one.
func (p *Plan) loseRun(r *run) {
	p.removeRun(r)
	if t := r.task; t != nil && t.activeRun == r {
		t.activeRun = nil
		p.requeue(t)
	}
}

// removeRun frees the room of a run.
func (p *Plan) removeRun(r *run) {
	if _, there := r.worker.runs[r.runKey]; !there {
		return
	}
	delete(r.worker.runs, r.runKey)
	if p.unaccountedRuns[r.runKey.task] == r {
		delete(p.unaccountedRuns, r.runKey.task)
	}
	r.worker.used = r.worker.used.Minus(r.room)
}

// addRun books the room of a run.
func (p *Plan) addRun(r *run) {
	r.worker.runs[r.runKey] = r
	r.worker.used = r.worker.used.Plus(r.room)
}

// stopRun orders the end of a run. Its room stays booked until the end is listed.
func (p *Plan) stopRun(r *run, reason string) {
	if r.phase == stopping && p.now.Before(r.stopSentAt.Add(stopRepeatInterval)) {
		return
	}
	if r.phase != unaccounted {
		r.phase = stopping
	}
	r.stopSentAt = p.now
	p.emit(Order{Kind: Stop, Worker: r.worker.ID, Task: r.runKey.task, Run: r.runKey.run, Reason: reason})
}

// stopRepeatInterval is the time after which an order to stop is repeated.
const stopRepeatInterval = 300 * time.Millisecond

// checkRuns takes the passing of time into a worker's account.
func (p *Plan) checkRuns(w *worker) {
	lapsed := p.leaseLapsed(w)
	for _, r := range w.runs {
		switch {
		case lapsed && r.phase == unaccounted:
		case lapsed:
			p.detachRun(r)
		case r.phase == unaccounted && p.now.After(r.sentAt.Add(p.options.UnknownJobGrace)) && !p.now.Before(r.stopSentAt.Add(stopRepeatInterval)):
			p.stopRun(r, "its job is not known here")
		case r.phase == stopping:
			p.stopRun(r, "asked again")
		case r.phase == running:
			p.checkProgress(r)
		}
	}
	p.requestOverdueReport(w)
}

// Spans of asking outside a worker's turn.
const (
	overdueMargin         = 30 * time.Millisecond // for a trip and part of the spread of run times; replays on the bench with 10 are no better
	reportRequestInterval = 100 * time.Millisecond
)

// requestOverdueReport asks a worker for its lists when a run should have ended and no report has
// come since. It answers reports that are lost or late: the room of what has ended
// would stay empty until the call under way is given up.
func (p *Plan) requestOverdueReport(w *worker) {
	if w.state != ready || p.now.Before(w.polledAt.Add(reportRequestInterval)) {
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
			w.polledAt = p.now
			p.emit(Order{Kind: RequestReport, Worker: w.ID})
			return
		}
	}
}

// leaseLapsed tells whether a worker that is not heard of can run nothing any more.
func (p *Plan) leaseLapsed(w *worker) bool {
	return w.state != ready && !p.now.Before(p.leaseEnd(w.renewedAt))
}

// detachRun lets the task of a run that has lapsed start elsewhere, while the room
// stays booked until the worker has been heard of.
func (p *Plan) detachRun(r *run) {
	t := r.task
	r.task, r.phase = nil, unaccounted
	p.unaccountedRuns[r.runKey.task] = r
	if t != nil && t.activeRun == r {
		t.activeRun = nil
		p.requeue(t)
	}
}

// checkProgress stops a run that stands still or is far slower than it would be elsewhere.
// It answers workers that hang or have become slow without a sign. What a worker
// has not reported yet is no sign: reports that are lost or late, as under load,
// would put sound workers aside and stop what is about to end.
func (p *Plan) checkProgress(r *run) {
	t := r.task
	if t == nil || t.job.result.State.Ended() || t.stalls >= maxStalls || r.worker.Draining && r.percent > 0 {
		return
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
	p.board.Observe(r.worker.ID, false)
	p.stopRun(r, "no progress")
}

const (
	maxStalls   = 2                      // times that a task is taken off a worker for lack of progress
	stallMargin = 150 * time.Millisecond // a report of progress may be as old
)

// doneTasks names the tasks that have ended well.
func (j *job) doneTasks() []string {
	var names []string
	for _, t := range j.tasks {
		if t.done {
			names = append(names, t.name)
		}
	}
	return names
}
