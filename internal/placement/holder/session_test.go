package holder

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// fakeWorker is a worker whose tasks all take the same time on the clock of a
// synctest bubble.
type fakeWorker struct {
	mu      sync.Mutex
	runtime time.Duration // run time of each task
	runs    []fakeRun
	holds   int              // number of holds that waited for a run to end
	lost    func(n int) bool // reports whether the nth waiting hold gets no answer
}

// workerRoundTrip is the time until a worker answers a call that does not wait. Without it a test
// and the answer to a call that the test caused would run in any order.
const workerRoundTrip = time.Millisecond

type fakeRun struct {
	task string
	run  int
	ends time.Time
}

func (s *fakeWorker) start(_ context.Context, _ platform.Target, o platform.StartRequest) (platform.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, fakeRun{task: o.Task, run: o.Run, ends: time.Now().Add(s.runtime)})
	return platform.Report{Verdict: platform.Accepted}, nil
}

func (s *fakeWorker) hold(ctx context.Context, _ platform.Target, o platform.HoldRequest) (platform.Report, error) {
	if o.Wait == 0 {
		time.Sleep(workerRoundTrip)
		return s.report(), nil
	}
	s.mu.Lock()
	s.holds++
	lost := s.lost(s.holds)
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return platform.Report{}, ctx.Err()
	}
	for until := time.Now().Add(o.Wait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if r := s.report(); len(r.Ended) > 0 && r.Ended[len(r.Ended)-1].Sequence > o.AckSequence {
			return r, nil
		}
	}
	return s.report(), nil
}

func (s *fakeWorker) stop(context.Context, platform.Target, string, int, int64) (platform.Report, error) {
	return platform.Report{Verdict: platform.Accepted}, nil
}

func (s *fakeWorker) report() platform.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := platform.Report{Verdict: platform.Accepted, ClockMilli: time.Now().UnixMilli(), StartUnixMilli: 1}
	for i, run := range s.runs {
		if run.ends.After(time.Now()) {
			r.Running = append(r.Running, platform.RunningTask{Task: run.task, Run: run.run, Percent: 50})
			continue
		}
		r.Ended = append(r.Ended, platform.EndedTask{Task: run.task, Run: run.run, Sequence: int64(i + 1), Outcome: platform.Done})
	}
	return r
}

// newHolder returns a holder without workers, under the first claim on its group.
func newHolder(ctx context.Context, calls WorkerCalls, results chan<- batch.Result) *Holder {
	return New(ctx, testOptions(calls, results))
}

func testOptions(calls WorkerCalls, results chan<- batch.Result) Options {
	return Options{
		Group: "a/0", Epoch: 1, Tokens: fence.New(1, 1), Lease: time.Second, ClientRetryAfter: 1300 * time.Millisecond, Calls: calls,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnResult: func(_ *batch.Batch, r batch.Result) { results <- r },
		OnConflict: func() bool { return true }, CountCall: func(string) {},
	}
}

// newHolderWithWorker returns a holder of one worker, which has accepted its token.
func newHolderWithWorker(ctx context.Context, w *fakeWorker, results chan<- batch.Result) *Holder {
	h := newHolder(ctx, WorkerCalls{Start: w.start, Stop: w.stop, Hold: w.hold}, results)
	h.AddWorker(platform.Registration{ID: "w", Service: "listing", Zone: "a", Address: "w", Labels: []string{"k"}, Capacity: resources.Resources{MilliCores: 1000, MemoryMB: 100}})
	time.Sleep(10 * time.Millisecond)
	return h
}

