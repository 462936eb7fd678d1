// Package job holds a set of tasks that is admitted whole and answered complete or failed.
package job

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/refusal"
)

// Task is one piece of work of a job. Hint is the caller's guess of its run
// time, zero for none.
type Task struct {
	Body []byte
	Type string
	Hint time.Duration
}

// Answer is the whole answer to one task.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// State is where a job stands.
type State string

// The states. Complete and Failed are final.
const (
	Running  State = "running"
	Complete State = "complete"
	Failed   State = "failed"
)

// Job is the aggregate of the tasks and their answers. It keeps the bundle it
// was admitted under. The exported fields are not changed after New, but for
// Tasks, which Release empties.
type Job struct {
	Key      string
	Digest   string // of the submitted body
	Tenant   string
	Service  *bundle.Service
	Bundle   *bundle.Bundle
	Request  bool // one call that a person waits for
	Tasks    []Task
	Arrived  time.Time
	Deadline time.Time
	Room     int64 // bytes of all answers at most, 0 for no bound

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	state   State
	count   int // tasks
	ideal   time.Duration
	answers []Answer
	left    int
	started int
	bytes   int64
	ended   time.Time
	failure *refusal.Refusal
	dropped bool
	done    chan struct{}
}

// New starts the life of a job; its context ends with parent, at its deadline,
// and when the job is answered.
func New(parent context.Context, j *Job) *Job {
	j.ctx, j.cancel = context.WithDeadline(parent, j.Deadline)
	j.state = Running
	j.answers = make([]Answer, len(j.Tasks))
	j.count = len(j.Tasks)
	j.left = j.count
	j.done = make(chan struct{})
	context.AfterFunc(j.ctx, j.expire)
	return j
}

func (j *Job) expire() {
	kind, detail := refusal.DeadlineExceeded, "the deadline passed before the answer was complete"
	if context.Cause(j.ctx) == context.Canceled {
		kind, detail = refusal.Draining, "the entry stopped before the answer was complete"
	}
	j.Fail(refusal.New(kind, refusal.NotRun, detail))
}

// Context ends when the job has no more use for its tasks.
func (j *Job) Context() context.Context { return j.ctx }

// Done is closed when the job is complete or failed.
func (j *Job) Done() <-chan struct{} { return j.done }

// Live tells whether tasks of the job may still start.
func (j *Job) Live() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state == Running
}

// List gives the tasks, nil once the job has ended and Release was called. Use
// it in place of the field after New.
func (j *Job) List() []Task {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Tasks
}

// Release frees the tasks of a job that has ended. Its key is remembered for
// long after that, and what was sent to upstreams is of no more use.
func (j *Job) Release() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state != Running {
		j.Tasks = nil
	}
}

// Expect notes the best response that the job could have.
func (j *Job) Expect(ideal time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ideal = ideal
}

// Ideal is what Expect noted.
func (j *Job) Ideal() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ideal
}

// Begin counts a start, and is refused when the job has ended.
func (j *Job) Begin() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state != Running {
		return false
	}
	j.started++
	return true
}

// Undo takes back a Begin for a task that is proved not to have started.
func (j *Job) Undo() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.started--
}

// Finish takes a task's answer. The job is complete with the last one.
func (j *Job) Finish(index int, answer Answer) {
	j.mu.Lock()
	if j.state != Running || j.answers[index].Status != 0 {
		j.mu.Unlock()
		return
	}
	if j.Room > 0 && j.bytes+int64(len(answer.Body)) > j.Room {
		j.mu.Unlock()
		j.Fail(refusal.New(refusal.AnswerTooLarge, refusal.Unknown, "the answers together are over %d bytes", j.Room))
		return
	}
	j.answers[index] = answer
	j.bytes += int64(len(answer.Body))
	j.left--
	complete := j.left == 0
	if complete {
		j.end(Complete)
	}
	j.mu.Unlock()
	if complete {
		j.cancel()
	}
}

// Fail ends the job without an answer. What the refusal says of the outcome is
// corrected by what the job knows: not run is claimed only if nothing started.
func (j *Job) Fail(r *refusal.Refusal) {
	j.mu.Lock()
	if j.state != Running {
		j.mu.Unlock()
		return
	}
	settled := *r
	if settled.Outcome == refusal.NotRun && j.started > 0 {
		settled.Outcome = refusal.Unknown
	}
	j.failure = &settled
	j.answers = nil
	j.end(Failed)
	j.mu.Unlock()
	j.cancel()
}

func (j *Job) end(state State) {
	j.state = state
	j.ended = time.Now()
	close(j.done)
}

// Result gives the state, and the answers when complete or the failure when
// failed. Answers whose room was taken back give a refusal.
func (j *Job) Result() (State, []Answer, *refusal.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state == Complete && j.dropped {
		return Failed, nil, refusal.New(refusal.AnswerNotKept, refusal.Failed, "the job was answered; its answer is no longer kept")
	}
	if j.state != Complete {
		return j.state, nil, j.failure // answers are still being written while it runs
	}
	return j.state, j.answers, j.failure
}

// Ended is the time of the end, zero while running.
func (j *Job) Ended() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// Bytes is the size of the answers so far.
func (j *Job) Bytes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.bytes
}

// Drop frees the answers of a complete job and the tasks' bodies.
func (j *Job) Drop() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state == Running {
		return
	}
	j.answers = nil
	j.dropped = true
}

// Progress gives the number of answered and of all tasks.
func (j *Job) Progress() (int, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.count - j.left, j.count
}
