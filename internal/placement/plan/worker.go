package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/room"
)

// standing is how far a worker can be relied on.
type standing int

const (
	fencing standing = iota // it has not yet taken the token of this holder
	ready
	silent // it does not answer
)

// phase of a run.
type phase int

const (
	ordered   phase = iota // the start is under way
	uncertain              // the start brought no answer
	running
	stopping
	foreign // of a job that is not known here
)

type runKey struct {
	task string
	run  int
}

// run is one run of a task that takes room of a worker, or may.
type run struct {
	runKey
	worker   *worker
	task     *task // nil while foreign
	phase    phase
	room     room.Room
	sentAt   time.Time
	beganAt  time.Time // when it was known to run
	expected time.Time // when it should end
	stopAt   time.Time // when the order to stop it was given
	percent  int
}

type worker struct {
	Worker
	standing standing
	used     room.Room
	factor   float64 // run time of a task against that at the speed 1
	runs     map[runKey]*run
	renewed  time.Time // when the last renewal that may have reached it was sent
	mute     bool      // brought no answer the last time it was asked
	heard    time.Time // when the last report came
	looked   time.Time // when it was last asked outside its turn
}

// usable tells whether new work may go to the worker.
func (w *worker) usable() bool {
	if w.standing != ready || w.Draining {
		return false
	}
	for _, r := range w.runs {
		if r.phase == foreign || r.phase == uncertain {
			return false // its room is not known
		}
	}
	return true
}

func (w *worker) free() room.Room { return w.Room.Minus(w.used) }

// Enlist takes a worker's registration. A worker that is new gets work once it
// has taken the token.
func (p *Plan) Enlist(registered Worker, now time.Time) {
	p.at = now
	w, known := p.workers[registered.ID]
	if !known {
		w = &worker{runs: map[runKey]*run{}, renewed: now}
		p.workers[registered.ID] = w
	}
	changed := w.Worker.Draining != registered.Draining || w.Worker.Room != registered.Room || !known
	w.Worker = registered
	if !known {
		p.limitBoard()
		p.relist()
	}
	if changed {
		p.place()
	}
}

func (p *Plan) limitBoard() {
	p.board.SetMaxEjected(max(1, int(asideShare*float64(len(p.workers)))))
}

// Dismiss takes a worker whose life is over: nothing runs there any more.
func (p *Plan) Dismiss(id string, now time.Time) {
	p.at = now
	w, known := p.workers[id]
	if !known {
		return
	}
	for _, r := range w.runs {
		p.lose(r)
	}
	delete(p.workers, id)
	p.pace.Forget(id)
	p.limitBoard()
	p.relist()
	p.place()
}

// Silent notes that a worker does not answer. Its runs are lost once their
// lease is over.
func (p *Plan) Silent(id string, now time.Time) {
	p.at = now
	w, known := p.workers[id]
	if !known {
		return
	}
	w.mute = true
	if w.standing == ready {
		w.standing = silent
	}
}

// Unfenced notes that a worker has to take a new token before it is used again,
// since the fate of an order is unknown.
func (p *Plan) Unfenced(id string, now time.Time) {
	p.at = now
	if w, known := p.workers[id]; known {
		w.standing = fencing
	}
}

// Disputed notes that another holder was met at a worker. Until it is known what
// that one has started, or its leases have lapsed, no job starts.
func (p *Plan) Disputed(id string, now time.Time) {
	p.Unfenced(id, now)
	p.disputedTo = p.leaseEnd(now)
}

// Renewing notes that a renewal of a worker's lease is on its way.
func (p *Plan) Renewing(id string, now time.Time) {
	if w, known := p.workers[id]; known {
		w.renewed = now
	}
}

// lose takes a run off its worker; its task waits for another one.
func (p *Plan) lose(r *run) {
	p.drop(r)
	if t := r.task; t != nil && t.current == r {
		t.current = nil
		p.requeue(t)
	}
}

// drop frees the room of a run.
func (p *Plan) drop(r *run) {
	if _, there := r.worker.runs[r.runKey]; !there {
		return
	}
	delete(r.worker.runs, r.runKey)
	if p.strays[r.runKey.task] == r {
		delete(p.strays, r.runKey.task)
	}
	r.worker.used = r.worker.used.Minus(r.room)
}

