package plan

import (
	"github.com/radishgate/radishgate/internal/work/batch"
)

// taskSizeWeight is the weight of a new task in meanTaskSize.
const taskSizeWeight = 0.02

// updateTaskSize adds a task's size to meanTaskSize.
func (p *Plan) updateTaskSize(processors float64) {
	if p.meanTaskSize == 0 {
		p.meanTaskSize = processors
	}
	p.meanTaskSize += (processors - p.meanTaskSize) * taskSizeWeight
}

// Vacancy returns how many tasks of mean size the workers could start at once in addition to
// the pending ones.
func (p *Plan) Vacancy() int {
	if p.meanTaskSize <= 0 {
		return 0
	}
	tasks := 0
	for _, w := range p.workers {
		if w.usable() && !p.board.IsEjected(w.ID) {
			tasks += int(float64(w.free().MilliCores) / p.meanTaskSize)
		}
	}
	for _, j := range p.waiting {
		tasks -= len(j.pending)
	}
	return max(0, tasks)
}

// SetVacancies sets the vacancies that other groups have announced.
func (p *Plan) SetVacancies(tasks map[string]int) { p.vacancies = tasks }

// Limits of spillover to another group. Its announced vacancy is some heartbeats old, so
// most of it is left to the group's own jobs.
const (
	spillReserve = 6   // tasks of a vacancy that are never used
	spillShare   = 0.5 // largest share of a vacancy that one job may take
)

// spillOver moves jobs that found no free resources, and of which nothing has started, to
// another group with a large vacancy. This evens out load that differs between availability
// zones. A job moves at most once.
func (p *Plan) spillOver(jobs []*job) {
	if len(p.vacancies) == 0 {
		return
	}
	for _, j := range jobs {
		if j.SpilledOver || j.startedBefore || j.started || len(j.pending) != len(j.tasks) || j.result.State.Ended() {
			continue
		}
		group := p.groupWithVacancy(len(j.tasks))
		if group == "" {
			continue
		}
		p.vacancies[group] -= len(j.tasks)
		p.deliver(j, batch.Result{State: batch.Moved, Reason: "another group has room", TargetGroup: group})
	}
}

// groupWithVacancy returns the group with the largest vacancy if that is large enough for a
// number of tasks, or "".
func (p *Plan) groupWithVacancy(tasks int) string {
	best := ""
	for group, vacancy := range p.vacancies {
		if vacancy-spillReserve < tasks || float64(tasks) > spillShare*float64(vacancy) {
			continue
		}
		if best == "" || vacancy > p.vacancies[best] || vacancy == p.vacancies[best] && group < best {
			best = group
		}
	}
	return best
}
