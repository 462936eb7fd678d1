package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
)

// expect is the run time of a task on a worker.
func (p *Plan) expect(t *task, w *worker) time.Duration {
	if t == nil {
		return defaultLease
	}
	return time.Duration(float64(t.job.bases[t.step]) * w.factor)
}

// soonest is the least run time of a task on any worker.
func (p *Plan) soonest(t *task) time.Duration {
	return time.Duration(float64(t.job.bases[t.step]) * p.fastest[t.job.Service])
}

// refresh takes what has been learned of the speed of workers.
func (p *Plan) refresh() {
	clear(p.fastest)
	clear(p.usual)
	count := map[string]float64{}
	for _, w := range p.list {
		w.factor = p.pace.Factor(w.ID, w.Kind)
		if least, known := p.fastest[w.Service]; !known || w.factor < least {
			p.fastest[w.Service] = w.factor
		}
		count[w.Service]++
		p.usual[w.Service] += (w.factor - p.usual[w.Service]) / count[w.Service]
	}
}

// relist keeps the workers in a stable order.
func (p *Plan) relist() {
	p.list = p.list[:0]
	for _, w := range p.workers {
		p.list = append(p.list, w)
	}
	slices.SortFunc(p.list, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	p.refresh()
}

// place gives tasks to all workers, in the order of what is lost by waiting.
func (p *Plan) place() {
	p.compact()
	if len(p.waiting) == 0 {
		return
	}
	p.arrange()
	p.placeOn(p.openWorkers())
	p.spill(p.waiting)
	p.compact()
	p.foresee()
	p.compact()
}

// placeAt gives tasks to one worker whose room has changed. Nothing that waits
// has fitted the others.
func (p *Plan) placeAt(w *worker) {
	if len(p.waiting) == 0 || !w.usable() {
		return
	}
	if !p.arranged {
		p.arrange()
	}
	p.placeOn([]*worker{w})
	p.compact()
}

// placeNew gives the tasks of a job that has just come to workers. Nothing that
// waits before it has fitted them.
func (p *Plan) placeNew(j *job) {
	open := p.openWorkers()
	if len(open) > 0 && !p.mayRun(j) && (!p.disputed() || p.known(j.Service)) {
		p.placeJob(j, open, roomiest(open))
	}
	p.spill([]*job{j})
	p.compact()
}

func (p *Plan) placeOn(open []*worker) {
	if len(open) == 0 {
		return
	}
	most := roomiest(open)
	disputed := p.disputed()
	unsafe := map[string]bool{} // services of which something is not known
	for _, j := range p.waiting {
		if most.Processors <= 0 {
			return
		}
		// Most of what waits is too large for the little room that there is.
		if !j.fits(most) || p.mayRun(j) {
			continue
		}
		if disputed {
			bad, asked := unsafe[j.Service]
			if !asked {
				bad = !p.known(j.Service)
				unsafe[j.Service] = bad
			}
			if bad {
				continue
			}
		}
		if p.placeJob(j, open, most) {
			most = roomiest(open)
		}
	}
}

// fits tells whether some task that waits may find room.
func (j *job) fits(most room.Room) bool {
	step := -1
	for _, t := range j.pending {
		if t.step == step {
			continue // tasks of a step are of one size
		}
		step = t.step
		if j.Steps[step].Room.Fits(most) {
			return true
		}
	}
	return false
}

// roomiest gives the most of each kind of room that any of the workers has left.
func roomiest(open []*worker) room.Room {
	var most room.Room
	for _, w := range open {
		free := w.free()
		most.Processors = max(most.Processors, free.Processors)
		most.Memory = max(most.Memory, free.Memory)
		most.Accelerators = max(most.Accelerators, free.Accelerators)
	}
	return most
}

// compact drops the jobs that have nothing to place.
func (p *Plan) compact() {
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool {
		if len(j.pending) > 0 && !j.result.State.Ended() {
			return false
		}
		j.queued = false
		return true
	})
}

