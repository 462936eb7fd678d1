package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// RunProgress is a run that a worker lists as running.
type RunProgress struct {
	Task    string
	Run     int
	Percent int
}

// RunOutcome is how a run ended.
type RunOutcome int

// Outcomes of a run.
const (
	Succeeded RunOutcome = iota
	Failed               // by a fault of the task or the worker
	Aborted              // stopped, killed at the end of its lease, or interrupted
)

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	Task    string
	Run     int
	Outcome RunOutcome
}

// Report is what a worker lists in answer to a call. Sent is when the call was made. Fenced
// says that it is the first report since the worker accepted a new fencing token, so that
// starts with older tokens can no longer take effect.
type Report struct {
	Worker  string
	Sent    time.Time
	Fenced  bool
	Running []RunProgress
	Ended   []EndedRun
}

// HandleReport updates runs and tasks by a worker's report and places pending tasks.
func (p *Plan) HandleReport(report Report, now time.Time) {
	p.now = now
	w, known := p.workers[report.Worker]
	if !known {
		return
	}
	p.requeued, w.unanswered, w.reportedAt = false, false, now
	w.forgetClosing()
	p.lateStarts.Clear(w.ID)
	if report.Fenced && (w.leaseUnknown || w.foreign) {
		w.leaseUnknown = false
		p.noteEarlierRenewal(w)
	}
	if report.Fenced || w.state == unresponsive {
		w.state, w.foreign = ready, false
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
		// A run listed neither as running nor as ended is gone, unless its start may not
		// have arrived before the report was made.
		shouldBeListed := (r.phase == running || r.phase == stopping) && !r.startedAt.IsZero() && r.startedAt.Before(report.Sent)
		if shouldBeListed || report.Fenced || r.phase == unaccounted {
			p.loseRun(r)
			if report.Fenced {
				p.noteLoss(r)
			}
		}
	}
	// Jobs may have waited for this worker to accept the token, and a task that is
	// pending again may fit another worker.
	if report.Fenced || p.requeued {
		p.placeAll()
		return
	}
	p.placeOnWorker(w)
}

// handleListedRun updates a run that a worker lists as running.
func (p *Plan) handleListedRun(w *worker, key runKey, percent int) {
	r, known := w.runs[key]
	if !known {
		p.addUnaccountedRun(w, key, percent)
		return
	}
	r.percent, r.crashSuspected, r.cutShort = percent, false, false
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

// addUnaccountedRun adds a run that this holder has not started or has removed already, and
// looks for its task. The resources that it uses are not known.
func (p *Plan) addUnaccountedRun(w *worker, key runKey, percent int) {
	r := &run{runKey: key, worker: w, phase: unaccounted, resources: resources.Resources{}, sentAt: p.now, startedAt: p.now, percent: percent}
	p.addRun(r)
	p.unaccountedRuns[key.task] = append(p.unaccountedRuns[key.task], r)
	p.emit(Order{Kind: LogFound, Worker: w.ID, Task: key.task, Run: key.run, AskedAt: p.askedForRun(r)})
	p.matchRun(r)
}

// matchRun attaches an unaccounted run to its task, or stops it if the task needs no run or a client has
// cancelled its job. Another run of an unknown job is left alone, since the job's entry may still ask for it.
func (p *Plan) matchRun(r *run) {
	id, _, _, ok := batch.ParseTaskName(r.runKey.task)
	j, known := p.jobs[id]
	if !ok || !r.stopSentAt.IsZero() {
		return
	}
	if p.options.Cancelled(id) && (!known || j.result.State.Ended()) {
		p.stopRun(r, reasonCancelled)
		return
	}
	if !known {
		return
	}
	for _, t := range j.tasks {
		if t.name != r.runKey.task {
			continue
		}
		t.lastRunNumber = max(t.lastRunNumber, r.runKey.run)
		if t.done || t.activeRun != nil || j.result.State.Ended() {
			p.stopRun(r, "its task needs no other run")
			return
		}
		p.attachRun(r, t)
		j.removePending(t)
		return
	}
	p.stopRun(r, "its job has no such task")
}

// handleEndedRun updates a run that a worker lists as ended.
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
		t.previous = r.describeLoss("ended")
	}
	switch e.Outcome {
	case Succeeded:
		p.recordRuntime(r)
		p.completeTask(t)
	case Failed:
		p.handleFailure(r)
	case Aborted:
		p.requeue(t)
	}
}

