package holder

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/platform"
)

// Timeouts and delays of calls to workers. An answer takes a round trip between
// zones, some milliseconds; the rest allows for slow VMs at either end.
const (
	stopTimeout = 400 * time.Millisecond // for the answer to a stop; one without an answer is sent again
	holdWait    = 400 * time.Millisecond // how long a hold waits for a run to end; must stay below half of the lease
	minHoldWait = 100 * time.Millisecond // the same, while the lease ends soon
	// renewalReserve is left of a lease when the next renewal is due. It covers a hold without an answer and the
	// next one.
	renewalReserve = 600 * time.Millisecond
	holdTimeout    = 300 * time.Millisecond // for the answer to a hold, on top of its wait
	minRetryDelay  = 100 * time.Millisecond // between holds without an answer, rising to maxRetryDelay
	maxRetryDelay  = 800 * time.Millisecond
	retakeDelay    = 250 * time.Millisecond  // before a worker is retaken from another holder
	answeringSpan  = 1500 * time.Millisecond // a worker counts as answering for so long after an answer
)

// session is the state of a holder's contact with a worker at one address. The holder's
// lock guards its fields, except for those that only holdLoop uses.
type session struct {
	holder       *Holder
	target       platform.Target
	registration platform.Registration
	ctx          context.Context
	cancel       context.CancelFunc

	token          int64
	tokenAccepted  bool  // the worker has accepted the token
	renewalLost    bool  // a renewal of the lease under the token got no answer
	startToken     int64 // of the last start; a new incarnation may still carry that start out
	clock          workerClock
	startStated    bool  // an answer has stated startUnixMilli, rather than the registration alone
	startUnixMilli int64 // when the worker's incarnation started, by its reports or its registration; 0 if neither states it
	answeringUntil time.Time
	answered       bool               // the worker has answered at the address, in this session or an earlier one
	cancelHold     context.CancelFunc // cancels the pending hold

	seenSequence  int64 // the plan has the endings up to this sequence number
	ackedSequence int64 // the worker has answered an acknowledgement of the endings up to this sequence number
	missedHolds   int   // holds in a row without an answer; only holdLoop uses it
}

func newSession(h *Holder, r platform.Registration) *session {
	s := &session{
		holder: h, target: platform.Target{ID: r.ID, Address: r.Address}, registration: r,
		token: h.options.Tokens.Next(r.ID), startUnixMilli: r.StartUnixMilli,
	}
	s.ctx, s.cancel = context.WithCancel(h.ctx)
	return s
}

// end ends the session. Answers to its pending calls are ignored.
func (s *session) end(reason string) {
	s.cancel()
	s.holder.options.Log.Info("worker dropped", "worker", s.target.ID, "reason", reason)
}

// update changes the plan, unless the session has ended: another one may have begun with the
// same worker.
func (s *session) update(change func(p *plan.Plan, now time.Time)) {
	s.holder.update(func(p *plan.Plan, now time.Time) {
		if s.ctx.Err() == nil {
			change(p, now)
		}
	})
}

// renewalWait returns how long a hold waits for a run to end if the lease can be renewed until a time, or not at
// all if that is zero: so that the next hold comes in time for the next renewal.
func renewalWait(end, now time.Time) time.Duration {
	if end.IsZero() {
		return minHoldWait
	}
	return min(holdWait, max(minHoldWait, end.Sub(now)-renewalReserve))
}

// raiseToken sets a higher token, which the worker must accept before it gets further
// work, and cancels the pending hold, so that the next one brings the token. The caller
// holds the lock.
func (s *session) raiseToken(reason string) {
	s.token, s.tokenAccepted, s.renewalLost = s.holder.options.Tokens.Next(s.target.ID), false, false
	if s.cancelHold != nil {
		s.cancelHold()
	}
	s.holder.options.CountCall("fence")
	s.holder.options.Log.Info("worker fenced anew", "worker", s.target.ID, "reason", reason, "token", s.token)
}

// holdLoop sends one hold after the other until the session ends.
func (s *session) holdLoop() {
	for s.ctx.Err() == nil {
		s.hold()
	}
}