// arrange puts first the jobs that can still meet their objective, those with tasks
// placed before the others, by the last moment at which they have to start; those
// that cannot follow by the time their clients leave. It answers bursts: a job that
// has lost its objective must not take the room of one that has not, and room given
// to some tasks of a job is lost if the others do not follow.
func (p *Plan) arrange() {
	p.arranged = true
	for _, j := range p.waiting {
		j.late, j.begun = j.latest.Before(p.at), len(j.pending) < len(j.tasks)
	}
	slices.SortStableFunc(p.waiting, func(a, b *job) int {
		switch {
		case a.late != b.late && b.late:
			return -1
		case a.late != b.late:
			return 1
		case a.late:
			return a.Expires.Compare(b.Expires)
		case a.begun != b.begun && a.begun:
			return -1
		case a.begun != b.begun:
			return 1
		}
		return a.latest.Compare(b.latest)
	})
}

// openWorkers lists the workers that can take tasks.
func (p *Plan) openWorkers() []*worker {
	open := p.open[:0]
	for _, w := range p.list {
		if w.free().Processors > 0 && w.usable() {
			open = append(open, w)
		}
	}
	p.open = open
	return open
}

// placeJob starts what it can of a job and tells whether it started anything.
func (p *Plan) placeJob(j *job, open []*worker, most room.Room) bool {
	left := j.pending[:0]
	for _, t := range j.pending {
		if t.current != nil || !j.Steps[t.step].Room.Fits(most) || !p.turn(t) || p.astray(t) {
			left = append(left, t)
			continue
		}
		w := p.choose(t, open)
		if w == nil {
			left = append(left, t)
			continue
		}
		p.start(t, w)
	}
	started := len(left) < len(j.pending)
	j.pending = left
	return started
}

// astray tells whether a run of the task that does not count may still go on.
func (p *Plan) astray(t *task) bool {
	r, there := p.strays[t.name]
	return there && !p.lapsed(r.worker)
}

// turn tells whether the steps before the task's have ended.
func (p *Plan) turn(t *task) bool {
	for _, before := range t.job.Steps[t.step].After {
		for _, other := range t.job.tasks {
			if other.step == before && !other.done {
				return false
			}
		}
	}
	return true
}

// choose finds the worker that ends the task first; of those about as fast, the
// one whose room it fills best. A task waits for a faster worker than those with
// room while it can still meet its objective there and not on these.
func (p *Plan) choose(t *task, open []*worker) *worker {
	step := t.job.Steps[t.step]
	var best *worker
	bestCost := 0.0
	patient := !p.at.Add(p.soonest(t)).After(t.job.objective)
	for _, w := range open {
		if !p.suits(t, step, w) || patient && p.misses(t, w) {
			continue
		}
		took := float64(p.expect(t, w))
		left := float64(w.free().Processors-step.Room.Processors) / float64(max(1, w.Room.Processors))
		cost := took * (1 + residueWeight*left)
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// misses tells whether a task that starts on a worker now is likely to miss its
// objective. It answers workers of different speeds: long tasks miss theirs on slow
// ones, and fast ones have room again within some tens of milliseconds.
func (p *Plan) misses(t *task, w *worker) bool {
	doubtful := time.Duration(float64(p.expect(t, w)) * speedDoubt)
	return p.at.Add(doubtful).After(t.job.objective)
}

// speedDoubt is by how much a task may take longer than expected: tasks of one job
// differ by some tenths, and their objective is that of the longest.
const speedDoubt = 1.1

// residueWeight is how much of its run time a task may lose for a worker that it
// fills without a rest.
const residueWeight = 0.3

func (p *Plan) suits(t *task, step batch.Step, w *worker) bool {
	if w.Service != t.job.Service || t.avoid[w.ID] || !step.Room.Fits(w.free()) || p.board.Aside(w.ID) {
		return false
	}
	if step.Label != "" && !slices.Contains(w.Labels, step.Label) {
		return false
	}
	return step.PerWorker == 0 || p.sameStep(t, w) < step.PerWorker
}

// sameStep counts the tasks of the task's step on a worker.
func (p *Plan) sameStep(t *task, w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			count++
		}
	}
	return count
}

