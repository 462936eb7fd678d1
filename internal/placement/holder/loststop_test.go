package holder

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// firstStopLost carries calls to a worker, except for the first stop.
type firstStopLost struct {
	unansweredStops
	lost bool
}

// RoundTrip has the worker execute a call.
func (f *firstStopLost) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/run-stop" && !f.lost {
		f.lost = true
		return nil, errors.New("stop lost")
	}
	return f.unansweredStops.RoundTrip(r)
}

// TestLostStopEndsNoOtherRun guards against runs that end although their entry asks for them: the entry of
// another run on their worker is lost, and one message that stops that run.
func TestLostStopEndsNoOtherRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := worker.New(worker.Options{
			ID: "w", Slots: 2, Monitor: &worker.RunMonitor{},
			PlanRun: func(string) (string, time.Duration) { return "done", longRun },
		})
		calls := platform.NewWorkerClientOver(&firstStopLost{unansweredStops: unansweredStops{worker: w}})
		h := New(t.Context(), testOptions(WorkerCalls{Start: calls.Start, Stop: calls.Stop, Hold: calls.Hold}, make(chan batch.Result, 9)))
		registration := registeredWorker("w")
		registration.Capacity.MilliCores = 2000
		h.AddWorker(registration)
		time.Sleep(50 * time.Millisecond)
		for _, id := range []string{lostJob, otherJob} {
			h.Admit(oneTask(id, longRun), nil)
		}
		var lapsedAt time.Duration
		asked := time.Now()
		for time.Since(asked) < 2*time.Second && lapsedAt == 0 {
			time.Sleep(askInterval)
			h.KeepAlive([]string{otherJob}, time.Now())
			if !w.Runs(batch.TaskName(otherJob, 0, 0, 0)) {
				lapsedAt = time.Since(asked)
			}
		}
		if lapsedAt != 0 {
			t.Errorf("the run of the other job has ended within %d ms after the lost entry asked last", lapsedAt.Milliseconds())
		}
		h.Release()
		h.Wait()
		time.Sleep(2 * longRun) // the worker's timers
	})
}
