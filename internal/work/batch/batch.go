// Package batch describes a job whose tasks run on workers with room.
package batch

import (
	"strconv"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/room"
)

// QueueSettings are what the operators' configuration says of a queue.
type QueueSettings struct {
	Queue       string // name of the route
	Service     string
	Version     int64 // of the configuration that they come from
	Priority    int   // 0 comes first
	MaxAttempts int   // ends as failed that a task may have
	Stretch     float64
	Slack       time.Duration // added to the stretched run time for the objective
	Timeout     time.Duration // of the route, 0 for none
}

// Step is a number of equal tasks.
type Step struct {
	Count         int
	Resources     room.Resources
	Hint          time.Duration // the client's estimate of a task's run time
	DependsOn     []int
	RequiredLabel string // that a worker must have
	DataRack      string // where the data lie
	MaxPerWorker  int    // tasks on one worker at most, 0 for any
	SameRack      bool
	Gang          bool // all tasks start together or none
	Speculative   bool // a task may run twice at once
	Checkpointing bool // tasks save their progress
	LongRunning   bool // tasks run until the job is cancelled
	Backfill      bool // takes only what other tasks leave
}

// Batch is one job. It is not changed once it has been handed in.
type Batch struct {
	QueueSettings
	ID           string
	Spec         string
	Steps        []Step
	Durable      bool // must outlive the entries; its end is asked for later
	Occurrences  int
	WaitingEntry string // the entry that waits for the end
	Attempt      uint64 // tells one request of the client from another
	ArrivedAt    time.Time
	ExpiresAt    time.Time // when the client leaves
	MaybeStarted bool      // may have been started before, by any holder
	SpilledOver  bool      // comes from another availability zone, where there was no room
}

// Tasks counts the tasks of all steps.
func (b *Batch) Tasks() int {
	total := 0
	for _, s := range b.Steps {
		total += s.Count
	}
	return total
}

// TaskName is what a worker knows a task by.
func TaskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// ParseTaskName gives the job, step and index of a task's name. The last result
// tells whether the name is one of a job without occurrences.
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

// State is what a client is told of a job.
type State string

// The states.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Refused   State = "refused" // no task of it has run or will
	Unknown   State = "unknown" // given up after some task may have run
	Moved     State = "moved"   // another holder has to take it
)

// Ended tells whether nothing more will happen to the job at this holder.
func (s State) Ended() bool { return s != Pending && s != Running }

// Result is what became of a job. RetryAt is set where it was refused.
type Result struct {
	ID             string
	State          State
	Reason         string
	RetryAt        time.Time
	CompletedTasks []string // tasks that had ended well when the job moved
	TargetGroup    string   // of workers that has to take the job, when nothing of it has started
	Attempt        uint64   // the request of the client that it answers
}
