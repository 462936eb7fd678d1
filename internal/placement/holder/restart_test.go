package holder

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
)

// incarnation is one life of a worker: it knows nothing of the runs, the tokens and the
// clock of an earlier one.
type incarnation struct {
	startedAt    time.Time
	highestToken int64
	running      map[string]fakeRun
	ended        []platform.EndedTask
	lastSequence int64
}

// restartingWorker is a worker that may start again under its ID. Its tasks all take the
// same time.
type restartingWorker struct {
	mu          sync.Mutex
	runtime     time.Duration
	current     *incarnation
	restarts    chan struct{} // closed at the next restart
	silent      bool          // waiting holds get no answer, but do not break either
	starts      []string      // tasks that it has started
	statesStart bool          // answers to starts state when the incarnation started, as reports do
	// delayStart holds start orders back before they are executed, by whichever
	// incarnation is alive then.
	delayStart time.Duration
}

func newRestartingWorker() *restartingWorker {
	return &restartingWorker{runtime: 200 * time.Millisecond, current: newIncarnation(), restarts: make(chan struct{})}
}

func newIncarnation() *incarnation {
	return &incarnation{startedAt: time.Now(), running: map[string]fakeRun{}}
}

// restart ends all runs and starts a new incarnation at once.
func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current = newIncarnation()
	close(w.restarts)
	w.restarts = make(chan struct{})
}

func (w *restartingWorker) start(ctx context.Context, o platform.StartRequest) (platform.Report, error) {
	w.mu.Lock()
	delay := w.delayStart
	w.mu.Unlock()
	time.Sleep(delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.current.highestToken {
		return platform.Report{Verdict: platform.Fenced}, ctx.Err()
	}
	w.current.highestToken = o.Token
	w.current.running[o.Task] = fakeRun{task: o.Task, run: o.Run, ends: time.Now().Add(w.runtime)}
	w.starts = append(w.starts, o.Task)
	r := platform.Report{Verdict: platform.Accepted}
	if w.statesStart {
		r.StartUnixMilli = w.current.startedAt.UnixMilli()
	}
	return r, ctx.Err()
}

// runs reports whether the current incarnation runs a task.
func (w *restartingWorker) runs(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, found := w.current.running[task]
	return found && r.ends.After(time.Now())
}

func (w *restartingWorker) stop(task string) platform.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.end(task, platform.Stopped)
	return platform.Report{Verdict: platform.Accepted}
}

func (i *incarnation) end(task string, outcome platform.Outcome) {
	if r, found := i.running[task]; found {
		delete(i.running, task)
		i.lastSequence++
		i.ended = append(i.ended, platform.EndedTask{Task: task, Run: r.run, Sequence: i.lastSequence, Outcome: outcome})
	}
}

func (w *restartingWorker) hold(ctx context.Context, o platform.HoldRequest) (platform.Report, error) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	broken, silent := w.restarts, w.silent
	w.mu.Unlock()
	if silent && o.Wait > 0 {
		<-ctx.Done()
		return platform.Report{}, ctx.Err()
	}
	for until := time.Now().Add(o.Wait); time.Now().Before(until); {
		select {
		case <-broken:
			return platform.Report{}, io.ErrUnexpectedEOF
		case <-time.After(time.Millisecond):
		}
		if r := w.report(o); len(r.Ended) > 0 {
			return r, nil
		}
	}
	return w.report(o), ctx.Err()
}

// report returns the lists of the current incarnation, which forgets the ends that the request
// acknowledges.
func (w *restartingWorker) report(o platform.HoldRequest) platform.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.current
	if o.Token < i.highestToken {
		return platform.Report{Verdict: platform.Fenced}
	}
	i.highestToken = o.Token
	r := platform.Report{Verdict: platform.Accepted, ClockMilli: time.Since(i.startedAt).Milliseconds(), StartUnixMilli: i.startedAt.UnixMilli()}
	for task, run := range i.running {
		if !run.ends.After(time.Now()) {
			i.end(task, platform.Done)
			continue
		}
		r.Running = append(r.Running, platform.RunningTask{Task: task, Run: run.run, Percent: 50})
	}
	i.ended = slices.DeleteFunc(i.ended, func(e platform.EndedTask) bool { return e.Sequence <= o.AckSequence })
	r.Ended = slices.Clone(i.ended)
	return r
}

// registration returns what the current incarnation registers.
func (w *restartingWorker) registration(id string) platform.Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platform.Registration{
		ID: id, Service: "listing", Zone: "a", Address: id, Labels: []string{"k"}, StartUnixMilli: w.current.startedAt.UnixMilli(),
		Capacity: resources.Resources{MilliCores: 1000, MemoryMB: 100},
	}
}

