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
	"github.com/radishgate/radishgate/internal/work/room"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// slot is a worker that runs one task at a time, by the clock of a synctest bubble.
type slot struct {
	mu    sync.Mutex
	span  time.Duration // of a task
	runs  []slotRun
	holds int              // that waited for an end
	lost  func(n int) bool // whether a hold that waits gets no answer
}

type slotRun struct {
	task string
	run  int
	ends time.Time
}

func (s *slot) start(_ context.Context, _ platform.Target, o platform.StartRequest) (platform.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, slotRun{task: o.Task, run: o.Run, ends: time.Now().Add(s.span)})
	return platform.Report{Verdict: platform.Accepted}, nil
}

func (s *slot) hold(ctx context.Context, _ platform.Target, o platform.HoldRequest) (platform.Report, error) {
	if o.Wait == 0 {
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

func (s *slot) stop(context.Context, platform.Target, string, int, int64) (platform.Report, error) {
	return platform.Report{Verdict: platform.Accepted}, nil
}

func (s *slot) report() platform.Report {
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

// holderOver makes a holder without workers that is the only one.
func holderOver(ctx context.Context, calls Calls, settled chan<- batch.Result) *Holder {
	return New(ctx, Options{
		Group: "a/0", Epoch: 1, First: true, Tokens: fence.New(1, 1), Lease: time.Second, Resend: 1300 * time.Millisecond, Calls: calls,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Settled: func(_ *batch.Batch, r batch.Result) { settled <- r },
		Fenced: func() bool { return true }, Counted: func(string) {},
	})
}

// holderOf makes a holder of one worker, which has taken its token.
func holderOf(ctx context.Context, w *slot, settled chan<- batch.Result) *Holder {
	h := holderOver(ctx, Calls{Start: w.start, Stop: w.stop, Hold: w.hold}, settled)
	h.Enlist(platform.Registration{ID: "w", Service: "listing", Zone: "a", Address: "w", Labels: []string{"k"}, Capacity: room.Room{Processors: 1000, Memory: 100}})
	time.Sleep(10 * time.Millisecond)
	return h
}

// TestReportsThatCountForNothing has reports come that others have overtaken. Taken for
// the last word, they would tell that an order of unknown fate has come to nothing.
func TestReportsThatCountForNothing(t *testing.T) {
	tests := []struct {
		name   string
		before func(s *session) // under the holder's lock
		born   int64
		clock  time.Duration // of the worker, since its last report
		seen   int64
		fenced bool
	}{
		{"the last one", func(*session) {}, 1, time.Millisecond, 1, true},
		{"a higher token is due", func(s *session) { s.refence("a test") }, 1, time.Millisecond, 0, false},
		{"a later one has come on another connection", func(*session) {}, 1, -time.Millisecond, 0, true},
		{"the worker has started again", func(*session) {}, 2, time.Millisecond, 0, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				h := holderOf(ctx, &slot{lost: func(int) bool { return true }}, nil)
				h.mu.Lock()
				s := h.sessions["w"]
				token, clock := s.token, s.clock
				c.before(s)
				h.mu.Unlock()
				s.take(platform.Report{
					Verdict: platform.Accepted, ClockMilli: clock + c.clock.Milliseconds(), StartUnixMilli: c.born,
					Ended: []platform.EndedTask{{Task: "0000000000000001.0.0.0", Run: 1, Sequence: 1, Outcome: platform.Done}},
				}, true, token, time.Now())
				h.mu.Lock()
				if s.seen != c.seen || s.fenced != c.fenced {
					t.Errorf("ends up to %d seen, fenced %v; want %d, %v", s.seen, s.fenced, c.seen, c.fenced)
				}
				h.mu.Unlock()
				cancel()
				h.Wait()
			})
		})
	}
}

// TestLostHoldIsReplaced loses holds on their way: the ends that they would have told
// of are looked for, and the next ones must not wait until the lost hold is given up.
func TestLostHoldIsReplaced(t *testing.T) {
	tests := []struct {
		name string
		lost func(n int) bool
		most time.Duration // for six tasks of 40 ms, one after the other
	}{
		{"none", func(int) bool { return false }, 300 * time.Millisecond},
		{"the first", func(n int) bool { return n == 1 }, 400 * time.Millisecond},
		{"the first two", func(n int) bool { return n <= 2 }, 500 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs = 6
				w := &slot{span: 40 * time.Millisecond, lost: c.lost}
				ctx, cancel := context.WithCancel(t.Context())
				settled := make(chan batch.Result, jobs)
				h := holderOf(ctx, w, settled)
				began := time.Now()
				for i := range jobs {
					h.Admit(&batch.Batch{
						Terms: batch.Terms{Queue: "q", Service: "listing", Attempts: 1, Stretch: 1.6, Slack: time.Second},
						ID:    fmt.Sprintf("%016x", i+1), Arrived: began, Expires: began.Add(time.Minute),
						Steps: []batch.Step{{Count: 1, Room: room.Room{Processors: 1000, Memory: 10}, Hint: 40 * time.Millisecond}},
					}, nil)
				}
				for range jobs {
					if r := <-settled; r.State != batch.Completed {
						t.Errorf("job %s: %s %s", r.ID, r.State, r.Reason)
					}
				}
				if took := time.Since(began); took > c.most {
					t.Errorf("%d tasks of 40 ms took %v, want %v at most", jobs, took, c.most)
				}
				cancel()
				h.Wait()
			})
		})
	}
}
