package holder

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
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
	deaf        bool          // no call arrives
	refusing    bool          // connections are refused
	starts      []string      // tasks that it has started
	statesStart bool          // answers to starts state when the incarnation started, as reports do
	startless   bool          // neither reports nor registrations state it
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

// clockMilli returns the time on the clock of the incarnation, which begins at 1 ms.
func (i *incarnation) clockMilli() int64 { return time.Since(i.startedAt).Milliseconds() + 1 }

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
	delay, deaf, refusing := w.delayStart, w.deaf, w.refusing
	w.mu.Unlock()
	if refusing {
		return platform.Report{}, errRefused
	}
	if deaf {
		<-ctx.Done()
		return platform.Report{}, ctx.Err()
	}
	time.Sleep(delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.current.highestToken {
		return platform.Report{Verdict: platform.Fenced}, ctx.Err()
	}
	w.current.highestToken = o.Token
	w.current.running[o.Task] = fakeRun{task: o.Task, run: o.Run, ends: time.Now().Add(w.runtime)}
	w.starts = append(w.starts, o.Task)
	r := platform.Report{Verdict: platform.Accepted, ClockMilli: w.current.clockMilli()}
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
	broken, silent, deaf, refusing := w.restarts, w.silent, w.deaf, w.refusing
	w.mu.Unlock()
	if refusing {
		return platform.Report{}, errRefused
	}
	if deaf || silent && o.Wait > 0 {
		<-ctx.Done()
		return platform.Report{}, ctx.Err()
	}
	for until := time.Now().Add(o.Wait); time.Now().Before(until); {
		select {
		case <-broken:
			return platform.Report{}, &platform.Error{Call: "hold", Uncertain: true, Cause: io.ErrUnexpectedEOF}
		case <-time.After(time.Millisecond):
		}
		w.mu.Lock()
		deaf := w.deaf
		w.mu.Unlock()
		if deaf {
			<-ctx.Done()
			return platform.Report{}, ctx.Err()
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
	r := platform.Report{Verdict: platform.Accepted, ClockMilli: i.clockMilli(), StartUnixMilli: i.startedAt.UnixMilli()}
	if w.startless {
		r.StartUnixMilli = 0
	}
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
	return newChangedBench(ctx, func(*Options) {})
}

// newChangedBench returns a bench like that of newRestartBench, with other options.
func newChangedBench(ctx context.Context, change func(o *Options)) *restartBench {
	return newBenchOf(ctx, newRestartingWorker(), change)
}

// newBenchOf returns a bench like that of newChangedBench, with a given worker as w1.
func newBenchOf(ctx context.Context, first *restartingWorker, change func(o *Options)) *restartBench {
	b := &restartBench{workers: map[string]*restartingWorker{"w1": first, "w2": newRestartingWorker()}, results: make(chan batch.Result, 1)}
	o := testOptions(WorkerCalls{
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
	change(&o)
	b.Holder = New(ctx, o)
	b.AddWorker(b.workers["w1"].registration("w1"))
	time.Sleep(20 * time.Millisecond)
	return b
}

// admit adds a job of one task, which fills a worker.
func (b *restartBench) admit() {
	b.admitTask(batch.Step{Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}})
}

// admitTask adds a job of one task.
func (b *restartBench) admitTask(step batch.Step) {
	b.jobs++
	now := time.Now()
	step.Count, step.Hint = 1, 200*time.Millisecond
	b.Admit(&batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 1, Stretch: 1.6, Slack: time.Second},
		ID:            fmt.Sprintf("%016x", b.jobs), ArrivedAt: now, ExpiresAt: now.Add(time.Minute), Steps: []batch.Step{step},
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
			b.KeepAlive([]string{fmt.Sprintf("%016x", b.jobs)}, time.Now())
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

// keepAsking asks for the job that was admitted last, as an entry does, for some time or until
// it is done.
func (b *restartBench) keepAsking(longest time.Duration, done func() bool) {
	for until := time.Now().Add(longest); !done() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
		b.KeepAlive([]string{fmt.Sprintf("%016x", b.jobs)}, time.Now())
	}
}

func (w *restartingWorker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// errRefused is the error of a call to a worker that has crashed.
var errRefused = &platform.Error{Call: "call", Cause: syscall.ECONNREFUSED}

func (w *restartingWorker) setRefusing(refusing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusing = refusing
}

func (w *restartingWorker) setDeaf(deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = deaf
}

// session returns the holder's present session with a worker.
func (b *restartBench) session(id string) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sessions[id]
}
