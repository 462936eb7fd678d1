package dispatch

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/refusal"
)

// place starts the tasks whose best slot is free and keeps the others. With
// hold, a task waits for a fast slot that ends it sooner than a free slow one.
// Once no slot is free, a few tasks tell whether the others would borrow.
func (d *Dispatcher) place(tasks []*task, now time.Time, hold bool, free *int) []*task {
	kept := tasks[:0]
	judged, wished := 0, 0
	for _, t := range tasks {
		if !t.job.Live() {
			continue
		}
		if t.job.Deadline.Sub(now) < t.estimate/2 {
			d.giveUp(t)
			continue
		}
		if *free == 0 && judged == lookLeast {
			if 2*wished >= lookLeast {
				d.want++
			}
			kept = append(kept, t)
			continue
		}
		if *free == 0 && !hold {
			d.wish(t, now, time.Time{})
			kept = append(kept, t)
			continue
		}
		before := d.want
		if !d.placeOne(t, now, hold, free) {
			kept = append(kept, t)
		}
		if *free == 0 && hold {
			judged++
			wished += d.want - before
		}
	}
	clear(tasks[len(kept):])
	return kept
}

// giveUp answers at once what can no longer be answered in time.
func (d *Dispatcher) giveUp(t *task) {
	detail := "no slot came free in time for a run of about %s"
	r := refusal.New(refusal.DeadlineTooClose, refusal.NotRun, detail, t.estimate)
	wait := time.Duration(float64(d.work) / max(1, d.speed()))
	back := d.options.Now().Add(min(max(wait, soonest), latest))
	d.leave(t)
	go t.job.Fail(r.WithRetryAt(back))
}

// wish counts a task that borrowed slots would help, and the speed that a slot
// must have to end it sooner than finish; the zero time means that any helps.
func (d *Dispatcher) wish(t *task, now, finish time.Time) {
	least := 0.0
	if left := finish.Sub(now); left > 0 {
		least = float64(t.estimate) / float64(left)
	}
	if d.want == 0 || least < d.least {
		d.least = least
	}
	if d.want == 0 {
		d.head = t.job.Service.Name
	}
	d.want++
}

func (d *Dispatcher) content(t *task) float64 {
	if t.job.Request {
		return contentRequest
	}
	return contentJob
}

func (d *Dispatcher) placeOne(t *task, now time.Time, hold bool, free *int) bool {
	best, finish, isFree := d.best(t, now, hold)
	if best == nil {
		d.wish(t, now, time.Time{})
		return false
	}
	if !isFree {
		best.ends[0] = finish
		slices.SortFunc(best.ends, time.Time.Compare)
		if end := finish.Sub(t.job.Arrived); end > time.Duration(float64(t.ideal)*d.content(t))+contentWait {
			d.wish(t, now, finish)
		}
		return false
	}
	permit, ok := d.options.Ledger.Take(best.name)
	if !ok {
		*free -= best.free
		best.free = 0
		return d.placeOne(t, now, hold, free)
	}
	best.free--
	*free--
	if hold && best.near {
		best.ends = append(best.ends, finish)
		slices.SortFunc(best.ends, time.Time.Compare)
	}
	d.start(t, best, permit, now, false)
	return true
}

// best finds the target on which the task would end first if it takes long, and
// when it is expected to end there. On a slow upstream a wrong estimate costs more.
func (d *Dispatcher) best(t *task, now time.Time, hold bool) (*target, time.Time, bool) {
	var best *target
	var finish, latest time.Time
	isFree := false
	for _, g := range d.order {
		if g.free == 0 && (!hold || len(g.ends) == 0) {
			continue
		}
		if g.name == t.avoid || !g.bundle.CanServe(t.job.Service) {
			continue
		}
		need := time.Duration(float64(t.estimate) / g.speed)
		if !g.known && t.job.Request && d.starts%explore != 0 {
			need *= doubt
		}
		late := time.Duration(float64(need) * t.late)
		if !d.leased(g, now, need) || (g.speed < 1 && (d.tooSlow(t, late, hold) || d.early(t, now, late))) {
			continue
		}
		begin := now
		if g.free == 0 {
			begin = g.ends[0]
		}
		if end := begin.Add(late); best == nil || end.Before(latest) {
			best, finish, latest, isFree = g, begin.Add(need), end, g.free > 0
		}
	}
	if best == nil && t.avoid != "" {
		t.avoid = ""
		return d.best(t, now, hold)
	}
	return best, finish, isFree
}

// tooSlow keeps a long task of a job off a slow upstream on which it would end
// after all other waiting work: a shorter one goes there. With hold, the
// expected ends decide that.
func (d *Dispatcher) tooSlow(t *task, need time.Duration, hold bool) bool {
	return !hold && !t.job.Request && need > d.remaining
}

// early keeps a task of a job that has just come off a slot here on which it
// would end after the job's ideal. Slots asked of peers come within that time,
// and with them faster ones.
func (d *Dispatcher) early(t *task, now time.Time, need time.Duration) bool {
	return !t.job.Request && now.Before(t.borrowed) && now.Add(need).After(t.job.Arrived.Add(t.ideal))
}

// leased tells whether the worker's lease surely outlives the task.
func (d *Dispatcher) leased(g *target, now time.Time, need time.Duration) bool {
	if !g.leased {
		return !g.bundle.HasLease
	}
	return g.lease.After(now.Add(leaseShare * need))
}
