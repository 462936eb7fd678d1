package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// TestTaskIsGivenUpAfterCrashes has a task run on workers that stop answering. Only a proof that
// their lives have ended, in a run that had begun and cannot have ended, may count as a crash: a
// network partition looks the same until then. A task that crashes workers must not take down
// one after the other, and one that does not must not lose its job.
func TestTaskIsGivenUpAfterCrashes(t *testing.T) {
	replaced := func(c *crashTest, w string) { c.plan.WorkerReplaced(w, c.now) }
	restarted := func(c *crashTest, w string) {
		c.plan.RestartWorker(testWorker(w, 4), c.now)
		c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
	}
	tests := []struct {
		name          string
		first, second func(c *crashTest, worker string) // what is learnt of each worker after its lease has expired
		losses        int                               // that are known to have come with the end of a worker
		state         batch.State
	}{
		{"both are replaced", replaced, replaced, 2, batch.Failed},
		{"one is replaced", replaced, func(*crashTest, string) {}, 1, batch.Running},
		{"both are silent", func(*crashTest, string) {}, func(*crashTest, string) {}, 0, batch.Running},
		{"both are silent, their registrations go", func(c *crashTest, w string) { c.plan.RetireWorker(w, c.now) }, func(c *crashTest, w string) { c.plan.RetireWorker(w, c.now) }, 0, batch.Running},
		{"both restart under their IDs", restarted, restarted, 2, batch.Failed},
		{"one restarts, the other one is replaced", restarted, replaced, 2, batch.Failed},
		{"one is replaced, the other one is registered as restarted", replaced, func(c *crashTest, w string) {
			c.plan.RestartWorker(testWorker(w, 4), c.now)
		}, 1, batch.Running},
		{"one is replaced, the other one restarts and runs the task", replaced, func(c *crashTest, w string) {
			o := c.startOn(w)
			c.plan.RestartWorker(testWorker(w, 4), c.now)
			c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true, Running: []RunProgress{{Task: o.Task, Run: o.Run, Percent: 10}}}, c.now)
			c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
		}, 1, batch.Running},
		{"one is replaced, the other one answers again", replaced, func(c *crashTest, w string) {
			c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
		}, 1, batch.Running},
		{"one is replaced, the other one had been about to leave", replaced, func(c *crashTest, w string) {
			leaving := testWorker(w, 4)
			leaving.Draining = true
			c.plan.AddWorker(leaving, c.now)
			c.plan.WorkerReplaced(w, c.now)
		}, 1, batch.Running},
	}
	for _, test := range tests {
		for _, way := range ways {
			t.Run(test.name+", "+way.name, func(t *testing.T) {
				want := test.state
				if !way.crash {
					want = batch.Running
				}
				c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
				first := way.lose(c)
				second := way.lose(c)
				if first == second {
					t.Fatalf("both runs were on %s", first)
				}
				test.first(c, first)
				test.second(c, second)
				if got := c.state(); got != want {
					t.Fatalf("state %s, want %s", got, want)
				}
				crashes := 0
				if way.crash {
					crashes = test.losses
				}
				if got := c.plan.taskNamed(c.started[0].Task); got.crashes != crashes || got.losses() != test.losses {
					t.Fatalf("%d crashes, %d suspicions, want %d losses, all of them crashes: %v", got.crashes, got.suspicions, test.losses, way.crash)
				}
				delivered := ordersOfKind(c.plan.Orders(), DeliverResult)
				if failed := len(delivered) == 1 && delivered[0].Result.State == batch.Failed; failed != (want == batch.Failed) {
					t.Fatalf("delivered %+v", delivered)
				}
			})
		}
	}
}

