package dispatch

import (
	"slices"
	"time"
)

const (
	// lookLeast and lookMost bound the tasks that are placed together.
	lookLeast = 16
	lookMost  = 256
	// jobTurn is the number of starts after which a task of a job goes before requests.
	jobTurn = 8
	// contentJob and contentRequest are the responses against the ideal that are
	// worth no message. A slot borrowed for a request serves it alone.
	contentJob     = 1.25
	contentRequest = 2
	// contentWait is a wait that is worth no message.
	contentWait = 2 * time.Millisecond
	// doubt is how much slower an upstream that nobody has tried is taken to be
	// for a request; tasks of jobs find out its speed, and one start in so many
	// as explore, so that a fast one does not stay unknown without jobs.
	doubt   = 3
	explore = 25
	// overdue is the share of its estimate after which a late task is expected to end.
	overdue = 0.25
	// leaseShare is how many times its estimate a task may need within a lease.
	leaseShare = 3
)

// match starts what can start. The caller holds the lock.
func (d *Dispatcher) match() {
	if d.bundle == nil || d.backlog == 0 {
		d.want = 0
		return
	}
	now := d.options.Now()
	held := d.survey()
	look := min(max(2*held, lookLeast), lookMost)
	d.stage(look)
	if d.open() {
		d.matchOpen(now)
		return
	}
	hold := d.requests.Len()+d.jobs.Len() == 0
	if hold {
		d.expect(now)
	}
	d.remaining = time.Duration(float64(d.work) / max(1, d.rate()))
	d.want, d.head, d.least = 0, "", 0
	kept := d.reserve(now)
	if d.starts%jobTurn == jobTurn-1 {
		d.placeJobs(now, hold, kept)
		d.placeRequests(now, hold)
	} else {
		d.placeRequests(now, hold)
		d.placeJobs(now, hold, kept)
	}
	if d.want > 0 {
		d.want += d.requests.Len() + d.jobs.Len()
		if d.bundle.Rules.Placement == placementHome {
			d.options.Wake()
		}
	}
}

// rate sums the slots held here, each weighed by its speed.
func (d *Dispatcher) rate() float64 {
	rate := 0.0
	for _, t := range d.order {
		rate += float64(t.held) * t.speed
	}
	return rate
}

func (d *Dispatcher) placeRequests(now time.Time, hold bool) {
	free := d.free()
	d.urgent = d.place(d.urgent, now, hold, &free)
}

// placeJobs leaves the reserved slots alone.
func (d *Dispatcher) placeJobs(now time.Time, hold bool, kept int) {
	if kept > 0 {
		for _, t := range d.order {
			t.kept = min(t.kept, t.free)
			t.free -= t.kept
		}
	}
	free := d.free()
	d.staged = d.place(d.staged, now, hold, &free)
	if kept == 0 {
		return
	}
	for _, t := range d.order {
		t.free += t.kept
	}
}

func (d *Dispatcher) free() int {
	free := 0
	for _, t := range d.order {
		free += t.free
	}
	return free
}

func (d *Dispatcher) open() bool {
	placement := d.bundle.Rules.Placement
	return placement != placementHome && placement != placementStatic
}

// survey fills in what each target offers now.
func (d *Dispatcher) survey() int {
	held := 0
	for _, t := range d.order {
		t.free, t.held = 0, 0
		if !d.usable(t) {
			continue
		}
		t.held = d.options.Ledger.HeldSlots(t.name)
		allowed := t.limit.Allow(t.held) - len(t.running)
		t.free = max(0, min(d.options.Ledger.FreeSlots(t.name), allowed))
		t.trial = d.options.Board.Trial(t.name)
		if t.trial {
			t.free = min(t.free, 1)
		}
		t.speed = max(d.options.Estimator.Speed(t.name), 0.01)
		t.known = t.known || d.options.Estimator.Known(t.name)
		t.lease, t.leased = d.options.Lease(t.name)
		held += t.held
	}
	return held
}

// expect lists when the busy slots of each target will come free.
func (d *Dispatcher) expect(now time.Time) {
	for _, t := range d.order {
		t.ends = t.ends[:0]
		if t.held == 0 || !t.near {
			continue
		}
		for _, r := range t.running {
			end := r.end
			if end.Before(now) {
				late := now.Sub(r.began)
				end = now.Add(time.Duration(float64(late) * overdue))
			}
			t.ends = append(t.ends, end)
		}
		slices.SortFunc(t.ends, time.Time.Compare)
	}
}

// stage takes the next tasks out of the queues, so that they are placed together.
func (d *Dispatcher) stage(look int) {
	for len(d.urgent) < look {
		item, ok := d.requests.Pop()
		if !ok {
			break
		}
		if item.Value.job.Live() {
			d.urgent = append(d.urgent, item.Value)
		}
	}
	for len(d.staged) < look {
		item, ok := d.jobs.Pop()
		if !ok {
			break
		}
		if item.Value.job.Live() {
			d.staged = append(d.staged, item.Value)
		}
	}
}
