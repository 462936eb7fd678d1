package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/latestart"
)

// maxOrderDelay is the time after which a worker no longer executes an order that got no answer, as the platform
// states it.
const maxOrderDelay = 12 * time.Second

// keepLateStart keeps the start of a run of which a copy got no answer, since the run is no longer known to block its
// task: the next incarnation of the worker may execute the copy.
func (p *Plan) keepLateStart(r *run) {
	if r.lateStartEnd.After(p.now) {
		p.lateStarts.Add(latestart.Start{Worker: r.worker.ID, Task: r.runKey.task, Run: r.runKey.run, Until: r.lateStartEnd})
	}
	r.lateStartEnd = time.Time{}
}

// settleStart records that all copies of a start have been answered.
func (p *Plan) settleStart(w *worker, key runKey) {
	p.lateStarts.Remove(w.ID, key.task, key.run)
	if r, known := w.runs[key]; known {
		r.lateStartEnd = time.Time{}
	}
}

// suspectIncarnation records that the incarnation of a worker that has accepted the token may have ended. The next one
// may execute late starts, so their tasks are stopped on other workers, and start again only once it has accepted the
// token or the starts can no longer be executed.
func (p *Plan) suspectIncarnation(w *worker) {
	for _, name := range p.lateStarts.Suspect(w.ID) {
		if t := p.taskNamed(name); t != nil && t.activeRun != nil && t.activeRun.worker != w {
			p.stopRun(t.activeRun, reasonLateStart)
		}
	}
}

// reasonLateStart is the reason for stopping a run whose task may start at another worker.
const reasonLateStart = "a worker that has left a start of the task unanswered may have crashed, and may execute it"

// suspectSilent suspects the workers with late starts that have not answered for a lease. After a shorter silence,
// which may be a pause, stopping runs elsewhere would only cost their clients time.
func (p *Plan) suspectSilent() {
	p.lateStarts.Prune(p.now)
	for _, w := range p.workerList {
		if w.unanswered && p.lateStarts.HasStarts(w.ID) && !p.now.Before(w.reportedAt.Add(p.options.Lease)) {
			p.suspectIncarnation(w)
		}
	}
}