// add books the room of a run.
func (p *Plan) add(r *run) {
	r.worker.runs[r.runKey] = r
	r.worker.used = r.worker.used.Plus(r.room)
}

// stop orders the end of a run. Its room stays booked until the end is listed.
func (p *Plan) stop(r *run, reason string) {
	if r.phase == stopping && p.at.Before(r.stopAt.Add(stopAgain)) {
		return
	}
	if r.phase != foreign {
		r.phase = stopping
	}
	r.stopAt = p.at
	p.order(Order{Kind: Stop, Worker: r.worker.ID, Task: r.runKey.task, Run: r.runKey.run, Reason: reason})
}

// stopAgain is the time after which an order to stop is repeated.
const stopAgain = 300 * time.Millisecond

// expireRuns takes the passing of time into a worker's account.
func (p *Plan) expireRuns(w *worker) {
	lapsed := p.lapsed(w)
	for _, r := range w.runs {
		switch {
		case lapsed && r.phase == foreign:
		case lapsed:
			p.release(r)
		case r.phase == foreign && p.at.After(r.sentAt.Add(p.options.Orphan)) && !p.at.Before(r.stopAt.Add(stopAgain)):
			p.stop(r, "its job is not known here")
		case r.phase == stopping:
			p.stop(r, "asked again")
		case r.phase == running:
			p.watch(r)
		}
	}
	p.look(w)
}

// Spans of asking outside a worker's turn.
const (
	lookSlack = 30 * time.Millisecond // for a trip and part of the spread of run times; replays on the bench with 10 are no better
	lookAgain = 100 * time.Millisecond
)

// look asks a worker for its lists when a run should have ended and no report has
// come since. It answers reports that are lost or late: the room of what has ended
// would stay empty until the call under way is given up.
func (p *Plan) look(w *worker) {
	if w.standing != ready || p.at.Before(w.looked.Add(lookAgain)) {
		return
	}
	for _, r := range w.runs {
		var due time.Time
		switch r.phase {
		case running:
			due = r.expected.Add(lookSlack)
		case stopping:
			due = r.stopAt.Add(lookSlack)
		default:
			continue
		}
		if !p.at.Before(due) && w.heard.Before(due) {
			w.looked = p.at
			p.order(Order{Kind: Look, Worker: w.ID})
			return
		}
	}
}

// lapsed tells whether a worker that is not heard of can run nothing any more.
func (p *Plan) lapsed(w *worker) bool {
	return w.standing != ready && !p.at.Before(p.leaseEnd(w.renewed))
}

// release lets the task of a run that has lapsed start elsewhere, while the room
// stays booked until the worker has been heard of.
func (p *Plan) release(r *run) {
	t := r.task
	r.task, r.phase = nil, foreign
	p.strays[r.runKey.task] = r
	if t != nil && t.current == r {
		t.current = nil
		p.requeue(t)
	}
}

// watch stops a run that stands still or is far slower than it would be elsewhere.
// It answers workers that hang or have become slow without a sign. What a worker
// has not reported yet is no sign: reports that are lost or late, as under load,
// would put sound workers aside and stop what is about to end.
func (p *Plan) watch(r *run) {
	t := r.task
	if t == nil || t.job.result.State.Ended() || t.moves >= movesMost || r.worker.Draining && r.percent > 0 {
		return
	}
	spent := r.worker.heard.Sub(r.beganAt)
	whole := r.expected.Sub(r.beganAt)
	if spent < whole*2+stallSlack {
		return
	}
	if r.percent > 0 {
		left := spent * time.Duration(100-r.percent) / time.Duration(r.percent)
		if left < whole*2 {
			return
		}
	}
	t.moves++
	p.board.Observe(r.worker.ID, false)
	p.stop(r, "no progress")
}

const (
	movesMost  = 2                      // times that a task is taken off a worker for lack of progress
	stallSlack = 150 * time.Millisecond // a report of progress may be as old
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
