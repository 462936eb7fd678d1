package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestLostStartIsNoCrash has one worker crash while it runs a task. The next start of the task is
// sent to a worker that is down already, or whose link loses it, and gets no answer; no report ever
// lists the run. Only one worker has crashed while it ran the task, so the job must go on.
func TestLostStartIsNoCrash(t *testing.T) {
	restarted := func(c *crashTest, w string) {
		c.plan.RestartWorker(testWorker(w, 4), c.now)
		c.plan.HandleReport(Report{Worker: w, Sent: c.now, Fenced: true}, c.now)
	}
	tests := []struct {
		name  string
		learn func(c *crashTest, worker string) // what is learnt of the second worker after its start was lost
	}{
		{"it restarts under its ID", restarted},
		{"it is replaced", func(c *crashTest, w string) { c.plan.WorkerReplaced(w, c.now) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
			restarted(c, c.silence(StartAccepted))
			test.learn(c, c.silence(OutcomeUnknown))
			if got := c.state(); got != batch.Running {
				t.Fatalf("state %s after one crash and one lost start, want running", got)
			}
		})
	}
}
