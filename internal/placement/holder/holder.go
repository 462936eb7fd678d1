// Package holder connects the plan of a group to its workers: it keeps a session
// with each worker, sends it the orders of the plan and passes its reports back.
package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/placement/eligibility"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/placement/spillover"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// WorkerCalls holds the calls to workers. Tests replace them with fakes.
type WorkerCalls struct {
	Start func(ctx context.Context, to platform.Target, request platform.StartRequest) (platform.Report, error)
	Stop  func(ctx context.Context, to platform.Target, task string, run int, token int64) (platform.Report, error)
	Hold  func(ctx context.Context, to platform.Target, request platform.HoldRequest) (platform.Report, error)
}

// Options configures a Holder. OnResult and OnConflict are called without the
// holder's lock; the other functions may be called while it is held.
type Options struct {
	Group            string
	Epoch            uint64 // epoch of the claim
	Tokens           *fence.TokenSource
	Lease            time.Duration // longest lease of a run on a worker
	ClientRetryAfter time.Duration // time after which a client without an answer sends its job again
	// WorkersIncompleteUntil is the time until which the list of workers may lack some
	// that are alive.
	WorkersIncompleteUntil time.Time
	Calls                  WorkerCalls
	Log                    *slog.Logger
	// OnResult receives the result of each job.
	OnResult func(b *batch.Batch, r batch.Result)
	// OnConflict is called when a worker obeys another holder. It reports whether
	// this holder should retake the worker.
	OnConflict func() bool
	// TakeoverSuspected reports whether another entry may have taken the group over
	// unnoticed, for example while this process was paused. No task starts then. Nil
	// means never.
	TakeoverSuspected func() bool
	// MayBeReplaced reports whether another entry may have taken the group over on the other
	// side of a partition. Runs on workers that do not answer are not taken for ended then.
	// It is called in each tick. Nil means never.
	MayBeReplaced func() bool
	// LastContact returns when an entry that is not heard now may have been in contact with others
	// for the last time, and the zero time if there is none. It is called in each tick while
	// MayBeReplaced holds. Nil means that there never is.
	LastContact func() time.Time
	// StartedElsewhere returns another group whose holder has started a job, or "". Nil means
	// that there never is.
	StartedElsewhere func(id string) string
	// Zone is the availability zone of the group. Evacuations returns the evacuated zones; nil
	// means that there are none. EvacuationTarget returns the group of another zone that takes a job of an
	// evacuated one, or "" if there is none.
	Zone             string
	Evacuations      func() plan.Evacuations
	EvacuationTarget func(id string) string
	// Cancelled reports whether a client has cancelled a job. Nil means never.
	Cancelled func(id string) bool
	// Lookahead turns look-ahead placement on, Priorities the order of waiting jobs by priority.
	Lookahead, Priorities bool
	// JobBytes returns how much memory jobs may take, 0 for any. Nil means any. OnJobBytes is called with what they take
	// after each change and must not call the holder; nil means that nobody asks.
	JobBytes   func() int64
	OnJobBytes func(bytes int64)
	Self       string // ID of this entry
	// CountCall counts a call to a worker, named after its kind and answer, for metrics.
	CountCall func(kind string)
}

