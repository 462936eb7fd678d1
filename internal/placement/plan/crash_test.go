package plan

import (
	"testing"
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

func newCrashTest(workers ...Worker) *crashTest {
	c := &crashTest{plan: fencedPlan(workers...), now: after(5000)}
	for _, w := range workers {
		c.plan.RenewalSent(w.ID, c.now)
	}
	c.job = testJob("00000000000000aa", 1, c.now)
	c.job.ExpiresAt = c.now.Add(time.Minute)
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
	o := c.started[len(c.started)-1]
	c.plan.HandleStartOutcome(o.Worker, o.Task, o.Run, outcome, c.now)
	c.plan.MarkUnresponsive(o.Worker, c.now)
	c.wait(1200 * time.Millisecond)
	return o.Worker
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

// TestTaskIsGivenUpAfterCrashes has a task run on workers that stop answering. Only a proof that
// their lives have ended may count as a crash: a network partition looks the same until then. A
// task that crashes workers must not take down one after the other, and one that does not must
// not lose its job.
func TestTaskIsGivenUpAfterCrashes(t *testing.T) {
	replaced := func(c *crashTest, w string) { c.plan.WorkerReplaced(w, c.now) }
	restarted := func(c *crashTest, w string) {
		c.plan.RestartWorker(testWorker(w, 4), c.now)
		c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
	}
	tests := []struct {
		name          string
		first, second func(c *crashTest, worker string) // what is learnt of each worker after its lease has expired
		state         batch.State
	}{
		{"both are replaced", replaced, replaced, batch.Failed},
		{"one is replaced", replaced, func(*crashTest, string) {}, batch.Running},
		{"both are silent", func(*crashTest, string) {}, func(*crashTest, string) {}, batch.Running},
		{"both are silent, their registrations go", func(c *crashTest, w string) { c.plan.RetireWorker(w, c.now) }, func(c *crashTest, w string) { c.plan.RetireWorker(w, c.now) }, batch.Running},
		{"both restart under their IDs", restarted, restarted, batch.Failed},
		{"one restarts, the other one is replaced", restarted, replaced, batch.Failed},
		{"one is replaced, the other one is registered as restarted", replaced, func(c *crashTest, w string) {
			c.plan.RestartWorker(testWorker(w, 4), c.now)
		}, batch.Running},
		{"one is replaced, the other one restarts and runs the task", replaced, func(c *crashTest, w string) {
			o := c.startOn(w)
			c.plan.RestartWorker(testWorker(w, 4), c.now)
			c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true, Running: []RunProgress{{Task: o.Task, Run: o.Run, Percent: 10}}}, c.now)
			c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
		}, batch.Running},
		{"one is replaced, the other one answers again", replaced, func(c *crashTest, w string) {
			c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
		}, batch.Running},
		{"one is replaced, the other one had been about to leave", replaced, func(c *crashTest, w string) {
			leaving := testWorker(w, 4)
			leaving.Draining = true
			c.plan.AddWorker(leaving, c.now)
			c.plan.WorkerReplaced(w, c.now)
		}, batch.Running},
	}
	for _, test := range tests {
		for name, outcome := range map[string]StartOutcome{"accepted": StartAccepted, "not answered": OutcomeUnknown} {
			t.Run(test.name+", starts "+name, func(t *testing.T) {
				c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
				first := c.silence(outcome)
				second := c.silence(outcome)
				if first == second {
					t.Fatalf("both runs were on %s", first)
				}
				test.first(c, first)
				test.second(c, second)
				if got := c.state(); got != test.state {
					t.Fatalf("state %s, want %s", got, test.state)
				}
				delivered := ordersOfKind(c.plan.Orders(), DeliverResult)
				if failed := len(delivered) == 1 && delivered[0].Result.State == batch.Failed; failed != (test.state == batch.Failed) {
					t.Fatalf("delivered %+v", delivered)
				}
			})
		}
	}
}

// TestJobThatWasGivenUpStaysSo sends a job again after two workers have crashed under its task,
// also when its client had left before that was known. The task must not start again.
func TestJobThatWasGivenUpStaysSo(t *testing.T) {
	for _, left := range []bool{false, true} {
		c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
		first, second := c.silence(StartAccepted), c.silence(OutcomeUnknown)
		if left {
			c.plan.Withdraw(c.job.ID, c.job.Attempt, c.now)
		}
		c.plan.WorkerReplaced(first, c.now)
		c.plan.WorkerReplaced(second, c.now)
		c.plan.Orders()
		before := len(c.started)
		again := *c.job
		again.Attempt++
		c.plan.Admit(&again, nil, c.now)
		delivered := ordersOfKind(c.plan.Orders(), DeliverResult)
		if len(delivered) != 1 || delivered[0].Result.State != batch.Failed || delivered[0].Result.Attempt != again.Attempt {
			t.Fatalf("client had left %v: delivered %+v, want a failed job", left, delivered)
		}
		c.wait(time.Second)
		if len(c.started) != before {
			t.Fatalf("client had left %v: started again: %+v", left, c.started[before:])
		}
	}
}

// TestTaskWaitsForProofOfCrashes has a task's first two workers fall silent. A third start would
// take down a third worker if the task crashes them. It must wait until one of the two is known
// not to have crashed, or has been forgotten, and must not wait after a single loss.
func TestTaskWaitsForProofOfCrashes(t *testing.T) {
	tests := []struct {
		name   string
		learn  func(c *crashTest, first, second string)
		starts int
	}{
		{"nothing is learnt", func(*crashTest, string, string) {}, 2},
		{"one answers again", func(c *crashTest, first, _ string) {
			c.plan.HandleReport(Report{Worker: first, Sent: c.now, Fenced: true}, c.now)
		}, 3},
		{"one is replaced", func(c *crashTest, first, _ string) { c.plan.WorkerReplaced(first, c.now) }, 2},
		{"one is replaced, the other one answers again", func(c *crashTest, first, second string) {
			c.plan.WorkerReplaced(first, c.now)
			c.plan.HandleReport(Report{Worker: second, Sent: c.now, Fenced: true}, c.now)
		}, 3},
		{"the registration of one has gone", func(c *crashTest, _, second string) { c.plan.RetireWorker(second, c.now) }, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
			first := c.silence(StartAccepted)
			if len(c.started) != 2 {
				t.Fatalf("%d starts after one loss, want 2", len(c.started))
			}
			second := c.silence(StartAccepted)
			test.learn(c, first, second)
			c.wait(100 * time.Millisecond)
			if got := len(c.started); got != test.starts {
				t.Fatalf("%d starts, want %d", got, test.starts)
			}
		})
	}
}

// TestEndedRunIsNoVictim replaces a worker that listed the end of a task's run before. The crash
// must not count for that task, which runs elsewhere again.
func TestEndedRunIsNoVictim(t *testing.T) {
	c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
	o := c.started[0]
	c.plan.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, c.now)
	c.plan.HandleReport(Report{Worker: o.Worker, Sent: c.now, Ended: []EndedRun{{o.Task, o.Run, Failed}}}, c.now)
	c.collect()
	c.plan.WorkerReplaced(o.Worker, c.now)
	c.plan.WorkerReplaced(c.last(), c.now)
	if got := c.state(); got != batch.Running {
		t.Fatalf("state %s, want running", got)
	}
}
