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

// Calls are the orders that workers take. The functions are the seam at which
// tests put a stand-in.
type Calls struct {
	Start func(ctx context.Context, to platform.Target, o platform.StartRequest) (platform.Report, error)
	Stop  func(ctx context.Context, to platform.Target, task string, run int, token int64) (platform.Report, error)
	Hold  func(ctx context.Context, to platform.Target, o platform.HoldRequest) (platform.Report, error)
}

// Options of a holder. The functions are called without any lock held.
type Options struct {
	Group  string
	Epoch  uint64 // of the claim
	First  bool   // the claim followed no other
	Tokens *fence.Source
	Lease  time.Duration
	Resend time.Duration // after which a client that has no answer sends its job again
	// PartialTo is until when the list of workers may lack some that are alive.
	PartialTo time.Time
	Calls     Calls
	Log       *slog.Logger
	// Settled is told what became of each job.
	Settled func(b *batch.Batch, r batch.Result)
	// Fenced is told that another holder was met at a worker. It tells whether
	// this one is to take the worker back.
	Fenced func() bool
	// Doubtful tells whether another entry may have taken the group over unheard, as
	// while this process stood still: nothing starts then. Nil for never.
	Doubtful func() bool
	// Counted is told of every order and its answer.
	Counted func(what string)
}

// Holder is safe for concurrent use.
type Holder struct {
	options  Options
	mu       sync.Mutex
	plan     *plan.Plan
	sessions map[string]*session
	patience patience // for answers to starts
	yielded  bool

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// New makes a holder that works until the context ends or it yields.
func New(ctx context.Context, options Options) *Holder {
	now := time.Now()
	if options.Doubtful == nil {
		options.Doubtful = func() bool { return false }
	}
	h := &Holder{
		options: options, sessions: map[string]*session{},
		plan: plan.New(plan.Options{
			Lease: options.Lease, Resend: options.Resend, First: options.First, PartialTo: options.PartialTo,
		}, now),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.group.Go(h.ticks)
	return h
}

// tickSpan is the time between looks at what only time changes. Runs that lapse
// and clients that leave are noticed within it.
const tickSpan = 25 * time.Millisecond

func (h *Holder) ticks() {
	ticker := time.NewTicker(tickSpan)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			h.with(func(p *plan.Plan, now time.Time) { p.Tick(now) })
		}
	}
}

// with changes the plan and carries out what it orders.
func (h *Holder) with(change func(p *plan.Plan, now time.Time)) {
	h.mu.Lock()
	if h.yielded {
		h.mu.Unlock()
		return
	}
	h.plan.Doubt(h.options.Doubtful())
	change(h.plan, time.Now())
	settled := h.send(h.plan.Orders())
	h.mu.Unlock()
	for _, o := range settled {
		h.options.Settled(o.Batch, o.Result)
	}
}

// send begins the orders to workers and gives those to settle. The token of an
// order is the one in force when the plan gave it.
func (h *Holder) send(orders []plan.Order) []plan.Order {
	var settled []plan.Order
	for _, o := range orders {
		if o.Kind == plan.Settle {
			if o.Result.State == batch.Moved {
				h.options.Log.Info("job moved", "job", o.Batch.ID, "from", h.options.Group, "to", o.Result.Group, "reason", o.Result.Reason)
			}
			settled = append(settled, o)
			continue
		}
		s, known := h.sessions[o.Worker]
		if !known {
			continue
		}
		switch o.Kind {
		case plan.Start:
			start := platform.StartRequest{Task: o.Task, Run: o.Run, Spec: o.Batch.Spec, LeaseEnd: s.lease(), Token: s.token}
			h.options.Log.Info("start ordered", "task", o.Task, "run", o.Run, "worker", o.Worker, "token", s.token,
				"expected_ms", o.Expected.Milliseconds(), "free", o.Free, "waiting", o.Waiting, "group", h.options.Group)
			h.group.Go(func() { s.start(start) })
		case plan.Stop:
			token := s.token
			h.group.Go(func() { s.stop(o, token) })
		case plan.Fence:
			s.refence(o.Reason)
		case plan.Look:
			h.group.Go(s.look)
		}
	}
	return settled
}

// Enlist takes the registration of a worker.
func (h *Holder) Enlist(r platform.Registration) {
	h.with(func(p *plan.Plan, now time.Time) {
		s, known := h.sessions[r.ID]
		if known && (s.target.Address != r.Address || s.registered.StartUnixMilli != r.StartUnixMilli) {
			h.end(s, p, now, "a new life is registered")
			known = false
		}
		p.Enlist(describe(r), now)
		if known {
			s.registered = r
			return
		}
		s = newSession(h, r)
		h.sessions[r.ID] = s
		h.group.Go(s.run)
	})
}

func describe(r platform.Registration) plan.Worker {
	w := plan.Worker{ID: r.ID, Service: r.Service, Zone: r.Zone, Labels: r.Labels, Room: r.Capacity, Draining: r.Draining}
	if len(r.Labels) > 0 {
		w.Kind = r.Labels[0] // the kind comes before the rack
	}
	return w
}

// Dismiss ends the session with a worker whose registration has gone.
func (h *Holder) Dismiss(id, reason string) {
	h.with(func(p *plan.Plan, now time.Time) {
		if s, known := h.sessions[id]; known {
			h.end(s, p, now, reason)
		}
	})
}

// end drops a session. The plan's lock is held.
func (h *Holder) end(s *session, p *plan.Plan, now time.Time, reason string) {
	s.cancel()
	if h.sessions[s.target.ID] == s {
		delete(h.sessions, s.target.ID)
		p.Dismiss(s.target.ID, now)
	}
	h.options.Log.Info("worker dropped", "worker", s.target.ID, "reason", reason)
}

// Calm tells whether all workers answer and have taken the token.
func (h *Holder) Calm() bool {
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
	return known && time.Now().Before(s.answeredBy)
}

// Admit takes a job; done names its tasks that ended under an earlier holder.
func (h *Holder) Admit(b *batch.Batch, done []string) {
	h.with(func(p *plan.Plan, now time.Time) { p.Admit(b, done, now) })
}

// Withdraw drops a job whose client has left.
func (h *Holder) Withdraw(id string, attempt uint64) {
	h.with(func(p *plan.Plan, now time.Time) { p.Withdraw(id, attempt, now) })
}

// Wanted notes that jobs are still waited for. It gives the results of those
// that have ended, and names those that are not known.
func (h *Holder) Wanted(ids []string) (results []batch.Result, unknown []string) {
	h.with(func(p *plan.Plan, now time.Time) {
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

// Vacancy counts the tasks that the workers could take at once.
func (h *Holder) Vacancy() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.Vacancy()
}

// Vacancies takes those of other groups.
func (h *Holder) Vacancies(tasks map[string]int) {
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

// Yield hands all jobs back to their entries and ends the sessions. What runs is
// left to the next holder.
func (h *Holder) Yield() {
	h.with(func(p *plan.Plan, now time.Time) { p.Yield(now) })
	h.mu.Lock()
	h.yielded = true
	h.mu.Unlock()
	h.cancel()
}

// Wait returns when all that the holder began has ended.
func (h *Holder) Wait() { h.group.Wait() }
