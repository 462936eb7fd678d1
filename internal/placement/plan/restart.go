package plan

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/placement/coldstart"
)

// RetireWorker removes a worker of which no more is known than that it is not registered and
// not called any more. It may be alive, so its runs are kept until their lease has expired.
func (p *Plan) RetireWorker(id string, now time.Time) {
	p.MarkUnresponsive(id, now)
	w, known := p.workers[id]
	if !known {
		return
	}
	w.state, w.retired = unresponsive, true
	p.removeRetired()
	p.placeAll()
}

// removeRetired removes the retired workers that can run nothing any more, nor start anything late.
func (p *Plan) removeRetired() {
	for _, w := range slices.Clone(p.workerList) {
		if w.retired && p.runsLapsed(w) && !p.lateStarts.HasStarts(w.ID) {
			p.removeWorker(w)
		}
	}
}

// RestartWorker records that a worker has started again under its ID, as registered. Its runs
// are kept until the new incarnation has accepted the fencing token and reports what it runs:
// a start may have reached either incarnation.
func (p *Plan) RestartWorker(registration Worker, now time.Time) {
	p.RequireFence(registration.ID, now)
	if w, known := p.workers[registration.ID]; known {
		w.leaseUnknown, w.cold = true, coldstart.Span{}
		w.suspectCrash()
		p.suspectIncarnation(w)
	}
	p.estimator.Forget(registration.ID)
	p.AddWorker(registration, now)
	p.workers[registration.ID].registrationDue = now.Add(registrationWait)
}

// DoubtIncarnation records that a worker has answered as another incarnation under a token with which a start may
// have been sent. It gets no work, and may execute late starts, until it has accepted a new token.
func (p *Plan) DoubtIncarnation(id string, now time.Time) {
	p.RequireFence(id, now)
	if w, known := p.workers[id]; known {
		p.suspectIncarnation(w)
	}
}

// registrationWait is how long a restarted worker that has not registered gets no work. It covers
// two reads of the registrations. After it the store is away, or cut off from either of them,
// and the worker counts as being of the kind that it was.
const registrationWait = 2 * time.Second
