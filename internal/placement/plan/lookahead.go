package plan

import (
	"iter"
	"time"

	"github.com/radishgate/radishgate/internal/placement/lookahead"
)

// ahead connects the plan with package lookahead.
type ahead struct {
	*lookahead.Planner
	hasSpare   map[string]bool // services whose workers can do more work than arrives, as of the last tick
	jobs       map[string]*job // with reservations, by task
	runs       []lookahead.Run // reused
	candidates []lookahead.Candidate
	tasks      []*task // of candidates
}

func newAhead() *ahead {
	return &ahead{Planner: lookahead.New(), hasSpare: map[string]bool{}, jobs: map[string]*job{}}
}

// resetAhead drops all reservations, and finds the services for which look-ahead is of use: if more work
// arrives than the workers can do, what one job gains another one loses.
func (p *Plan) resetAhead() {
	if p.ahead == nil {
		return
	}
	p.ahead.Reset()
	clear(p.ahead.jobs)
	clear(p.ahead.hasSpare)
	for _, j := range p.waiting {
		if _, known := p.ahead.hasSpare[j.Service]; !known {
			capacity, _ := p.capacityAndLoad(j.Service)
			p.ahead.hasSpare[j.Service] = p.arrivals[j.Service].rate(p.now) < capacity
		}
	}
}

// forecast returns what package lookahead has to know of a worker for a task. The result is valid until
// the next call.
func (p *Plan) forecast(t *task, w *worker) lookahead.Worker {
	runs := p.ahead.runs[:0]
	for _, r := range w.runs {
		runs = append(runs, lookahead.Run{End: p.likelyEnd(r), Resources: r.resources})
	}
	p.ahead.runs = runs
	return lookahead.Worker{ID: w.ID, Free: w.free(), Runs: runs, Runtime: p.expectedTime(t, w)}
}

// likelyEnd returns when a run is likely to end. One that is overdue takes a fifth of its time so far
// longer: run times vary by some tens of percent.
func (p *Plan) likelyEnd(r *run) time.Time {
	end := r.expectedEnd
	if end.IsZero() {
		end = r.sentAt.Add(p.expectedTime(r.task, r.worker))
	}
	if begun := r.startedAt; end.Before(p.now) && !begun.IsZero() {
		return p.now.Add(p.now.Sub(begun) / overdueDivisor)
	}
	return end
}

// overdueDivisor is the part of its time so far that an overdue run is expected to take longer: one fifth.
const overdueDivisor = 5

// reserveFor reserves workers for the pending tasks of a job that find no free resources and can still
// meet their objective.
func (p *Plan) reserveFor(j *job) {
	if p.ahead == nil || j.late || !p.ahead.hasSpare[j.Service] {
		return
	}
	for _, t := range j.pending {
		if p.ahead.MayReserve(t.name) && p.mayStart(t) {
			p.ahead.Reserve(t.name, j.Steps[t.step].Resources, p.forecasts(t), j.objective, p.now)
			p.ahead.jobs[t.name] = j
		}
	}
}

// forecasts returns the forecasts of the workers that may run a task once they have resources free. What may
// change until then, such as leases, is checked when the task starts.
func (p *Plan) forecasts(t *task) iter.Seq[lookahead.Worker] {
	step := t.job.Steps[t.step]
	return func(yield func(lookahead.Worker) bool) {
		for _, w := range p.workerList {
			if w.Service != t.job.Service || p.now.Add(p.expectedTime(t, w)).After(t.job.objective) || !step.Resources.FitsIn(w.Capacity) {
				continue
			}
			if _, reserved := p.ahead.On(w.ID); reserved || !w.offers(step) || t.avoidedWorkers[w.ID] || !p.isEligible(w) {
				continue
			}
			if !yield(p.forecast(t, w)) {
				return
			}
		}
	}
}

// respectsReservation reports whether a task may start on a worker beside the reservation there. Tasks whose
// turn comes before that of the reservation's job may.
func (p *Plan) respectsReservation(t *task, w *worker) bool {
	if p.ahead == nil {
		return true
	}
	r, reserved := p.ahead.On(w.ID)
	if !reserved {
		return true
	}
	holder := p.ahead.jobs[r.Task]
	if holder == nil || holder == t.job || !t.job.late && compareOnTime(t.job, holder) < 0 {
		return true
	}
	f := p.forecast(t, w)
	f.Runtime = time.Duration(float64(f.Runtime) * runtimeMargin)
	return r.Allows(f, t.job.Steps[t.step].Resources, p.now)
}

// fillWorker starts the waiting tasks that fill a worker best, unless the turn of a waiting job is due.
// It chooses among jobs of one queue with similar run times, so that no class of jobs gains by it at the
// cost of another.
func (p *Plan) fillWorker(w *worker) {
	if p.ahead == nil || !p.ahead.hasSpare[w.Service] || p.otherLeasesActive() {
		return
	}
	a := p.ahead
	a.candidates, a.tasks = a.candidates[:0], a.tasks[:0]
	free := w.free()
	for _, j := range p.waiting {
		if j.late || len(a.tasks) == lookahead.MaxCandidates {
			break
		}
		if len(j.pending) == 0 || j.result.State.Ended() || j.Service != w.Service {
			continue
		}
		if !j.latestTurn().After(p.now) {
			return
		}
		t := j.pending[0]
		step := j.Steps[t.step]
		if len(a.tasks) > 0 && !similar(t, a.tasks[0]) || !step.Resources.FitsIn(free) {
			continue
		}
		if p.mayRunElsewhere(j) || !p.mayStart(t) || !p.canRun(t, step, w) || p.likelyMisses(t, w) {
			continue
		}
		a.candidates = append(a.candidates, lookahead.Candidate{MilliCores: step.Resources.MilliCores, HasSecond: len(j.pending) > 1})
		a.tasks = append(a.tasks, t)
	}
	first, second := lookahead.Fill(free.MilliCores, a.candidates)
	for _, i := range []int{first, second} {
		if i >= 0 && len(a.tasks) > 1 && len(a.tasks[i].job.pending) > 0 {
			p.startOn(a.tasks[i].job.pending[0], w)
		}
	}
}

// similar reports whether a task is of the same queue as another one and takes hardly longer.
func similar(t, other *task) bool {
	return t.job.Queue == other.job.Queue && float64(t.job.baseTimes[t.step]) <= similarTime*float64(other.job.baseTimes[other.step])
}

// similarTime is the largest ratio of the run times of tasks that may be exchanged to fill a worker.
const similarTime = 1.3

// startOn starts a pending task on a worker if the rules of chooseWorker allow it.
func (p *Plan) startOn(t *task, w *worker) {
	if p.mayStart(t) && p.chooseWorker(t, []*worker{w}) == w {
		t.job.removePending(t)
		p.startRun(t, w)
	}
}