// Holder schedules the tasks of one group under one claim. It is safe for concurrent
// use.
type Holder struct {
	options      Options
	mu           sync.Mutex
	plan         *plan.Plan
	sessions     map[string]*session
	ended        map[string]endedWorker // by worker ID
	startTimeout answerTimeout          // adapts to the answer times of start orders
	jobBytes     int64                  // last value passed to OnJobBytes
	released     bool

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a Holder that runs until the context ends or Release is called.
func New(ctx context.Context, options Options) *Holder {
	now := time.Now()
	if options.TakeoverSuspected == nil {
		options.TakeoverSuspected = func() bool { return false }
	}
	if options.MayBeReplaced == nil {
		options.MayBeReplaced = func() bool { return false }
	}
	if options.LastContact == nil {
		options.LastContact = func() time.Time { return time.Time{} }
	}
	h := &Holder{
		options: options, sessions: map[string]*session{}, ended: map[string]endedWorker{},
		plan: plan.New(plan.Options{
			Lease: options.Lease, ClientRetryAfter: options.ClientRetryAfter, WorkersIncompleteUntil: options.WorkersIncompleteUntil,
			Self: options.Self, StartedElsewhere: options.StartedElsewhere, Zone: options.Zone, EvacuationTarget: options.EvacuationTarget, Cancelled: options.Cancelled, JobBytes: options.JobBytes, Lookahead: options.Lookahead, Priorities: options.Priorities,
		}, now),
	}
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.goroutines.Go(h.tickLoop)
	return h
}

// tickInterval is the time between ticks of the plan. Expired leases of runs and
// departed clients are detected within it.
const tickInterval = 25 * time.Millisecond

func (h *Holder) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
			h.update(func(p *plan.Plan, now time.Time) {
				if h.options.MayBeReplaced() {
					p.SetMayBeReplaced(true, now)
					p.SetLastContact(h.options.LastContact())
				}
				p.Tick(now)
			})
		}
	}
}

// update applies a change to the plan, dispatches the orders that follow from it and
// delivers results. change is called with the lock held, which the caller must not
// hold. After Release nothing is done.
func (h *Holder) update(change func(p *plan.Plan, now time.Time)) {
	for _, o := range h.apply(change) {
		h.options.OnResult(o.Batch, o.Result)
	}
}

// apply applies a change to the plan, dispatches the orders and returns those that carry results. The
// lock is released even if the plan panics: the panic ends the message that caused it, not the group.
func (h *Holder) apply(change func(p *plan.Plan, now time.Time)) []plan.Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return nil
	}
	suspected, now := h.options.TakeoverSuspected(), time.Now()
	h.plan.SetTakeoverSuspected(suspected)
	// The suspicion may time out before MayBeReplaced shows that other entries are not heard.
	h.plan.SetMayBeReplaced(suspected, now)
	if h.options.Evacuations != nil {
		h.plan.SetEvacuations(h.options.Evacuations())
	}
	change(h.plan, now)
	if bytes := h.plan.JobBytes(); bytes != h.jobBytes && h.options.OnJobBytes != nil {
		h.jobBytes = bytes
		h.options.OnJobBytes(bytes)
	}
	return h.dispatch(h.plan.Orders(), now)
}

// dispatch starts sending the orders for workers and returns the orders that carry
// results. An order is sent with the token valid at dispatch, even if a higher one is
// set before it is sent. The end of its lease is that of the plan: the process may have been paused
// since. The caller holds the lock.
func (h *Holder) dispatch(orders []plan.Order, now time.Time) []plan.Order {
	var results []plan.Order
	for _, o := range orders {
		if o.Kind == plan.DeliverResult {
			if o.Result.State == batch.Moved {
				h.options.Log.Info("job moved", "job", o.Batch.ID, "from", h.options.Group, "to", o.Result.TargetGroup, "reason", o.Result.Reason)
			}
			results = append(results, o)
			continue
		}
		if o.Kind == plan.LogLoss {
			h.options.Log.Warn("run lost with its worker", "task", o.Task, "run", o.Run, "worker", o.Worker, "reason", o.Reason, "crashes", o.Crashes, "suspicions", o.Suspicions)
			continue
		}
		if o.Kind == plan.LogFound {
			h.options.Log.Info("unknown run listed", "task", o.Task, "run", o.Run, "worker", o.Worker, "group", h.options.Group, "asked_ms", askedMilli(o, now))
			continue
		}
		s, known := h.sessions[o.Worker]
		if !known {
			continue
		}
		switch o.Kind {
		case plan.Start:
			start := platform.StartRequest{Task: o.Task, Run: o.Run, Spec: o.Batch.Spec, LeaseEnd: s.clock.until(o.LeaseEnd), Token: s.token}
			s.startToken = s.token
			h.options.Log.Info("start ordered", "task", o.Task, "run", o.Run, "worker", o.Worker, "token", s.token, "expected_ms", o.ExpectedTime.Milliseconds(),
				"free", o.FreeMilliCores, "waiting", o.WaitingJobs, "group", h.options.Group, "previous", o.Previous,
				"asked_ms", askedMilli(o, now), "lease_until", start.LeaseEnd)
			clockMilli := s.clock.latest.milli
			h.goroutines.Go(func() { s.sendStart(start, clockMilli) })
		case plan.Stop:
			token := s.token
			h.goroutines.Go(func() { s.sendStop(o, token, askedMilli(o, now)) })
		case plan.Fence:
			s.raiseToken(o.Reason)
		case plan.RequestReport:
			h.goroutines.Go(s.requestReport)
		}
	}
	return results
}

