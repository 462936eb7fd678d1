package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
)

// relist keeps the workers in a stable order.
func (p *Plan) relist() {
	p.list = p.list[:0]
	for _, w := range p.workers {
		p.list = append(p.list, w)
	}
	slices.SortFunc(p.list, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	p.refresh()
}

// place gives tasks to all workers, in the order of what is lost by waiting.
func (p *Plan) place() {
	p.compact()
	if len(p.waiting) == 0 || p.doubt {
		return
	}
	p.arrange()
	p.placeOn(p.openWorkers())
	p.spill(p.waiting)
	p.compact()
	p.foresee()
	p.compact()
}

// placeAt gives tasks to one worker whose room has changed. Nothing that waits
// has fitted the others.
func (p *Plan) placeAt(w *worker) {
	if len(p.waiting) == 0 || p.doubt || !w.usable() {
		return
	}
	if !p.arranged {
		p.arrange()
	}
	p.placeOn([]*worker{w})
	p.compact()
}

// placeNew gives the tasks of a job that has just come to workers. Nothing that
// waits before it has fitted them.
func (p *Plan) placeNew(j *job) {
	if p.doubt {
		return
	}
	open := p.openWorkers()
	if len(open) > 0 && !p.mayRun(j) && (!p.disputed() || p.known(j.Service)) {
		p.placeJob(j, open, roomiest(open))
	}
	p.spill([]*job{j})
	p.compact()
}

func (p *Plan) placeOn(open []*worker) {
	if len(open) == 0 {
		return
	}
	most := roomiest(open)
	disputed := p.disputed()
	unsafe := map[string]bool{} // services of which something is not known
	for _, j := range p.waiting {
		if most.Processors <= 0 {
			return
		}
		// Most of what waits is too large for the little room that there is.
		if !j.fits(most) || p.mayRun(j) {
			continue
		}
		if disputed {
			bad, asked := unsafe[j.Service]
			if !asked {
				bad = !p.known(j.Service)
				unsafe[j.Service] = bad
			}
			if bad {
				continue
			}
		}
		if p.placeJob(j, open, most) {
			most = roomiest(open)
		}
	}
}

// fits tells whether some task that waits may find room.
func (j *job) fits(most room.Room) bool {
	step := -1
	for _, t := range j.pending {
		if t.step == step {
			continue // tasks of a step are of one size
		}
		step = t.step
		if j.Steps[step].Room.Fits(most) {
			return true
		}
	}
	return false
}

// roomiest gives the most of each kind of room that any of the workers has left.
func roomiest(open []*worker) room.Room {
	var most room.Room
	for _, w := range open {
		most = most.Max(w.free())
	}
	return most
}

// compact drops the jobs that have nothing to place.
func (p *Plan) compact() {
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool {
		if len(j.pending) > 0 && !j.result.State.Ended() {
			return false
		}
		j.queued = false
		return true
	})
}

// arrange puts first the jobs that can still meet their objective, those with tasks
// placed before the others, by the last moment at which they have to start; those
// that cannot follow by the time their clients leave. It answers bursts: a job that
// has lost its objective must not take the room of one that has not, and room given
// to some tasks of a job is lost if the others do not follow.
func (p *Plan) arrange() {
	p.arranged = true
	for _, j := range p.waiting {
		j.late = j.tardy(p.at)
	}
	slices.SortStableFunc(p.waiting, func(a, b *job) int {
		switch {
		case a.late != b.late && b.late:
			return -1
		case a.late != b.late:
			return 1
		case a.late:
			return a.Expires.Compare(b.Expires)
		case a.begun() != b.begun() && a.begun():
			return -1
		case a.begun() != b.begun():
			return 1
		}
		return a.latest.Compare(b.latest)
	})
}

// tardy tells whether a job that gets its turn now is likely to miss its objective.
// One of which no task is placed has to get room for all of them: if it begins at the
// last moment, its last tasks come too late and the work of the others is lost. It
// answers loads above the room, under which most jobs begin at their last moment.
func (j *job) tardy(now time.Time) bool {
	if j.begun() {
		return j.latest.Before(now)
	}
	return j.latest.Before(now.Add(min(gatherSpan, j.latest.Sub(j.Arrived)/2)))
}

// begun tells whether a task of the job has been placed.
func (j *job) begun() bool { return len(j.pending) < len(j.tasks) }

// gatherSpan is the time within which the tasks of a job get room one after the other
// under load. Replays of loads of 1.5 to 3 times the usual are alike for 40 to 90 ms.
const gatherSpan = 60 * time.Millisecond

// openWorkers lists the workers that can take tasks.
func (p *Plan) openWorkers() []*worker {
	open := p.open[:0]
	for _, w := range p.list {
		if w.free().Processors > 0 && w.usable() {
			open = append(open, w)
		}
	}
	p.open = open
	return open
}

// placeJob starts what it can of a job and tells whether it started anything.
func (p *Plan) placeJob(j *job, open []*worker, most room.Room) bool {
	left := j.pending[:0]
	for _, t := range j.pending {
		if t.current != nil || !j.Steps[t.step].Room.Fits(most) || !p.turn(t) || p.astray(t) {
			left = append(left, t)
			continue
		}
		w := p.choose(t, open)
		if w == nil {
			left = append(left, t)
			continue
		}
		p.start(t, w)
	}
	started := len(left) < len(j.pending)
	j.pending = left
	return started
}

// astray tells whether a run of the task that does not count may still go on.
func (p *Plan) astray(t *task) bool {
	r, there := p.strays[t.name]
	return there && !p.lapsed(r.worker)
}

// turn tells whether the steps before the task's have ended.
func (p *Plan) turn(t *task) bool {
	for _, before := range t.job.Steps[t.step].After {
		for _, other := range t.job.tasks {
			if other.step == before && !other.done {
				return false
			}
		}
	}
	return true
}

func (p *Plan) start(t *task, w *worker) {
	t.lastRun++
	r := &run{
		runKey: runKey{t.name, t.lastRun}, worker: w, task: t, phase: ordered,
		room: t.job.Steps[t.step].Room, sentAt: p.at,
	}
	t.current = r
	t.job.started = true
	if t.job.result.State == batch.Pending {
		t.job.result.State = batch.Running
	}
	w.renewed = p.at // a start carries a lease
	p.add(r)
	p.resize(float64(r.room.Processors))
	p.board.RecordStart(w.ID, p.at.Add(trialSpan))
	p.order(Order{
		Kind: Start, Worker: w.ID, Task: t.name, Run: r.runKey.run, Batch: t.job.Batch,
		Expected: p.expect(t, w), Free: w.free().Processors, Waiting: len(p.waiting),
	})
}

// trialSpan is the time after which a trial task that has told nothing makes room
// for another one.
const trialSpan = 2 * time.Second
