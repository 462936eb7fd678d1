// Package job provides jobs: sets of tasks that are admitted together and end either
// complete, with an answer for each task, or failed.
package job

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/refusal"
)

// Task is one task of a job. RuntimeHint is the caller's estimate of its run time, zero
// if there is none.
type Task struct {
	Body        []byte
	ContentType string
	RuntimeHint time.Duration
}

// Answer is the complete answer to one task. Status is an HTTP status and not 0, which
// marks a task without an answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// State is the state of a job.
type State string

// The states of a job. Complete and Failed are final.
const (
	Running  State = "running"
	Complete State = "complete"
	Failed   State = "failed"
)

// Job is a set of tasks with their answers. It keeps the bundle that was in force when
// it was admitted. The exported fields do not change after New, except for Tasks,
// which ReleaseTasks sets to nil.
type Job struct {
	Key            string
	Digest         string // of the submitted body
	Tenant         string
	Service        *bundle.Service
	Bundle         *bundle.Bundle
	IsRequest      bool // a single call that a person waits for
	Tasks          []Task
	ArrivedAt      time.Time
	Deadline       time.Time
	MaxAnswerBytes int64 // maximum size of all answers together, 0 for no limit

	mu             sync.Mutex
	ctx            context.Context // endedContext after ReleaseTasks
	cancel         context.CancelFunc
	state          State
	taskCount      int // number of tasks, also after ReleaseTasks
	idealResponse  time.Duration
	answers        []Answer
	unanswered     int // tasks without an answer
	startedTasks   int // without those that were undone
	answerBytes    int64
	endedAt        time.Time
	failure        *refusal.Refusal
	answersDropped bool
	done           chan struct{}
}

// New initializes a job and returns it. The job's context ends with parent, at the
// deadline or when the job ends.
func New(parent context.Context, j *Job) *Job {
	j.ctx, j.cancel = context.WithDeadline(parent, j.Deadline)
	j.state = Running
	j.answers = make([]Answer, len(j.Tasks))
	j.taskCount = len(j.Tasks)
	j.unanswered = j.taskCount
	j.done = make(chan struct{})
	context.AfterFunc(j.ctx, j.expire)
	return j
}

// expire fails the job when its context has ended.
func (j *Job) expire() {
	kind, detail := refusal.DeadlineExceeded, "the deadline passed before the answer was complete"
	if context.Cause(j.Context()) == context.Canceled {
		kind, detail = refusal.Draining, "the entry stopped before the answer was complete"
	}
	j.Fail(refusal.New(kind, refusal.NotRun, detail))
}

// Context returns a context that ends when the job needs no more work on its tasks.
func (j *Job) Context() context.Context {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ctx
}

// endedContext is the context of all jobs that have ended, so that none keeps its own as long as its key.
var endedContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// Done returns a channel that is closed when the job is complete or failed.
func (j *Job) Done() <-chan struct{} { return j.done }

// IsRunning reports whether tasks of the job may still start.
func (j *Job) IsRunning() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state == Running
}

// TaskList returns the tasks, or nil after ReleaseTasks. Use it instead of the field
// Tasks after New.
func (j *Job) TaskList() []Task {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.Tasks
}

// Estimates of the memory that a job takes until ReleaseTasks besides the bodies of its tasks, in bytes.
const (
	jobOverhead  = 2000 // its context, and what waits for its end
	TaskOverhead = 400  // of each task
)

// PendingBytes returns an estimate of the memory that ReleaseTasks frees, in bytes.
func (j *Job) PendingBytes() int64 {
	total := int64(jobOverhead)
	for _, t := range j.TaskList() {
		total += int64(len(t.Body)) + TaskOverhead
	}
	return total
}

// ReleaseTasks frees the tasks and the context of a job that has ended and does nothing while the job
// runs. The job is kept much longer under its key, but they are no longer needed.
func (j *Job) ReleaseTasks() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state == Running {
		return
	}
	j.cancel()
	j.Tasks, j.ctx, j.cancel = nil, endedContext, func() {}
}

// SetIdealResponse stores the shortest response time that the job could have.
func (j *Job) SetIdealResponse(ideal time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.idealResponse = ideal
}

// IdealResponse returns the time stored by SetIdealResponse.
func (j *Job) IdealResponse() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.idealResponse
}

// BeginTask counts the start of a task. It returns false if the job has ended and the
// task must not start.
func (j *Job) BeginTask() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state != Running {
		return false
	}
	j.startedTasks++
	return true
}

// UndoBegin reverts one BeginTask, for a task that is known not to have started.
func (j *Job) UndoBegin() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startedTasks--
}

// FinishTask stores the answer of a task and completes the job with the last one. It
// ignores further answers of a task and answers after the job has ended. The job
// fails if its answers exceed MaxAnswerBytes.
func (j *Job) FinishTask(index int, answer Answer) {
	j.mu.Lock()
	if j.state != Running || j.answers[index].Status != 0 {
		j.mu.Unlock()
		return
	}
	if j.MaxAnswerBytes > 0 && j.answerBytes+int64(len(answer.Body)) > j.MaxAnswerBytes {
		j.mu.Unlock()
		j.Fail(refusal.New(refusal.AnswerTooLarge, refusal.Unknown, "the answers together are over %d bytes", j.MaxAnswerBytes))
		return
	}
	j.answers[index] = answer
	j.answerBytes += int64(len(answer.Body))
	j.unanswered--
	cancel := func() {}
	if j.unanswered == 0 {
		j.end(Complete)
		cancel = j.cancel
	}
	j.mu.Unlock()
	cancel()
}

// Fail ends the job without an answer, unless it has ended. If a task has started, an
// outcome of not-run in the refusal is replaced by unknown.
func (j *Job) Fail(r *refusal.Refusal) {
	j.mu.Lock()
	if j.state != Running {
		j.mu.Unlock()
		return
	}
	corrected := *r
	if corrected.Outcome == refusal.NotRun && j.startedTasks > 0 {
		corrected.Outcome = refusal.Unknown
	}
	j.failure = &corrected
	j.answers = nil
	j.end(Failed)
	cancel := j.cancel
	j.mu.Unlock()
	cancel()
}

// end sets the final state. The caller holds mu.
func (j *Job) end(state State) {
	j.state = state
	j.endedAt = time.Now()
	close(j.done)
}

// Result returns the state, with the answers of a complete job or the refusal of a
// failed one. A complete job whose answers were dropped is returned as failed.
func (j *Job) Result() (State, []Answer, *refusal.Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state == Complete && j.answersDropped {
		return Failed, nil, refusal.New(refusal.AnswerNotKept, refusal.Failed, "the job was answered; its answer is no longer kept")
	}
	if j.state != Complete {
		return j.state, nil, j.failure // a running job still writes its answers
	}
	return j.state, j.answers, j.failure
}

// EndedAt returns when the job ended, or the zero time while it runs.
func (j *Job) EndedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.endedAt
}

// Bytes returns the total size of the answers received so far. Drop does not change it.
func (j *Job) Bytes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answerBytes
}

// Drop frees the answers of a job that has ended and does nothing while it runs.
func (j *Job) Drop() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state == Running {
		return
	}
	j.answers = nil
	j.answersDropped = true
}

// Progress returns the number of answered tasks and the number of all tasks.
func (j *Job) Progress() (int, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.taskCount - j.unanswered, j.taskCount
}
