package plan

import (
	"slices"

	"github.com/radishgate/radishgate/internal/placement/spillover"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
)

// taskSizeWeight is the weight of a new task in meanTaskSize.
const taskSizeWeight = 0.02

// updateTaskSize updates meanTaskSize with the size of a new task.
func (p *Plan) updateTaskSize(milliCores float64) {
	if p.meanTaskSize == 0 {
		p.meanTaskSize = milliCores
	}
	p.meanTaskSize += (milliCores - p.meanTaskSize) * taskSizeWeight
}

// FreeSlots returns how many tasks of mean size the workers could start at once in addition to
// the pending ones.
func (p *Plan) FreeSlots() int {
	if p.meanTaskSize <= 0 {
		return 0
	}
	slots := 0
	for _, w := range p.workers {
		// A worker that has shrunk may lack resources that its runs use.
		if free := w.free(); p.isEligible(w) && (resources.Resources{}).FitsIn(free) {
			// A cold worker may not use all of its capacity.
			free.MilliCores -= int64((1 - w.cold.Share(p.now)) * float64(w.Capacity.MilliCores))
			slots += max(0, int(float64(free.MilliCores)/p.meanTaskSize))
		}
	}
	for _, j := range p.waiting {
		slots -= len(j.pending)
	}
	return max(0, slots)
}

// SetOtherFreeSlots sets the free slots that the holders of other groups have reported. The
// plan keeps the map and subtracts the jobs that it moves.
func (p *Plan) SetOtherFreeSlots(slots spillover.Slots) { p.otherFreeSlots = slots }

// spillOver moves jobs that found no free resources, and of which nothing has started, to
// another group with many free slots. This evens out load that differs between availability
// zones. A job moves at most once.
func (p *Plan) spillOver(jobs []*job) {
	if len(p.otherFreeSlots) == 0 {
		return
	}
	for _, j := range jobs {
		if !p.maySpillOver(j) {
			continue
		}
		if group := p.otherFreeSlots.Take(len(j.tasks)); group != "" {
			p.deliver(j, batch.Result{State: batch.Moved, Reason: "another group has room", TargetGroup: group})
		}
	}
}

// maySpillOver reports whether a job may move to another group that has free slots.
func (p *Plan) maySpillOver(j *job) bool {
	return !j.SpilledOver && !j.startedBefore && !j.started && len(j.pending) == len(j.tasks) && !j.result.State.Ended() && !p.mayRunUnlisted(j.Service)
}

// mayRunUnlisted reports whether an earlier holder may have started jobs of a service on a worker
// that has not told this holder of them yet. Jobs that are sent again by a client do not say
// that they may have been started, and another group cannot find their runs.
func (p *Plan) mayRunUnlisted(service string) bool {
	if !p.otherLeasesActive() {
		return false
	}
	if p.WorkersIncomplete(p.now) {
		return true
	}
	return slices.ContainsFunc(p.workerList, func(w *worker) bool { return w.Service == service && w.state == fencing })
}