// restartBench is a holder with two workers that may restart.
type restartBench struct {
	*Holder
	workers     map[string]*restartingWorker
	results     chan batch.Result
	jobs        int
	overlapping []string // tasks that ran on both workers at a time
}

// newRestartBench returns a bench whose holder knows the worker w1.
func newRestartBench(ctx context.Context) *restartBench {
	b := &restartBench{workers: map[string]*restartingWorker{"w1": newRestartingWorker(), "w2": newRestartingWorker()}, results: make(chan batch.Result, 1)}
	b.Holder = newHolder(ctx, WorkerCalls{
		Start: func(ctx context.Context, to platform.Target, o platform.StartRequest) (platform.Report, error) {
			r, err := b.workers[to.ID].start(ctx, o)
			if b.workers["w1"].runs(o.Task) && b.workers["w2"].runs(o.Task) {
				b.overlapping = append(b.overlapping, o.Task)
			}
			return r, err
		},
		Stop: func(_ context.Context, to platform.Target, task string, _ int, _ int64) (platform.Report, error) {
			return b.workers[to.ID].stop(task), nil
		},
		Hold: func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
			return b.workers[to.ID].hold(ctx, o)
		},
	}, b.results)
	b.AddWorker(b.workers["w1"].registration("w1"))
	time.Sleep(20 * time.Millisecond)
	return b
}

// admit adds a job of one task, which fills a worker.
func (b *restartBench) admit() {
	b.jobs++
	now := time.Now()
	b.Admit(&batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 1, Stretch: 1.6, Slack: time.Second},
		ID:            fmt.Sprintf("%016x", b.jobs), ArrivedAt: now, ExpiresAt: now.Add(time.Minute),
		Steps: []batch.Step{{Count: 1, Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, Hint: 200 * time.Millisecond}},
	}, nil)
}

// result returns the result of the job that was admitted last, for which it keeps asking as an
// entry does, or none after some seconds.
func (b *restartBench) result() batch.Result {
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); {
		select {
		case r := <-b.results:
			return r
		case <-time.After(250 * time.Millisecond):
			b.KeepAlive([]string{fmt.Sprintf("%016x", b.jobs)})
		}
	}
	return batch.Result{}
}

// starts returns how often any task has started, by worker.
func (b *restartBench) starts() (first, second int) {
	count := func(id string) int {
		w := b.workers[id]
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.starts)
	}
	return count("w1"), count("w2")
}