// hold sends one hold, which renews the lease as far as the plan allows and waits for a run to end, and
// passes the worker's report to the plan. A worker that has not accepted the token yet, or
// did not answer the last hold, is asked for its report at once and gets no lease. Nor are its
// ends acknowledged: it may have restarted and count them anew. For the same reason an
// acknowledgement is not repeated once it has been answered. One with runs that no entry asks for gets no lease
// either.
func (s *session) hold() {
	holder := s.holder
	holder.mu.Lock()
	request := platform.HoldRequest{Token: s.token}
	fencing, sent, end := !s.tokenAccepted, time.Now(), time.Time{}
	if !fencing && s.missedHolds == 0 && !s.renewalLost {
		end = holder.plan.RenewableUntil(s.target.ID, sent)
		request.Wait = renewalWait(end, sent)
		if s.seenSequence > s.ackedSequence {
			request.AckSequence = s.seenSequence
		}
		// The next holder, if there is one, waits for leases granted before its takeover only.
		if !holder.options.TakeoverSuspected() {
			request.LeaseEnd = s.clock.until(end)
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, request.Wait+holdTimeout)
	s.cancelHold = cancel
	if request.LeaseEnd > 0 {
		holder.plan.RenewalSent(s.target.ID, sent, end)
	}
	copies, interval := holder.startTimeout.copies(), holder.startTimeout.copyInterval()
	holder.mu.Unlock()
	send := func(ctx context.Context) (platform.Report, error) {
		return holder.options.Calls.Hold(ctx, s.target, request)
	}
	var report platform.Report
	var err error
	if request.Wait > 0 {
		report, err = send(ctx)
	} else {
		a := s.sendRepeatedly(ctx, copies, interval, send, func() bool { return true })
		report, err = a.report, a.err
	}
	interrupted := ctx.Err() == context.Canceled
	cancel()
	holder.options.CountCall("hold")
	switch {
	case s.ctx.Err() != nil:
	case err != nil:
		s.noteLostRenewal(request)
		if !interrupted {
			s.noteMissedHold(err)
		}
	case report.Verdict == platform.Fenced:
		s.handleFenced(request.Token)
	case report.Verdict == platform.OtherIncarnation:
		holder.removeEnded(s, "another incarnation answers at its address")
	case report.Verdict != platform.Accepted:
		s.noteMissedHold(&verdictError{report.Verdict})
	default:
		s.noteAnswer()
		s.applyReport(report, fencing, request.Token, sent)
		s.noteAcknowledged(request, report)
	}
}

// noteLostRenewal records a hold without an answer. If it renews the lease, it may be executed late
// and would keep runs alive that begin in the meantime, beyond the lease that the plan counts
// with. Once the worker answers again, a higher token makes it void; before that the worker may
// obey another holder, from which a higher token would take it.
func (s *session) noteLostRenewal(request platform.HoldRequest) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	s.renewalLost = s.renewalLost || request.LeaseEnd > 0 && s.token == request.Token
}

// requestReport requests the worker's report on another connection while a hold is pending.
// Errors are ignored: only holds decide whether the worker answers. A hold returns as
// soon as a run ends, so an ending that is found here means that the answer to the
// pending hold was lost. That hold is then cancelled, so that a new one replaces it at once
// and further endings need not wait for its timeout. It acknowledges no end, since the worker
// may have restarted meanwhile.
func (s *session) requestReport() {
	holder := s.holder
	holder.mu.Lock()
	request, tokenAccepted := platform.HoldRequest{Token: s.token}, s.tokenAccepted
	cancelHold := s.cancelHold
	holder.mu.Unlock()
	if !tokenAccepted {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, holdTimeout)
	defer cancel()
	sent := time.Now()
	report, err := holder.options.Calls.Hold(ctx, s.target, request)
	holder.options.CountCall("look")
	if err == nil && report.Verdict == platform.Accepted && s.applyReport(report, false, request.Token, sent) && cancelHold != nil {
		cancelHold()
	}
}

// verdictError is the error for a hold that a worker answered with an unexpected
// verdict.
type verdictError struct{ verdict platform.Verdict }

// Error returns a text with the verdict.
func (e *verdictError) Error() string { return "worker answers " + string(e.verdict) }

// noteMissedHold records a hold without an answer and waits before the next one.
func (s *session) noteMissedHold(err error) {
	s.missedHolds++
	if s.missedHolds == 1 {
		s.holder.options.Log.Warn("worker does not answer", "worker", s.target.ID, "error", err)
	}
	if s.missedHolds >= unresponsiveAfterMisses {
		s.update(func(p *plan.Plan, now time.Time) {
			if failure := new(platform.Error); errors.As(err, &failure) && failure.Closed() {
				p.ConnectionClosed(s.target.ID, failure.Refused(), now)
				return
			}
			p.MarkUnresponsive(s.target.ID, now)
		})
	}
	delay := min(maxRetryDelay, minRetryDelay<<min(s.missedHolds-1, 4))
	wait.For(s.ctx, delay/2+rand.N(delay/2))
}

