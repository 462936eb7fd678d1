package plan

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// task is one task of a job.
type task struct {
	job     *job
	step    int
	name    string
	current *run
	lastRun int
	fails   int
	moves   int
	done    bool
	avoid   map[string]bool // workers on which it failed or stood still
}

// job is one batch with the state of its tasks.
type job struct {
	*batch.Batch
	tasks     []*task
	pending   []*task // to be placed
	left      int     // tasks that have not ended well
	started   bool    // a task may have run
	again     bool    // it came as one that an earlier holder, or this one, may have started
	result    batch.Result
	dropped   bool // nobody waits for it
	withdrawn bool // by its client
	wanted    time.Time
	safeAt    time.Time // when nothing of an earlier holder can run any more
	forgetAt  time.Time
	objective time.Time
	queued    bool            // in the list of jobs with tasks to place
	bases     []time.Duration // run time of a task at the speed 1, by step
	latest    time.Time       // moment to start and still meet the objective
	late      bool
}

// Admit takes a job. One that is known goes on, or has its result told again. A
// message of a request that was refused or withdrawn, and that arrives late, must
// start nothing; another request of the client may.
func (p *Plan) Admit(b *batch.Batch, done []string, now time.Time) {
	p.at = now
	j, known := p.jobs[b.ID]
	switch {
	case !known || len(j.tasks) == 0 && j.Attempt != b.Attempt:
		j = p.newJob(b, done)
	case j.withdrawn && j.Attempt == b.Attempt:
		return
	case j.over(b):
		j.Batch, j.result.Attempt = b, b.Attempt
		p.order(Order{Kind: Settle, Batch: b, Result: j.result})
		return
	case j.result.State.Ended():
		p.revive(j, b)
	default:
		j.Batch = b
	}
	p.want(j)
	if j.left == 0 {
		p.settle(j, batch.Result{State: batch.Completed})
		return
	}
	if reason := p.hopeless(j); reason != "" {
		p.giveUp(j, reason)
		return
	}
	p.placeNew(j)
}

// over tells whether the result of the job is also that of a request.
func (j *job) over(b *batch.Batch) bool {
	if j.dropped || !j.result.State.Ended() {
		return false
	}
	again := j.result.State == batch.Refused || j.result.State == batch.Unknown
	return !again || j.Attempt == b.Attempt
}

func (p *Plan) newJob(b *batch.Batch, done []string) *job {
	j := &job{Batch: b, result: batch.Result{ID: b.ID, State: batch.Pending}, started: b.MaybeStarted, again: b.MaybeStarted, safeAt: p.leaseEnd(p.at)}
	p.jobs[b.ID] = j
	ended := map[string]bool{}
	for _, name := range done {
		ended[name] = true
	}
	longest := time.Duration(0)
	for n, s := range b.Steps {
		j.bases = append(j.bases, p.pace.BaseRuntime(b.Queue, s.Hint))
		longest = max(longest, j.bases[n])
		for i := range s.Count {
			t := &task{job: j, step: n, name: batch.TaskName(b.ID, 0, n, i)}
			if _, there := p.orphans[t.name]; there || ended[t.name] {
				t.done = true
				delete(p.orphans, t.name)
			}
			j.tasks = append(j.tasks, t)
		}
	}
	// Factors and run times are learned together and may drift against each other;
	// the objective is that of a worker of the usual speed.
	j.objective = b.ArrivedAt.Add(time.Duration(float64(longest)*p.usual[b.Service]*b.Stretch) + b.Slack)
	// With the speed of the fastest worker, jobs that are started at their last moment
	// mostly miss their objective, and under overload all are.
	j.latest = j.objective.Add(-time.Duration(float64(longest) * p.usual[b.Service]))
	for _, t := range j.tasks {
		if t.done {
			continue
		}
		j.left++
		if !p.adopt(t) {
			p.requeue(t)
		}
	}
	return j
}

// adopt finds a run of the task that an earlier holder started.
func (p *Plan) adopt(t *task) bool {
	r, there := p.strays[t.name]
	if !there {
		return false
	}
	t.lastRun = max(t.lastRun, r.runKey.run)
	t.job.started = true
	if r.worker.standing != ready || !r.stopAt.IsZero() {
		return false
	}
	p.own(r, t)
	return true
}

// own makes a foreign run one of a task of this holder.
func (p *Plan) own(r *run, t *task) {
	delete(p.strays, t.name)
	r.worker.used = r.worker.used.Sub(r.room)
	r.task, r.phase, r.room = t, running, t.job.Steps[t.step].Resources
	r.worker.used = r.worker.used.Add(r.room)
	r.sentAt, r.expected = time.Time{}, r.beganAt.Add(p.expect(t, r.worker))
	t.current = r
}

