package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/runtimes"
)

// trialInterval is the shortest time between two trial jobs of a queue, unless a task of the
// first has succeeded.
const trialInterval = time.Second

// trialError is the ratio of the expected run time of a trial job to the one observed from which
// on all that has been learned counts as wrong.
const trialError = 2

// refusedTooLate reports whether the turn of a job of which nothing has started would come too
// late. A job that is too late by its expected run time alone becomes a trial job instead, if it
// can be taken at once and its queue may have one: after wrong observations that time refuses
// every job of the queue, and only runs correct it.
func (p *Plan) refusedTooLate(j *job) bool {
	end := p.now.Add(p.shortestTime(j.pending[0]))
	if !end.Add(p.queueDelay(j)).After(j.ExpiresAt) {
		return false
	}
	if !end.After(j.ExpiresAt) || !p.mayTry(j) {
		return true
	}
	p.nextTrial[j.Queue] = p.now.Add(trialInterval)
	j.trial = true
	for n, s := range j.Steps {
		j.baseTimes[n] = time.Duration(float64(runtimes.Stated(s.Hint)) / p.minFactor[j.Service])
	}
	p.setObjective(j)
	return false
}

// mayTry reports whether a job can become a trial job: no other job of its service waits, a worker
// has room for it, and it would end in time if it took as long as its client states.
func (p *Plan) mayTry(j *job) bool {
	t := j.pending[0]
	stated := runtimes.Stated(j.Steps[t.step].Hint)
	if p.now.Before(p.nextTrial[j.Queue]) || p.minFactor[j.Service] == 0 || p.now.Add(stated).After(j.ExpiresAt) {
		return false
	}
	for _, other := range p.waiting {
		if other != j && other.Service == j.Service && len(other.pending) > 0 {
			return false
		}
	}
	for _, w := range p.openWorkers() {
		if p.canRun(t, j.Steps[t.step], w) {
			return true
		}
	}
	return false
}

// learnFromTrial lets the plan learn anew, as that of a new holder does, if the first task of a
// trial job that succeeds has taken much less than expected: run times of queues and speeds of
// workers are learned together, and both may rest on many wrong observations.
func (p *Plan) learnFromTrial(r *run) {
	j := r.task.job
	if !j.trial || j.trialSucceeded {
		return
	}
	j.trialSucceeded = true
	delete(p.nextTrial, j.Queue)
	learned := p.estimator.BaseRuntime(j.Queue, j.Steps[r.task.step].Hint)
	if float64(learned)*r.worker.factor < trialError*float64(p.now.Sub(r.sentAt)) {
		return
	}
	p.estimator = runtimes.New()
	p.refreshFactors()
	for n, s := range j.Steps {
		j.baseTimes[n] = runtimes.Stated(s.Hint)
	}
}
