package plan

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// task is one task of a job.
type task struct {
	job            *job
	step           int
	name           string
	activeRun      *run
	lastRunNumber  int
	failures       int
	stalls         int
	done           bool
	avoidedWorkers map[string]bool // workers on which it failed or stood still
}

// job is one batch with the state of its tasks.
type job struct {
	*batch.Batch
	tasks          []*task
	pending        []*task // to be placed
	unfinished     int     // tasks that have not ended well
	started        bool    // a task may have run
	startedBefore  bool    // it came as one that an earlier holder, or this one, may have started
	result         batch.Result
	abandoned      bool // nobody waits for it
	withdrawn      bool // by its client
	abandonAt      time.Time
	earlierRunsEnd time.Time // when nothing of an earlier holder can run any more
	forgetAt       time.Time
	objective      time.Time
	inWaiting      bool            // in the list of jobs with tasks to place
	baseTimes      []time.Duration // run time of a task at the speed 1, by step
	latestStart    time.Time       // moment to start and still meet the objective
	late           bool
}

// Admit takes a job. One that is known goes on, or has its result told again. A
// message of a request that was refused or withdrawn, and that arrives late, must
// start nothing; another request of the client may.
func (p *Plan) Admit(b *batch.Batch, completed []string, now time.Time) {
	p.now = now
	j, known := p.jobs[b.ID]
	switch {
	case !known || len(j.tasks) == 0 && j.Attempt != b.Attempt:
		j = p.newJob(b, completed)
	case j.withdrawn && j.Attempt == b.Attempt:
		return
	case j.resultApplies(b):
		j.Batch, j.result.Attempt = b, b.Attempt
		p.emit(Order{Kind: DeliverResult, Batch: b, Result: j.result})
		return
	case j.result.State.Ended():
		p.reopen(j, b)
	default:
		j.Batch = b
	}
	p.postponeAbandon(j)
	if j.unfinished == 0 {
		p.deliver(j, batch.Result{State: batch.Completed})
		return
	}
	if reason := p.unservableReason(j); reason != "" {
		p.giveUp(j, reason)
		return
	}
	p.placeNewJob(j)
}

// resultApplies tells whether the result of the job is also that of a request.
func (j *job) resultApplies(b *batch.Batch) bool {
	if j.abandoned || !j.result.State.Ended() {
		return false
	}
	retryable := j.result.State == batch.Refused || j.result.State == batch.Unknown
	return !retryable || j.Attempt == b.Attempt
}

func (p *Plan) newJob(b *batch.Batch, completed []string) *job {
	j := &job{Batch: b, result: batch.Result{ID: b.ID, State: batch.Pending}, started: b.Again, startedBefore: b.Again, earlierRunsEnd: p.leaseEnd(p.now)}
	p.jobs[b.ID] = j
	completedNames := map[string]bool{}
	for _, name := range completed {
		completedNames[name] = true
	}
	longest := time.Duration(0)
	for n, s := range b.Steps {
		j.baseTimes = append(j.baseTimes, p.pace.Base(b.Queue, s.Hint))
		longest = max(longest, j.baseTimes[n])
		for i := range s.Count {
			t := &task{job: j, step: n, name: batch.TaskName(b.ID, 0, n, i)}
			if _, there := p.earlyCompletions[t.name]; there || completedNames[t.name] {
				t.done = true
				delete(p.earlyCompletions, t.name)
			}
			j.tasks = append(j.tasks, t)
		}
	}
	// Factors and run times are learned together and may drift against each other;
	// the objective is that of a worker of the usual speed.
	j.objective = b.Arrived.Add(time.Duration(float64(longest)*p.meanFactor[b.Service]*b.Stretch) + b.Slack)
	// With the speed of the fastest worker, jobs that are started at their last moment
	// mostly miss their objective, and under overload all are.
	j.latestStart = j.objective.Add(-time.Duration(float64(longest) * p.meanFactor[b.Service]))
	for _, t := range j.tasks {
		if t.done {
			continue
		}
		j.unfinished++
		if !p.adopt(t) {
			p.requeue(t)
		}
	}
	return j
}

// adopt finds a run of the task that an earlier holder started.
func (p *Plan) adopt(t *task) bool {
	r, there := p.unaccountedRuns[t.name]
	if !there {
		return false
	}
	t.lastRunNumber = max(t.lastRunNumber, r.runKey.run)
	t.job.started = true
	if r.worker.state != ready || !r.stopSentAt.IsZero() {
		return false
	}
	p.attachRun(r, t)
	return true
}

