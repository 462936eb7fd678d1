package holder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/platform"
)

// Spans of calls to workers. A worker answers within a trip between zones, some
// milliseconds; the rest is for slow VMs at either end.
const (
	stopSpan  = 400 * time.Millisecond // for the answer to a stop, which is sent again
	holdWait  = 400 * time.Millisecond // a hold waits for an end; less than half of the lease
	holdSpan  = 300 * time.Millisecond // for the answer to a hold beyond its wait
	retrySpan = 100 * time.Millisecond // between holds that bring no answer, at first
	retryMost = 800 * time.Millisecond
	backSpan  = 250 * time.Millisecond // before a worker is taken back from another holder
	freshSpan = 1500 * time.Millisecond
)

// session is what a holder knows of one life of a worker. Its fields belong to
// the holder's lock, but for those that run alone uses.
type session struct {
	h          *Holder
	target     platform.Target
	registered platform.Registration
	ctx        context.Context
	cancel     context.CancelFunc

	token      int64
	fenced     bool // the worker has taken the token
	clock      int64
	clockAt    time.Time
	born       int64
	answeredBy time.Time
	interrupt  context.CancelFunc // of the hold under way

	seen     int64 // ends up to this one are in the plan
	failures int   // holds in a row without an answer; run alone uses it
}

func newSession(h *Holder, r platform.Registration) *session {
	s := &session{h: h, target: platform.Target{ID: r.ID, Address: r.Address}, registered: r, token: h.options.Tokens.Next(r.ID)}
	s.ctx, s.cancel = context.WithCancel(h.ctx)
	return s
}

// lease is the moment on the worker's clock until which a renewal sent now asks
// for, 0 while the clock is not known.
func (s *session) lease() int64 {
	if s.clockAt.IsZero() {
		return 0
	}
	return s.clock + time.Since(s.clockAt).Milliseconds() + s.h.options.Lease.Milliseconds()
}

// refence makes the worker take a higher token before it is used again. The lock
// is held.
func (s *session) refence(reason string) {
	s.token, s.fenced = s.h.options.Tokens.Next(s.target.ID), false
	if s.interrupt != nil {
		s.interrupt()
	}
	s.h.options.Counted("fence")
	s.h.options.Log.Info("worker fenced anew", "worker", s.target.ID, "reason", reason, "token", s.token)
}

// run holds the worker until the session ends.
func (s *session) run() {
	for s.ctx.Err() == nil {
		s.hold()
	}
}

// hold makes one call and passes what it lists to the plan.
func (s *session) hold() {
	h := s.h
	h.mu.Lock()
	order := platform.HoldRequest{Token: s.token, AckSequence: s.seen}
	fencing := !s.fenced
	if !fencing && s.failures == 0 {
		order.LeaseEnd, order.Wait = s.lease(), holdWait
	}
	ctx, cancel := context.WithTimeout(s.ctx, order.Wait+holdSpan)
	s.interrupt = cancel
	sent := time.Now()
	if order.LeaseEnd > 0 {
		h.plan.Renewing(s.target.ID, sent)
	}
	h.mu.Unlock()
	report, err := h.options.Calls.Hold(ctx, s.target, order)
	interrupted := ctx.Err() == context.Canceled
	cancel()
	h.options.Counted("hold")
	switch {
	case s.ctx.Err() != nil:
	case err != nil && interrupted:
	case err != nil:
		s.missed(err)
	case report.Verdict == platform.Fenced:
		s.refused(order.Token)
	case report.Verdict == platform.OtherIncarnation:
		h.Dismiss(s.target.ID, "another incarnation answers at its address")
	case report.Verdict != platform.Accepted:
		s.missed(&verdictError{report.Verdict})
	default:
		s.back()
		s.take(report, fencing, order.Token, sent)
	}
}

// look asks for the worker's lists beside the hold under way, on another
// connection. Only the hold judges the worker. A hold is answered at the first end:
// where the look finds one, the hold that was under way is lost, and another takes its
// place before further ends wait for it to be given up.
func (s *session) look() {
	h := s.h
	h.mu.Lock()
	order, fenced := platform.HoldRequest{Token: s.token, AckSequence: s.seen}, s.fenced
	interrupt := s.interrupt
	h.mu.Unlock()
	if !fenced {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, holdSpan)
	defer cancel()
	sent := time.Now()
	report, err := h.options.Calls.Hold(ctx, s.target, order)
	h.options.Counted("look")
	if err == nil && report.Verdict == platform.Accepted && s.take(report, false, order.Token, sent) && interrupt != nil {
		interrupt()
	}
}

// verdictError is a hold that a worker did not take.
type verdictError struct{ verdict platform.Verdict }

// Error gives the verdict.
func (e *verdictError) Error() string { return "worker answers " + string(e.verdict) }

// missed notes a hold without an answer and waits a little.
func (s *session) missed(err error) {
	s.failures++
	if s.failures == 1 {
		s.h.options.Log.Warn("worker does not answer", "worker", s.target.ID, "error", err)
	}
	if s.failures >= silentAfter {
		s.h.with(func(p *plan.Plan, now time.Time) { p.Silent(s.target.ID, now) })
	}
	span := min(retryMost, retrySpan<<min(s.failures-1, 4))
	wait.For(s.ctx, span/2+rand.N(span/2))
}

// silentAfter is the number of holds without an answer, in a row, after which
// a worker gets no new work.
const silentAfter = 1

