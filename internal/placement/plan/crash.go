package plan

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// maxCrashes is the number of workers that may crash while they run a task, before its job
// fails. One crash also hits tasks that merely ran on the same worker.
const maxCrashes = 2

// WorkerReplaced records that another worker answers at the address of a worker, and removes
// the latter. This proves that it has ended: its runs have crashed with it, unless it was
// about to leave.
func (p *Plan) WorkerReplaced(id string, now time.Time) {
	p.now = now
	if w, known := p.workers[id]; known {
		w.suspectCrash()
		for _, r := range w.runs {
			p.loseRun(r)
			p.noteCrash(r)
		}
	}
	p.RemoveWorker(id, now)
}

// suspectCrash marks the runs of a worker whose incarnation has ended. The next incarnation
// may have taken over some of them, since a start may reach either. One that was draining has
// ended as planned.
func (w *worker) suspectCrash() {
	if w.Draining {
		return
	}
	for _, r := range w.runs {
		r.crashSuspected = true
	}
}

// noteCrash counts a run that is lost for its task, if it was lost in a crash. The task's job
// fails with the last crash that is allowed.
func (p *Plan) noteCrash(r *run) {
	t := p.taskNamed(r.runKey.task)
	if !r.crashSuspected || t == nil || t.done {
		return
	}
	t.crashes++
	p.failCrashing(t.job)
}

// failCrashing ends a job one of whose tasks may not start again, since too many workers have
// crashed while they ran it. It reports whether it did.
func (p *Plan) failCrashing(j *job) bool {
	if j.result.State.Ended() {
		return false
	}
	for _, t := range j.tasks {
		if !t.done && t.crashes >= maxCrashes {
			p.deliver(j, batch.Result{State: batch.Failed, Reason: fmt.Sprintf("%d workers have crashed while they ran %s", t.crashes, t.name)})
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

// mayHaveCrashed returns the number of workers that have crashed while they ran the task, or
// have not answered since. Once they are as many as may crash, the task does not start before
// one of them has answered: without the wait it would start on the next worker with each lease
// that expires, long before the first crash is proved.
func (t *task) mayHaveCrashed() int {
	count := t.crashes
	for _, r := range t.detachedRuns {
		if r.worker.runs[r.runKey] == r {
			count++
		}
	}
	return count
}