// TestStaleReportsAreIgnored guards against reports that are out of date, for example
// because a later one overtook them. Such a report does not list a start order with an
// unknown outcome, and so would make the plan believe that the run does not exist.
func TestStaleReportsAreIgnored(t *testing.T) {
	tests := []struct {
		name           string
		before         func(s *session) // called with the holder's lock held
		startUnixMilli int64
		clock          time.Duration // how far the worker's clock has moved since its last report
		seenSequence   int64
		tokenAccepted  bool
	}{
		{"up to date", func(*session) {}, 1, time.Millisecond, 1, true},
		{"a higher token is set", func(s *session) { s.raiseToken("a test") }, 1, time.Millisecond, 0, false},
		{"overtaken on another connection", func(*session) {}, 1, -time.Millisecond, 0, true},
		{"the worker has restarted", func(*session) {}, 2, time.Millisecond, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				h := newHolderWithWorker(ctx, &fakeWorker{lost: func(int) bool { return true }}, nil)
				h.mu.Lock()
				s := h.sessions["w"]
				token, clock := s.token, s.clock.latest.milli
				c.before(s)
				h.mu.Unlock()
				s.applyReport(platform.Report{
					Verdict: platform.Accepted, ClockMilli: clock + c.clock.Milliseconds(), StartUnixMilli: c.startUnixMilli,
					Ended: []platform.EndedTask{{Task: "0000000000000001.0.0.0", Run: 1, Sequence: 1, Outcome: platform.Done}},
				}, true, token, time.Now())
				h.mu.Lock()
				if s.seenSequence != c.seenSequence || s.tokenAccepted != c.tokenAccepted {
					t.Errorf("endings up to %d seen, token accepted %v; want %d, %v", s.seenSequence, s.tokenAccepted, c.seenSequence, c.tokenAccepted)
				}
				h.mu.Unlock()
				cancel()
				h.Wait()
			})
		})
	}
}

// TestLostHoldIsReplaced loses the answers to holds. The holder must find the endings
// that they would have reported by requesting reports, and must not wait for the timeout of the
// lost hold before it sees later endings.
func TestLostHoldIsReplaced(t *testing.T) {
	tests := []struct {
		name  string
		lost  func(n int) bool
		limit time.Duration // for six tasks of 40 ms in sequence
	}{
		{"none", func(int) bool { return false }, 300 * time.Millisecond},
		{"the first", func(n int) bool { return n == 1 }, 400 * time.Millisecond},
		{"the first two", func(n int) bool { return n <= 2 }, 500 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs = 6
				w := &fakeWorker{runtime: 40 * time.Millisecond, lost: c.lost}
				ctx, cancel := context.WithCancel(t.Context())
				results := make(chan batch.Result, jobs)
				h := newHolderWithWorker(ctx, w, results)
				began := time.Now()
				for i := range jobs {
					h.Admit(&batch.Batch{
						QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 1, Stretch: 1.6, Slack: time.Second},
						ID:            fmt.Sprintf("%016x", i+1), ArrivedAt: began, ExpiresAt: began.Add(time.Minute),
						Steps: []batch.Step{{Count: 1, Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, Hint: 40 * time.Millisecond}},
					}, nil)
				}
				for range jobs {
					if r := <-results; r.State != batch.Completed {
						t.Errorf("job %s: %s %s", r.ID, r.State, r.Reason)
					}
				}
				if took := time.Since(began); took > c.limit {
					t.Errorf("%d tasks of 40 ms took %v, want %v at most", jobs, took, c.limit)
				}
				cancel()
				h.Wait()
			})
		})
	}
}

// TestWorkerAnswersWhileItIsFencedAnew guards against jobs that are given up since no worker seems to
// answer: after a pause of this process every renewal has timed out, and the workers get new tokens,
// which takes a while on a busy VM.
func TestWorkerAnswersWhileItIsFencedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &recorder{}
		var mu sync.Mutex
		lost, slow := int64(0), false // token of the renewal that gets no answer, whether higher ones take long
		h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
			mu.Lock()
			isLost, isSlow := lost == 0 && o.LeaseEnd > 0, slow && o.Token > lost
			if isLost {
				lost, slow = o.Token, true
			}
			mu.Unlock()
			if isLost || isSlow {
				<-ctx.Done()
				return platform.Report{}, ctx.Err()
			}
			return r.hold(ctx, to, o)
		}}, make(chan batch.Result, 1))
		h.AddWorker(registeredWorker("w1"))
		time.Sleep(holdWait + holdTimeout + minRetryDelay + 50*time.Millisecond)
		if !h.AnyWorkerAnswers() {
			t.Error("no worker answers although it has answered a call after the lost renewal")
		}
		cancel()
		h.Wait()
	})
}