// handleLateCompletion records the success of a run that was no longer the active one of its
// task. The task is done all the same. If the job is not known, the success is kept for the
// case that it is admitted later.
func (p *Plan) handleLateCompletion(e EndedRun) {
	id, _, _, ok := batch.ParseTaskName(e.Task)
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
			p.stopRun(t.activeRun, "another run of its task has succeeded")
		}
		p.completeTask(t)
		return
	}
}

// recordRuntime counts a success for the worker and updates learned run times, unless the
// start time of the run is unknown.
func (p *Plan) recordRuntime(r *run) {
	t := r.task
	p.outliers.Observe(r.worker.ID, true)
	if r.sentAt.IsZero() {
		return // started by an earlier holder at an unknown time
	}
	if expected := r.expectedEnd.Sub(r.startedAt); expected > 0 {
		t.runtimeRatio = float64(p.now.Sub(r.startedAt)) / float64(expected)
	}
	if r.wasCold() {
		p.learnFromCold(r)
		return
	}
	p.learnFromTrial(r)
	s := t.job.Steps[t.step]
	p.estimator.Observe(t.job.Queue, r.worker.ID, r.worker.Kind, s.Hint, t.job.baseTimes[t.step], p.now.Sub(r.sentAt))
	r.worker.factor = p.estimator.SlowdownFactor(r.worker.ID, r.worker.Kind)
}

// handleFailure counts a failed attempt. The task is tried on another worker, or its job fails
// when its attempts are used up.
func (p *Plan) handleFailure(r *run) {
	t := r.task
	p.outliers.Observe(r.worker.ID, false)
	t.failures++
	t.avoidWorker(r.worker.ID)
	j := t.job
	if t.failures >= j.MaxAttempts && !j.result.State.Ended() {
		p.deliver(j, batch.Result{State: batch.Failed, Reason: t.name + " has failed as often as its queue allows"})
		return
	}
	p.requeue(t)
}

// avoidWorker excludes a worker from later runs of the task.
func (t *task) avoidWorker(worker string) {
	if t.avoidedWorkers == nil {
		t.avoidedWorkers = map[string]bool{}
	}
	t.avoidedWorkers[worker] = true
}

// StartOutcome is how a worker answered a start.
type StartOutcome int

// Outcomes of a start.
const (
	StartAccepted    StartOutcome = iota
	CopyAccepted                  // started, but other copies of the order got no answer and may be executed yet
	StartRejected                 // not started; may be tried again there
	StartLate                     // not started, since its lease had expired; tried again with the next tick
	WorkerUnhealthy               // not started, since the worker cannot run tasks at present
	StaleRunNumber                // not started, since the worker has seen the same or a higher run number of the task
	OutcomeUnknown                // no answer: it may have started, or may still start
	StartUndelivered              // not started, since the worker refused the connection
)

// HandleStartOutcome records the outcome of a start. If it is unknown, the worker is fenced
// so that the start cannot take effect later.
func (p *Plan) HandleStartOutcome(worker, task string, runNumber int, outcome StartOutcome, now time.Time) {
	p.now = now
	w, known := p.workers[worker]
	if !known {
		return
	}
	if outcome != OutcomeUnknown && outcome != CopyAccepted {
		p.settleStart(w, runKey{task, runNumber})
	}
	r, known := w.runs[runKey{task, runNumber}]
	if !known || r.phase != starting && r.phase != stopping {
		return
	}
	if outcome == StartAccepted || outcome == CopyAccepted {
		r.startedAt = now
		r.expectedEnd = now.Add(p.expectedTime(r.task, w))
		if r.phase == starting {
			r.phase, r.cutShort = running, p.mayBeCutShort(r, w)
		}
		return
	}
	if outcome == OutcomeUnknown {
		r.phase = startUnknown
		p.stopUsing(w, fencing)
		p.emit(Order{Kind: Fence, Worker: worker, Reason: "a start got no answer"})
		return
	}
	if outcome == StartUndelivered {
		p.ConnectionClosed(worker, true, now)
	}
	if t := r.task; t != nil {
		switch outcome {
		case StaleRunNumber:
			t.lastRunNumber += runNumberGap
		case WorkerUnhealthy:
			t.avoidWorker(worker)
			p.outliers.Observe(worker, false)
		}
	}
	p.loseRun(r)
	if outcome != StartLate {
		p.placeAll()
	}
}

// runNumberGap is added to a run number that is too low, to skip numbers that an earlier
// holder may have used.
const runNumberGap = 16
