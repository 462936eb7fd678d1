// Package batch defines jobs, whose tasks run on workers with enough free resources.
package batch

import (
	"strconv"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

// QueueSettings are the settings of a queue in the operators' configuration.
type QueueSettings struct {
	Queue       string // name of the route
	Service     string
	Version     int64         // of the configuration that the settings come from
	Priority    int           // 0 is the highest
	MaxAttempts int           // failed runs of one task after which the job fails
	Stretch     float64       // factor on the expected run time for the objective
	Slack       time.Duration // added to the run time times Stretch for the objective
	Timeout     time.Duration // of the route, 0 for none
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count         int
	Resources     resources.Resources
	Hint          time.Duration // the client's estimate of a task's run time
	DependsOn     []int         // indexes of steps that must complete first
	RequiredLabel string        // a worker needs this label
	DataRack      string        // rack that holds the data of the tasks
	MaxPerWorker  int           // maximum number of tasks on one worker, 0 for no limit
	SameRack      bool          // all tasks run in one rack
	Gang          bool          // all tasks start together or none
	Speculative   bool          // a task may have two runs at the same time
	Checkpointing bool          // tasks save their progress
	LongRunning   bool          // tasks run until the job is cancelled
	Backfill      bool          // tasks use only resources that no other task needs
}

// MaxAskDelay bounds how long a client may have left unnoticed when its entry asks for its job. The interest
// in a job ends that much sooner.
const MaxAskDelay = 50 * time.Millisecond

// Batch is one job. Holders keep it, so it must not change once it has been sent to one.
type Batch struct {
	QueueSettings
	ID           string
	Spec         string // passed to the workers unchanged
	Steps        []Step
	Durable      bool   // must survive the loss of entries; the client asks for the result later
	Occurrences  int    // entries refuse jobs with a value above 0
	WaitingEntry string // ID of the entry that waits for the result
	Attempt      uint64 // distinguishes requests of the client for the same job
	ArrivedAt    time.Time
	ExpiresAt    time.Time // when the client stops waiting
	AskedAt      time.Time // when WaitingEntry sent the job to the present holder, at the latest
	MaybeStarted bool      // a holder may have started tasks of it before
	SpilledOver  bool      // comes from another availability zone that lacked free resources
	StartedHere  bool      // the holder of another group has said that the present group has started it
	Losses       []Losses  // counted by earlier holders
}

// Tasks returns the number of tasks in all steps.
func (b *Batch) Tasks() int {
	total := 0
	for _, s := range b.Steps {
		total += s.Count
	}
	return total
}

// Estimates of the memory that an entry or a holder takes for a job, in bytes.
const (
	TaskBytes = 400
	StepBytes = 300
	// dependencyBytes is the size of an entry of Step.DependsOn.
	dependencyBytes = 8
)

// Bytes returns an estimate of the memory in bytes that the job takes in a process. Clients choose the lengths of texts
// and lists.
func (b *Batch) Bytes() int64 {
	bytes := len(b.Spec) + b.Tasks()*TaskBytes
	for i := range b.Steps {
		s := &b.Steps[i]
		bytes += StepBytes + len(s.RequiredLabel) + len(s.DataRack) + cap(s.DependsOn)*dependencyBytes
	}
	return int64(bytes)
}

// TaskName returns the name of a task on workers. occurrence is 0 for jobs that run
// once.
func TaskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// ParseTaskName returns the job ID, step and index of a task's name. ok is false for
// names that are malformed or have an occurrence other than 0.
func ParseTaskName(name string) (id string, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[1] != "0" {
		return "", 0, 0, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", 0, 0, false
	}
	index, err = strconv.Atoi(parts[3])
	return parts[0], step, index, err == nil && step >= 0 && index >= 0
}

// State is the state of a job as reported to clients.
type State string

// States of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Refused   State = "refused" // no task has run or will run
	Unknown   State = "unknown" // given up with unknown outcome, as some task may have run
	Moved     State = "moved"   // another holder must schedule it
)

// Ended reports whether the state is final at this holder.
func (s State) Ended() bool { return s != Pending && s != Running }

// Result is the outcome of a job. RetryAt is set if the job was refused.
type Result struct {
	ID             string
	State          State
	Reason         string
	RetryAt        time.Time
	CompletedTasks []string // names of tasks completed before the job moved
	TargetGroup    string   // group of workers that must take the job, of which nothing has started in the present one
	Started        bool     // TargetGroup has started the job before
	Attempt        uint64   // that of the Batch
	Losses         []Losses // of the tasks that have lost runs, while the job has not been answered
}