// attachRun makes a foreign run one of a task of this holder.
func (p *Plan) attachRun(r *run, t *task) {
	delete(p.unaccountedRuns, t.name)
	r.worker.used = r.worker.used.Minus(r.room)
	r.task, r.phase, r.room = t, running, t.job.Steps[t.step].Room
	r.worker.used = r.worker.used.Plus(r.room)
	r.sentAt, r.expectedEnd = time.Time{}, r.startedAt.Add(p.expectedTime(t, r.worker))
	t.activeRun = r
}

// reopen takes a job again that was given up or whose client had left.
func (p *Plan) reopen(j *job, b *batch.Batch) {
	j.Batch, j.abandoned, j.withdrawn, j.started, j.startedBefore, j.earlierRunsEnd = b, false, false, true, b.Again, p.leaseEnd(p.now)
	j.result = batch.Result{ID: b.ID, State: batch.Pending}
	for _, t := range j.tasks {
		if !t.done && t.activeRun == nil {
			p.requeue(t)
		}
	}
}

// requeue lets a task wait for a worker.
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

// Withdraw drops a job whose client has left: what runs of it is stopped. It may
// come before the job.
func (p *Plan) Withdraw(id string, attempt uint64, now time.Time) {
	p.now = now
	j, known := p.jobs[id]
	switch {
	case !known:
		j = &job{Batch: &batch.Batch{ID: id, Attempt: attempt}}
		p.jobs[id] = j
	case j.Attempt != attempt || j.result.State.Ended():
		return
	}
	j.withdrawn = true
	p.abandon(j, batch.Result{State: batch.Cancelled, Reason: "its client has left"})
	p.placeAll()
}

// KeepAlive notes that an entry still waits for a job, and gives its result where
// it has ended. It tells whether the job is known.
func (p *Plan) KeepAlive(id string, now time.Time) (batch.Result, bool) {
	p.now = now
	j, known := p.jobs[id]
	if !known || j.abandoned {
		return batch.Result{}, false
	}
	p.postponeAbandon(j)
	return j.result, true
}

// postponeAbandon puts off the moment at which a job that is not asked for is dropped.
func (p *Plan) postponeAbandon(j *job) {
	margin := abandonMargin
	if j.Away {
		margin = spilloverAbandonMargin
	}
	j.abandonAt = p.now.Add(max(p.options.ClientRetryAfter-margin, minAbandonDelay))
}

// abandon ends a job that nobody waits for, without telling anybody.
func (p *Plan) abandon(j *job, result batch.Result) {
	j.abandoned = true
	p.endJob(j, result)
}

// deliver ends a job and tells its entry.
func (p *Plan) deliver(j *job, result batch.Result) {
	p.endJob(j, result)
	p.emit(Order{Kind: DeliverResult, Batch: j.Batch, Result: j.result})
}

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

// refuse turns a job away of which nothing has run.
func (p *Plan) refuse(j *job, reason string) {
	p.deliver(j, batch.Result{State: batch.Refused, Reason: reason, RetryAt: p.now.Add(p.queueDelay(j))})
}

// reasonAbandoned is why a job is dropped whose entry is lost or has given it up.
const reasonAbandoned = "its entry no longer asks for it"

// giveUp ends a job that can no longer be served in its client's time.
func (p *Plan) giveUp(j *job, reason string) {
	if j.started {
		p.deliver(j, batch.Result{State: batch.Unknown, Reason: reason})
		return
	}
	p.refuse(j, reason)
}

// checkJob applies the passing of time to a job.
func (p *Plan) checkJob(j *job) {
	switch {
	case j.result.State.Ended():
		if j.forgetAt.Before(p.now) && !j.hasActiveRun() {
			delete(p.jobs, j.ID)
		}
	case j.abandonAt.Before(p.now):
		p.abandon(j, batch.Result{State: batch.Cancelled, Reason: reasonAbandoned})
	case j.Expires.Before(p.now):
		p.giveUp(j, "its client's time is over")
	case len(j.pending) > 0:
		if t := j.pending[0]; p.now.Add(p.shortestTime(t)).After(j.Expires) {
			p.giveUp(j, "too little is left of its client's time")
		}
	}
}

func (j *job) hasActiveRun() bool {
	for _, t := range j.tasks {
		if t.activeRun != nil {
			return true
		}
	}
	return false
}

// removePending takes a task from those that wait for a worker.
func (j *job) removePending(t *task) {
	if i := slices.Index(j.pending, t); i >= 0 {
		j.pending = slices.Delete(j.pending, i, i+1)
	}
}

// completeTask notes that a task has ended well.
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
