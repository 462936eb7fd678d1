package plan

import (
	"github.com/radishgate/radishgate/internal/work/batch"
)

// sizeStep is the weight of one task in the usual size.
const sizeStep = 0.02

// resize takes the size of a task into the usual one.
func (p *Plan) resize(processors float64) {
	if p.size == 0 {
		p.size = processors
	}
	p.size += (processors - p.size) * sizeStep
}

// Vacancy is the number of tasks of the usual size that the workers could take at
// once beyond the work that waits.
func (p *Plan) Vacancy() int {
	if p.size <= 0 {
		return 0
	}
	tasks := 0
	for _, w := range p.workers {
		if w.usable() && !p.board.IsEjected(w.ID) {
			tasks += int(float64(w.free().Processors) / p.size)
		}
	}
	for _, j := range p.waiting {
		tasks -= len(j.pending)
	}
	return max(0, tasks)
}

// Vacancies takes what other groups have told of theirs.
func (p *Plan) Vacancies(tasks map[string]int) { p.vacancies = tasks }

// Limits of work that goes to other groups. Their counts are some heartbeats old,
// so most of a vacancy is left to the group's own work.
const (
	spillReserve = 6   // tasks
	spillShare   = 0.5 // of a vacancy at most
)

// spill sends jobs that found no room, and of which nothing has started, to
// another group that has much of it. It answers load that differs between zones.
func (p *Plan) spill(jobs []*job) {
	if len(p.vacancies) == 0 {
		return
	}
	for _, j := range jobs {
		if j.Away || j.again || j.started || len(j.pending) != len(j.tasks) || j.result.State.Ended() {
			continue
		}
		group := p.vacant(len(j.tasks))
		if group == "" {
			continue
		}
		p.vacancies[group] -= len(j.tasks)
		p.settle(j, batch.Result{State: batch.Moved, Reason: "another group has room", Group: group})
	}
}

// vacant finds the group with the most room for a number of tasks.
func (p *Plan) vacant(tasks int) string {
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
