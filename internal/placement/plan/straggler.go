package plan

import "time"

// Detection of runs that progress much slower than expected, because their worker has become
// slow or hangs. Such a run is restarted on a worker that ends it sooner.
const (
	stragglerRatio  = 2                     // run time predicted from progress over that expected; jobs whose length is misjudged stay below it
	minObservedRun  = 40 * time.Millisecond // progress of younger runs says little, as it comes in whole percents
	minObservedPart = 4                     // a run must be observed for 1/minObservedPart of its expected time
	restartDelay    = 60 * time.Millisecond // until a run that is stopped has ended and its task has started elsewhere
	restartGain     = 2                     // a run that misses its objective either way is restarted if that ends it so many times sooner
)

// reasonStraggler is the reason for stopping a run that is restarted on another worker.
const reasonStraggler = "too slow to end in time"

// Restarts of stragglers are limited to a share of all starts, so that a mistaken prediction
// cannot multiply the work when all workers are slow.
const (
	restartShare  = 0.1 // restarts earned by a start
	maxRestarts   = 20  // restarts that can be saved up
	firstRestarts = 4   // restarts of a new holder
)

// slowness returns how many times longer than expected a run takes, predicted from its
// progress in the last report; 0 if it is no straggler or the report is too early to tell.
// Tasks of one job are misjudged alike, so the fastest of them is the measure for the others.
func (r *run) slowness() float64 {
	own, known := r.predictedRatio()
	if !known || own < stragglerRatio {
		return 0
	}
	fastest := own
	for _, t := range r.task.job.tasks {
		if t.done && t.runtimeRatio > 0 {
			fastest = min(fastest, t.runtimeRatio)
		}
		if t.activeRun != nil && t.step == r.task.step {
			if other, observed := t.activeRun.predictedRatio(); observed {
				fastest = min(fastest, other)
			}
		}
	}
	if ratio := own / max(1, fastest); ratio >= stragglerRatio {
		return ratio
	}
	return 0
}

// predictedRatio returns the run time predicted from the progress in the last report over the
// expected one, and whether that report is late enough to tell. Time since the report does
// not count: under load reports are lost or late.
func (r *run) predictedRatio() (float64, bool) {
	elapsed, expected := r.worker.reportedAt.Sub(r.startedAt), r.expectedEnd.Sub(r.startedAt)
	if r.phase != running || r.startedAt.IsZero() || expected <= 0 || elapsed < max(minObservedRun, expected/minObservedPart) {
		return 0, false
	}
	return float64(predictedRuntime(elapsed, r.percent)) / float64(expected), true
}

// predictedRuntime returns the least run time that fits the progress after some time. Workers
// may report any number as progress; those outside 0 to 99 count as the nearest of these.
func predictedRuntime(elapsed time.Duration, percent int) time.Duration {
	return elapsed * 100 / time.Duration(min(max(percent, 0), 99)+1)
}

// learnFromProgress raises the slowdown factor of a worker at once, by the slowness of a
// straggler there. Run times of completed tasks alone would show that only after several tasks
// have come too late.
func (p *Plan) learnFromProgress(r *run, ratio float64) {
	if r.learned || r.wasCold() {
		return
	}
	r.learned = true
	p.estimator.RaiseSlowdown(r.worker.ID, ratio)
	r.worker.factor = p.estimator.SlowdownFactor(r.worker.ID, r.worker.Kind)
}

// worthRestarting reports whether a straggler should be stopped and started on another
// worker: it will miss its objective, and the other worker would meet it, or at least end the
// task much sooner.
func (p *Plan) worthRestarting(r *run) bool {
	if p.restarts < 1 {
		return false
	}
	end := r.startedAt.Add(predictedRuntime(r.worker.reportedAt.Sub(r.startedAt), r.percent))
	if !end.After(r.task.job.objective) {
		return false
	}
	other := p.chooseWorker(r.task, p.openWorkers())
	if other == nil || other == r.worker {
		return false
	}
	elsewhere := restartDelay + p.expectedTime(r.task, other)
	if !p.now.Add(elsewhere).After(r.task.job.objective) {
		return true
	}
	return end.Sub(p.now) >= restartGain*elsewhere
}
