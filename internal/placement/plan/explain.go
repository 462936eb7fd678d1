package plan

import (
	"maps"
	"time"

	"github.com/radishgate/radishgate/internal/placement/eligibility"
	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// Reasons for which a holder starts no new job.
const (
	holdTakeover = "another entry may have taken the group over"
	holdLeases   = "leases of another holder may be valid on workers that have not accepted the fencing token"
)

// Explain returns what would happen to a new job if it were admitted now. It follows Admit and placeNewJob with the same
// functions, and leaves the plan as it was. Each step of the job is considered by itself.
func (p *Plan) Explain(b *batch.Batch, now time.Time) explanation.Placement {
	defer func(before time.Time) { p.now = before }(p.now)
	p.now = now
	if group := p.groupRunning(b); group != "" {
		return explanation.Placement{Route: explanation.Started, Target: group}
	}
	j := p.draftJob(b)
	j.pending = append(j.pending, j.tasks...) // a list of its own, since its holder may shorten it
	j.noteAsked(p.askedAt(b))
	defer keepEntry(p.nextTrial, j.Queue)()
	defer keepEntry(p.nextReturn, j.Service)()
	reason := p.unservableReason(j)
	capacity, _ := p.capacityAndLoad(j.Service)
	e := explanation.Placement{
		Trial: j.trial, Capacity: int64(capacity), Waiting: p.countBefore(j), Turn: now.Add(p.queueDelay(j)), Steps: p.explainSteps(j),
	}
	switch {
	case reason != "":
		e.Refusal = p.explainRefusal(j, reason)
		return e
	case p.takeoverSuspected:
		e.Hold = holdTakeover
		return e
	case !p.mayPlaceNow(j):
		e.Hold = holdLeases
	case p.wouldStart(j, e.Steps):
		return e
	}
	if p.maySpillOver(j) {
		if group := maps.Clone(p.otherFreeSlots).Take(len(j.tasks)); group != "" {
			e.Route, e.Target = explanation.Spillover, group
			return e
		}
	}
	if p.unreachable(j.Service) {
		e.Refusal = p.explainRefusal(j, reasonUnreachable)
	}
	return e
}

// keepEntry returns a function that gives an entry of a map its present value again.
func keepEntry[K comparable, V any](entries map[K]V, key K) func() {
	value, found := entries[key]
	return func() {
		if !found {
			delete(entries, key)
			return
		}
		entries[key] = value
	}
}

// explainRefusal returns the refusal that the job would get.
func (p *Plan) explainRefusal(j *job, reason string) *explanation.Refusal {
	return &explanation.Refusal{Reason: reason, Retry: p.retryTime(j)}
}

// countBefore counts the waiting jobs whose turn comes before that of a job.
func (p *Plan) countBefore(j *job) int {
	count, late := 0, j.likelyMisses(p.now)
	for _, other := range p.waiting {
		if p.comesBefore(other, j, late) {
			count++
		}
	}
	return count
}

// wouldStart reports whether any first task of a step would start now.
func (p *Plan) wouldStart(j *job, steps []explanation.Step) bool {
	for _, t := range j.tasks {
		if steps[t.step].Worker != "" && p.mayStart(t) {
			return true
		}
	}
	return false
}

// explainSteps returns for each step of a job where its first task would start.
func (p *Plan) explainSteps(j *job) []explanation.Step {
	steps := make([]explanation.Step, len(j.Steps))
	open := p.openWorkers()
	first := 0
	for n, s := range j.Steps {
		t := j.tasks[first]
		first += s.Count
		steps[n] = explanation.Step{Tasks: s.Count, After: s.DependsOn, Excluded: map[explanation.Reason]int{}}
		canBeOnTime := p.canBeOnTime(t)
		for _, w := range p.workerList {
			if reason := p.explainWorker(t, s, w, canBeOnTime); reason != "" {
				steps[n].Excluded[reason]++
				continue
			}
			steps[n].Candidates++
		}
		if w := p.chooseWorker(t, open); w != nil {
			steps[n].Worker, steps[n].Runtime = w.ID, p.expectedTime(t, w).Milliseconds()
		}
	}
	return steps
}

// explainWorker returns why a task does not start on a worker, or "" if the worker is a candidate. The verdict on a worker
// of the service comes before what depends on the task.
func (p *Plan) explainWorker(t *task, step batch.Step, w *worker, canBeOnTime bool) explanation.Reason {
	if verdict := p.verdict(w); w.Service == t.job.Service && verdict != eligibility.Eligible {
		return explanation.Reason(verdict)
	}
	reason := p.exclusion(t, step, w, canBeOnTime)
	if reason == "" && !p.isOpen(w) {
		return explanation.Resources
	}
	return reason
}