// TestJobThatWasGivenUpStaysSo sends a job again after its task was given up, also when its
// client had left before that was known. The task must not start again.
func TestJobThatWasGivenUpStaysSo(t *testing.T) {
	crash := func(c *crashTest) string { return c.crash() }
	lost := func(c *crashTest) string { return c.silence(OutcomeUnknown) }
	tests := []struct {
		name   string
		losses []func(c *crashTest) string // each worker is replaced before the next start, but for the last two
		state  batch.State
	}{
		{"two workers have crashed", []func(c *crashTest) string{crash, crash}, batch.Failed},
		{"one has crashed, two may have", []func(c *crashTest) string{crash, lost, lost}, batch.Unknown},
		{"three may have crashed", []func(c *crashTest) string{lost, lost, lost}, batch.Unknown},
	}
	for _, test := range tests {
		for _, left := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, client had left %v", test.name, left), func(t *testing.T) {
				c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4), testWorker("w4", 4))
				var lost []string
				for i, lose := range test.losses {
					if i >= maxCrashes {
						c.plan.WorkerReplaced(lost[i-2], c.now)
						c.plan.WorkerReplaced(lost[i-1], c.now)
						c.collect()
					}
					if len(c.started) != i+1 {
						t.Fatalf("%d starts after %d losses", len(c.started), i)
					}
					lost = append(lost, lose(c))
				}
				if left {
					c.plan.Withdraw(c.job.ID, c.job.Attempt, c.now)
				}
				for _, w := range lost {
					c.plan.WorkerReplaced(w, c.now)
				}
				delivered := ordersOfKind(c.plan.Orders(), DeliverResult)
				if !left && (len(delivered) != 1 || delivered[0].Result.State != test.state) {
					t.Fatalf("delivered %+v, want a job in state %s", delivered, test.state)
				}
				before := len(c.started)
				again := *c.job
				again.Attempt++
				c.plan.Admit(&again, nil, c.now)
				delivered = ordersOfKind(c.plan.Orders(), DeliverResult)
				if len(delivered) != 1 || delivered[0].Result.State != test.state || delivered[0].Result.Attempt != again.Attempt {
					t.Fatalf("delivered %+v, want a job in state %s", delivered, test.state)
				}
				c.wait(time.Second)
				if len(c.started) != before {
					t.Fatalf("started again: %+v", c.started[before:])
				}
			})
		}
	}
}

// TestLostStartIsNoCrash guards against a job that is shown as failed although no two workers
// crashed under a task of it: the first one did, and the second start never arrived at a worker
// which ends then. The task must run again, and its job must complete.
func TestLostStartIsNoCrash(t *testing.T) {
	restarted := func(c *crashTest, w string) {
		c.plan.RestartWorker(testWorker(w, 4), c.now)
		c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
	}
	replaced := func(c *crashTest, w string) { c.plan.WorkerReplaced(w, c.now) }
	for i, learn := range []func(c *crashTest, w string){restarted, replaced} {
		for _, way := range ways {
			if way.crash {
				continue
			}
			t.Run(fmt.Sprint(way.name, i), func(t *testing.T) {
				c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
				learn(c, c.crash())
				learn(c, way.lose(c))
				c.wait(25 * time.Millisecond)
				if got := c.state(); got != batch.Running || len(c.started) != 3 {
					t.Fatalf("state %s after %d starts, want a third run", got, len(c.started))
				}
				o := c.started[2]
				c.plan.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, c.now)
				c.plan.HandleReport(Report{Worker: o.Worker, Sent: c.now, Ended: []EndedRun{{o.Task, o.Run, Succeeded}}}, c.now)
				if got := c.state(); got != batch.Completed {
					t.Fatalf("state %s, want completed", got)
				}
			})
		}
	}
}