// TestRegistrationAfterReportKeepsRuns guards against a second start of a task whose run is
// alive: the registration of a new incarnation is read after a report has told of it, and is
// taken for a further restart.
func TestRegistrationAfterReportKeepsRuns(t *testing.T) {
	tests := []struct {
		name   string
		first  bool // the first registration states the start time
		second bool // the one of the new incarnation does
	}{
		{"both state the start", true, true},
		{"only the second states it", false, true},
		{"only the first states it", true, false},
		{"none states it", false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				register := func(id string, stated bool) {
					r := b.workers[id].registration(id)
					if !stated {
						r.StartUnixMilli = 0
					}
					b.AddWorker(r)
				}
				if !c.first {
					b.RemoveWorker("w1", "it is registered anew")
					register("w1", false)
					time.Sleep(20 * time.Millisecond)
				}
				b.workers["w1"].restart()
				time.Sleep(500 * time.Millisecond) // the next hold tells of the restart
				b.admit()
				time.Sleep(10 * time.Millisecond)
				register("w2", true)
				time.Sleep(10 * time.Millisecond)
				register("w1", c.second)
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != 1 {
					t.Errorf("%d starts on the restarted worker and %d on the other, want one in all", first, second)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRestartKeepsRunsUntilListed guards against a second start of a task whose run is alive on
// the new incarnation of a worker, or may still begin there, when the holder learns of the
// restart.
func TestRestartKeepsRunsUntilListed(t *testing.T) {
	tests := []struct {
		name string
		// learn restarts the worker and lets the holder learn of it. A task is ordered from
		// the worker through order.
		learn  func(b *restartBench, order func())
		starts int // on both workers
	}{
		{"the new incarnation takes a start before any report of it", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true) // the hold that is pending tells nothing
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			order()
			time.Sleep(10 * time.Millisecond)
			b.workers["w1"].setSilent(false)
		}, 1},
		{"the new incarnation takes a start and registers before any report of it", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true)
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w1"].registration("w1"))
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w1"].registration("w1"))
		}, 1},
		{"a start takes effect between the report of the restart and the next token", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true)
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			b.workers["w1"].delayStart = 11500 * time.Microsecond
			order()
			b.AddWorker(b.workers["w2"].registration("w2"))
			time.Sleep(10 * time.Millisecond)
			b.session("w1").requestReport()
		}, 1},
		{"a report of the old incarnation comes after one of the new", func(b *restartBench, order func()) {
			old := b.workers["w1"].report(platform.HoldRequest{Token: 1 << 60})
			b.workers["w1"].restart()
			time.Sleep(500 * time.Millisecond)
			b.AddWorker(b.workers["w1"].registration("w1"))
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			s := b.session("w1")
			s.applyReport(old, false, s.token, time.Now())
		}, 1},
		{"an old registration comes after the new one", func(b *restartBench, order func()) {
			old := b.workers["w1"].registration("w1")
			b.workers["w1"].restart()
			b.AddWorker(b.workers["w1"].registration("w1"))
			time.Sleep(20 * time.Millisecond)
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			b.AddWorker(old)
		}, 1},
		{"a registration tells of the restart before a start is answered", func(b *restartBench, order func()) {
			b.workers["w1"].setSilent(true)
			time.Sleep(450 * time.Millisecond)
			b.workers["w1"].restart()
			order()
			b.AddWorker(b.workers["w2"].registration("w2"))
			b.AddWorker(b.workers["w1"].registration("w1"))
		}, 1},
		{"an answer to the session before comes after the registration", func(b *restartBench, order func()) {
			s := b.session("w1")
			old := b.workers["w1"].report(platform.HoldRequest{Token: s.token})
			b.workers["w1"].restart()
			b.AddWorker(b.workers["w1"].registration("w1"))
			time.Sleep(20 * time.Millisecond)
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			s.applyReport(old, false, s.token, time.Now())
		}, 1},
		{"the run has ended with the old incarnation", func(b *restartBench, order func()) {
			order()
			time.Sleep(10 * time.Millisecond)
			b.AddWorker(b.workers["w2"].registration("w2"))
			time.Sleep(10 * time.Millisecond)
			b.workers["w1"].restart()
		}, 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				c.learn(b, b.admit)
				time.Sleep(10 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != c.starts {
					t.Errorf("%d starts on the restarted worker and %d on the other, want %d in all", first, second, c.starts)
				}
				if len(b.overlapping) > 0 {
					t.Errorf("two runs at a time of %v", b.overlapping)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

func (w *restartingWorker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// session returns the holder's present session with a worker.
func (b *restartBench) session(id string) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sessions[id]
}

// TestEndsAreAcknowledgedToTheirIncarnation guards against a second run of a task that is done:
// the new incarnation of a worker numbers its ends from 1 and forgets those that are
// acknowledged, so it must not get the number of an end of the old one.
func TestEndsAreAcknowledgedToTheirIncarnation(t *testing.T) {
	tests := []struct {
		name  string
		learn func(b *restartBench)
	}{
		{"by the hold that follows a lost one", func(*restartBench) {}},
		{"by a request for a report", func(b *restartBench) { b.session("w1").requestReport() }},
		{"by a new registration", func(b *restartBench) { b.AddWorker(b.workers["w1"].registration("w1")) }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.admit()
				b.result()
				time.Sleep(10 * time.Millisecond) // the next hold acknowledges the end
				w := b.workers["w1"]
				w.setSilent(true)
				time.Sleep(450 * time.Millisecond)
				w.restart()
				w.runtime = 20 * time.Millisecond
				b.admit()
				time.Sleep(30 * time.Millisecond)
				c.learn(b)
				w.setSilent(false)
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, _ := b.starts(); first != 2 {
					t.Errorf("%d starts of two tasks, want one each", first)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestUnregisteredWorkerKeepsRuns guards against a second start of a task whose worker is alive
// although its registration has gone.
func TestUnregisteredWorkerKeepsRuns(t *testing.T) {
	tests := []struct {
		name     string
		register bool // the worker is registered again while the run goes on
		starts   int  // on both workers
	}{
		{"the registration stays away", false, 2},
		{"the registration is back", true, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.admit()
				time.Sleep(10 * time.Millisecond)
				b.AddWorker(b.workers["w2"].registration("w2"))
				time.Sleep(10 * time.Millisecond)
				b.RemoveWorker("w1", "its registration has gone")
				time.Sleep(50 * time.Millisecond)
				if c.register {
					b.AddWorker(b.workers["w1"].registration("w1"))
				}
				if r := b.result(); r.State != batch.Completed {
					t.Errorf("job: %s %s, want completed", r.State, r.Reason)
				}
				if first, second := b.starts(); first+second != c.starts {
					t.Errorf("%d starts on the unregistered worker and %d on the other, want %d in all", first, second, c.starts)
				}
				if len(b.overlapping) > 0 {
					t.Errorf("two runs at a time of %v", b.overlapping)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestRestartedWorkerWaitsForItsRegistration guards against a start beyond the capacity of a
// worker that has become smaller with its restart.
func TestRestartedWorkerWaitsForItsRegistration(t *testing.T) {
	tests := []struct {
		name     string
		capacity int64 // of the new incarnation, in thousandths of a core
		starts   int   // on the worker
	}{
		{"it is as large as before", 1000, 1},
		{"it is too small for the task", 500, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				b.workers["w1"].restart()
				time.Sleep(500 * time.Millisecond) // the next hold tells of the restart
				b.admit()
				time.Sleep(100 * time.Millisecond)
				if first, _ := b.starts(); first != 0 {
					t.Errorf("%d starts before the new incarnation has registered, want none", first)
				}
				r := b.workers["w1"].registration("w1")
				r.Capacity.MilliCores = c.capacity
				b.AddWorker(r)
				time.Sleep(100 * time.Millisecond)
				if first, _ := b.starts(); first != c.starts {
					t.Errorf("%d starts after the new incarnation has registered, want %d", first, c.starts)
				}
				cancel()
				b.Wait()
			})
		})
	}
}

// TestEndedWorkerIsNotCalledAgain guards against a worker that is dropped and added by turns
// while its registration outlives it and another worker answers at its address.
func TestEndedWorkerIsNotCalledAgain(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *platform.Registration) // of the registration that is read next
		after  time.Duration                  // when it is read
		calls  int64
	}{
		{"the same registration", func(*platform.Registration) {}, time.Second, 1},
		{"the same registration after some time", func(*platform.Registration) {}, endedCheckDelay, 2},
		{"a later start", func(r *platform.Registration) { r.StartUnixMilli++ }, time.Second, 2},
		{"another address", func(r *platform.Registration) { r.Address = "elsewhere" }, time.Second, 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var calls atomic.Int64
				h := newHolder(ctx, WorkerCalls{Hold: func(context.Context, platform.Target, platform.HoldRequest) (platform.Report, error) {
					calls.Add(1)
					return platform.Report{Verdict: platform.OtherIncarnation}, nil
				}}, nil)
				r := newRestartingWorker().registration("w1")
				h.AddWorker(r)
				time.Sleep(10 * time.Millisecond)
				time.Sleep(c.after)
				c.change(&r)
				h.AddWorker(r)
				time.Sleep(10 * time.Millisecond)
				if got := calls.Load(); got != c.calls {
					t.Errorf("%d calls, want %d", got, c.calls)
				}
				cancel()
				h.Wait()
			})
		})
	}
}

// TestStartAnswerTellsOfARestart guards against an end that is acknowledged unseen: the first
// answer of a new incarnation may be one to a start, and a hold of the old one that is
// answered afterwards would be followed by one that acknowledges its ends.
func TestStartAnswerTellsOfARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newRestartBench(ctx)
		w := b.workers["w1"]
		w.statesStart = true
		w.setSilent(true)
		time.Sleep(450 * time.Millisecond)
		w.restart()
		b.admit()
		time.Sleep(10 * time.Millisecond)
		s := b.session("w1")
		b.mu.Lock()
		if want := w.registration("w1").StartUnixMilli; s.startUnixMilli != want {
			t.Errorf("the session knows the incarnation of %d, want that of %d", s.startUnixMilli, want)
		}
		b.mu.Unlock()
		if r := b.result(); r.State != batch.Completed {
			t.Errorf("job: %s %s, want completed", r.State, r.Reason)
		}
		if first, _ := b.starts(); first != 1 {
			t.Errorf("%d starts, want 1", first)
		}
		cancel()
		b.Wait()
	})
}

