package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestLossesAreHandedOver guards against a task that crashes its workers and begins anew at each
// holder: the workers that have crashed under it at the holder before must count.
func TestLossesAreHandedOver(t *testing.T) {
	name := batch.TaskName("00000000000000aa", 0, 0, 0)
	tests := []struct {
		name    string
		earlier []batch.Losses // counted by the holder before
		crash   bool           // the first worker of this holder crashes under the task
		state   batch.State
		losses  []batch.Losses // after that
		starts  int
	}{
		{"none", nil, true, batch.Running, []batch.Losses{{Task: name, Crashes: 1}}, 2},
		{"one crash", []batch.Losses{{Task: name, Crashes: 1}}, true, batch.Failed, []batch.Losses{{Task: name, Crashes: 2}}, 1},
		{"one crash of another task", []batch.Losses{{Task: batch.TaskName("00000000000000aa", 0, 0, 1), Crashes: 1}}, true, batch.Running, []batch.Losses{{Task: name, Crashes: 1}}, 2},
		{"two suspicions", []batch.Losses{{Task: name, Suspicions: 2}}, true, batch.Unknown, []batch.Losses{{Task: name, Crashes: 1, Suspicions: 2}}, 1},
		{"two crashes", []batch.Losses{{Task: name, Crashes: 2}}, false, batch.Failed, []batch.Losses{{Task: name, Crashes: 2}}, 0},
		{"a crash and two suspicions", []batch.Losses{{Task: name, Crashes: 1, Suspicions: 2}}, false, batch.Unknown, []batch.Losses{{Task: name, Crashes: 1, Suspicions: 2}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCrashTestAfter(test.earlier, testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
			if test.crash {
				c.plan.WorkerReplaced(c.crash(), c.now)
				c.wait(100 * time.Millisecond)
			}
			result, _ := c.plan.KeepAlive(c.job.ID, c.now)
			if result.State != test.state || !slices.Equal(result.Losses, test.losses) {
				t.Fatalf("state %s, losses %+v, want %s, %+v", result.State, result.Losses, test.state, test.losses)
			}
			if len(c.started) != test.starts {
				t.Fatalf("%d starts, want %d", len(c.started), test.starts)
			}
		})
	}
}

// TestReleasedJobsCarryTheirLosses guards against losses that get lost when a holder gives its
// group up, and against a task that is done and counts all the same.
func TestReleasedJobsCarryTheirLosses(t *testing.T) {
	for _, done := range []bool{false, true} {
		c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
		c.plan.WorkerReplaced(c.crash(), c.now)
		want := []batch.Losses{{Task: c.started[0].Task, Crashes: 1}}
		if done {
			c.plan.taskNamed(c.started[0].Task).done = true
			want = nil
		}
		c.plan.Release(c.now)
		delivered := ordersOfKind(c.plan.Orders(), DeliverResult)
		if len(delivered) != 1 || delivered[0].Result.State != batch.Moved || !slices.Equal(delivered[0].Result.Losses, want) {
			t.Fatalf("task done %v: delivered %+v, want a moved job with losses %+v", done, delivered, want)
		}
	}
}

// TestKnownJobKeepsTheHigherCounts sends a job again to its holder, with counts of another one.
func TestKnownJobKeepsTheHigherCounts(t *testing.T) {
	c := newCrashTest(testWorker("w1", 4), testWorker("w2", 4), testWorker("w3", 4))
	c.plan.WorkerReplaced(c.crash(), c.now)
	again := *c.job
	again.Losses = []batch.Losses{{Task: c.started[0].Task, Crashes: 1, Suspicions: 1}}
	c.plan.Admit(&again, nil, c.now)
	result, _ := c.plan.KeepAlive(c.job.ID, c.now)
	if want := again.Losses; !slices.Equal(result.Losses, want) {
		t.Fatalf("losses %+v, want %+v", result.Losses, want)
	}
}