// TestTaskWithLossesStartsOnAQuietWorker lets a task lose runs with workers that may have crashed
// under it. A further start must not endanger many other runs, while a task that has lost a
// single run starts on any worker.
func TestTaskWithLossesStartsOnAQuietWorker(t *testing.T) {
	tests := []struct {
		name   string
		losses int
		used   int // cores of the last worker, of 8, that other tasks use
		starts int
	}{
		{"one loss, a busy worker", 1, 6, 2},
		{"two losses, a quiet worker", 2, 2, 3},
		{"two losses, a busy worker", 2, 3, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			last := workerWith("w3", resources.Resources{MilliCores: 8000, MemoryMB: 2000})
			last.Draining = true
			c := newCrashTest(append([]Worker{testWorker("w1", 4), testWorker("w2", 4)}[:test.losses:test.losses], last)...)
			var lost []string
			for range test.losses {
				lost = append(lost, c.silence(StartAccepted))
			}
			other := testJob("00000000000000bb", 1, c.now)
			other.Steps[0].Resources = resources.Resources{MilliCores: int64(test.used) * 1000, MemoryMB: 1000}
			other.ExpiresAt = c.job.ExpiresAt
			c.plan.Admit(other, nil, c.now)
			last.Draining = false
			c.plan.AddWorker(last, c.now)
			c.collect()
			for _, w := range lost {
				c.plan.WorkerReplaced(w, c.now)
			}
			c.wait(100 * time.Millisecond)
			if got := len(c.started); got != test.starts {
				t.Fatalf("%d starts, want %d", got, test.starts)
			}
		})
	}
}

// TestClearedRunIsNoCrash guards against counting a crash although the worker answered again as
// the same incarnation after it had closed a connection, and ended some time later.
func TestClearedRunIsNoCrash(t *testing.T) {
	c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
	c.plan.WorkerReplaced(c.crash(), c.now)
	o := c.started[1]
	c.plan.HandleStartOutcome(o.Worker, o.Task, o.Run, StartAccepted, c.now)
	c.close(o.Worker)
	c.plan.HandleReport(Report{Worker: o.Worker, Sent: c.now, Running: []RunProgress{{o.Task, o.Run, 10}}}, c.now)
	c.plan.MarkUnresponsive(o.Worker, c.now)
	c.wait(1200 * time.Millisecond)
	c.plan.WorkerReplaced(o.Worker, c.now)
	if got := c.state(); got != batch.Running {
		t.Fatalf("state %s, want running", got)
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
	c.close(o.Worker)
	c.plan.WorkerReplaced(o.Worker, c.now)
	c.plan.WorkerReplaced(c.crash(), c.now)
	if got := c.state(); got != batch.Running {
		t.Fatalf("state %s, want running", got)
	}
	if got := c.plan.taskNamed(o.Task); got.crashes != 1 || got.suspicions != 0 {
		t.Fatalf("%d crashes and %d suspicions, want the crash under the second run alone", got.crashes, got.suspicions)
	}
}

// TestUndeliveredStartIsNoLoss guards against a crash or a suspicion of one that counts for a
// start which never began, since its worker had crashed before. Runs that the worker really had
// count, and it gets no task before it answers.
func TestUndeliveredStartIsNoLoss(t *testing.T) {
	c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4))
	first := c.started[0]
	c.plan.HandleStartOutcome(first.Worker, first.Task, first.Run, StartAccepted, c.now)
	other := testJob("00000000000000bb", 1, c.now)
	other.Steps[0].Resources = resources.Resources{MilliCores: 100}
	c.plan.Admit(other, nil, c.now)
	second := starts(c.plan)[0]
	if second.Worker != first.Worker {
		t.Fatalf("started on %s, want the worker of the first run", second.Worker)
	}
	c.plan.HandleStartOutcome(second.Worker, second.Task, second.Run, StartUndelivered, c.now)
	again := starts(c.plan)
	if len(again) != 1 || again[0].Worker == first.Worker {
		t.Fatalf("started again: %+v, want a start on the other worker at once", again)
	}
	c.plan.WorkerReplaced(first.Worker, c.now)
	if got := c.plan.taskNamed(first.Task); got.crashes != 1 || got.suspicions != 0 {
		t.Errorf("the run that had begun: %d crashes, %d suspicions, want one crash", got.crashes, got.suspicions)
	}
	if got := c.plan.taskNamed(second.Task); got.losses() != 0 {
		t.Errorf("the start that never began: %d crashes, %d suspicions, want none", got.crashes, got.suspicions)
	}
}
