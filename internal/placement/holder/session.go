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
	stopTimeout   = 400 * time.Millisecond // for the answer to a stop, which is sent again
	holdWait      = 400 * time.Millisecond // a hold waits for an end; less than half of the lease
	holdTimeout   = 300 * time.Millisecond // for the answer to a hold beyond its wait
	minRetryDelay = 100 * time.Millisecond // between holds that bring no answer, at first
	maxRetryDelay = 800 * time.Millisecond
	retakeDelay   = 250 * time.Millisecond // before a worker is taken back from another holder
	answeringSpan = 1500 * time.Millisecond
)

// session is what a holder knows of one life of a worker. Its fields belong to
// the holder's lock, but for those that run alone uses.
type session struct {
	holder       *Holder
	target       platform.Target
	registration platform.Registration
	ctx          context.Context
	cancel       context.CancelFunc

	token          int64
	tokenAccepted  bool // the worker has taken the token
	workerClock    int64
	clockReadAt    time.Time
	born           int64
	answeringUntil time.Time
	cancelHold     context.CancelFunc // of the hold under way

	seenSequence int64 // ends up to this one are in the plan
	missedHolds  int   // holds in a row without an answer; run alone uses it
}

func newSession(h *Holder, r platform.Registration) *session {
	s := &session{holder: h, target: platform.Target{ID: r.ID, Address: r.Address}, registration: r, token: h.options.Tokens.Next(r.ID)}
	s.ctx, s.cancel = context.WithCancel(h.ctx)
	return s
}

// lease is the moment on the worker's clock until which a renewal sent now asks
// for, 0 while the clock is not known.
func (s *session) leaseUntil() int64 {
	if s.clockReadAt.IsZero() {
		return 0
	}
	return s.workerClock + time.Since(s.clockReadAt).Milliseconds() + s.holder.options.Lease.Milliseconds()
}

// refence makes the worker take a higher token before it is used again. The lock
// is held.
func (s *session) renewToken(reason string) {
	s.token, s.tokenAccepted = s.holder.options.Tokens.Next(s.target.ID), false
	if s.cancelHold != nil {
		s.cancelHold()
	}
	s.holder.options.CountCall("fence")
	s.holder.options.Log.Info("worker fenced anew", "worker", s.target.ID, "reason", reason, "token", s.token)
}

// run holds the worker until the session ends.
func (s *session) holdLoop() {
	for s.ctx.Err() == nil {
		s.hold()
	}
}

// hold makes one call and passes what it lists to the plan.
func (s *session) hold() {
	holder := s.holder
	holder.mu.Lock()
	order := platform.HoldOrder{Token: s.token, Seen: s.seenSequence}
	fencing := !s.tokenAccepted
	if !fencing && s.missedHolds == 0 {
		order.Lease, order.Wait = s.leaseUntil(), holdWait
	}
	ctx, cancel := context.WithTimeout(s.ctx, order.Wait+holdTimeout)
	s.cancelHold = cancel
	sent := time.Now()
	if order.Lease > 0 {
		holder.plan.Renewing(s.target.ID, sent)
	}
	holder.mu.Unlock()
	report, err := holder.options.Calls.Hold(ctx, s.target, order)
	interrupted := ctx.Err() == context.Canceled
	cancel()
	holder.options.CountCall("hold")
	switch {
	case s.ctx.Err() != nil:
	case err != nil && interrupted:
	case err != nil:
		s.noteMissedHold(err)
	case report.Verdict == platform.Fenced:
		s.handleFenced(order.Token)
	case report.Verdict == platform.OtherLife:
		holder.RemoveWorker(s.target.ID, "another incarnation answers at its address")
	case report.Verdict != platform.Accepted:
		s.noteMissedHold(&verdictError{report.Verdict})
	default:
		s.noteAnswer()
		s.applyReport(report, fencing, order.Token, sent)
	}
}

// look asks for the worker's lists beside the hold under way, on another
// connection. Only the hold judges the worker. A hold is answered at the first end:
// where the look finds one, the hold that was under way is lost, and another takes its
// place before further ends wait for it to be given up.
func (s *session) poll() {
	holder := s.holder
	holder.mu.Lock()
	order, fenced := platform.HoldOrder{Token: s.token, Seen: s.seenSequence}, s.tokenAccepted
	interrupt := s.cancelHold
	holder.mu.Unlock()
	if !fenced {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, holdTimeout)
	defer cancel()
	sent := time.Now()
	report, err := holder.options.Calls.Hold(ctx, s.target, order)
	holder.options.CountCall("look")
	if err == nil && report.Verdict == platform.Accepted && s.applyReport(report, false, order.Token, sent) && interrupt != nil {
		interrupt()
	}
}

// verdictError is a hold that a worker did not take.
type verdictError struct{ verdict platform.Verdict }

// Error gives the verdict.
func (e *verdictError) Error() string { return "worker answers " + string(e.verdict) }

// missed notes a hold without an answer and waits a little.
func (s *session) noteMissedHold(err error) {
	s.missedHolds++
	if s.missedHolds == 1 {
		s.holder.options.Log.Warn("worker does not answer", "worker", s.target.ID, "error", err)
	}
	if s.missedHolds >= silentAfterMisses {
		s.holder.update(func(p *plan.Plan, now time.Time) { p.Silent(s.target.ID, now) })
	}
	span := min(maxRetryDelay, minRetryDelay<<min(s.missedHolds-1, 4))
	wait.For(s.ctx, span/2+rand.N(span/2))
}

// silentAfter is the number of holds without an answer, in a row, after which
// a worker gets no new work.
const silentAfterMisses = 1

