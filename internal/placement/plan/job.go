package plan

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/placement/order"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// task is a task of a job with the state of its placement.
type task struct {
	job            *job
	step           int
	name           string
	activeRun      *run            // the run that counts, nil while the task is pending or done
	lastRunNumber  int             // the next run gets the next higher number
	failures       int             // runs that failed
	stalls         int             // runs stopped for lack of progress
	crashes        int             // workers that are known to have crashed while they ran it
	quietUntil     time.Time       // until when it starts on quiet workers only, once it has lost runs
	suspicions     int             // further workers that may have crashed while they ran it
	detachedRuns   []*run          // runs whose lease has expired
	previous       string          // how the last run was lost, for the log
	done           bool            // it has succeeded
	runtimeRatio   float64         // run time over the expected one, once it has succeeded; 0 if unknown
	avoidedWorkers map[string]bool // workers that failed it or refused it as unhealthy
}

// job is a batch with the state of its tasks. One that was withdrawn before it was admitted
// has no tasks.
type job struct {
	*batch.Batch
	tasks          []*task
	pending        []*task   // tasks to place
	unfinished     int       // number of tasks that have not succeeded
	started        bool      // one of its tasks may have run
	startedAt      time.Time // when its first run was started or found by this holder
	startedBefore  bool      // its entry says that a holder, this one or an earlier one, may have started it
	result         batch.Result
	abandoned      bool            // no entry waits for it
	withdrawn      bool            // its client has left
	askedAt        time.Time       // when an entry that waits for it sent its last message about it
	earlierRunsEnd time.Time       // when runs started by an earlier holder that has given up the group have ended, at the latest
	earlierJobEnd  time.Time       // when an earlier holder that has not noticed its replacement has abandoned the job
	forgetAt       time.Time       // when its result is forgotten
	objective      time.Time       // when it should be completed
	inWaiting      bool            // it is in Plan.waiting
	baseTimes      []time.Duration // run time of a task on a worker with a slowdown factor of 1, by step
	latestStart    time.Time       // last moment at which it can start and still meet its objective
	priorityDelay  time.Duration   // by how much its turn comes later than with priority 0; 0 without priorities
	late           bool            // likelyMisses at the last sort of Plan.waiting
	trial          bool            // its base times are those that its client states, as those of its queue would refuse it
	trialSucceeded bool            // a task of the trial job has succeeded
	bytes          int64           // that count in Plan.jobBytes
}

// Admit adds a job; completed names its tasks that have succeeded under an earlier holder.
// A job that is already known continues, or has its result delivered again. A delayed
// message of an attempt that was refused or withdrawn must start nothing, but a new attempt
// of the client may. Nor may one start anything that is so old that the job would be abandoned, or that a
// client has cancelled.
func (p *Plan) Admit(b *batch.Batch, completed []string, now time.Time) {
	p.now = now
	if p.options.Cancelled(b.ID) {
		p.admitCancelled(b)
		return
	}
	if !p.abandonTime(b, p.askedAt(b)).After(now) {
		return // its client may have sent it again by now; an entry that still waits will ask again
	}
	j, known := p.jobs[b.ID]
	isNew := !known || j.Attempt != b.Attempt && (len(j.tasks) == 0 || j.wasRefused())
	switch {
	case isNew:
		if p.sendHome(b) {
			return
		}
		if p.lacksMemory(b, completed) {
			p.refuseForMemory(b)
			return
		}
		j = p.newJob(b, completed)
	case j.withdrawn && j.Attempt == b.Attempt:
		return
	case j.resultApplies(b):
		j.Batch, j.result.Attempt = j.withOwnWork(b), b.Attempt // its own work, since that counts in jobBytes
		p.emit(Order{Kind: DeliverResult, Batch: b, Result: j.result})
		return
	case j.result.State.Ended():
		if p.sendHome(b) {
			return
		}
		p.reopen(j, j.withOwnWork(b))
		p.noteCompleted(j, completed)
	default:
		j.Batch = j.withOwnWork(b)
		p.noteCompleted(j, completed)
	}
	j.noteAsked(p.askedAt(b))
	j.addLosses(b.Losses)
	if p.endCrashing(j) {
		return
	}
	if j.unfinished == 0 {
		p.deliver(j, batch.Result{State: batch.Completed})
		return
	}
	if reason := p.unservableReason(j); reason != "" {
		p.giveUp(j, reason)
		return
	}
	if isNew {
		p.noteArrival(j)
	}
	p.placeNewJob(j)
}

// resultApplies reports whether the result of the job also answers a new message about it.
// A refused job, or one whose outcome is unknown, may be tried again in a new attempt. One that was moved
// and has been sent back stays here.
func (j *job) resultApplies(b *batch.Batch) bool {
	if j.abandoned || !j.result.State.Ended() || j.result.State == batch.Moved && b.StartedHere {
		return false
	}
	retryable := j.result.State == batch.Refused || j.result.State == batch.Unknown
	return !retryable || j.Attempt == b.Attempt
}