// unresponsiveAfterMisses is the number of unanswered holds in a row after which a worker
// gets no new work.
const unresponsiveAfterMisses = 1

// handleFenced handles the refusal of a token by a worker that has seen a higher one,
// and retakes the worker if OnConflict allows it.
func (s *session) handleFenced(token int64) {
	holder := s.holder
	s.update(func(p *plan.Plan, now time.Time) { p.OtherHolderSeen(s.target.ID, now) })
	holder.options.Log.Warn("another holder at worker", "worker", s.target.ID, "token", token)
	// It takes some heartbeats until both holders know each other's claim and so
	// which of them must give way.
	wait.For(s.ctx, retakeDelay+rand.N(retakeDelay/4))
	retake := holder.options.OnConflict()
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if s.token != token || !retake {
		return
	}
	holder.options.Tokens.RaiseBase()
	s.raiseToken("another holder had a higher token")
}

// applyReport passes a report to the plan and reports whether it had new endings. Reports of
// two incarnations may overtake each other, so only an answer to the present token tells which
// of them the worker is: no other report changes what is known to run there.
func (s *session) applyReport(report platform.Report, fencing bool, token int64, sent time.Time) (hasEndings bool) {
	s.update(func(p *plan.Plan, now time.Time) {
		s.answeringUntil, s.answered = now.Add(answeringSpan), true
		if s.token != token {
			return // a higher token is set; only a report under that one is final
		}
		if s.renewalLost {
			p.RequireFence(s.target.ID, now) // before the report is handled, which would start further work
			defer s.voidRenewal()
		}
		// The call was made after the token was set, and so after the clock was read.
		firstAnswer := fencing && !s.tokenAccepted
		switch restarted := s.statesOtherStart(report) || firstAnswer && clockRestarted(report, s.clock.latest.milli); {
		case restarted && (!firstAnswer || s.startToken == token):
			s.suspectRestart(p, now)
			return
		case restarted:
			s.handleRestart(p, now, report.StartUnixMilli)
		case report.ClockMilli < s.clock.latest.milli:
			return // an older report, overtaken by one on the other connection
		}
		if report.StartUnixMilli != 0 {
			s.startUnixMilli, s.startStated = report.StartUnixMilli, true
		}
		s.clock.note(clockReading{report.ClockMilli, now}, s.holder.options.ClientRetryAfter)
		s.tokenAccepted = s.tokenAccepted || fencing
		translated := s.planReport(report, fencing, sent)
		hasEndings = len(translated.Ended) > 0
		p.HandleReport(translated, now)
	})
	return hasEndings
}

// voidRenewal raises the token unless that has been done since the renewal was lost. The caller
// holds the lock.
func (s *session) voidRenewal() {
	if s.renewalLost {
		s.raiseToken("a renewal of the lease got no answer")
	}
}

// noteAcknowledged records that the worker has answered an acknowledgement, if the answer is of
// the incarnation whose endings it named.
func (s *session) noteAcknowledged(request platform.HoldRequest, report platform.Report) {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	if s.token == request.Token && !s.statesOtherStart(report) {
		s.ackedSequence = max(s.ackedSequence, request.AckSequence)
	}
}

// noteAnswer records that the worker answers.
func (s *session) noteAnswer() {
	if s.missedHolds > 0 {
		s.holder.options.Log.Info("worker answers again", "worker", s.target.ID, "missed", s.missedHolds)
	}
	s.missedHolds = 0
}

// planReport converts a report for the plan and leaves out endings that the plan
// already has. The caller holds the lock.
func (s *session) planReport(report platform.Report, fencing bool, sent time.Time) plan.Report {
	translated := plan.Report{Worker: s.target.ID, Sent: sent, Fenced: fencing}
	for _, t := range report.Running {
		translated.Running = append(translated.Running, plan.RunProgress{Task: t.Task, Run: t.Run, Percent: t.Percent})
	}
	seen := s.seenSequence
	for _, e := range report.Ended {
		if e.Sequence <= seen {
			continue
		}
		s.seenSequence = max(s.seenSequence, e.Sequence)
		ending := plan.EndedRun{Task: e.Task, Run: e.Run, Outcome: plan.Aborted}
		switch e.Outcome {
		case platform.Done:
			ending.Outcome = plan.Succeeded
		case platform.Failed:
			ending.Outcome = plan.Failed
		}
		s.holder.options.CountCall("end " + string(e.Outcome))
		translated.Ended = append(translated.Ended, ending)
	}
	return translated
}
