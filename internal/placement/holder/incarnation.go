package holder

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/platform"
)

// isOutdated reports whether a registration is of an incarnation before the one that the
// session knows: it states an earlier start, or is the one that the worker had before it started
// again. The clock of the worker's VM may have been set back in between. While no answer has
// confirmed the start that the session knows, a registration with another address may be the true
// one.
func (s *session) isOutdated(r platform.Registration) bool {
	if r.StartUnixMilli == 0 || r.StartUnixMilli == s.startUnixMilli || !s.startStated && r.Address != s.target.Address {
		return false
	}
	return r.StartUnixMilli < s.startUnixMilli || r.StartUnixMilli == s.registration.StartUnixMilli
}

// describes reports whether a registration may be of the incarnation that the session knows.
func (s *session) describes(r platform.Registration) bool {
	sameStart := r.StartUnixMilli == 0 || s.startUnixMilli == 0 || r.StartUnixMilli == s.startUnixMilli
	return sameStart && r.Address == s.target.Address
}

// statesOtherStart reports whether an answer is of another incarnation than the one that the
// session knows.
func (s *session) statesOtherStart(answer platform.Report) bool {
	return s.startUnixMilli != 0 && answer.StartUnixMilli != 0 && answer.StartUnixMilli != s.startUnixMilli
}

// clockRestarted reports whether an answer is of a later incarnation than the one whose clock
// showed clockMilli before the call was made: the clock of an incarnation never goes back.
// Answers without a body state no time.
func clockRestarted(answer platform.Report, clockMilli int64) bool {
	return answer.ClockMilli > 0 && answer.ClockMilli < clockMilli
}

// suspectRestart keeps work off a worker until an answer to a new token tells which incarnation
// it is. The caller holds the lock.
func (s *session) suspectRestart(p *plan.Plan, now time.Time) {
	p.DoubtIncarnation(s.target.ID, now)
	s.raiseToken("an answer states another start of the worker")
}

// handleRestart resets what the session knows of an earlier incarnation of the worker. The
// report of the new one, which follows, says which runs there are. The caller holds the lock.
func (s *session) handleRestart(p *plan.Plan, now time.Time, startUnixMilli int64) {
	s.holder.options.Log.Info("worker has started again", "worker", s.target.ID, "born", startUnixMilli, "before", s.startUnixMilli)
	s.seenSequence, s.ackedSequence, s.clock = 0, 0, workerClock{}
	w := planWorker(s.registration)
	w.Unregistered = s.registration.StartUnixMilli != 0
	p.RestartWorker(w, now)
}
