package holder

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// registeredWorker returns the registration of a worker with one core.
func registeredWorker(id string) platform.Registration {
	return platform.Registration{ID: id, Service: "listing", Zone: "a", Address: id, Labels: []string{"k"}, Capacity: resources.Resources{MilliCores: 1000, MemoryMB: 100}}
}

// oneTask returns a job of one task that needs one core.
func oneTask(id string, runtime time.Duration) *batch.Batch {
	now := time.Now()
	return &batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: time.Second},
		ID:            id, ArrivedAt: now, ExpiresAt: now.Add(5 * time.Second),
		Steps: []batch.Step{{Count: 1, Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, Hint: runtime}},
	}
}

// sentStart is a start with the worker that it was sent to and when.
type sentStart struct {
	platform.StartRequest
	worker string
	at     time.Time
}

// recorder is a fake of all workers. They accept every start and run it for ever; their clocks show the time of the bubble.
type recorder struct {
	mu       sync.Mutex
	starts   []sentStart
	holds    []platform.HoldRequest
	silentAt func(worker string) bool // reports whether holds of a worker get no answer
	fencedAt string                   // worker that obeys another holder
	born     map[string]int64         // start times of workers in Unix milliseconds, 1 if not set
}

func (r *recorder) start(_ context.Context, to platform.Target, o platform.StartRequest) (platform.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.ID == r.fencedAt {
		return platform.Report{Verdict: platform.Fenced, ClockMilli: time.Now().UnixMilli()}, nil
	}
	r.starts = append(r.starts, sentStart{o, to.ID, time.Now()})
	return platform.Report{Verdict: platform.Accepted, ClockMilli: time.Now().UnixMilli()}, nil
}

func (r *recorder) stop(context.Context, platform.Target, string, int, int64) (platform.Report, error) {
	return platform.Report{Verdict: platform.Accepted}, nil
}

func (r *recorder) hold(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
	r.mu.Lock()
	r.holds = append(r.holds, o)
	silent := r.silentAt != nil && r.silentAt(to.ID)
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return platform.Report{}, ctx.Err()
	}
	if o.Wait > 0 {
		time.Sleep(o.Wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.ID == r.fencedAt {
		return platform.Report{Verdict: platform.Fenced, ClockMilli: time.Now().UnixMilli()}, nil
	}
	report := platform.Report{Verdict: platform.Accepted, ClockMilli: time.Now().UnixMilli(), StartUnixMilli: max(1, r.born[to.ID])}
	for _, s := range r.starts {
		if s.worker == to.ID {
			report.Running = append(report.Running, platform.RunningTask{Task: s.Task, Run: s.Run, Percent: 10})
		}
	}
	return report, nil
}

// sent returns the starts sent so far.
func (r *recorder) sent() []sentStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]sentStart(nil), r.starts...)
}

// TestWorkerWithALeaseIsNotTakenForGone guards against a second start: the registration of a worker has gone and its last answer
// to a hold is 1.5 s old, but a start that it accepted since then gave it a lease that lasts longer than that.
func TestWorkerWithALeaseIsNotTakenForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		silent := false
		r := &recorder{silentAt: func(worker string) bool { return silent && worker == "w1" }}
		h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, make(chan batch.Result, 1))
		h.AddWorker(registeredWorker("w1"))
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		silent = true
		r.mu.Unlock()
		for h.mu.Lock(); ; h.mu.Lock() { // until shortly before the last hold times out
			left := time.Until(h.sessions["w1"].answeringUntil)
			h.mu.Unlock()
			if left < answeringSpan-600*time.Millisecond {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		h.Admit(oneTask("0000000000000001", time.Second), nil)
		time.Sleep(time.Millisecond)
		if got := r.sent(); len(got) != 1 {
			t.Fatalf("%d starts, want 1", len(got))
		}
		h.AddWorker(registeredWorker("w2"))
		for h.Answering("w1") {
			time.Sleep(5 * time.Millisecond)
			h.KeepAlive([]string{"0000000000000001"}, time.Now())
		}
		h.RemoveWorker("w1", "its registration has gone")
		time.Sleep(30 * time.Millisecond)
		if got := r.sent(); len(got) > 1 && got[1].at.UnixMilli() < got[0].LeaseEnd {
			t.Errorf("run %d starts on %s %d ms before the lease of run %d on %s ends", got[1].Run, got[1].worker, got[0].LeaseEnd-got[1].at.UnixMilli(), got[0].Run, got[0].worker)
		}
		cancel()
		h.Wait()
	})
}

