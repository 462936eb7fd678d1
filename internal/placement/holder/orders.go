package holder

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/platform"
)

// sendStart sends one start order and passes its answer to the plan. clockMilli is the last known
// time on the worker's clock when the order was issued.
func (s *session) sendStart(request platform.StartRequest, clockMilli int64) {
	holder := s.holder
	if request.LeaseEnd == 0 {
		s.update(func(p *plan.Plan, now time.Time) {
			p.HandleStartOutcome(s.target.ID, request.Task, request.Run, plan.StartLate, now)
		})
		return
	}
	holder.mu.Lock()
	timeout, copies, interval := holder.startTimeout.current(), holder.startTimeout.copies(), holder.startTimeout.copyInterval()
	holder.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	a := s.sendRepeatedly(ctx, copies, interval, func(ctx context.Context) (platform.Report, error) {
		return holder.options.Calls.Start(ctx, s.target, request)
	}, func() bool { return s.hasToken(request.Token) })
	// A new incarnation may have taken any copy, with a lease that counts from its arrival.
	holder.mu.Lock()
	holder.plan.StartSent(s.target.ID, request.Task, request.Run, a.lastAt)
	holder.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	outcome := startOutcome(a)
	if outcome == plan.StartAccepted && a.copies > 1 {
		outcome = plan.CopyAccepted
	}
	holder.options.CountCall("start " + string(a.report.Verdict))
	if a.copies > 1 {
		holder.options.CountCall("start repeated")
	}
	if outcome != plan.StartAccepted && outcome != plan.CopyAccepted {
		holder.options.Log.Warn("start not taken", "task", request.Task, "run", request.Run, "worker", s.target.ID,
			"verdict", string(a.report.Verdict), "copies", a.copies, "error", a.err)
	}
	s.update(func(p *plan.Plan, now time.Time) {
		if a.err == nil {
			holder.startTimeout.observe(a.took)
		} else {
			holder.startTimeout.noteLost()
		}
		if outcome == plan.OutcomeUnknown && s.token != request.Token {
			return // the first report under the token set meanwhile settles the outcome
		}
		if a.report.Verdict == platform.Fenced && s.token == request.Token && s.tokenAccepted {
			s.tokenAccepted = false // the pending hold or the next one shows which holder the worker obeys
			p.OtherHolderSeen(s.target.ID, now)
		}
		if a.err == nil && s.token == request.Token && (s.statesOtherStart(a.report) || clockRestarted(a.report, clockMilli)) {
			s.suspectRestart(p, now)
		}
		p.HandleStartOutcome(s.target.ID, request.Task, request.Run, outcome, now)
	})
}

// hasToken reports whether a token is still the session's present one.
func (s *session) hasToken(token int64) bool {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.token == token
}

// startOutcome returns the outcome of a start for the plan. Of several copies an earlier one
// may have been executed, or may still be, whatever the answer to a later one says. A run
// that the worker has accepted is rejected when it is sent again, if it has ended meanwhile.
func startOutcome(a answer) plan.StartOutcome {
	switch {
	case a.undelivered:
		return plan.StartUndelivered
	case a.err != nil:
		return plan.OutcomeUnknown
	case a.copies == 1 || a.report.Verdict == platform.Accepted || a.report.Verdict == platform.OtherIncarnation:
		return startOutcomes[a.report.Verdict]
	case a.report.Verdict == platform.StaleRun:
		return plan.StartAccepted
	}
	return plan.OutcomeUnknown
}

// startOutcomes maps the verdict of a worker on a start to its outcome for the plan.
var startOutcomes = map[platform.Verdict]plan.StartOutcome{
	platform.Accepted: plan.StartAccepted, platform.Fenced: plan.StartRejected, platform.LeaseExpired: plan.StartLate,
	platform.OtherIncarnation: plan.StartRejected, platform.StaleRun: plan.StaleRunNumber,
	platform.NoRoom: plan.WorkerUnhealthy, platform.NoTicket: plan.WorkerUnhealthy, platform.Busy: plan.WorkerUnhealthy, platform.Malformed: plan.WorkerUnhealthy,
}

// sendStop sends one stop order. The plan repeats it while the worker lists the run. askedMilli is for the
// log.
func (s *session) sendStop(o plan.Order, token, askedMilli int64) {
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	report, err := s.holder.options.Calls.Stop(ctx, s.target, o.Task, o.Run, token)
	s.holder.options.CountCall("stop " + string(report.Verdict))
	s.holder.options.Log.Info("run stopped", "task", o.Task, "run", o.Run, "worker", s.target.ID,
		"reason", o.Reason, "verdict", string(report.Verdict), "error", err, "asked_ms", askedMilli)
}

// askedMilli returns for how many milliseconds no entry has asked for the job of an order, for the log; -1
// if the job is not known.
func askedMilli(o plan.Order, now time.Time) int64 {
	if o.AskedAt.IsZero() {
		return -1
	}
	return now.Sub(o.AskedAt).Milliseconds()
}
