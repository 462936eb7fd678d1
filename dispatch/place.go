package dispatch

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/refusal"
)

// placeTasks starts each task whose best slot is free and returns the others. If
// mayWait is set, a task waits for a busy fast slot on which it would finish
// sooner than on a free slow one. Once no slot is free, only minBatch tasks are
// examined; if at least half of them would benefit from a borrowed slot, the others
// are assumed to benefit as well.
func (d *Dispatcher) placeTasks(tasks []*task, now time.Time, mayWait bool, free *int) []*task {
	kept := tasks[:0]
	examined, wouldBorrow := 0, 0
	for _, t := range tasks {
		if !t.job.IsRunning() {
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

// failTooLate fails the job of a task that can no longer finish in time.
func (d *Dispatcher) failTooLate(t *task) {
	detail := "no slot came free in time for a run of about %s"
	r := refusal.New(refusal.DeadlineTooClose, refusal.NotRun, detail, t.estimate)
	wait := time.Duration(float64(d.backlogWork) / max(1, d.zoneCapacity()))
	retryAt := d.options.Now().Add(min(max(wait, minRetryAfter), maxRetryAfter))
	d.removeFromBacklog(t)
	go t.job.Fail(r.WithRetryAt(retryAt))
}

// wantSlot counts a task that would benefit from a borrowed slot, and lowers the
// wanted speed to what a slot needs to complete the task before finish. If finish
// is zero, a slot of any speed will do.
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

// borrowStretch returns the multiple of its ideal response time up to which a
// task does not ask for a borrowed slot.
func (d *Dispatcher) borrowStretch(t *task) float64 {
	if t.job.IsRequest {
		return borrowStretchRequest
	}
	return borrowStretchJob
}

// placeTask starts the task if its best slot is free and reports whether it did.
// Otherwise it moves the expected end of the busy slot to that of the task, so that
// tasks placed later in this pass do not count on the slot, and calls wantSlot if a
// borrowed slot would help.
func (d *Dispatcher) placeTask(t *task, now time.Time, mayWait bool, free *int) bool {
	best, finish, isFree := d.bestTarget(t, now, mayWait)
	if best == nil {
		d.wantSlot(t, now, time.Time{})
		return false
	}
	if !isFree {
		best.slotEnds[0] = finish
		slices.SortFunc(best.slotEnds, time.Time.Compare)
		if end := finish.Sub(t.job.ArrivedAt); end > time.Duration(float64(t.idealResponse)*d.borrowStretch(t))+borrowSlack {
			d.wantSlot(t, now, finish)
		}
		return false
	}
	permit, ok := d.options.Ledger.Acquire(best.name)
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

// bestTarget returns the target on which a slow run of the task would finish
// first, when the task is expected to finish there, and whether a slot there is
// free. It compares slow runs because an estimate that is too low costs more time
// on a slow upstream.
func (d *Dispatcher) bestTarget(t *task, now time.Time, mayWait bool) (*target, time.Time, bool) {
	var best *target
	var finish, lateFinish time.Time
	isFree := false
	for _, g := range d.targetList {
		if g.free == 0 && (!mayWait || len(g.slotEnds) == 0) {
			continue
		}
		if g.name == t.avoidUpstream || !g.config.CanServe(t.job.Service) {
			continue
		}
		runtime := time.Duration(float64(t.estimate) / g.speed)
		if !g.speedKnown && t.job.IsRequest && d.startCount%exploreInterval != 0 {
			runtime *= untriedSlowdown
		}
		lateRuntime := time.Duration(float64(runtime) * t.lateFactor)
		if !d.leaseCovers(g, now, runtime) || (g.speed < 1 && (d.tooSlow(t, lateRuntime, mayWait) || d.waitsForLoans(t, now, lateRuntime))) {
			continue
		}
		startTime := now
		if g.free == 0 {
			startTime = g.slotEnds[0]
		}
		if lateEnd := startTime.Add(lateRuntime); best == nil || lateEnd.Before(lateFinish) {
			best, finish, lateFinish, isFree = g, startTime.Add(runtime), lateEnd, g.free > 0
		}
	}
	if best == nil && t.avoidUpstream != "" {
		t.avoidUpstream = ""
		return d.bestTarget(t, now, mayWait)
	}
	return best, finish, isFree
}

// tooSlow reports whether a task of a job would finish on a slow upstream only
// after all other waiting work, so that the slot is left to a shorter task. If
// mayWait is set, bestTarget compares the expected ends of busy slots instead.
func (d *Dispatcher) tooSlow(t *task, runtime time.Duration, mayWait bool) bool {
	return !mayWait && !t.job.IsRequest && runtime > d.drainTime
}

// waitsForLoans reports whether a task of a new job should wait for borrowed
// slots, which may be faster, because on this one it would finish after the job's
// ideal response time. Peers answer by loansExpectedBy.
func (d *Dispatcher) waitsForLoans(t *task, now time.Time, runtime time.Duration) bool {
	return !t.job.IsRequest && now.Before(t.loansExpectedBy) && now.Add(runtime).After(t.job.ArrivedAt.Add(t.idealResponse))
}

// leaseCovers reports whether the worker's lease outlasts the task with a safety
// margin. If no lease is known, it reports whether the upstream needs none.
func (d *Dispatcher) leaseCovers(dest *target, now time.Time, runtime time.Duration) bool {
	if !dest.hasLease {
		return !dest.config.HasLease
	}
	return dest.leaseEnd.After(now.Add(leaseSafetyFactor * runtime))
}