// TestNoLeaseIsGrantedWhileATakeoverIsSuspected guards against a run that outlasts the wait of the next holder: that one waits for
// the leases granted before its takeover, and a holder that resumes after a pause renews them on workers which it has not reached.
func TestNoLeaseIsGrantedWhileATakeoverIsSuspected(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := &recorder{}
			h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, nil)
			var mu sync.Mutex
			paused := false
			h.options.TakeoverSuspected = func() bool {
				mu.Lock()
				defer mu.Unlock()
				return paused
			}
			h.AddWorker(registeredWorker("w1"))
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			paused = suspected
			mu.Unlock()
			r.mu.Lock()
			r.holds = nil
			r.mu.Unlock()
			time.Sleep(900 * time.Millisecond)
			granted := 0
			r.mu.Lock()
			for _, o := range r.holds {
				if o.LeaseEnd > 0 {
					granted++
				}
			}
			r.mu.Unlock()
			if granted > 0 == suspected {
				t.Errorf("%d leases granted while a takeover is suspected: %v", granted, suspected)
			}
			cancel()
			h.Wait()
		})
	}
}

// TestLeaseOfAStartIsTheOneThatThePlanExpects guards against a second start after a pause inside an update: the lease of a start
// must not be computed from a later time than the one at which the plan believes that it was granted.
func TestLeaseOfAStartIsTheOneThatThePlanExpects(t *testing.T) {
	for _, pause := range []time.Duration{0, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := &recorder{}
			// Without ticks and hold loops, which would wait for the lock during the pause.
			h := &Holder{
				options: Options{
					Tokens: fence.New(1, 1), Lease: time.Second, Calls: WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
					TakeoverSuspected: func() bool { return false }, MayBeReplaced: func() bool { return false }, CountCall: func(string) {}, OnResult: func(*batch.Batch, batch.Result) {},
				},
				sessions: map[string]*session{}, plan: plan.New(plan.Options{}, time.Now()), ctx: ctx, cancel: cancel,
			}
			registration := registeredWorker("w1")
			s := newSession(h, registration)
			h.sessions["w1"] = s
			h.plan.AddWorker(planWorker(registration), time.Now())
			s.applyReport(platform.Report{Verdict: platform.Accepted, ClockMilli: time.Now().UnixMilli(), StartUnixMilli: 1}, true, s.token, time.Now())
			var recordedAt time.Time
			h.update(func(p *plan.Plan, now time.Time) {
				recordedAt = now
				time.Sleep(pause) // the process does not run
				p.Admit(oneTask("0000000000000001", time.Second), nil, now)
			})
			time.Sleep(time.Millisecond)
			got := r.sent()
			if len(got) != 1 {
				t.Fatalf("%d starts, want 1", len(got))
			}
			if longest := recordedAt.Add(time.Second).UnixMilli(); got[0].LeaseEnd > longest {
				t.Errorf("after a pause of %v the lease ends %d ms later than the plan expects", pause, got[0].LeaseEnd-longest)
			}
			h.Wait()
		})
	}
}

// TestLeaseAllowsForASlowWorkerClock guards against a lease that outlasts the plan's bound: the clock of the worker is 2% slow and
// was read some time ago, at most a hold, its timeout and the longest pause without suspicion ago when a lease is granted.
func TestLeaseAllowsForASlowWorkerClock(t *testing.T) {
	const longest = 1020 * time.Millisecond // for which the plan grants a lease of one second
	const bound = 1080 * time.Millisecond   // plan.leaseEnd for a lease of one second
	for _, age := range []time.Duration{0, holdWait, holdWait + holdTimeout + 600*time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var c workerClock
			c.note(clockReading{1000, time.Now()}, time.Minute)
			time.Sleep(age)
			left := float64(c.until(time.Now().Add(longest))-1000) - age.Seconds()*980 // ms on the clock of the worker
			if lasts := time.Duration(left / 0.98 * float64(time.Millisecond)); lasts > bound {
				t.Errorf("clock read %v ago: lease may last %v after it was granted, the plan waits %v", age, lasts, bound)
			}
		})
	}
}

// TestStartTakenByANewIncarnationIsKept guards against a second start: a worker restarts while a hold is pending and gets a start
// before the first report of its new incarnation, which lists the run.
func TestStartTakenByANewIncarnationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		silent := false
		r := &recorder{silentAt: func(worker string) bool { return silent && worker == "w1" }, born: map[string]int64{}}
		h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, make(chan batch.Result, 1))
		h.AddWorker(registeredWorker("w1"))
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		silent = true
		r.mu.Unlock()
		time.Sleep(holdWait + holdTimeout) // the hold that was pending is answered, the next one is not
		r.mu.Lock()
		silent, r.born["w1"] = false, 2
		r.mu.Unlock()
		h.Admit(oneTask("0000000000000001", time.Second), nil)
		time.Sleep(time.Millisecond)
		if got := r.sent(); len(got) != 1 {
			t.Fatalf("%d starts, want 1", len(got))
		}
		h.AddWorker(registeredWorker("w2"))
		time.Sleep(holdWait + holdTimeout)
		if got := r.sent(); len(got) > 1 {
			t.Errorf("run %d starts on %s while %s lists run %d", got[1].Run, got[1].worker, got[0].worker, got[0].Run)
		}
		cancel()
		h.Wait()
	})
}

