// Package batch describes a job whose tasks run on workers with room.
package batch

import (
	"strconv"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/room"
)

// Terms are what the operators' configuration says of a queue.
type Terms struct {
	Queue    string // name of the route
	Service  string
	Version  int64 // of the configuration that they come from
	Priority int   // 0 comes first
	Attempts int   // ends as failed that a task may have
	Stretch  float64
	Slack    time.Duration // added to the stretched run time for the objective
	Timeout  time.Duration // of the route, 0 for none
}

// Step is a number of equal tasks.
type Step struct {
	Count     int
	Room      room.Room
	Hint      time.Duration // the client's estimate of a task's run time
	After     []int
	Label     string // that a worker must have
	Rack      string // where the data lie
	PerWorker int    // tasks on one worker at most, 0 for any
	SameRack  bool
	Together  bool // all tasks start together or none
	Copies    bool // a task may run twice at once
	Saves     bool // tasks save their progress
	Lasting   bool // tasks run until the job is cancelled
	Fill      bool // takes only what other tasks leave
}

// Batch is one job. It is not changed once it has been handed in.
type Batch struct {
	Terms
	ID      string
	Spec    string
	Steps   []Step
	Kept    bool // must outlive the entries; its end is asked for later
	Times   int
	From    string // the entry that waits for the end
	Attempt uint64 // tells one request of the client from another
	Arrived time.Time
	Expires time.Time // when the client leaves
	Again   bool      // may have been started before, by any holder
	Away    bool      // comes from another availability zone, where there was no room
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

// SplitTask gives the job, step and index of a task's name. The last result
// tells whether the name is one of a job without occurrences.
func SplitTask(name string) (id string, step, index int, ok bool) {
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
	ID      string
	State   State
	Reason  string
	RetryAt time.Time
	Done    []string // tasks that had ended well when the job moved
	Group   string   // of workers that has to take the job, when nothing of it has started
	Attempt uint64   // the request of the client that it answers
}