// TestSessionOutlivesOldNews guards against a session that is replaced, or whose worker is
// removed, on news of an incarnation that is not the one it knows.
func TestSessionOutlivesOldNews(t *testing.T) {
	tests := []struct {
		name string
		news func(b *restartBench, first platform.Registration, before *session)
	}{
		{"the registration from before the restart", func(b *restartBench, first platform.Registration, _ *session) { b.AddWorker(first) }},
		{"the registration that it began with", func(b *restartBench, _ platform.Registration, _ *session) {
			b.AddWorker(b.workers["w1"].registration("w1"))
		}},
		{"another worker at the address of the session before", func(b *restartBench, _ platform.Registration, before *session) {
			b.removeEnded(before, "another incarnation answers at its address")
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				b := newRestartBench(ctx)
				first, before := b.workers["w1"].registration("w1"), b.session("w1")
				b.workers["w1"].restart()
				b.AddWorker(b.workers["w1"].registration("w1"))
				present := b.session("w1")
				if present == before {
					t.Error("the registration of the new incarnation has begun no session")
				}
				c.news(b, first, before)
				time.Sleep(20 * time.Millisecond)
				if b.session("w1") != present {
					t.Error("the session has been replaced or removed")
				}
				cancel()
				b.Wait()
			})
		})
	}
}