// TestStartRefusedForItsTokenDelaysOthers guards against starts beside those of another holder: a refused start shows that there is
// one as well as a refused hold does, and the pending hold may show it only after some hundred milliseconds.
func TestStartRefusedForItsTokenDelaysOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &recorder{}
		h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: r.hold}, make(chan batch.Result, 1))
		h.AddWorker(registeredWorker("w1"))
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		r.fencedAt = "w1"
		r.mu.Unlock()
		h.Admit(oneTask("0000000000000001", time.Second), nil)
		h.AddWorker(registeredWorker("w2"))
		time.Sleep(100 * time.Millisecond)
		if got := r.sent(); len(got) > 0 {
			t.Errorf("starts on %s after another holder was met at w1", got[0].worker)
		}
		cancel()
		h.Wait()
	})
}

// TestLostRenewalIsVoidBeforeTheNextStart guards against a run that outlasts the lease that the plan
// counts with: a renewal that got no answer is executed seconds later, when another run has begun
// and the worker can no longer be reached.
func TestLostRenewalIsVoidBeforeTheNextStart(t *testing.T) {
	for _, interrupted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := &recorder{}
			var mu sync.Mutex
			lost := int64(0) // token of the renewal that gets no answer
			h := newHolder(ctx, WorkerCalls{Start: r.start, Stop: r.stop, Hold: func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error) {
				mu.Lock()
				first := lost == 0 && o.LeaseEnd > 0
				if first {
					lost = o.Token
				}
				mu.Unlock()
				if first {
					<-ctx.Done()
					return platform.Report{}, ctx.Err()
				}
				return r.hold(ctx, to, o)
			}}, make(chan batch.Result, 1))
			h.AddWorker(registeredWorker("w1"))
			time.Sleep(100 * time.Millisecond)
			if interrupted {
				h.mu.Lock()
				h.sessions["w1"].cancelHold() // as requestReport does
				h.mu.Unlock()
			}
			time.Sleep(time.Second)
			h.Admit(oneTask("0000000000000001", time.Second), nil)
			time.Sleep(100 * time.Millisecond)
			got := r.sent()
			if len(got) != 1 {
				t.Fatalf("%d starts, want 1", len(got))
			}
			if got[0].Token <= lost {
				t.Errorf("hold interrupted %v: the start has the token %d, that of the lost renewal", interrupted, got[0].Token)
			}
			cancel()
			h.Wait()
		})
	}
}

// TestLeaseOfARepeatedStartCountsFromItsLastCopy guards against a second start beside a run that a
// new incarnation has taken from a late copy: the deadline of the copy lies in the future of its
// clock, which has begun anew, so that the lease lasts its full length from the arrival, which may
// be seconds after the copy was sent.
func TestLeaseOfARepeatedStartCountsFromItsLastCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &recorder{}
		r.silentAt = func(worker string) bool { return worker == "w1" && len(r.holds) > 1 } // once it has accepted the token
		start := func(ctx context.Context, to platform.Target, o platform.StartRequest) (platform.Report, error) {
			report, err := r.start(ctx, to, o)
			if to.ID == "w1" {
				<-ctx.Done()
				return platform.Report{}, ctx.Err()
			}
			return report, err
		}
		h := newHolder(ctx, WorkerCalls{Start: start, Stop: r.stop, Hold: r.hold}, make(chan batch.Result, 1))
		h.AddWorker(registeredWorker("w1"))
		time.Sleep(10 * time.Millisecond)
		b := oneTask("0000000000000001", time.Second)
		b.ExpiresAt = b.ArrivedAt.Add(20 * time.Second)
		h.Admit(b, nil)
		h.AddWorker(registeredWorker("w2"))
		for range 160 {
			time.Sleep(100 * time.Millisecond)
			h.KeepAlive([]string{"0000000000000001"}, time.Now())
		}
		var lastCopy, second time.Time
		for _, s := range r.sent() {
			if s.worker == "w1" {
				lastCopy = s.at
			} else if second.IsZero() {
				second = s.at
			}
		}
		if second.IsZero() {
			t.Fatal("no start on the second worker")
		}
		if between := second.Sub(lastCopy); between < 13*time.Second {
			t.Errorf("second start %v after the last copy of the first one, want 12 s for its arrival and 1 s for its lease", between)
		}
		cancel()
		h.Wait()
	})
}