// wasRefused reports whether the job was refused, so that nothing of it has run. Its ID names no job then,
// and the next request under it may bring another one.
func (j *job) wasRefused() bool { return j.result.State == batch.Refused && !j.started }

// withOwnWork returns the batch of a further request about the job. The work stays that of the first
// request: its tasks may have been started.
func (j *job) withOwnWork(b *batch.Batch) *batch.Batch {
	further := *b
	further.Spec, further.Steps = j.Spec, j.Steps
	return &further
}

// newJob adds a job. Tasks that have succeeded already are done, and those that run are
// adopted.
func (p *Plan) newJob(b *batch.Batch, completed []string) *job {
	j := p.draftJob(b)
	j.started, j.startedBefore = b.MaybeStarted || len(completed) > 0, b.MaybeStarted
	p.awaitEarlierRuns(j)
	p.keep(j)
	completedNames := map[string]bool{}
	for _, name := range completed {
		completedNames[name] = true
	}
	for _, t := range j.tasks {
		if _, found := p.earlyCompletions[t.name]; found || completedNames[t.name] {
			t.done, j.started = true, true
			delete(p.earlyCompletions, t.name)
			continue
		}
		j.unfinished++
		if !p.adopt(t) {
			p.requeue(t)
		}
	}
	return j
}

// draftJob returns a job with its tasks and expected run times, without adding it to the plan.
func (p *Plan) draftJob(b *batch.Batch) *job {
	j := &job{Batch: b, result: batch.Result{ID: b.ID, State: batch.Pending}}
	if p.options.Priorities {
		j.priorityDelay = order.Delay(b.Priority)
	}
	for n, s := range b.Steps {
		j.baseTimes = append(j.baseTimes, p.estimator.BaseRuntime(b.Queue, s.Hint))
		for i := range s.Count {
			j.tasks = append(j.tasks, &task{job: j, step: n, name: batch.TaskName(b.ID, 0, n, i)})
		}
	}
	p.setObjective(j)
	return j
}

// noteCompleted marks tasks of a known job as done that have succeeded under another holder. The caller
// delivers the result if none is left.
func (p *Plan) noteCompleted(j *job, completed []string) {
	for _, t := range j.tasks {
		if t.done || !slices.Contains(completed, t.name) {
			continue
		}
		if t.activeRun != nil {
			p.stopRun(t.activeRun, "another run of its task has succeeded")
		}
		t.done, j.started = true, true
		j.unfinished--
		j.removePending(t)
	}
}

// setObjective computes when a job should be completed, and its latest start, from its base times.
func (p *Plan) setObjective(j *job) {
	// Factors of workers and base times of queues are learned together, so both may drift
	// by a common factor. The mean factor of the service's workers corrects for that.
	longest := float64(slices.Max(j.baseTimes)) * p.meanFactor[j.Service]
	j.objective = j.ArrivedAt.Add(time.Duration(longest*j.Stretch) + j.Slack)
	// The mean factor rather than that of the fastest worker: with the latter, jobs started
	// at their last moment mostly miss their objective, and under overload all of them start
	// at their last moment.
	j.latestStart = j.objective.Add(-time.Duration(longest))
}

// adopt attaches a run that an earlier holder started to its task and reports whether it
// did. A run on a worker that is not ready, or one that is being stopped, is not adopted.
func (p *Plan) adopt(t *task) bool {
	adoptable := -1
	runs := p.unaccountedRuns[t.name]
	for i, r := range runs {
		t.lastRunNumber = max(t.lastRunNumber, r.runKey.run)
		t.job.noteStarted(p.now)
		if r.worker.state == ready && r.stopSentAt.IsZero() {
			adoptable = i
		}
	}
	if adoptable < 0 {
		return false
	}
	p.attachRun(runs[adoptable], t)
	return true
}

// attachRun makes an unaccounted run the active run of a task. Its resources become those
// that the task's step needs.
func (p *Plan) attachRun(r *run, t *task) {
	p.dropUnaccounted(r)
	r.worker.used = r.worker.used.Sub(r.resources)
	r.cold = r.worker.cold
	r.task, r.phase, r.resources = t, running, t.job.Steps[t.step].Resources
	r.worker.used = r.worker.used.Add(r.resources)
	r.sentAt, r.expectedEnd = time.Time{}, r.startedAt.Add(p.expectedTime(t, r.worker))
	t.activeRun = r
	t.job.noteStarted(p.now)
}

// reopen continues a job that was abandoned, withdrawn, refused or given up, when a message
// arrives to which its result does not apply, see resultApplies.
func (p *Plan) reopen(j *job, b *batch.Batch) {
	j.Batch, j.abandoned, j.withdrawn, j.started, j.startedBefore = b, false, false, true, b.MaybeStarted
	p.awaitEarlierRuns(j)
	j.result = batch.Result{ID: b.ID, State: batch.Pending}
	for _, t := range j.tasks {
		if !t.done && t.activeRun == nil {
			p.requeue(t)
		}
	}
}

