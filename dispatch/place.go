package dispatch

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/refusal"
)

// place starts the tasks whose best slot is free and keeps the others. With
// hold, a task waits for a fast slot that ends it sooner than a free slow one.
// Once no slot is free, a few tasks tell whether the others would borrow.
func (d *Dispatcher) placeTasks(tasks []*task, now time.Time, mayWait bool, free *int) []*task {
	kept := tasks[:0]
	examined, wouldBorrow := 0, 0
	for _, t := range tasks {
		if !t.job.Live() {
			continue
		}
		if t.job.Deadline.Sub(now) < t.estimate/2 {
			d.failTooLate(t)
			continue
		}
		if *free == 0 && examined == minBatch {
			if 2*wouldBorrow >= minBatch {
				d.slotsWanted++
			}
			kept = append(kept, t)
			continue
		}
		if *free == 0 && !mayWait {
			d.wantSlot(t, now, time.Time{})
			kept = append(kept, t)
			continue
		}
		wantedBefore := d.slotsWanted
		if !d.placeTask(t, now, mayWait, free) {
			kept = append(kept, t)
		}
		if *free == 0 && mayWait {
			examined++
			wouldBorrow += d.slotsWanted - wantedBefore
		}
	}
	clear(tasks[len(kept):])
	return kept
}

// giveUp answers at once what can no longer be answered in time.
func (d *Dispatcher) failTooLate(t *task) {
	detail := "no slot came free in time for a run of about %s"
	r := refusal.New(refusal.TooLate, refusal.NotRun, detail, t.estimate)
	wait := time.Duration(float64(d.backlogWork) / max(1, d.zoneCapacity()))
	retryAt := d.options.Now().Add(min(max(wait, minRetryAfter), maxRetryAfter))
	d.removeFromBacklog(t)
	go t.job.Fail(r.Later(retryAt))
}

// wish counts a task that borrowed slots would help, and the speed that a slot
// must have to end it sooner than finish; the zero time means that any helps.
func (d *Dispatcher) wantSlot(t *task, now, finish time.Time) {
	minSpeed := 0.0
	if left := finish.Sub(now); left > 0 {
		minSpeed = float64(t.estimate) / float64(left)
	}
	if d.slotsWanted == 0 || minSpeed < d.minWantedSpeed {
		d.minWantedSpeed = minSpeed
	}
	if d.slotsWanted == 0 {
		d.wantedService = t.job.Service.Name
	}
	d.slotsWanted++
}

func (d *Dispatcher) borrowStretch(t *task) float64 {
	if t.job.Request {
		return borrowStretchRequest
	}
	return borrowStretchJob
}

func (d *Dispatcher) placeTask(t *task, now time.Time, mayWait bool, free *int) bool {
	best, finish, isFree := d.bestTarget(t, now, mayWait)
	if best == nil {
		d.wantSlot(t, now, time.Time{})
		return false
	}
	if !isFree {
		best.slotEnds[0] = finish
		slices.SortFunc(best.slotEnds, time.Time.Compare)
		if end := finish.Sub(t.job.Arrived); end > time.Duration(float64(t.idealResponse)*d.borrowStretch(t))+borrowSlack {
			d.wantSlot(t, now, finish)
		}
		return false
	}
	permit, ok := d.options.Ledger.Take(best.name)
	if !ok {
		*free -= best.free
		best.free = 0
		return d.placeTask(t, now, mayWait, free)
	}
	best.free--
	*free--
	if mayWait && best.inZone {
		best.slotEnds = append(best.slotEnds, finish)
		slices.SortFunc(best.slotEnds, time.Time.Compare)
	}
	d.startTask(t, best, permit, now, false)
	return true
}

// best finds the target on which the task would end first if it takes long, and
// when it is expected to end there. On a slow upstream a wrong estimate costs more.
func (d *Dispatcher) bestTarget(t *task, now time.Time, mayWait bool) (*target, time.Time, bool) {
	var best *target
	var finish, lateFinish time.Time
	isFree := false
	for _, g := range d.targetList {
		if g.free == 0 && (!mayWait || len(g.slotEnds) == 0) {
			continue
		}
		if g.name == t.avoidUpstream || !g.config.Suits(t.job.Service) {
			continue
		}
		runTime := time.Duration(float64(t.estimate) / g.speed)
		if !g.speedKnown && t.job.Request && d.startCount%exploreInterval != 0 {
			runTime *= untriedSlowdown
		}
		lateRunTime := time.Duration(float64(runTime) * t.lateFactor)
		if !d.leaseCovers(g, now, runTime) || (g.speed < 1 && (d.tooSlow(t, lateRunTime, mayWait) || d.waitsForLoans(t, now, lateRunTime))) {
			continue
		}
		startTime := now
		if g.free == 0 {
			startTime = g.slotEnds[0]
		}
		if lateEnd := startTime.Add(lateRunTime); best == nil || lateEnd.Before(lateFinish) {
			best, finish, lateFinish, isFree = g, startTime.Add(runTime), lateEnd, g.free > 0
		}
	}
	if best == nil && t.avoidUpstream != "" {
		t.avoidUpstream = ""
		return d.bestTarget(t, now, mayWait)
	}
	return best, finish, isFree
}

// tooSlow keeps a long task of a job off a slow upstream on which it would end
// after all other waiting work: a shorter one goes there. With hold, the
// expected ends decide that.
func (d *Dispatcher) tooSlow(t *task, runTime time.Duration, mayWait bool) bool {
	return !mayWait && !t.job.Request && runTime > d.backlogTime
}

// early keeps a task of a job that has just come off a slot here on which it
// would end after the job's ideal. Slots asked of peers come within that time,
// and with them faster ones.
func (d *Dispatcher) waitsForLoans(t *task, now time.Time, runTime time.Duration) bool {
	return !t.job.Request && now.Before(t.loansExpectedBy) && now.Add(runTime).After(t.job.Arrived.Add(t.idealResponse))
}

// leased tells whether the worker's lease surely outlives the task.
func (d *Dispatcher) leaseCovers(g *target, now time.Time, runTime time.Duration) bool {
	if !g.hasLease {
		return !g.config.Lease
	}
	return g.leaseEnd.After(now.Add(leaseSafetyFactor * runTime))
}
