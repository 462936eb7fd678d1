package plan

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/placement/eligibility"
	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// expectedTime returns the expected run time of a task on a worker, defaultLease without a task.
func (p *Plan) expectedTime(t *task, w *worker) time.Duration {
	if t == nil {
		return defaultLease
	}
	return time.Duration(float64(t.job.baseTimes[t.step]) * w.factor * p.coldFactor(w))
}

// shortestTime returns the expected run time of a task on the fastest worker of its service,
// busy or not.
func (p *Plan) shortestTime(t *task) time.Duration {
	return time.Duration(float64(t.job.baseTimes[t.step]) * p.minFactor[t.job.Service])
}

// refreshFactors reads the learned slowdown factors of all workers.
func (p *Plan) refreshFactors() {
	clear(p.minFactor)
	clear(p.meanFactor)
	count := map[string]float64{}
	for _, w := range p.workerList {
		w.factor = p.estimator.SlowdownFactor(w.ID, w.Kind)
		present := w.factor * p.coldFactor(w)
		if least, known := p.minFactor[w.Service]; !known || present < least {
			p.minFactor[w.Service] = present
		}
		count[w.Service]++
		p.meanFactor[w.Service] += (p.estimator.KindFactor(w.Kind) - p.meanFactor[w.Service]) / count[w.Service]
	}
}

// chooseWorker returns the worker that ends the task first, or nil. Among workers about as
// fast it prefers the one with the fewest cores left over. A task that would miss its
// objective on the workers with free resources waits for a faster one, as long as it could
// still meet it on the fastest worker of the service.
func (p *Plan) chooseWorker(t *task, candidates []*worker) *worker {
	step := t.job.Steps[t.step]
	var best *worker
	bestCost := 0.0
	canBeOnTime := p.canBeOnTime(t)
	for _, w := range candidates {
		if p.exclusion(t, step, w, canBeOnTime) != "" {
			continue
		}
		runtime := float64(p.expectedTime(t, w))
		left := float64(w.free().MilliCores-step.Resources.MilliCores) / float64(max(1, w.Capacity.MilliCores))
		cost := runtime * (1 + leftoverWeight*left)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// canBeOnTime reports whether a task that starts now can meet its objective on the fastest worker of its service.
func (p *Plan) canBeOnTime(t *task) bool {
	return !p.now.Add(p.shortestTime(t)).After(t.job.objective)
}

// exclusion returns why a task does not start on a worker now, or "" if the worker is a candidate.
func (p *Plan) exclusion(t *task, step batch.Step, w *worker, canBeOnTime bool) explanation.Reason {
	reason := p.obstacle(t, step, w)
	switch {
	case reason != "":
		return reason
	case canBeOnTime && p.likelyMisses(t, w):
		return explanation.Slow
	case p.now.Add(p.expectedTime(t, w)).After(t.job.ExpiresAt):
		return explanation.Slow // its client would have left
	case !p.respectsReservation(t, w):
		return explanation.Reserved
	}
	return ""
}

// likelyMisses reports whether a task that starts on a worker now is likely to miss its
// objective. Long tasks miss it on slow workers, while fast ones have free resources again
// within some tens of milliseconds.
func (p *Plan) likelyMisses(t *task, w *worker) bool {
	pessimistic := time.Duration(float64(p.expectedTime(t, w)) * runtimeMargin)
	return p.now.Add(pessimistic).After(t.job.objective)
}

// runtimeMargin is the factor by which a task may take longer than expected: tasks of one
// job differ by some tens of percent, and its objective is based on the longest.
const runtimeMargin = 1.1

// leftoverWeight is the share of its run time that a task may lose to run on a worker that
// it fills completely.
const leftoverWeight = 0.3

// canRun reports whether a worker offers the service, resources and label that a task needs,
// within the step's limit of tasks per worker. Workers that are not eligible or to be avoided
// cannot run it, nor those whose lease does not fit its job.
func (p *Plan) canRun(t *task, step batch.Step, w *worker) bool {
	return p.obstacle(t, step, w) == ""
}

// obstacle returns why a worker cannot run a task, or "" if it can, see canRun. What costs more to find out
// comes later.
func (p *Plan) obstacle(t *task, step batch.Step, w *worker) explanation.Reason {
	switch {
	case w.Service != t.job.Service:
		return explanation.Service
	case t.avoidedWorkers[w.ID]:
		return explanation.Avoided
	case !step.Resources.FitsIn(w.free()):
		return explanation.Resources
	}
	if verdict := p.verdictOn(w, step.Resources); verdict != eligibility.Eligible {
		return explanation.Reason(verdict)
	}
	switch {
	case t.mayEndanger(w, p.now):
		return explanation.Busy
	case !w.offers(step):
		return explanation.Label
	case step.MaxPerWorker != 0 && p.countSameStep(t, w) >= step.MaxPerWorker:
		return explanation.Limit
	case !p.leaseFits(w, t.job):
		return explanation.Lease
	}
	return ""
}

// offers reports whether a worker has the label that a step needs.
func (w *worker) offers(step batch.Step) bool {
	return step.RequiredLabel == "" || slices.Contains(w.Labels, step.RequiredLabel)
}

// countSameStep counts the tasks of the same job and step on a worker.
func (p *Plan) countSameStep(t *task, w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			count++
		}
	}
	return count
}
