package plan

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// expect is the run time of a task on a worker.
func (p *Plan) expect(t *task, w *worker) time.Duration {
	if t == nil {
		return defaultLease
	}
	return time.Duration(float64(t.job.bases[t.step]) * w.factor)
}

// soonest is the least run time of a task on any worker.
func (p *Plan) soonest(t *task) time.Duration {
	return time.Duration(float64(t.job.bases[t.step]) * p.fastest[t.job.Service])
}

// refresh takes what has been learned of the speed of workers.
func (p *Plan) refresh() {
	clear(p.fastest)
	clear(p.usual)
	count := map[string]float64{}
	for _, w := range p.list {
		w.factor = p.pace.Factor(w.ID, w.Kind)
		if least, known := p.fastest[w.Service]; !known || w.factor < least {
			p.fastest[w.Service] = w.factor
		}
		count[w.Service]++
		p.usual[w.Service] += (w.factor - p.usual[w.Service]) / count[w.Service]
	}
}

// choose finds the worker that ends the task first; of those about as fast, the
// one whose room it fills best. A task waits for a faster worker than those with
// room while it can still meet its objective there and not on these.
func (p *Plan) choose(t *task, open []*worker) *worker {
	step := t.job.Steps[t.step]
	var best *worker
	bestCost := 0.0
	patient := !p.at.Add(p.soonest(t)).After(t.job.objective)
	for _, w := range open {
		if !p.suits(t, step, w) || patient && p.misses(t, w) {
			continue
		}
		took := float64(p.expect(t, w))
		left := float64(w.free().Processors-step.Room.Processors) / float64(max(1, w.Room.Processors))
		cost := took * (1 + residueWeight*left)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// misses tells whether a task that starts on a worker now is likely to miss its
// objective. It answers workers of different speeds: long tasks miss theirs on slow
// ones, and fast ones have room again within some tens of milliseconds.
func (p *Plan) misses(t *task, w *worker) bool {
	doubtful := time.Duration(float64(p.expect(t, w)) * speedDoubt)
	return p.at.Add(doubtful).After(t.job.objective)
}

// speedDoubt is by how much a task may take longer than expected: tasks of one job
// differ by some tenths, and their objective is that of the longest.
const speedDoubt = 1.1

// residueWeight is how much of its run time a task may lose for a worker that it
// fills without a rest.
const residueWeight = 0.3

func (p *Plan) suits(t *task, step batch.Step, w *worker) bool {
	if w.Service != t.job.Service || t.avoid[w.ID] || !step.Room.Fits(w.free()) || p.board.IsEjected(w.ID) {
		return false
	}
	if step.Label != "" && !slices.Contains(w.Labels, step.Label) {
		return false
	}
	return step.PerWorker == 0 || p.sameStep(t, w) < step.PerWorker
}

// sameStep counts the tasks of the task's step on a worker.
func (p *Plan) sameStep(t *task, w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			count++
		}
	}
	return count
}
