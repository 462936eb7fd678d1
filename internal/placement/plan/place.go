package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
)

// rebuildWorkerList keeps the workers in a stable order.
func (p *Plan) rebuildWorkerList() {
	p.workerList = p.workerList[:0]
	for _, w := range p.workers {
		p.workerList = append(p.workerList, w)
	}
	slices.SortFunc(p.workerList, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	p.refreshFactors()
}

// placeAll gives tasks to all workers, in the order of what is lost by waiting.
func (p *Plan) placeAll() {
	p.pruneWaiting()
	if len(p.waiting) == 0 || p.takeoverSuspected {
		return
	}
	p.sortWaiting()
	p.placeOnWorkers(p.openWorkers())
	p.spillOver(p.waiting)
	p.pruneWaiting()
	p.refuseTooLate()
	p.pruneWaiting()
}

// placeOnWorker gives tasks to one worker whose room has changed. Nothing that waits
// has fitted the others.
func (p *Plan) placeOnWorker(w *worker) {
	if len(p.waiting) == 0 || p.takeoverSuspected || !w.usable() {
		return
	}
	if !p.waitingSorted {
		p.sortWaiting()
	}
	p.placeOnWorkers([]*worker{w})
	p.pruneWaiting()
}

// placeNewJob gives the tasks of a job that has just come to workers. Nothing that
// waits before it has fitted them.
func (p *Plan) placeNewJob(j *job) {
	if p.takeoverSuspected {
		return
	}
	open := p.openWorkers()
	if len(open) > 0 && !p.mayRunElsewhere(j) && (!p.otherLeasesActive() || p.allFenced(j.Service)) {
		p.placeJob(j, open, maxFree(open))
	}
	p.spillOver([]*job{j})
	p.pruneWaiting()
}

func (p *Plan) placeOnWorkers(workers []*worker) {
	if len(workers) == 0 {
		return
	}
	largestFree := maxFree(workers)
	disputed := p.otherLeasesActive()
	unfencedServices := map[string]bool{} // services of which something is not known
	for _, j := range p.waiting {
		if largestFree.Processors <= 0 {
			return
		}
		// Most of what waits is too large for the little room that there is.
		if !j.anyPendingFits(largestFree) || p.mayRunElsewhere(j) {
			continue
		}
		if disputed {
			unfenced, checked := unfencedServices[j.Service]
			if !checked {
				unfenced = !p.allFenced(j.Service)
				unfencedServices[j.Service] = unfenced
			}
			if unfenced {
				continue
			}
		}
		if p.placeJob(j, workers, largestFree) {
			largestFree = maxFree(workers)
		}
	}
}

// anyPendingFits tells whether some task that waits may find room.
func (j *job) anyPendingFits(largestFree room.Room) bool {
	step := -1
	for _, t := range j.pending {
		if t.step == step {
			continue // tasks of a step are of one size
		}
		step = t.step
		if j.Steps[step].Room.Fits(largestFree) {
			return true
		}
	}
	return false
}

// maxFree gives the most of each kind of room that any of the workers has left.
func maxFree(workers []*worker) room.Room {
	var largest room.Room
	for _, w := range workers {
		largest = largest.Max(w.free())
	}
	return largest
}

// pruneWaiting drops the jobs that have nothing to place.
func (p *Plan) pruneWaiting() {
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool {
		if len(j.pending) > 0 && !j.result.State.Ended() {
			return false
		}
		j.inWaiting = false
		return true
	})
}

// sortWaiting puts first the jobs that can still meet their objective, those with tasks
// placed before the others, by the last moment at which they have to start; those
// that cannot follow by the time their clients leave. It answers bursts: a job that
// has lost its objective must not take the room of one that has not, and room given
// to some tasks of a job is lost if the others do not follow.
func (p *Plan) sortWaiting() {
	p.waitingSorted = true
	for _, j := range p.waiting {
		j.late = j.likelyMisses(p.now)
	}
	slices.SortStableFunc(p.waiting, func(a, b *job) int {
		switch {
		case a.late != b.late && b.late:
			return -1
		case a.late != b.late:
			return 1
		case a.late:
			return a.Expires.Compare(b.Expires)
		case a.partlyPlaced() != b.partlyPlaced() && a.partlyPlaced():
			return -1
		case a.partlyPlaced() != b.partlyPlaced():
			return 1
		}
		return a.latestStart.Compare(b.latestStart)
	})
}

