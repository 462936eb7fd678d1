package dispatch

import (
	"slices"
	"time"
)

const (
	// lookLeast and lookMost bound the tasks that are placed together.
	minBatch = 16
	maxBatch = 256
	// jobTurn is the number of starts after which a task of a job goes before requests.
	jobPriorityInterval = 8
	// contentJob and contentRequest are the responses against the ideal that are
	// worth no message. A slot borrowed for a request serves it alone.
	borrowStretchJob     = 1.25
	borrowStretchRequest = 2
	// contentWait is a wait that is worth no message.
	borrowSlack = 2 * time.Millisecond
	// doubt is how much slower an upstream that nobody has tried is taken to be
	// for a request; tasks of jobs find out its speed, and one start in so many
	// as explore, so that a fast one does not stay unknown without jobs.
	untriedSlowdown = 3
	exploreInterval = 25
	// overdue is the share of its estimate after which a late task is expected to end.
	overdueExtension = 0.25
	// leaseShare is how many times its estimate a task may need within a lease.
	leaseSafetyFactor = 3
)

// match starts what can start. The caller holds the lock.
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
	d.backlogTime = time.Duration(float64(d.backlogWork) / max(1, d.heldCapacity()))
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

// rate sums the slots held here, each weighed by its speed.
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

// placeJobs leaves the reserved slots alone.
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

func (d *Dispatcher) uncoordinated() bool {
	placement := d.bundle.Rules.Placement
	return placement != placementHome && placement != placementStatic
}

// survey fills in what each target offers now.
func (d *Dispatcher) refreshTargets() int {
	held := 0
	for _, t := range d.targetList {
		t.free, t.held = 0, 0
		if !d.usable(t) {
			continue
		}
		t.held = d.options.Ledger.Held(t.name)
		allowed := t.limit.Allow(t.held) - len(t.running)
		t.free = max(0, min(d.options.Ledger.Free(t.name), allowed))
		t.trialDue = d.options.Outliers.Trial(t.name)
		if t.trialDue {
			t.free = min(t.free, 1)
		}
		t.speed = max(d.options.Estimator.Speed(t.name), 0.01)
		t.speedKnown = t.speedKnown || d.options.Estimator.Known(t.name)
		t.leaseEnd, t.hasLease = d.options.LeaseEnd(t.name)
		held += t.held
	}
	return held
}

// expect lists when the busy slots of each target will come free.
func (d *Dispatcher) predictSlotEnds(now time.Time) {
	for _, t := range d.targetList {
		t.slotEnds = t.slotEnds[:0]
		if t.held == 0 || !t.inZone {
			continue
		}
		for _, r := range t.running {
			end := r.expectedEnd
			if end.Before(now) {
				elapsed := now.Sub(r.began)
				end = now.Add(time.Duration(float64(elapsed) * overdueExtension))
			}
			t.slotEnds = append(t.slotEnds, end)
		}
		slices.SortFunc(t.slotEnds, time.Time.Compare)
	}
}

// stage takes the next tasks out of the queues, so that they are placed together.
func (d *Dispatcher) stageTasks(batch int) {
	for len(d.stagedRequests) < batch {
		item, ok := d.requests.Pop()
		if !ok {
			break
		}
		if item.Value.job.Live() {
			d.stagedRequests = append(d.stagedRequests, item.Value)
		}
	}
	for len(d.stagedJobTasks) < batch {
		item, ok := d.jobs.Pop()
		if !ok {
			break
		}
		if item.Value.job.Live() {
			d.stagedJobTasks = append(d.stagedJobTasks, item.Value)
		}
	}
}
