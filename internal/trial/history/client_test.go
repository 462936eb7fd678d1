package history

import (
	"context"
	"fmt"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// maxSends is how often a client sends its job.
const maxSends = 4

// client submits a job until it gets an answer that tells its outcome, and records the answers.
type client struct {
	id         string
	tasks      int
	long       bool
	sentAt     time.Time
	lostAnswer bool // a request got no answer, since its entry ended or its connection broke
	longRuns   int  // runs of tasks of long jobs that went on when it was sent
	results    []batch.Result
}

// jobID returns the ID of the job that is sent as the one with a number.
func jobID(number int) string { return fmt.Sprintf("%016x", number+1) }

func (c *client) run(w *world) {
	for range maxSends {
		if c.send(w) || c.long && w.calm.Load() {
			return
		}
		time.Sleep(resendAfter)
	}
}

// send sends the job to an entry and reports whether an answer tells its outcome.
func (c *client) send(w *world) bool {
	alive := w.liveEntries()
	if len(alive) == 0 {
		return false
	}
	e := alive[w.randomInt(len(alive))]
	ctx, breakConnection := context.WithCancel(context.Background())
	if w.takesEffect(clientsBreak) {
		ctx, breakConnection = context.WithTimeout(ctx, w.randomDuration(600))
	}
	select {
	case r := <-w.submit(ctx, breakConnection, e, func() *batch.Batch { return w.newBatch(c.id, c.tasks, c.long) }):
		if r.State != batch.Cancelled {
			c.results = append(c.results, r)
			return r.State != batch.Unknown
		}
	case <-e.ctx.Done():
	}
	c.lostAnswer = true
	return false
}

// submit sends a job to an entry over a connection that ends with ctx, and returns a channel for the
// answer. An entry that is killed no longer answers, but what it has sent to other entries and
// workers stays in effect.
func (w *world) submit(ctx context.Context, breakConnection context.CancelFunc, e *entry, job func() *batch.Batch) <-chan batch.Result {
	result := make(chan batch.Result, 1)
	w.goroutines.Go(func() {
		defer breakConnection()
		if w.waitThawed(e.ctx, e.id) != nil {
			return
		}
		r := e.tracker.Submit(ctx, job())
		if w.waitThawed(e.ctx, e.id) == nil && e.ctx.Err() == nil {
			result <- r
		}
	})
	return result
}

// violation compares the answers that the client got with the runs on the workers. It
// returns a description of the first contradiction, or "".
func (c *client) violation(w *world, faultFreeFrom time.Time) string {
	first := batch.Unknown
	if len(c.results) > 0 {
		first = c.results[0].State
	}
	succeeded, started, hopeless := 0, 0, false
	for i := range c.tasks {
		name := batch.TaskName(c.id, 0, 0, i)
		starts, ok := w.monitor.TaskRuns(name)
		failed, lost := w.monitor.TaskFaults(name)
		hopeless = hopeless || failed >= maxAttempts || lost >= maxCrashes
		if starts > 0 {
			started++
		}
		if ok {
			succeeded++
		}
	}
	for _, r := range c.results {
		switch {
		case r.State == batch.Completed && succeeded < c.tasks:
			return "reported as completed, but not all of its tasks have succeeded"
		case r.State == batch.Failed && !hopeless:
			return "reported as failed, but no task of it has failed or crashed that often"
		}
	}
	switch {
	case first == batch.Refused && started > 0 && !c.lostAnswer:
		return "refused, but a task has started"
	case c.sentAt.After(faultFreeFrom) && first != batch.Completed && first != batch.Failed && (started > 0 || !c.lacksSlots()):
		return "not served although no fault was active"
	}
	return ""
}

// overloadingLongRuns is the number of runs of long jobs that leave too few slots for the others: 5 of 15, of which usual
// jobs take 4.4 on average.
const overloadingLongRuns = workerCount * slotsPerWorker * 2 / 3

// lacksSlots reports whether the job was refused since the work ahead of it takes too long, and long jobs had too many
// slots when it was sent. These were sent before the faults ended and last for up to longDeadline, so that the workers
// may be overloaded for a while after the last fault.
func (c *client) lacksSlots() bool {
	return len(c.results) > 0 && c.results[0].State == batch.Refused && c.results[0].Reason == reasonTooLate && c.longRuns >= overloadingLongRuns
}

// reasonTooLate is the reason of package plan for refusing a job whose turn would come too late.
const reasonTooLate = "the work ahead of it takes longer than its client waits"

// longRuns returns the number of runs of tasks of long jobs that go on.
func (w *world) longRuns(clients []*client) int {
	count := 0
	for _, c := range clients {
		for i := range c.tasks {
			if c.long {
				count += w.monitor.Running(batch.TaskName(c.id, 0, 0, i))
			}
		}
	}
	return count
}

// faultsOf describes what happened to the tasks of the job.
func (c *client) faultsOf(w *world) string {
	text := ""
	for i := range c.tasks {
		name := batch.TaskName(c.id, 0, 0, i)
		starts, ok := w.monitor.TaskRuns(name)
		failed, lost := w.monitor.TaskFaults(name)
		text += fmt.Sprintf(" %s: %d starts, %d failed, %d lost in crashes, succeeded: %t;", name, starts, failed, lost, ok)
	}
	return text
}
