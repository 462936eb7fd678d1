package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// rebuildWorkerList sorts the workers by ID, so that placement does not depend on the order
// of a map.
func (p *Plan) rebuildWorkerList() {
	p.workerList = p.workerList[:0]
	for _, w := range p.workers {
		p.workerList = append(p.workerList, w)
	}
	slices.SortFunc(p.workerList, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	p.refreshFactors()
}

// placeAll places pending tasks on all workers, in the order of sortWaiting. What finds no
// resources may go to another group or be refused.
func (p *Plan) placeAll() {
	p.pruneWaiting()
	if len(p.waiting) == 0 || p.takeoverSuspected {
		return
	}
	p.leaveEvacuated(p.waiting)
	p.sortWaiting()
	p.resetAhead()
	p.placeOnWorkers(p.openWorkers())
	p.spillOver(p.waiting)
	p.endUnreachable(p.waiting)
	p.pruneWaiting()
	p.refuseTooLate()
	p.pruneWaiting()
}

// placeOnWorker places pending tasks on one worker whose free resources have changed. The
// others need not be checked: nothing pending fitted them before.
func (p *Plan) placeOnWorker(w *worker) {
	if len(p.waiting) == 0 || p.takeoverSuspected || !p.isEligible(w) {
		return
	}
	if !p.waitingSorted {
		p.sortWaiting()
	}
	p.fillWorker(w)
	p.placeOnWorkers([]*worker{w})
	p.pruneWaiting()
}

// placeNewJob places the tasks of a job that has just been admitted. Other jobs need not be
// checked: nothing pending fitted the workers before.
func (p *Plan) placeNewJob(j *job) {
	if p.takeoverSuspected {
		return
	}
	p.leaveEvacuated([]*job{j})
	open := p.openWorkers()
	if len(open) > 0 && p.mayPlaceNow(j) {
		p.placeJob(j, open, maxFree(open))
	}
	p.spillOver([]*job{j})
	p.endUnreachable([]*job{j})
	p.pruneWaiting()
}

// mayPlaceNow reports whether tasks of a job that has just been admitted may start: it is not running under another
// holder, and no lease of another holder may be valid on the workers of its service.
func (p *Plan) mayPlaceNow(j *job) bool {
	return !p.mayRunElsewhere(j) && (!p.otherLeasesActive() || p.allFenced(j.Service))
}

// placeOnWorkers places pending tasks on the given workers, job by job. It skips jobs that
// might still be running under another holder.
func (p *Plan) placeOnWorkers(workers []*worker) {
	if len(workers) == 0 {
		return
	}
	largestFree := maxFree(workers)
	otherLeases := p.otherLeasesActive()
	unfencedServices := map[string]bool{} // results of !allFenced, by service
	for _, j := range p.waiting {
		if largestFree.MilliCores <= 0 {
			return
		}
		// Skip early: under load most pending tasks need more than is free.
		if p.mayRunElsewhere(j) {
			continue
		}
		if !j.anyPendingFits(largestFree) {
			p.reserveFor(j)
			continue
		}
		if otherLeases {
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
		p.reserveFor(j)
	}
}

// anyPendingFits reports whether any pending task fits the given resources.
func (j *job) anyPendingFits(largestFree resources.Resources) bool {
	step := -1
	for _, t := range j.pending {
		if t.step == step {
			continue // tasks of a step need the same resources
		}
		step = t.step
		if j.Steps[step].Resources.FitsIn(largestFree) {
			return true
		}
	}
	return false
}

// maxFree returns the largest amount of each resource that is free on any of the workers, not
// necessarily on the same one.
func maxFree(workers []*worker) resources.Resources {
	var largest resources.Resources
	for _, w := range workers {
		largest = largest.Max(w.free())
	}
	return largest
}

// pruneWaiting removes jobs without pending tasks from waiting.
func (p *Plan) pruneWaiting() {
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool {
		if len(j.pending) > 0 && !j.result.State.Ended() {
			return false
		}
		j.inWaiting = false
		return true
	})
}

// sortWaiting sorts the waiting jobs. First come those that can still meet their objective:
// partly placed ones before the others, then by their latest turn. The rest follow by the
// time at which their clients leave. In a burst, jobs that have missed their objective must
// not take resources from those that can meet it, and the work of a job's first tasks is
// wasted if the others do not follow.
func (p *Plan) sortWaiting() {
	p.waitingSorted = true
	for _, j := range p.waiting {
		j.late = j.likelyMisses(p.now)
	}
	slices.SortStableFunc(p.waiting, compareTurns)
}

// compareTurns is the order of sortWaiting.
func compareTurns(a, b *job) int {
	switch {
	case a.late != b.late && b.late:
		return -1
	case a.late != b.late:
		return 1
	case a.late:
		return a.ExpiresAt.Add(a.priorityDelay).Compare(b.ExpiresAt.Add(b.priorityDelay))
	}
	return compareOnTime(a, b)
}

// compareOnTime is the order of jobs that can still meet their objective.
func compareOnTime(a, b *job) int {
	switch {
	case a.partlyPlaced() != b.partlyPlaced() && a.partlyPlaced():
		return -1
	case a.partlyPlaced() != b.partlyPlaced():
		return 1
	}
	return a.latestTurn().Compare(b.latestTurn())
}

// likelyMisses reports whether a job is likely to miss its objective if its turn comes now. A
// job without placed tasks still has to get resources for all of them: if it begins at its
// latest start, its last tasks come too late and the work of the others is wasted. Under
// overload most jobs begin at their latest start.
func (j *job) likelyMisses(now time.Time) bool {
	if j.partlyPlaced() {
		return j.latestStart.Before(now)
	}
	return j.latestStart.Before(now.Add(min(placementSpan, j.latestStart.Sub(j.ArrivedAt)/2)))
}

// latestTurn returns the last moment at which the job's turn can come, if all of its tasks are
// to start in time. Under load its tasks get resources one after the other, so that a job of
// many tasks needs its turn sooner than one of few with the same latest start. With priorities, the turn
// of a job of low priority comes later.
func (j *job) latestTurn() time.Time {
	return j.latestStart.Add(j.priorityDelay - taskPlacementTime*time.Duration(len(j.tasks)))
}

// taskPlacementTime is the time that each task of a job waits under load for resources.
const taskPlacementTime = 10 * time.Millisecond

// partlyPlaced reports whether any task of the job has been placed.
func (j *job) partlyPlaced() bool { return len(j.pending) < len(j.tasks) }

// placementSpan is the time within which the tasks of a job get resources one after the other
// under load. Replays of 1.5 to 3 times the usual load give similar results for 40 to 90 ms.
const placementSpan = 60 * time.Millisecond

// openWorkers returns the eligible workers with free cores. The result is valid until the next
// call.
func (p *Plan) openWorkers() []*worker {
	open := p.openBuffer[:0]
	for _, w := range p.workerList {
		if p.isOpen(w) {
			open = append(open, w)
		}
	}
	p.openBuffer = open
	return open
}

// isOpen reports whether a worker is eligible and has free cores.
func (p *Plan) isOpen(w *worker) bool { return w.free().MilliCores > 0 && p.isEligible(w) }

// placeJob starts the tasks of a job that fit and reports whether it started any.
func (p *Plan) placeJob(j *job, workers []*worker, largestFree resources.Resources) bool {
	remaining := j.pending[:0]
	for _, t := range j.pending {
		if !j.Steps[t.step].Resources.FitsIn(largestFree) || !p.mayStart(t) {
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

// mayStart reports whether a pending task may start as soon as a worker has resources for it.
func (p *Plan) mayStart(t *task) bool {
	return !p.mayHaveRun(t) && p.dependenciesDone(t)
}

// mayHaveRun reports whether the task has a run, or may have or get one by an earlier order.
func (p *Plan) mayHaveRun(t *task) bool {
	return t.activeRun != nil || p.hasUnaccountedRun(t) || p.lateStarts.MayStartLate(t.name, p.now) || t.waitsForProof()
}

// hasUnaccountedRun reports whether a run of the task that is not its active one may be running, or
// may be started late.
func (p *Plan) hasUnaccountedRun(t *task) bool {
	return slices.ContainsFunc(p.unaccountedRuns[t.name], func(r *run) bool { return !p.runLapsed(r) })
}

// dependenciesDone reports whether all tasks of the steps that the task's step depends on
// have succeeded.
func (p *Plan) dependenciesDone(t *task) bool {
	for _, before := range t.job.Steps[t.step].DependsOn {
		for _, other := range t.job.tasks {
			if other.step == before && !other.done {
				return false
			}
		}
	}
	return true
}

// startRun orders a new run of a task and reserves its resources.
func (p *Plan) startRun(t *task, w *worker) {
	t.lastRunNumber++
	r := &run{
		runKey: runKey{t.name, t.lastRunNumber}, worker: w, task: t, phase: starting, cold: w.cold,
		resources: t.job.Steps[t.step].Resources, sentAt: p.now, lateStartEnd: p.leaseEnd(p.now.Add(maxOrderDelay)),
	}
	t.activeRun = r
	if p.ahead != nil {
		p.ahead.Release(t.name)
	}
	t.job.noteStarted(p.now)
	if t.job.result.State == batch.Pending {
		t.job.result.State = batch.Running
	}
	p.addRun(r)
	leaseEnd := p.RenewableUntil(w.ID, p.now)
	w.noteRenewal(p.now, leaseEnd) // a start carries a lease of its own
	p.updateTaskSize(float64(r.resources.MilliCores))
	p.restarts = min(maxRestarts, p.restarts+restartShare)
	p.outliers.RecordStart(w.ID, p.now.Add(trialTimeout))
	p.emit(Order{
		Kind: Start, Worker: w.ID, Task: t.name, Run: r.runKey.run, Batch: t.job.Batch, AskedAt: t.job.askedAt, LeaseEnd: leaseEnd,
		ExpectedTime: p.expectedTime(t, w), FreeMilliCores: w.free().MilliCores, WaitingJobs: len(p.waiting), Previous: t.previous,
	})
}

// trialTimeout is the time after which an ejected worker may get another trial task although
// the last one has not ended.
const trialTimeout = 2 * time.Second