// refused handles a token that the worker has seen a higher one than.
func (s *session) refused(token int64) {
	h := s.h
	h.with(func(p *plan.Plan, now time.Time) { p.Disputed(s.target.ID, now) })
	h.options.Log.Warn("another holder at worker", "worker", s.target.ID, "token", token)
	// Claims need some heartbeats to meet; only then is it clear who is to give way.
	wait.For(s.ctx, backSpan+rand.N(backSpan/4))
	back := h.options.Fenced()
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.token != token || !back {
		return
	}
	h.options.Tokens.Raise()
	s.refence("another holder was there")
}

// take passes a report to the plan and tells whether it brought ends.
func (s *session) take(report platform.Report, fencing bool, token int64, sent time.Time) (news bool) {
	h := s.h
	h.with(func(p *plan.Plan, now time.Time) {
		s.answeredBy = now.Add(freshSpan)
		if s.born != 0 && report.StartUnixMilli != 0 && report.StartUnixMilli != s.born {
			s.clock, s.clockAt = report.ClockMilli, now
			s.reborn(p, now, report.StartUnixMilli)
			return
		}
		if report.ClockMilli < s.clock {
			return // answers on two connections overtake each other
		}
		s.born, s.clock, s.clockAt = report.StartUnixMilli, report.ClockMilli, now
		if s.token != token {
			return // a higher one is due; only its report is final
		}
		s.fenced = s.fenced || fencing
		translated := s.translate(report, fencing, sent)
		news = len(translated.Endings) > 0
		p.Take(translated, now)
	})
	return news
}

// back notes that the worker answers again.
func (s *session) back() {
	if s.failures > 0 {
		s.h.options.Log.Info("worker answers again", "worker", s.target.ID, "missed", s.failures)
	}
	s.failures = 0
}

// reborn begins anew with a worker that has started again under its id: it runs
// nothing and has seen no token.
func (s *session) reborn(p *plan.Plan, now time.Time, born int64) {
	s.h.options.Log.Info("worker has started again", "worker", s.target.ID, "born", born)
	s.born, s.seen = born, 0
	p.Dismiss(s.target.ID, now)
	p.Enlist(describe(s.registered), now)
	s.refence("it has started again")
}

// translate passes over ends that the plan has had.
func (s *session) translate(report platform.Report, fencing bool, sent time.Time) plan.Report {
	r := plan.Report{Worker: s.target.ID, Sent: sent, Fenced: fencing}
	for _, t := range report.Running {
		r.Running = append(r.Running, plan.Running{Task: t.Task, Run: t.Run, Percent: t.Percent})
	}
	for _, e := range report.Ended {
		if e.Sequence <= s.seen {
			continue
		}
		s.seen = e.Sequence
		ending := plan.Ending{Task: e.Task, Run: e.Run, How: plan.Ended}
		switch e.Outcome {
		case platform.Done:
			ending.How = plan.Done
		case platform.Failed:
			ending.How = plan.Failed
		}
		s.h.options.Counted("end " + string(e.Outcome))
		r.Endings = append(r.Endings, ending)
	}
	return r
}

// start sends one start and passes its answer to the plan.
func (s *session) start(o platform.StartRequest) {
	h := s.h
	if o.LeaseEnd == 0 {
		h.with(func(p *plan.Plan, now time.Time) { p.Answered(s.target.ID, o.Task, o.Run, plan.NotTaken, now) })
		return
	}
	h.mu.Lock()
	span := h.patience.span()
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, span)
	defer cancel()
	sent := time.Now()
	report, err := h.options.Calls.Start(ctx, s.target, o)
	if s.ctx.Err() != nil {
		return
	}
	answer := plan.Lost
	if err == nil {
		answer = answers[report.Verdict]
	}
	h.options.Counted("start " + string(report.Verdict))
	if err != nil || answer != plan.Taken {
		h.options.Log.Warn("start not taken", "task", o.Task, "run", o.Run, "worker", s.target.ID,
			"verdict", string(report.Verdict), "error", err)
	}
	h.with(func(p *plan.Plan, now time.Time) {
		if err == nil {
			h.patience.observe(now.Sub(sent))
		} else {
			h.patience.miss()
		}
		if report.Verdict == platform.Fenced && s.token == o.Token && s.fenced {
			s.fenced = false // the hold under way or the next one settles who holds the worker
			p.Unfenced(s.target.ID, now)
		}
		p.Answered(s.target.ID, o.Task, o.Run, answer, now)
	})
}

// answers maps verdicts to what they mean for the plan.
var answers = map[platform.Verdict]plan.Answer{
	platform.Accepted: plan.Taken, platform.Fenced: plan.NotTaken, platform.LeaseExpired: plan.NotTaken,
	platform.OtherIncarnation: plan.NotTaken, platform.StaleRun: plan.OldNumber,
	platform.NoRoom: plan.Shed, platform.NoTicket: plan.Shed, platform.Busy: plan.Shed, platform.Malformed: plan.Shed,
}

// stop sends one order to stop. The plan asks again while the run is listed.
func (s *session) stop(o plan.Order, token int64) {
	ctx, cancel := context.WithTimeout(s.ctx, stopSpan)
	defer cancel()
	report, err := s.h.options.Calls.Stop(ctx, s.target, o.Task, o.Run, token)
	s.h.options.Counted("stop " + string(report.Verdict))
	s.h.options.Log.Info("run stopped", "task", o.Task, "run", o.Run, "worker", s.target.ID,
		"reason", o.Reason, "verdict", string(report.Verdict), "error", err)
}