// AddWorker adds a worker, or updates it from a newer registration. A worker whose
// address or incarnation has changed gets a new session. A registration of an incarnation
// before the one that answers is out of date and is ignored, as is one with another address while
// the worker answers at its own.
func (h *Holder) AddWorker(r platform.Registration) {
	h.update(func(p *plan.Plan, now time.Time) {
		s, known := h.sessions[r.ID]
		switch {
		case !known && h.hasEnded(r, now):
		case !known:
			p.AddWorker(planWorker(r), now)
			h.startSession(r)
		case s.isOutdated(r), r.Address != s.target.Address && s.startStated && p.Answers(r.ID):
		case s.describes(r):
			p.AddWorker(planWorker(r), now)
			s.registration = r
		default:
			s.end("a new incarnation is registered")
			p.RestartWorker(planWorker(r), now)
			h.startSession(r)
			h.sessions[r.ID].answered = s.answered && s.target.Address == r.Address
		}
	})
}

// startSession starts a session with a worker. The caller holds the lock.
func (h *Holder) startSession(r platform.Registration) {
	s := newSession(h, r)
	h.sessions[r.ID] = s
	h.goroutines.Go(s.holdLoop)
}

func planWorker(r platform.Registration) plan.Worker {
	w := plan.Worker{ID: r.ID, Service: r.Service, Zone: r.Zone, Labels: r.Labels, Capacity: r.Capacity, Draining: r.Draining, ColdUntil: r.ColdUntil}
	if len(r.Labels) > 0 {
		w.Kind = r.Labels[0] // labels list the kind first, then the rack
	}
	return w
}

// RemoveWorker ends the session with a worker that is no longer registered, if there is one. Its
// runs count as lost once their lease has expired.
func (h *Holder) RemoveWorker(id, reason string) {
	if !h.knows(id) {
		return
	}
	h.update(func(p *plan.Plan, now time.Time) {
		delete(h.ended, id)
		if s, known := h.sessions[id]; known {
			s.end(reason)
			delete(h.sessions, id)
			p.RetireWorker(id, now)
		}
	})
}

// AnsweringWorkers returns the IDs of the workers that have answered within answeringSpan, in no order. On
// others no run of this holder goes on, since answeringSpan is longer than a lease.
func (h *Holder) AnsweringWorkers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, s := range h.sessions {
		if time.Now().Before(s.answeringUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// knows reports whether the holder has a session with a worker, or had one until the worker ended.
func (h *Holder) knows(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ended := h.ended[id]
	return ended || h.sessions[id] != nil
}

// removeEnded ends a session at whose address another worker answers. If the session's worker has
// answered there it has ended, and its runs count as crashed. Otherwise its registration may be
// wrong, and its runs count as lost once their lease has expired.
func (h *Holder) removeEnded(s *session, reason string) {
	h.update(func(p *plan.Plan, now time.Time) {
		if h.sessions[s.target.ID] == s {
			s.end(reason)
			delete(h.sessions, s.target.ID)
			h.ended[s.target.ID] = endedWorker{address: s.target.Address, startUnixMilli: s.registration.StartUnixMilli, checkAt: now.Add(endedCheckDelay)}
			if s.answered {
				p.WorkerReplaced(s.target.ID, now)
				return
			}
			p.RetireWorker(s.target.ID, now)
		}
	})
}

// AllWorkersReady reports whether all workers answer and have accepted the token.
func (h *Holder) AllWorkersReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.AllWorkersReady()
}

// AnyWorkerAnswers reports whether the last call to any worker was answered or is still
// pending.
func (h *Holder) AnyWorkerAnswers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.AnyWorkerAnswers()
}

