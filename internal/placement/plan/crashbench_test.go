package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// crashTest runs one task on one worker after the other. Each of them stops answering while it
// runs the task.
type crashTest struct {
	plan    *Plan
	job     *batch.Batch
	now     time.Time
	started []Order
}

func newCrashTest(workers ...Worker) *crashTest { return newCrashTestAfter(nil, workers...) }

// newCrashTestAfter returns a test whose task has had losses under an earlier holder.
func newCrashTestAfter(earlier []batch.Losses, workers ...Worker) *crashTest {
	c := &crashTest{plan: fencedPlan(workers...), now: after(5000)}
	for _, w := range workers {
		c.plan.RenewalSent(w.ID, c.now, c.now.Add(c.plan.longestLease()))
	}
	c.job = testJob("00000000000000aa", 1, c.now)
	c.job.ExpiresAt = c.now.Add(time.Minute)
	c.job.Losses = earlier
	c.plan.Admit(c.job, nil, c.now)
	c.collect()
	return c
}

// collect keeps the starts of the task.
func (c *crashTest) collect() {
	for _, o := range starts(c.plan) {
		if o.Batch.ID == c.job.ID {
			c.started = append(c.started, o)
		}
	}
}

// wait lets time pass, while the entry asks for the job.
func (c *crashTest) wait(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(25 * time.Millisecond)
		c.plan.KeepAlive(c.job.ID, c.now)
		c.plan.Tick(c.now)
		c.collect()
	}
}

// last returns the worker of the last start.
func (c *crashTest) last() string { return c.started[len(c.started)-1].Worker }

// silence makes the worker of the last start stop answering, the start being accepted or not
// answered, until its lease has expired.
func (c *crashTest) silence(outcome StartOutcome) string {
	return c.lose(outcome, func(worker string) { c.plan.MarkUnresponsive(worker, c.now) })
}

// crash makes the worker of the last start accept it and then close its connections.
func (c *crashTest) crash() string { return c.lose(StartAccepted, c.close) }

// close has a worker close its connections, and refuse others.
func (c *crashTest) close(worker string) {
	c.plan.ConnectionClosed(worker, false, c.now)
	c.plan.ConnectionClosed(worker, true, c.now)
}

// lose loses the contact to the worker of the last start, which has the given outcome, until its
// lease has expired or the task has started on another worker. A start without an answer may be
// executed some seconds later.
func (c *crashTest) lose(outcome StartOutcome, lose func(worker string)) string {
	o := c.started[len(c.started)-1]
	c.plan.HandleStartOutcome(o.Worker, o.Task, o.Run, outcome, c.now)
	lose(o.Worker)
	limit := 1200 * time.Millisecond
	if outcome == OutcomeUnknown {
		limit += maxOrderDelay
	}
	for end := c.now.Add(limit); c.last() == o.Worker && c.now.Before(end); {
		c.wait(25 * time.Millisecond)
	}
	return o.Worker
}

// ways lists how the contact to a worker may be lost. Only some show that it crashed while it
// ran the task.
var ways = []struct {
	name  string
	lose  func(c *crashTest) string
	crash bool
}{
	{"starts accepted", func(c *crashTest) string { return c.silence(StartAccepted) }, false},
	{"starts not answered", func(c *crashTest) string { return c.silence(OutcomeUnknown) }, false},
	{"starts accepted, connections closed", func(c *crashTest) string { return c.crash() }, true},
	{"starts accepted, connections closed and not refused", func(c *crashTest) string {
		return c.lose(StartAccepted, func(w string) { c.plan.ConnectionClosed(w, false, c.now) })
	}, true},
	{"starts accepted, connections closed before the answer", func(c *crashTest) string {
		c.close(c.last())
		return c.lose(StartAccepted, func(string) {})
	}, true},
	{"starts accepted, connections closed and refused, then a timeout", func(c *crashTest) string {
		return c.lose(StartAccepted, func(w string) {
			c.close(w)
			c.plan.MarkUnresponsive(w, c.now)
		})
	}, true},
	{"starts accepted, connections closed, then a timeout", func(c *crashTest) string {
		return c.lose(StartAccepted, func(w string) {
			c.plan.ConnectionClosed(w, false, c.now)
			c.plan.MarkUnresponsive(w, c.now)
		})
	}, false},
	{"starts accepted, a timeout, then connections closed", func(c *crashTest) string {
		return c.lose(StartAccepted, func(w string) {
			c.plan.MarkUnresponsive(w, c.now)
			c.close(w)
		})
	}, false},
	{"starts accepted, connections closed late in the run", func(c *crashTest) string {
		return c.lose(StartAccepted, func(w string) {
			c.now = c.now.Add(60 * time.Millisecond) // of 100
			c.close(w)
		})
	}, false},
	{"starts not answered, connections closed", func(c *crashTest) string { return c.lose(OutcomeUnknown, c.close) }, false},
}

// startOn returns the start on a worker.
func (c *crashTest) startOn(worker string) Order {
	for _, o := range c.started {
		if o.Worker == worker {
			return o
		}
	}
	return Order{}
}

// state returns the state of the job, "" if it is not known.
func (c *crashTest) state() batch.State {
	result, known := c.plan.KeepAlive(c.job.ID, c.now)
	if !known {
		return ""
	}
	return result.State
}
