package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/refusal"
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
		t.held = d.options.Ledger.Held(t.name)
		allowed := t.limit.Allow(t.held) - len(t.running)
		t.free = max(0, min(d.options.Ledger.Free(t.name), allowed))
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
	r := refusal.New(refusal.TooLate, refusal.NotRun, detail, t.estimate)
	wait := time.Duration(float64(d.work) / max(1, d.speed()))
	back := d.options.Now().Add(min(max(wait, soonest), latest))
	d.leave(t)
	go t.job.Fail(r.Later(back))
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
		if g.name == t.avoid || !g.bundle.Suits(t.job.Service) {
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
		return !g.bundle.Lease
	}
	return g.lease.After(now.Add(leaseShare * need))
}

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
		if g.near && d.usable(g) && len(g.running) < g.bundle.Connections && g.bundle.Suits(t.job.Service) {
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
