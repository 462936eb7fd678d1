package plan

import (
	"github.com/radishgate/radishgate/internal/placement/coldstart"
	"github.com/radishgate/radishgate/internal/placement/eligibility"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// Evacuations are the availability zones whose workers must get no tasks. The zero value says that
// there are none.
type Evacuations struct {
	Unknown bool // it is not known which zones are evacuated, so no worker gets a task
	Zones   map[string]bool
}

// SetEvacuations sets the evacuated zones. The plan keeps the map and does not modify it.
func (p *Plan) SetEvacuations(e Evacuations) { p.evacuations = e }

// evacuated reports whether the zone of the group is evacuated.
func (p *Plan) evacuated() bool { return p.evacuations.Zones[p.options.Zone] }

// smallestTask stands for a task whose resources are not known.
var smallestTask = resources.Resources{MilliCores: 1}

// verdict returns whether a worker may get any task now, and otherwise why not.
func (p *Plan) verdict(w *worker) eligibility.Verdict { return p.verdictOn(w, smallestTask) }

// verdictOn returns whether a worker may get a task of the given size now, and otherwise why not.
func (p *Plan) verdictOn(w *worker, task resources.Resources) eligibility.Verdict {
	facts := p.lastingFacts(w)
	facts.State, facts.Refusing, facts.EvacuationsUnknown = w.state, w.refusing, p.evacuations.Unknown
	if w.cold.Left(p.now) > 0 {
		facts.ColdShare, facts.UsedShare = w.cold.Share(p.now), coldstart.UsedShare(w.used, task, w.Capacity)
	}
	facts.RunsUnknown, facts.Ejected = w.hasUnknownRuns(), p.outliers.IsEjected(w.ID)
	return eligibility.Judge(facts)
}

// lastingFacts returns the facts about a worker that do not change by themselves within a network delay.
func (p *Plan) lastingFacts(w *worker) eligibility.Worker {
	return eligibility.Worker{State: ready, Evacuated: p.evacuations.Zones[w.Zone], Draining: w.Draining, Unregistered: w.Unregistered}
}

// isEligible reports whether a worker may get a task now.
func (p *Plan) isEligible(w *worker) bool { return p.verdict(w) == eligibility.Eligible }

// isEligibleSoon reports whether a worker may get tasks as soon as it has accepted the fencing token and
// listed its runs. An ejection is short and does not count.
func (p *Plan) isEligibleSoon(w *worker) bool {
	facts := p.lastingFacts(w)
	if w.unanswered {
		facts.State = unresponsive
	}
	return eligibility.Judge(facts) == eligibility.Eligible
}

// hasUnknownRuns reports whether the worker may have runs whose resources are not known.
func (w *worker) hasUnknownRuns() bool {
	for _, r := range w.runs {
		if r.phase == unaccounted || r.phase == startUnknown {
			return true
		}
	}
	return false
}

// Verdicts returns the number of workers by verdict.
func (p *Plan) Verdicts() map[eligibility.Verdict]int {
	count := map[eligibility.Verdict]int{}
	for _, w := range p.workerList {
		count[p.verdict(w)]++
	}
	return count
}

// Reasons for ending jobs in the group of an evacuated zone.
const (
	reasonEvacuated      = "its availability zone is evacuated"
	reasonNoZoneLeft     = "its availability zone is evacuated and no other one can be reached"
	reasonEvacuatedStart = "its availability zone is evacuated and its runs there have ended"
)

// leaveEvacuated moves jobs with pending tasks out of an evacuated zone. A job of which nothing has
// started moves at once, also if it has moved before. Another one moves once none of its tasks has a run
// or may get one by an earlier order: that is when its tasks could start again here. Without a
// group that takes it, a job is given up.
func (p *Plan) leaveEvacuated(jobs []*job) {
	if !p.evacuated() {
		return
	}
	for _, j := range jobs {
		if j.result.State.Ended() || len(j.pending) == 0 {
			continue
		}
		started := j.started || j.startedBefore
		if started && p.mayHaveRuns(j) || !started && p.mayRunUnlisted(j.Service) {
			continue
		}
		target := p.options.EvacuationTarget(j.ID)
		switch {
		case target == "":
			p.giveUp(j, reasonNoZoneLeft)
		case !started:
			p.deliver(j, batch.Result{State: batch.Moved, Reason: reasonEvacuated, TargetGroup: target})
		case p.now.Add(p.shortestTime(j.pending[0])).After(j.ExpiresAt):
			p.giveUp(j, reasonEvacuatedStart)
		default:
			// Started keeps the other group from sending the job back to this one.
			p.deliver(j, batch.Result{
				State: batch.Moved, Reason: reasonEvacuatedStart, TargetGroup: target, Started: true, CompletedTasks: j.completedTasks(), Losses: j.losses(),
			})
		}
	}
}

// mayHaveRuns reports whether any task of a job has a run, or may have one that this holder does not know.
func (p *Plan) mayHaveRuns(j *job) bool {
	if p.mayRunElsewhere(j) || p.otherLeasesActive() && !p.allFenced(j.Service) {
		return true
	}
	for _, t := range j.tasks {
		if !t.done && p.mayHaveRun(t) {
			return true
		}
	}
	return false
}