// likelyMisses tells whether a job that gets its turn now is likely to miss its objective.
// One of which no task is placed has to get room for all of them: if it begins at the
// last moment, its last tasks come too late and the work of the others is lost. It
// answers loads above the room, under which most jobs begin at their last moment.
func (j *job) likelyMisses(now time.Time) bool {
	if j.partlyPlaced() {
		return j.latestStart.Before(now)
	}
	return j.latestStart.Before(now.Add(min(placementSpan, j.latestStart.Sub(j.Arrived)/2)))
}

// partlyPlaced tells whether a task of the job has been placed.
func (j *job) partlyPlaced() bool { return len(j.pending) < len(j.tasks) }

// placementSpan is the time within which the tasks of a job get room one after the other
// under load. Replays of loads of 1.5 to 3 times the usual are alike for 40 to 90 ms.
const placementSpan = 60 * time.Millisecond

// openWorkers lists the workers that can take tasks.
func (p *Plan) openWorkers() []*worker {
	open := p.openBuffer[:0]
	for _, w := range p.workerList {
		if w.free().Processors > 0 && w.usable() {
			open = append(open, w)
		}
	}
	p.openBuffer = open
	return open
}

// placeJob starts what it can of a job and tells whether it started anything.
func (p *Plan) placeJob(j *job, workers []*worker, largestFree room.Room) bool {
	remaining := j.pending[:0]
	for _, t := range j.pending {
		if t.activeRun != nil || !j.Steps[t.step].Room.Fits(largestFree) || !p.dependenciesDone(t) || p.hasUnaccountedRun(t) {
			remaining = append(remaining, t)
			continue
		}
		w := p.chooseWorker(t, workers)
		if w == nil {
			remaining = append(remaining, t)
			continue
		}
		p.startRun(t, w)
	}
	started := len(remaining) < len(j.pending)
	j.pending = remaining
	return started
}

// hasUnaccountedRun tells whether a run of the task that does not count may still go on.
func (p *Plan) hasUnaccountedRun(t *task) bool {
	r, there := p.unaccountedRuns[t.name]
	return there && !p.leaseLapsed(r.worker)
}

// dependenciesDone tells whether the steps before the task's have ended.
func (p *Plan) dependenciesDone(t *task) bool {
	for _, before := range t.job.Steps[t.step].After {
		for _, other := range t.job.tasks {
			if other.step == before && !other.done {
				return false
			}
		}
	}
	return true
}

func (p *Plan) startRun(t *task, w *worker) {
	t.lastRunNumber++
	r := &run{
		runKey: runKey{t.name, t.lastRunNumber}, worker: w, task: t, phase: starting,
		room: t.job.Steps[t.step].Room, sentAt: p.now,
	}
	t.activeRun = r
	t.job.started = true
	if t.job.result.State == batch.Pending {
		t.job.result.State = batch.Running
	}
	w.renewedAt = p.now // a start carries a lease
	p.addRun(r)
	p.updateTaskSize(float64(r.room.Processors))
	p.board.Begin(w.ID, p.now.Add(trialTimeout))
	p.emit(Order{
		Kind: Start, Worker: w.ID, Task: t.name, Run: r.runKey.run, Batch: t.job.Batch,
		ExpectedTime: p.expectedTime(t, w), FreeMillicores: w.free().Processors, WaitingJobs: len(p.waiting),
	})
}

// trialTimeout is the time after which a trial task that has told nothing makes room
// for another one.
const trialTimeout = 2 * time.Second
