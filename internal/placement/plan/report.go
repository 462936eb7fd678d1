package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
)

// RunProgress is a row of what a worker runs.
type RunProgress struct {
	Task    string
	Run     int
	Percent int
}

// RunOutcome a run ended.
type RunOutcome int

// The ends of a run.
const (
	Succeeded RunOutcome = iota
	Failed               // by its own fault or the worker's
	Aborted              // stopped, lapsed or broken off
)

// EndedRun is a row of what has ended on a worker.
type EndedRun struct {
	Task    string
	Run     int
	Outcome RunOutcome
}

// Report is what a worker lists. Fenced tells that it is the first since the
// worker took a new token: nothing older can start any more. Sent is when it
// was asked for.
type Report struct {
	Worker  string
	Sent    time.Time
	Fenced  bool
	Running []RunProgress
	Ended   []EndedRun
}

// HandleReport takes a worker's report.
func (p *Plan) HandleReport(report Report, now time.Time) {
	p.now = now
	w, known := p.workers[report.Worker]
	if !known {
		return
	}
	p.requeued, w.unanswered, w.reportedAt = false, false, now
	if report.Fenced || w.state == unresponsive {
		w.state = ready
	}
	for _, e := range report.Ended {
		p.handleEndedRun(w, e)
	}
	listed := map[runKey]bool{}
	for _, row := range report.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		p.handleListedRun(w, key, row.Percent)
	}
	for key, r := range w.runs {
		if listed[key] {
			continue
		}
		// A run that is neither listed nor among the ends has ended in a way that
		// nobody saw, unless its start may still be under way.
		accepted := (r.phase == running || r.phase == stopping) && !r.startedAt.IsZero() && r.startedAt.Before(report.Sent)
		if accepted || report.Fenced || r.phase == unaccounted {
			p.loseRun(r)
		}
	}
	// Jobs may have waited for this worker to be known, and a task that comes back
	// may fit another one.
	if report.Fenced || p.requeued {
		p.placeAll()
		return
	}
	p.placeOnWorker(w)
}

// handleListedRun takes a row of what runs.
func (p *Plan) handleListedRun(w *worker, key runKey, percent int) {
	r, known := w.runs[key]
	if !known {
		p.addUnaccountedRun(w, key, percent)
		return
	}
	r.percent = percent
	if r.phase == unaccounted {
		p.matchRun(r)
		return
	}
	if r.phase == starting || r.phase == startUnknown {
		r.phase, r.startedAt = running, p.now
		r.expectedEnd = p.now.Add(p.expectedTime(r.task, w))
		if r.task == nil || r.task.job.result.State.Ended() || r.task.activeRun != r {
			p.stopRun(r, "its job has ended")
		}
	}
}

// addUnaccountedRun takes a run that this holder has not ordered or no longer counts on.
func (p *Plan) addUnaccountedRun(w *worker, key runKey, percent int) {
	r := &run{runKey: key, worker: w, phase: unaccounted, room: room.Room{}, sentAt: p.now, startedAt: p.now, percent: percent}
	p.addRun(r)
	p.unaccountedRuns[key.task] = r
	p.matchRun(r)
}

// matchRun gives a run without a task here to the job that it belongs to, or stops it.
func (p *Plan) matchRun(r *run) {
	id, _, _, ok := batch.SplitTask(r.runKey.task)
	j, known := p.jobs[id]
	if !ok || !known || !r.stopSentAt.IsZero() {
		return // its entry may ask for it yet
	}
	for _, t := range j.tasks {
		if t.name != r.runKey.task {
			continue
		}
		t.lastRunNumber = max(t.lastRunNumber, r.runKey.run)
		if t.done || t.activeRun != nil || j.result.State.Ended() {
			p.stopRun(r, "another run counts")
			return
		}
		p.attachRun(r, t)
		j.removePending(t)
		return
	}
	p.stopRun(r, "its job has no such task")
}