// revive takes a job again that was given up or whose client had left.
func (p *Plan) revive(j *job, b *batch.Batch) {
	j.Batch, j.dropped, j.withdrawn, j.started, j.again, j.safeAt = b, false, false, true, b.MaybeStarted, p.leaseEnd(p.at)
	j.result = batch.Result{ID: b.ID, State: batch.Pending}
	for _, t := range j.tasks {
		if !t.done && t.current == nil {
			p.requeue(t)
		}
	}
}

// requeue lets a task wait for a worker.
func (p *Plan) requeue(t *task) {
	j := t.job
	if t.done || j.dropped || j.result.State.Ended() {
		return
	}
	if slices.Contains(j.pending, t) {
		return
	}
	j.pending = append(j.pending, t)
	p.returned = true
	if !j.queued {
		j.queued = true
		p.waiting = append(p.waiting, j)
		p.arranged = false
	}
}

// Withdraw drops a job whose client has left: what runs of it is stopped. It may
// come before the job.
func (p *Plan) Withdraw(id string, attempt uint64, now time.Time) {
	p.at = now
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
	p.place()
}

// Wanted notes that an entry still waits for a job, and gives its result where
// it has ended. It tells whether the job is known.
func (p *Plan) Wanted(id string, now time.Time) (batch.Result, bool) {
	p.at = now
	j, known := p.jobs[id]
	if !known || j.dropped {
		return batch.Result{}, false
	}
	p.want(j)
	return j.result, true
}

// want puts off the moment at which a job that is not asked for is dropped.
func (p *Plan) want(j *job) {
	margin := wantedMargin
	if j.SpilledOver {
		margin = awayMargin
	}
	j.wanted = p.at.Add(max(p.options.Resend-margin, wantedLeast))
}

// abandon ends a job that nobody waits for, without telling anybody.
func (p *Plan) abandon(j *job, result batch.Result) {
	j.dropped = true
	p.end(j, result)
}

// settle ends a job and tells its entry.
func (p *Plan) settle(j *job, result batch.Result) {
	p.end(j, result)
	p.order(Order{Kind: Settle, Batch: j.Batch, Result: j.result})
}

func (p *Plan) end(j *job, result batch.Result) {
	result.ID, result.Attempt = j.ID, j.Attempt
	j.result, j.pending = result, nil
	j.forgetAt = p.at.Add(p.options.Keep)
	if result.State == batch.Moved {
		return
	}
	for _, t := range j.tasks {
		if t.current != nil {
			p.stop(t.current, result.Reason)
		}
	}
}

// refuse turns a job away of which nothing has run.
func (p *Plan) refuse(j *job, reason string) {
	p.settle(j, batch.Result{State: batch.Refused, Reason: reason, RetryAt: p.at.Add(p.drained(j))})
}

// unwanted is why a job is dropped whose entry is lost or has given it up.
const unwanted = "its entry no longer asks for it"

// giveUp ends a job that can no longer be served in its client's time.
func (p *Plan) giveUp(j *job, reason string) {
	if j.started {
		p.settle(j, batch.Result{State: batch.Unknown, Reason: reason})
		return
	}
	p.refuse(j, reason)
}

// age applies the passing of time to a job.
func (p *Plan) age(j *job) {
	switch {
	case j.result.State.Ended():
		if j.forgetAt.Before(p.at) && !j.runs() {
			delete(p.jobs, j.ID)
		}
	case j.wanted.Before(p.at):
		p.abandon(j, batch.Result{State: batch.Cancelled, Reason: unwanted})
	case j.ExpiresAt.Before(p.at):
		p.giveUp(j, "its client's time is over")
	case len(j.pending) > 0:
		if t := j.pending[0]; p.at.Add(p.soonest(t)).After(j.ExpiresAt) {
			p.giveUp(j, "too little is left of its client's time")
		}
	}
}

func (j *job) runs() bool {
	for _, t := range j.tasks {
		if t.current != nil {
			return true
		}
	}
	return false
}

// unqueue takes a task from those that wait for a worker.
func (j *job) unqueue(t *task) {
	if i := slices.Index(j.pending, t); i >= 0 {
		j.pending = slices.Delete(j.pending, i, i+1)
	}
}

// finish notes that a task has ended well.
func (p *Plan) finish(t *task) {
	if t.done {
		return
	}
	t.done = true
	j := t.job
	j.left--
	j.unqueue(t)
	if j.left == 0 && !j.result.State.Ended() {
		p.settle(j, batch.Result{State: batch.Completed})
	}
}
