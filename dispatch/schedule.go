package dispatch

import (
	"slices"
	"time"
)

const (
	// minBatch and maxBatch bound the number of requests, and of job tasks, that
	// are placed in one pass.
	minBatch = 16
	maxBatch = 256
	// One in jobPriorityInterval starts gives jobs precedence over requests, so
	// that requests do not starve jobs.
	jobPriorityInterval = 8
	// borrowStretchJob and borrowStretchRequest are multiples of the ideal response
	// time up to which borrowing a slot is not worth a message. Requests have the
	// higher one because a slot borrowed for a request serves only that request.
	borrowStretchJob     = 1.25
	borrowStretchRequest = 2
	// borrowSlack is a further delay for which borrowing is not worth a message.
	borrowSlack = 2 * time.Millisecond
	// untriedSlowdown is the assumed slowdown of an upstream of unknown speed when
	// placing requests, which leaves it to tasks of jobs to measure its speed. One
	// in exploreInterval starts ignores the slowdown, so that a fast upstream is
	// discovered without jobs too.
	untriedSlowdown = 3
	exploreInterval = 25
	// overdueExtension is the remaining run time that is assumed for a task past its
	// expected end, as a share of its run time so far.
	overdueExtension = 0.25
	// leaseSafetyFactor is the multiple of a task's estimate for which a worker's
	// lease must still be valid.
	leaseSafetyFactor = 3
)

// schedule starts the waiting tasks that can start now and determines how many
// slots are worth borrowing. The caller must hold the lock.
func (d *Dispatcher) schedule() {
	if d.bundle == nil || d.backlog == 0 {
		d.slotsWanted = 0
		return
	}
	now := d.options.Now()
	held := d.refreshTargets()
	batch := min(max(2*held, minBatch), maxBatch)
	d.stageTasks(batch)
	if d.uncoordinated() {
		d.scheduleUncoordinated(now)
		return
	}
	mayWait := d.requests.Len()+d.jobs.Len() == 0
	if mayWait {
		d.predictSlotEnds(now)
	}
	d.drainTime = time.Duration(float64(d.backlogWork) / max(1, d.heldCapacity()))
	d.slotsWanted, d.wantedService, d.minWantedSpeed = 0, "", 0
	reserved := d.reserveForRequests(now)
	if d.startCount%jobPriorityInterval == jobPriorityInterval-1 {
		d.placeJobs(now, mayWait, reserved)
		d.placeRequests(now, mayWait)
	} else {
		d.placeRequests(now, mayWait)
		d.placeJobs(now, mayWait, reserved)
	}
	if d.slotsWanted > 0 {
		d.slotsWanted += d.requests.Len() + d.jobs.Len()
		if d.bundle.Rules.Placement == placementHome {
			d.options.OnSlotShortage()
		}
	}
}

// heldCapacity returns the number of slots held here, weighted by speed.
func (d *Dispatcher) heldCapacity() float64 {
	capacity := 0.0
	for _, t := range d.targetList {
		capacity += float64(t.held) * t.speed
	}
	return capacity
}

func (d *Dispatcher) placeRequests(now time.Time, mayWait bool) {
	free := d.freeSlots()
	d.stagedRequests = d.placeTasks(d.stagedRequests, now, mayWait, &free)
}

// placeJobs places tasks of jobs on slots that are not reserved for requests.
func (d *Dispatcher) placeJobs(now time.Time, mayWait bool, reserved int) {
	if reserved > 0 {
		for _, t := range d.targetList {
			t.reserved = min(t.reserved, t.free)
			t.free -= t.reserved
		}
	}
	free := d.freeSlots()
	d.stagedJobTasks = d.placeTasks(d.stagedJobTasks, now, mayWait, &free)
	if reserved == 0 {
		return
	}
	for _, t := range d.targetList {
		t.free += t.reserved
	}
}

func (d *Dispatcher) freeSlots() int {
	free := 0
	for _, t := range d.targetList {
		free += t.free
	}
	return free
}

// uncoordinated reports whether the placement is one of the baselines, under
// which entries do not coordinate their use of slots.
func (d *Dispatcher) uncoordinated() bool {
	placement := d.bundle.Rules.Placement
	return placement != placementHome && placement != placementStatic
}

// refreshTargets updates the slots, speed and lease of each target, and returns
// the number of slots held.
func (d *Dispatcher) refreshTargets() int {
	held := 0
	for _, t := range d.targetList {
		t.free, t.held = 0, 0
		if !d.usable(t) {
			continue
		}
		t.held = d.options.Ledger.HeldSlots(t.name)
		allowed := t.limit.AllowedSlots(t.held) - len(t.running)
		t.free = max(0, min(d.options.Ledger.FreeSlots(t.name), allowed))
		t.trialDue = d.options.Outliers.TrialDue(t.name)
		if t.trialDue {
			t.free = min(t.free, 1)
		}
		t.speed = max(d.options.Estimator.Speed(t.name), 0.01)
		t.speedKnown = t.speedKnown || d.options.Estimator.HasSpeed(t.name)
		t.leaseEnd, t.hasLease = d.options.LeaseEnd(t.name)
		held += t.held
	}
	return held
}

// predictSlotEnds estimates when the busy slots of each target will become free.
func (d *Dispatcher) predictSlotEnds(now time.Time) {
	for _, t := range d.targetList {
		t.slotEnds = t.slotEnds[:0]
		if t.held == 0 || !t.inZone {
			continue
		}
		for _, r := range t.running {
			end := r.expectedEnd
			if end.Before(now) {
				elapsed := now.Sub(r.startedAt)
				end = now.Add(time.Duration(float64(elapsed) * overdueExtension))
			}
			t.slotEnds = append(t.slotEnds, end)
		}
		slices.SortFunc(t.slotEnds, time.Time.Compare)
	}
}

// stageTasks fills the staged lists from the queues, so that tasks are placed
// together. It skips tasks of jobs that have ended.
func (d *Dispatcher) stageTasks(batch int) {
	for len(d.stagedRequests) < batch {
		item, ok := d.requests.Pop()
		if !ok {
			break
		}
		if item.Value.job.IsRunning() {
			d.stagedRequests = append(d.stagedRequests, item.Value)
		}
	}
	for len(d.stagedJobTasks) < batch {
		item, ok := d.jobs.Pop()
		if !ok {
			break
		}
		if item.Value.job.IsRunning() {
			d.stagedJobTasks = append(d.stagedJobTasks, item.Value)
		}
	}
}