// refused handles a token that the worker has seen a higher one than.
func (s *session) handleFenced(token int64) {
	holder := s.holder
	holder.update(func(p *plan.Plan, now time.Time) { p.Disputed(s.target.ID, now) })
	holder.options.Log.Warn("another holder at worker", "worker", s.target.ID, "token", token)
	// Claims need some heartbeats to meet; only then is it clear who is to give way.
	wait.For(s.ctx, retakeDelay+rand.N(retakeDelay/4))
	back := holder.options.OnConflict()
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if s.token != token || !back {
		return
	}
	holder.options.Tokens.RaiseBase()
	s.renewToken("another holder was there")
}

// take passes a report to the plan and tells whether it brought ends.
func (s *session) applyReport(report platform.Report, fencing bool, token int64, sent time.Time) (hasEndings bool) {
	holder := s.holder
	holder.update(func(p *plan.Plan, now time.Time) {
		s.answeringUntil = now.Add(answeringSpan)
		if s.born != 0 && report.Born != 0 && report.Born != s.born {
			s.workerClock, s.clockReadAt = report.Clock, now
			s.handleRestart(p, now, report.Born)
			return
		}
		if report.Clock < s.workerClock {
			return // answers on two connections overtake each other
		}
		s.born, s.workerClock, s.clockReadAt = report.Born, report.Clock, now
		if s.token != token {
			return // a higher one is due; only its report is final
		}
		s.tokenAccepted = s.tokenAccepted || fencing
		translated := s.planReport(report, fencing, sent)
		hasEndings = len(translated.Endings) > 0
		p.Take(translated, now)
	})
	return hasEndings
}

// back notes that the worker answers again.
func (s *session) noteAnswer() {
	if s.missedHolds > 0 {
		s.holder.options.Log.Info("worker answers again", "worker", s.target.ID, "missed", s.missedHolds)
	}
	s.missedHolds = 0
}

// reborn begins anew with a worker that has started again under its id: it runs
// nothing and has seen no token.
func (s *session) handleRestart(p *plan.Plan, now time.Time, born int64) {
	s.holder.options.Log.Info("worker has started again", "worker", s.target.ID, "born", born)
	s.born, s.seenSequence = born, 0
	p.Dismiss(s.target.ID, now)
	p.Enlist(planWorker(s.registration), now)
	s.renewToken("it has started again")
}

// translate passes over ends that the plan has had.
func (s *session) planReport(report platform.Report, fencing bool, sent time.Time) plan.Report {
	r := plan.Report{Worker: s.target.ID, Sent: sent, Fenced: fencing}
	for _, t := range report.Running {
		r.Running = append(r.Running, plan.Running{Task: t.Task, Run: t.Run, Percent: t.Percent})
	}
	for _, e := range report.Ended {
		if e.Sequence <= s.seenSequence {
			continue
		}
		s.seenSequence = e.Sequence
		ending := plan.Ending{Task: e.Task, Run: e.Run, How: plan.Ended}
		switch e.How {
		case platform.Done:
			ending.How = plan.Done
		case platform.Failed:
			ending.How = plan.Failed
		}
		s.holder.options.CountCall("end " + string(e.How))
		r.Endings = append(r.Endings, ending)
	}
	return r
}

// start sends one start and passes its answer to the plan.
func (s *session) sendStart(o platform.StartOrder) {
	holder := s.holder
	if o.Lease == 0 {
		holder.update(func(p *plan.Plan, now time.Time) { p.Answered(s.target.ID, o.Task, o.Run, plan.NotTaken, now) })
		return
	}
	holder.mu.Lock()
	span := holder.startTimeout.current()
	holder.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, span)
	defer cancel()
	sent := time.Now()
	report, err := holder.options.Calls.Start(ctx, s.target, o)
	if s.ctx.Err() != nil {
		return
	}
	answer := plan.Lost
	if err == nil {
		answer = planAnswers[report.Verdict]
	}
	holder.options.CountCall("start " + string(report.Verdict))
	if err != nil || answer != plan.Taken {
		holder.options.Log.Warn("start not taken", "task", o.Task, "run", o.Run, "worker", s.target.ID,
			"verdict", string(report.Verdict), "error", err)
	}
	holder.update(func(p *plan.Plan, now time.Time) {
		if err == nil {
			holder.startTimeout.observe(now.Sub(sent))
		} else {
			holder.startTimeout.noteLost()
		}
		if report.Verdict == platform.Fenced && s.token == o.Token && s.tokenAccepted {
			s.tokenAccepted = false // the hold under way or the next one settles who holds the worker
			p.Unfenced(s.target.ID, now)
		}
		p.Answered(s.target.ID, o.Task, o.Run, answer, now)
	})
}

// answers maps verdicts to what they mean for the plan.
var planAnswers = map[platform.Verdict]plan.Answer{
	platform.Accepted: plan.Taken, platform.Fenced: plan.NotTaken, platform.LateOrder: plan.NotTaken,
	platform.OtherLife: plan.NotTaken, platform.OldRun: plan.OldNumber,
	platform.NoRoom: plan.Shed, platform.NoTicket: plan.Shed, platform.Busy: plan.Shed, platform.Malformed: plan.Shed,
}

// stop sends one order to stop. The plan asks again while the run is listed.
func (s *session) sendStop(o plan.Order, token int64) {
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	report, err := s.holder.options.Calls.Stop(ctx, s.target, o.Task, o.Run, token)
	s.holder.options.CountCall("stop " + string(report.Verdict))
	s.holder.options.Log.Info("run stopped", "task", o.Task, "run", o.Run, "worker", s.target.ID,
		"reason", o.Reason, "verdict", string(report.Verdict), "error", err)
}