// handleEndedRun takes a row of what has ended.
func (p *Plan) handleEndedRun(w *worker, e EndedRun) {
	key := runKey{e.Task, e.Run}
	r, known := w.runs[key]
	if !known {
		if e.Outcome == Succeeded {
			p.handleLateCompletion(e)
		}
		return
	}
	p.removeRun(r)
	t := r.task
	if t == nil {
		if e.Outcome == Succeeded {
			p.handleLateCompletion(e)
		}
		return
	}
	if t.activeRun == r {
		t.activeRun = nil
	}
	switch e.Outcome {
	case Succeeded:
		p.recordRunTime(r)
		p.completeTask(t)
	case Failed:
		p.handleFailure(r)
	case Aborted:
		p.requeue(t)
	}
}

// handleLateCompletion takes a good end of a run that no longer counted. It serves the job all
// the same, or one that is handed in again.
func (p *Plan) handleLateCompletion(e EndedRun) {
	id, _, _, ok := batch.SplitTask(e.Task)
	if !ok {
		return
	}
	j, known := p.jobs[id]
	if !known {
		p.earlyCompletions[e.Task] = earlyCompletion{until: p.now.Add(p.options.ResultRetention)}
		return
	}
	for _, t := range j.tasks {
		if t.name != e.Task || t.done {
			continue
		}
		if t.activeRun != nil {
			p.stopRun(t.activeRun, "another run has ended")
		}
		p.completeTask(t)
		return
	}
}

func (p *Plan) recordRunTime(r *run) {
	t := r.task
	p.board.Observe(r.worker.ID, true)
	if r.sentAt.IsZero() {
		return // begun by another holder, nobody knows here when
	}
	s := t.job.Steps[t.step]
	p.pace.Observe(t.job.Queue, r.worker.ID, r.worker.Kind, s.Hint, t.job.baseTimes[t.step], p.now.Sub(r.sentAt))
	r.worker.factor = p.pace.Factor(r.worker.ID, r.worker.Kind)
}

// handleFailure counts an attempt of a task. It goes to another worker.
func (p *Plan) handleFailure(r *run) {
	t := r.task
	p.board.Observe(r.worker.ID, false)
	t.failures++
	t.avoidWorker(r.worker.ID)
	j := t.job
	if t.failures >= j.Attempts && !j.result.State.Ended() {
		p.deliver(j, batch.Result{State: batch.Failed, Reason: t.name + " has failed as often as its queue allows"})
		return
	}
	p.requeue(t)
}

func (t *task) avoidWorker(worker string) {
	if t.avoidedWorkers == nil {
		t.avoidedWorkers = map[string]bool{}
	}
	t.avoidedWorkers[worker] = true
}

// StartOutcome is what came of an order to start.
type StartOutcome int

// The answers to a start.
const (
	StartAccepted   StartOutcome = iota
	StartRejected                // nothing was done; it may be tried again
	WorkerUnhealthy              // nothing was done, since the worker is not well
	StaleRunNumber               // the number of the run is too low there
	OutcomeUnknown               // it may have been done, or may be done later
)

// HandleStartOutcome takes the answer to a start.
func (p *Plan) HandleStartOutcome(worker, task string, runNumber int, answer StartOutcome, now time.Time) {
	p.now = now
	w, known := p.workers[worker]
	if !known {
		return
	}
	r, known := w.runs[runKey{task, runNumber}]
	if !known || r.phase != starting && r.phase != stopping {
		return
	}
	if answer == StartAccepted {
		r.startedAt = now
		r.expectedEnd = now.Add(p.expectedTime(r.task, w))
		if r.phase == starting {
			r.phase = running
		}
		return
	}
	if answer == OutcomeUnknown {
		r.phase = startUnknown
		w.state = fencing
		p.emit(Order{Kind: Fence, Worker: worker, Reason: "a start brought no answer"})
		return
	}
	if t := r.task; t != nil {
		switch answer {
		case StaleRunNumber:
			t.lastRunNumber += runNumberGap
		case WorkerUnhealthy:
			t.avoidWorker(worker)
			p.board.Observe(worker, false)
		}
	}
	p.loseRun(r)
	p.placeAll()
}

// runNumberGap passes the numbers that an earlier holder may have given out.
const runNumberGap = 16
