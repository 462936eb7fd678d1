package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// matchOpen serves the baselines, which do not agree on slots with other entries.
func (d *Dispatcher) matchOpen(now time.Time) {
	for _, list := range []*[]*task{&d.urgent, &d.staged} {
		kept := (*list)[:0]
		for _, t := range *list {
			if !t.job.Live() {
				continue
			}
			g := d.pick(t)
			if g == nil {
				kept = append(kept, t)
				continue
			}
			d.start(t, g, loan.Permit{}, now, false)
		}
		clear((*list)[len(kept):])
		*list = kept
	}
}

func (d *Dispatcher) pick(t *task) *target {
	var fit []*target
	for _, g := range d.order {
		if g.near && d.usable(g) && len(g.running) < g.bundle.MaxConnections && g.bundle.CanServe(t.job.Service) {
			fit = append(fit, g)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	switch d.bundle.Rules.Placement {
	case "robin":
		d.turn++
		return fit[d.turn%len(fit)]
	case "least":
		return slices.MinFunc(fit, func(a, b *target) int { return len(a.running) - len(b.running) })
	case "two":
		a, b := fit[rand.IntN(len(fit))], fit[rand.IntN(len(fit))]
		if d.load(b) < d.load(a) {
			return b
		}
		return a
	default:
		return fit[rand.IntN(len(fit))]
	}
}

// load is the expected time that one more task takes on a target.
func (d *Dispatcher) load(g *target) float64 {
	return float64(len(g.running)+1) / max(d.options.Estimator.Speed(g.name), 0.01)
}