// Epoch returns the epoch of the claim under which the holder schedules.
func (h *Holder) Epoch() uint64 { return h.options.Epoch }

// Answering reports whether a worker has answered within answeringSpan.
func (h *Holder) Answering(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, known := h.sessions[id]
	return known && time.Now().Before(s.answeringUntil)
}

// Admit adds a job to the plan, which keeps b. completed names its tasks that completed
// under an earlier holder.
func (h *Holder) Admit(b *batch.Batch, completed []string) {
	h.update(func(p *plan.Plan, now time.Time) { p.Admit(b, completed, now) })
}

// Withdraw cancels a job whose client has left.
func (h *Holder) Withdraw(id string, attempt uint64) {
	h.update(func(p *plan.Plan, now time.Time) { p.Withdraw(id, attempt, now) })
}

// Refuse refuses a job whose entry stops, see plan.Refuse.
func (h *Holder) Refuse(id string, attempt uint64) (refused bool) {
	h.update(func(p *plan.Plan, now time.Time) { refused = p.Refuse(id, attempt, now) })
	return refused
}

// Cancel cancels a job and reports whether it was known. One that is not known may come yet while certain
// is false.
func (h *Holder) Cancel(id string) (known, certain bool) {
	h.update(func(p *plan.Plan, now time.Time) { known, certain = p.Cancel(id, now) })
	return known, certain
}

// KeepAlive keeps jobs for which an entry has asked at a time. It returns the results of those
// that have ended, the states of others that have losses, and the IDs of those that the plan
// does not know.
func (h *Holder) KeepAlive(ids []string, askedAt time.Time) (results []batch.Result, unknown []string) {
	h.update(func(p *plan.Plan, _ time.Time) {
		for _, id := range ids {
			r, known := p.KeepAlive(id, askedAt)
			switch {
			case !known:
				unknown = append(unknown, id)
			case r.State.Ended() || len(r.Losses) > 0:
				results = append(results, r)
			}
		}
	})
	return results, unknown
}

// FreeSlots returns the number of tasks that the workers could start at once in addition
// to the pending ones.
func (h *Holder) FreeSlots() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.FreeSlots()
}

// Verdicts returns the number of workers by whether they may get a task, and otherwise by what keeps
// them from it.
func (h *Holder) Verdicts() map[eligibility.Verdict]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.Verdicts()
}

// StartedJobs returns the jobs that were started, or found running, since a time.
func (h *Holder) StartedJobs(since time.Time) []plan.StartedJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.StartedJobs(since)
}

// SetOtherFreeSlots sets the free slots of other groups for spillover. The plan keeps and
// changes the map.
func (h *Holder) SetOtherFreeSlots(slots spillover.Slots) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plan.SetOtherFreeSlots(slots)
}

// WorkersIncomplete reports whether the list of workers may lack some on which runs of an earlier
// holder go on.
func (h *Holder) WorkersIncomplete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.WorkersIncomplete(time.Now())
}

// WorkersComplete records that the list of workers lacks none that is alive.
func (h *Holder) WorkersComplete() {
	h.update(func(p *plan.Plan, now time.Time) { p.WorkersComplete(now) })
}

// Load returns the present load of the group.
func (h *Holder) Load() plan.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan.Load()
}

// Release returns all jobs to the entries that sent them and ends the sessions. Runs
// in progress are left to the next holder. It does not wait for calls to workers to
// end, see Wait.
func (h *Holder) Release() {
	h.update(func(p *plan.Plan, now time.Time) { p.Release(now) })
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.cancel()
}

// Wait returns when all goroutines of the holder have ended. From then on nothing is done: a request that is cut off as
// the entry ends may still withdraw its job, and must start no goroutine meanwhile.
func (h *Holder) Wait() {
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.goroutines.Wait()
}