// requeue makes a task pending, unless it is done or its job has ended.
func (p *Plan) requeue(t *task) {
	j := t.job
	if t.done || j.abandoned || j.result.State.Ended() {
		return
	}
	if slices.Contains(j.pending, t) {
		return
	}
	j.pending = append(j.pending, t)
	p.requeued = true
	if !j.inWaiting {
		j.inWaiting = true
		p.waiting = append(p.waiting, j)
		p.waitingSorted = false
	}
}

// KeepAlive records that an entry waited for a job at a time. It returns the job's state and
// losses, with its result if it has ended, and whether the job is known.
func (p *Plan) KeepAlive(id string, askedAt time.Time) (batch.Result, bool) {
	j, known := p.jobs[id]
	if !known || j.abandoned {
		return batch.Result{}, false
	}
	j.noteAsked(askedAt)
	result := j.result
	result.Losses = j.losses()
	return result, true
}

// askedAt returns when an entry sent a job.
func (p *Plan) askedAt(b *batch.Batch) time.Time {
	if b.AskedAt.IsZero() || b.AskedAt.After(p.now) {
		return p.now
	}
	return b.AskedAt
}

// noteAsked records that an entry sent a message about the job at a time. An earlier message may be
// read after a later one.
func (j *job) noteAsked(at time.Time) {
	if at.After(j.askedAt) {
		j.askedAt = at
	}
}

// abandonTime returns when a job is abandoned whose entry has asked for it last at a time. It counts from
// the sending of that message, since the entry may have been lost right after, and its client sends the
// job again then.
func (p *Plan) abandonTime(b *batch.Batch, askedAt time.Time) time.Time {
	margin := abandonMargin
	if b.SpilledOver {
		margin = spilloverAbandonMargin
	}
	return askedAt.Add(max(p.options.ClientRetryAfter-margin, minAbandonDelay))
}

// abandon ends a job that no entry waits for, without delivering its result.
func (p *Plan) abandon(j *job, result batch.Result) {
	j.abandoned = true
	p.endJob(j, result)
}

// deliver ends a job and delivers its result to its entry.
func (p *Plan) deliver(j *job, result batch.Result) {
	p.endJob(j, result)
	p.emit(Order{Kind: DeliverResult, Batch: j.Batch, Result: j.result})
}

// endJob sets the result of a job and stops its runs. A moved job keeps running, so that
// another holder can adopt its runs.
func (p *Plan) endJob(j *job, result batch.Result) {
	result.ID, result.Attempt = j.ID, j.Attempt
	j.result, j.pending = result, nil
	j.forgetAt = p.now.Add(p.options.ResultRetention)
	if result.State == batch.Moved {
		return
	}
	for _, t := range j.tasks {
		if t.activeRun != nil {
			p.stopRun(t.activeRun, result.Reason)
		}
	}
}

// refuse refuses a job of which nothing has run, with the time at which its client should
// send it again.
func (p *Plan) refuse(j *job, reason string) {
	p.deliver(j, batch.Result{State: batch.Refused, Reason: reason, RetryAt: p.retryTime(j)})
}

// reasonAbandoned is the reason for cancelling a job whose entry has failed or no longer
// polls for it.
const reasonAbandoned = "its entry no longer asks for it"

// giveUp ends a job that can no longer be completed before its client leaves. If a task may
// have run, the outcome is unknown; otherwise the job is refused.
func (p *Plan) giveUp(j *job, reason string) {
	if j.started {
		p.deliver(j, batch.Result{State: batch.Unknown, Reason: reason})
		return
	}
	p.refuse(j, reason)
}

// checkJob forgets an old result, abandons a job that no entry asks for, and gives up one
// that can no longer be completed before its client leaves.
func (p *Plan) checkJob(j *job) {
	switch {
	case j.result.State.Ended():
		if j.forgetAt.Before(p.now) && !j.hasActiveRun() {
			p.forget(j)
		}
	case p.abandonTime(j.Batch, j.askedAt).Before(p.now):
		p.abandon(j, batch.Result{State: batch.Cancelled, Reason: reasonAbandoned})
	case j.ExpiresAt.Before(p.now):
		p.giveUp(j, "its client's time is over")
	case len(j.pending) > 0:
		if t := j.pending[0]; p.now.Add(p.shortestTime(t)).After(j.ExpiresAt) {
			p.giveUp(j, "too little is left of its client's time")
		}
	}
}

// hasActiveRun reports whether any task has an active run.
func (j *job) hasActiveRun() bool {
	for _, t := range j.tasks {
		if t.activeRun != nil {
			return true
		}
	}
	return false
}

// removePending removes a task from the pending ones, if it is among them.
func (j *job) removePending(t *task) {
	if i := slices.Index(j.pending, t); i >= 0 {
		j.pending = slices.Delete(j.pending, i, i+1)
	}
}

// completeTask records that a task has succeeded, and completes its job with the last one.
func (p *Plan) completeTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	j := t.job
	j.unfinished--
	j.removePending(t)
	if j.unfinished == 0 && !j.result.State.Ended() {
		p.deliver(j, batch.Result{State: batch.Completed})
	}
}
