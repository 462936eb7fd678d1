package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestLateJobRunsUnderNoEarlierLease guards against a run that goes on when its client may have sent the job
// again: the message about the job came late, and the lease of its worker outlasts the interest in the job, by a
// renewal or a start.
func TestLateJobRunsUnderNoEarlierLease(t *testing.T) {
	const sendAgain = 1300 * time.Millisecond
	tests := []struct {
		name       string
		messageAge time.Duration
	}{
		{"a renewal", 900 * time.Millisecond},
		{"its own start", 500 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := worker.New(worker.Options{
					ID: "w", Slots: 2, Monitor: &worker.RunMonitor{}, ClockRate: slowClock,
					PlanRun: func(string) (string, time.Duration) { return "done", longRun },
				})
				calls := platform.NewWorkerClientOver(&unansweredStops{worker: w})
				h := New(t.Context(), testOptions(WorkerCalls{Start: calls.Start, Stop: calls.Stop, Hold: calls.Hold}, make(chan batch.Result, 9)))
				registration := registeredWorker("w")
				registration.Capacity.MilliCores = 2000
				h.AddWorker(registration)
				time.Sleep(780 * time.Millisecond) // just before the next hold
				late := oneTask(lostJob, longRun)
				late.AskedAt = time.Now().Add(-c.messageAge)
				h.Admit(late, nil)
				h.mu.Lock()
				h.released = true // the holder is lost, and orders nothing more
				h.mu.Unlock()
				time.Sleep(time.Until(late.AskedAt.Add(sendAgain)))
				if w.Runs(batch.TaskName(lostJob, 0, 0, 0)) {
					t.Error("the run goes on when its client may have sent the job again")
				}
				h.cancel()
				h.Wait()
				time.Sleep(2 * longRun) // the worker's timers
			})
		})
	}
}