func (p *Plan) start(t *task, w *worker) {
	t.lastRun++
	r := &run{
		runKey: runKey{t.name, t.lastRun}, worker: w, task: t, phase: ordered,
		room: t.job.Steps[t.step].Room, sentAt: p.at,
	}
	t.current = r
	t.job.started = true
	if t.job.result.State == batch.Pending {
		t.job.result.State = batch.Running
	}
	w.renewed = p.at // a start carries a lease
	p.add(r)
	p.resize(float64(r.room.Processors))
	p.board.Begin(w.ID, p.at.Add(trialSpan))
	p.order(Order{
		Kind: Start, Worker: w.ID, Task: t.name, Run: r.runKey.run, Batch: t.job.Batch,
		Expected: p.expect(t, w), Free: w.free().Processors, Waiting: len(p.waiting),
	})
}

// trialSpan is the time after which a trial task that has told nothing makes room
// for another one.
const trialSpan = 2 * time.Second

// hopeless says why a job cannot be served, or nothing.
func (p *Plan) hopeless(j *job) string {
	largest := room.Room{}
	known := 0
	for _, w := range p.workers {
		if w.Service == j.Service {
			known++
			largest.Processors = max(largest.Processors, w.Room.Processors)
			largest.Memory = max(largest.Memory, w.Room.Memory)
			largest.Accelerators = max(largest.Accelerators, w.Room.Accelerators)
		}
	}
	if known == 0 {
		return ""
	}
	for _, s := range j.Steps {
		if !s.Room.Fits(largest) {
			return "no worker of " + j.Service + " has room for a task"
		}
	}
	if !j.started && p.at.Add(p.drained(j)+p.soonest(j.pending[0])).After(j.Expires) {
		return "the work ahead of it takes longer than its client waits"
	}
	return ""
}

// drained is the time after which the room of the workers is free for a job: what
// runs has ended, and what goes before the job has been done.
func (p *Plan) drained(j *job) time.Duration {
	whole, work := p.occupied(j.Service)
	if whole == 0 {
		return 0
	}
	late := j.latest.Before(p.at)
	for _, other := range p.waiting {
		if other == j || other.Service != j.Service {
			continue
		}
		otherLate := other.latest.Before(p.at)
		if otherLate != late && late || otherLate == late && !other.latest.After(j.latest) {
			work += other.work()
		}
	}
	return time.Duration(work / whole * float64(time.Second))
}

// occupied gives the thousandths of a core that tasks of a service can fill, and
// the work, in thousandths of a core times seconds, that runs on them. Workers
// that have yet to take the token count: they do within a trip, and a holder that
// has just begun would refuse all that comes before.
func (p *Plan) occupied(service string) (whole, work float64) {
	for _, w := range p.list {
		if w.Service != service || w.mute || w.Draining {
			continue
		}
		whole += float64(w.Room.Processors) * packing
		for _, r := range w.runs {
			if left := r.expected.Sub(p.at); left > 0 {
				work += float64(r.room.Processors) * left.Seconds()
			}
		}
	}
	return whole, work
}

// work is that of the tasks which wait, in thousandths of a core times seconds.
func (j *job) work() float64 {
	work := 0.0
	for _, t := range j.pending {
		work += float64(j.Steps[t.step].Room.Processors) * j.bases[t.step].Seconds()
	}
	return work
}

// foresee refuses the jobs of which nothing has started and whose turn comes too
// late for their clients. It answers bursts: a client that is told at once can go
// elsewhere, and its job holds up no other.
func (p *Plan) foresee() {
	type account struct{ whole, work float64 }
	accounts := map[string]account{}
	for _, j := range p.waiting {
		a, known := accounts[j.Service]
		if !known {
			a.whole, a.work = p.occupied(j.Service)
		}
		if a.whole > 0 && !j.started && !j.again && !j.result.State.Ended() {
			turn := p.at.Add(time.Duration(a.work / a.whole * float64(time.Second)))
			if turn.Add(p.soonest(j.pending[0])).After(j.Expires) {
				p.refuse(j, "the work ahead of it takes longer than its client waits")
				accounts[j.Service] = a
				continue
			}
		}
		a.work += j.work()
		accounts[j.Service] = a
	}
}

// packing is the share of the cores that tasks of about half a worker fill.
const packing = 0.85
