package holder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// Times and jobs of TestRunEndsBeforeTheClientOfALostEntrySendsAgain.
const (
	slowClock   = 0.98 // of the worker
	askInterval = 150 * time.Millisecond
	longRun     = 5 * time.Second
	lostJob     = "0000000000000001" // its entry is lost
	otherJob    = "0000000000000002" // runs on the same worker and is asked for all the time
)

// unansweredStops carries calls to a worker. Stops don't arrive while they are lost.
type unansweredStops struct {
	worker *worker.Worker
	lost   bool
}

// RoundTrip has the worker execute a call.
func (u *unansweredStops) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	if r.URL.Path == "/run-stop" && u.lost {
		return nil, errors.New("stop lost")
	}
	recorder := httptest.NewRecorder()
	u.worker.ServeHTTP(recorder, r)
	return recorder.Result(), r.Context().Err()
}

// TestRunEndsBeforeTheClientOfALostEntrySendsAgain guards against a run that goes on in one availability zone
// when its client has the job started in another one: its entry was lost, and then its holder, or a stop.
func TestRunEndsBeforeTheClientOfALostEntrySendsAgain(t *testing.T) {
	type play struct {
		stopLost    bool
		holderLost  int // ms after the entry asked last
		successorIn int // ms after that
	}
	plays := []play{{holderLost: 2000}, {stopLost: true, holderLost: 2000}}
	for ms := 0; ms <= 1300; ms += 50 {
		plays = append(plays, play{holderLost: ms, successorIn: 2000}, play{holderLost: ms, successorIn: 50}, play{holderLost: ms, successorIn: 900})
	}
	for _, c := range plays {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := worker.New(worker.Options{
					ID: "w", Slots: 2, Monitor: &worker.RunMonitor{}, ClockRate: slowClock,
					PlanRun: func(string) (string, time.Duration) { return "done", longRun },
				})
				calls := platform.NewWorkerClientOver(&unansweredStops{worker: w, lost: c.stopLost})
				registration := registeredWorker("w")
				registration.Capacity.MilliCores = 2000
				takeOver := func(ctx context.Context) *Holder {
					h := New(ctx, testOptions(WorkerCalls{Start: calls.Start, Stop: calls.Stop, Hold: calls.Hold}, make(chan batch.Result, 9)))
					h.AddWorker(registration)
					return h
				}
				first, lose := context.WithCancel(t.Context())
				h := takeOver(first)
				time.Sleep(50 * time.Millisecond)
				for _, id := range []string{lostJob, otherJob} {
					h.Admit(oneTask(id, longRun), nil)
				}
				var asked time.Time
				for range 7 {
					time.Sleep(askInterval)
					asked = time.Now()
					h.KeepAlive([]string{lostJob, otherJob}, asked)
				}
				second, end := context.WithCancel(t.Context())
				successor := h
				var othersLapsed bool
				for ms := 0; ms < 1300; ms++ {
					if ms == c.holderLost {
						lose()
						successor = nil
					}
					if ms == c.holderLost+c.successorIn {
						successor = takeOver(second)
						successor.Admit(oneTask(otherJob, longRun), nil)
					}
					if successor != nil && ms%int(askInterval.Milliseconds()) == 0 {
						successor.KeepAlive([]string{otherJob}, time.Now())
					}
					time.Sleep(time.Millisecond)
					othersLapsed = othersLapsed || !w.Runs(batch.TaskName(otherJob, 0, 0, 0))
				}
				if w.Runs(batch.TaskName(lostJob, 0, 0, 0)) {
					t.Errorf("the run goes on %d ms after its entry asked for it last", time.Since(asked).Milliseconds())
				}
				if othersLapsed && c.holderLost > 1300 && !c.stopLost {
					t.Error("the run of the other job has ended, although its entry asks for it")
				}
				lose()
				end()
				h.Wait()
				if successor != nil {
					successor.Wait()
				}
				time.Sleep(2 * longRun) // the worker's timers
			})
		})
	}
}
