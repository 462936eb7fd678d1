// Package holder carries out a plan: it keeps a session with every worker of a group and passes orders and reports between them and the plan.
package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// WorkerCalls are the orders that workers take. The functions are the seam at which
// tests put a stand-in.
type WorkerCalls struct {
	Start func(ctx context.Context, to platform.Target, o platform.StartOrder) (platform.Report, error)
	Stop  func(ctx context.Context, to platform.Target, task string, run int, token int64) (platform.Report, error)
	Hold  func(ctx context.Context, to platform.Target, o platform.HoldOrder) (platform.Report, error)
}

// Options of a holder. The functions are called without any lock held.
type Options struct {
	Group       string
	Epoch       uint64 // of the claim
	FirstClaim  bool   // the claim followed no other
	Tokens      *fence.TokenSource
	Lease       time.Duration
	ResendAfter time.Duration // after which a client that has no answer sends its job again
	// PartialTo is until when the list of workers may lack some that are alive.
	WorkersPartialUntil time.Time
	Calls               WorkerCalls
	Log                 *slog.Logger
	// Settled is told what became of each job.
	OnResult func(b *batch.Batch, r batch.Result)
	// Fenced is told that another holder was met at a worker. It tells whether
	// this one is to take the worker back.
	OnConflict func() bool
	// Doubtful tells whether another entry may have taken the group over unheard, as
	// while this process stood still: nothing starts then. Nil for never.
	TakeoverSuspected func() bool
	// Counted is told of every order and its answer.
	CountCall func(what string)
}

// Holder is safe for concurrent use.
type Holder struct {
	options      Options
	mu           sync.Mutex
	plan         *plan.Plan
	sessions     map[string]*session
	startTimeout answerTimeout // for answers to starts
	released     bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New makes a holder that works until the context ends or it yields.
func New(ctx context.Context, options Options) *Holder {
	now := time.Now()
	if options.TakeoverSuspected == nil {
		options.TakeoverSuspected = func() bool { return false }
	}
	h := &Holder{
		options: options, sessions: map[string]*session{},
		plan: plan.New(plan.Options{
			Lease: options.Lease, Resend: options.ResendAfter, First: options.FirstClaim, PartialTo: options.WorkersPartialUntil,
		}, now),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.goroutines.Go(h.tickLoop)
	return h
}

// tickSpan is the time between looks at what only time changes. Runs that lapse
// and clients that leave are noticed within it.
const tickInterval = 25 * time.Millisecond

func (h *Holder) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			h.update(func(p *plan.Plan, now time.Time) { p.Tick(now) })
		}
	}
}

// with changes the plan and carries out what it orders.
func (h *Holder) update(change func(p *plan.Plan, now time.Time)) {
	h.mu.Lock()
	if h.released {
		h.mu.Unlock()
		return
	}
	h.plan.Doubt(h.options.TakeoverSuspected())
	change(h.plan, time.Now())
	results := h.dispatch(h.plan.Orders())
	h.mu.Unlock()
	for _, o := range results {
		h.options.OnResult(o.Batch, o.Result)
	}
}

// send begins the orders to workers and gives those to settle. The token of an
// order is the one in force when the plan gave it.
func (h *Holder) dispatch(orders []plan.Order) []plan.Order {
	var results []plan.Order
	for _, o := range orders {
		if o.Kind == plan.Settle {
			if o.Result.State == batch.Moved {
				h.options.Log.Info("job moved", "job", o.Batch.ID, "from", h.options.Group, "to", o.Result.TargetGroup, "reason", o.Result.Reason)
			}
			results = append(results, o)
			continue
		}
		s, known := h.sessions[o.Worker]
		if !known {
			continue
		}
		switch o.Kind {
		case plan.Start:
			start := platform.StartOrder{Task: o.Task, Run: o.Run, Spec: o.Batch.Spec, Lease: s.leaseUntil(), Token: s.token}
			h.options.Log.Info("start ordered", "task", o.Task, "run", o.Run, "worker", o.Worker, "token", s.token,
				"expected_ms", o.Expected.Milliseconds(), "free", o.Free, "waiting", o.Waiting, "group", h.options.Group)
			h.goroutines.Go(func() { s.sendStart(start) })
		case plan.Stop:
			token := s.token
			h.goroutines.Go(func() { s.sendStop(o, token) })
		case plan.Fence:
			s.renewToken(o.Reason)
		case plan.Look:
			h.goroutines.Go(s.poll)
		}
	}
	return results
}

