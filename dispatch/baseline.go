package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// scheduleUncoordinated places tasks for the baseline placements, under which
// entries do not coordinate their use of slots.
func (d *Dispatcher) scheduleUncoordinated(now time.Time) {
	for _, list := range []*[]*task{&d.stagedRequests, &d.stagedJobTasks} {
		kept := (*list)[:0]
		for _, t := range *list {
			if !t.job.IsRunning() {
				continue
			}
			dest := d.pickTarget(t)
			if dest == nil {
				kept = append(kept, t)
				continue
			}
			d.startTask(t, dest, loan.Permit{}, now, false)
		}
		clear((*list)[len(kept):])
		*list = kept
	}
}

// pickTarget selects a suitable upstream in the zone by the configured baseline
// placement, or nil if there is none.
func (d *Dispatcher) pickTarget(t *task) *target {
	var candidates []*target
	for _, g := range d.targetList {
		if g.inZone && d.usable(g) && len(g.running) < g.config.MaxConnections && g.config.CanServe(t.job.Service) {
			candidates = append(candidates, g)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	switch d.bundle.Rules.Placement {
	case "robin":
		d.robinTurn++
		return candidates[d.robinTurn%len(candidates)]
	case "least":
		return slices.MinFunc(candidates, func(a, b *target) int { return len(a.running) - len(b.running) })
	case "two":
		a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
		if d.expectedLoad(b) < d.expectedLoad(a) {
			return b
		}
		return a
	default:
		return candidates[rand.IntN(len(candidates))]
	}
}

// expectedLoad returns the number of tasks that the target would run with one
// more, divided by its speed.
func (d *Dispatcher) expectedLoad(dest *target) float64 {
	return float64(len(dest.running)+1) / max(d.options.Estimator.Speed(dest.name), 0.01)
}