// AddWorker takes the registration of a worker.
func (h *Holder) AddWorker(r platform.Registration) {
	h.update(func(p *plan.Plan, now time.Time) {
		s, known := h.sessions[r.ID]
		if known && (s.target.Address != r.Address || s.registration.Born != r.Born) {
			h.endSession(s, p, now, "a new life is registered")
			known = false
		}
		p.Enlist(planWorker(r), now)
		if known {
			s.registration = r
			return
		}
		s = newSession(h, r)
		h.sessions[r.ID] = s
		h.goroutines.Go(s.holdLoop)
	})
}

func planWorker(r platform.Registration) plan.Worker {
	w := plan.Worker{ID: r.ID, Service: r.Service, Zone: r.Zone, Labels: r.Labels, Room: r.Room, Draining: r.Draining}
	if len(r.Labels) > 0 {
		w.Kind = r.Labels[0] // the kind comes before the rack
	}
	return w
}

// RemoveWorker ends the session with a worker whose registration has gone.
func (h *Holder) RemoveWorker(id, reason string) {
	h.update(func(p *plan.Plan, now time.Time) {
		if s, known := h.sessions[id]; known {
			h.endSession(s, p, now, reason)
		}
	})
}

// end drops a session. The plan's lock is held.
func (h *Holder) endSession(s *session, p *plan.Plan, now time.Time, reason string) {
	s.cancel()
	if h.sessions[s.target.ID] == s {
		delete(h.sessions, s.target.ID)
		p.Dismiss(s.target.ID, now)
	}
	h.options.Log.Info("worker dropped", "worker", s.target.ID, "reason", reason)
}

// AllWorkersReady tells whether all workers answer and have taken the token.
func (h *Holder) AllWorkersReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.Calm()
}

// Epoch is that of the claim by which the holder places.
func (h *Holder) Epoch() uint64 { return h.options.Epoch }

// Answering tells whether a worker has answered lately.
func (h *Holder) Answering(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, known := h.sessions[id]
	return known && time.Now().Before(s.answeringUntil)
}

// Admit takes a job; done names its tasks that ended under an earlier holder.
func (h *Holder) Admit(b *batch.Batch, done []string) {
	h.update(func(p *plan.Plan, now time.Time) { p.Admit(b, done, now) })
}

// Withdraw drops a job whose client has left.
func (h *Holder) Withdraw(id string, attempt uint64) {
	h.update(func(p *plan.Plan, now time.Time) { p.Withdraw(id, attempt, now) })
}

// Poll notes that jobs are still waited for. It gives the results of those
// that have ended, and names those that are not known.
func (h *Holder) Poll(ids []string) (results []batch.Result, unknown []string) {
	h.update(func(p *plan.Plan, now time.Time) {
		for _, id := range ids {
			r, known := p.Wanted(id, now)
			switch {
			case !known:
				unknown = append(unknown, id)
			case r.State.Ended():
				results = append(results, r)
			}
		}
	})
	return results, unknown
}

// FreeSlots counts the tasks that the workers could take at once.
func (h *Holder) FreeSlots() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.Vacancy()
}

// SetOtherFreeSlots takes those of other groups.
func (h *Holder) SetOtherFreeSlots(tasks map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan.Vacancies(tasks)
}

// Load tells of the present work.
func (h *Holder) Load() plan.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.Load()
}

// Release hands all jobs back to their entries and ends the sessions. What runs is
// left to the next holder.
func (h *Holder) Release() {
	h.update(func(p *plan.Plan, now time.Time) { p.Yield(now) })
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.cancel()
}

// Wait returns when all that the holder began has ended.
func (h *Holder) Wait() { h.goroutines.Wait() }
