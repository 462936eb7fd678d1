// Package lookahead forecasts when workers have resources free, reserves workers for tasks that
// do not fit now, and chooses tasks that fill a worker. It does no I/O; times are passed in.
package lookahead

import (
	"slices"
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

// Bounds of the work for one event.
const (
	maxReservations = 16
	maxAttempts     = 64 // attempts to reserve from one tick to the next
	MaxCandidates   = 40 // tasks among which Fill chooses
)

// minFillGain is the share of the free cores that a choice must fill in addition to the first task
// in order. Smaller gains are not worth a change of the order.
const minFillGain = 0.02

// Run is the expected end of a run, and the resources that it uses.
type Run struct {
	End       time.Time
	Resources resources.Resources
}

// Worker is what is known of a worker when a task may be reserved on it: the resources that no run
// uses, its runs, and the expected run time of the task there.
type Worker struct {
	ID      string
	Free    resources.Resources
	Runs    []Run
	Runtime time.Duration
}

// Reservation keeps resources of a worker for a task from Due on. It binds nobody beyond the planner.
type Reservation struct {
	Task, Worker string
	Due          time.Time
	Resources    resources.Resources
}

// Planner holds the reservations of one holder. It is not safe for concurrent use.
type Planner struct {
	byWorker map[string]Reservation
	byTask   map[string]string // worker IDs
	tried    map[string]bool   // tasks for which an attempt was made since the last tick
	attempts int               // that are left until the next tick
}

// New returns a Planner without reservations.
func New() *Planner {
	return &Planner{byWorker: map[string]Reservation{}, byTask: map[string]string{}, tried: map[string]bool{}}
}

// Reset drops all reservations. They are made anew in each tick, since run times differ from the forecast.
func (p *Planner) Reset() {
	clear(p.byWorker)
	clear(p.byTask)
	clear(p.tried)
	p.attempts = maxAttempts
}

// MayReserve reports whether an attempt to reserve a worker for a task is allowed. There is one a task
// from one tick to the next.
func (p *Planner) MayReserve(task string) bool {
	return !p.tried[task] && p.attempts > 0 && len(p.byTask) < maxReservations
}

// Release drops the reservation of a task.
func (p *Planner) Release(task string) {
	if worker, reserved := p.byTask[task]; reserved {
		delete(p.byWorker, worker)
		delete(p.byTask, task)
	}
}

// On returns the reservation on a worker.
func (p *Planner) On(worker string) (Reservation, bool) {
	r, found := p.byWorker[worker]
	return r, found
}

// Reserve reserves the worker that ends the task first, if it ends it by the objective. It reserves none if
// the cores that are free there until the task starts are worth more than the task, in core seconds.
func (p *Planner) Reserve(task string, need resources.Resources, workers func(yield func(Worker) bool), objective, now time.Time) {
	p.attempts--
	p.tried[task] = true
	best, due := Worker{}, time.Time{}
	for w := range workers {
		if _, taken := p.byWorker[w.ID]; taken {
			continue
		}
		at, fits := fitTime(w, need, now)
		if end := at.Add(w.Runtime); !fits || end.After(objective) || best.ID != "" && !end.Before(due.Add(best.Runtime)) {
			continue
		}
		best, due = w, at
	}
	gap := float64(best.Free.MilliCores) * due.Sub(now).Seconds()
	if best.ID == "" || gap > float64(need.MilliCores)*best.Runtime.Seconds() {
		return
	}
	p.byTask[task], p.byWorker[best.ID] = best.ID, Reservation{task, best.ID, due, need}
}

// fitTime returns when resources are free on a worker for a task, and whether they ever are. It sorts
// the runs of the worker.
func fitTime(w Worker, need resources.Resources, now time.Time) (time.Time, bool) {
	free := w.Free
	if need.FitsIn(free) {
		return now, true
	}
	slices.SortFunc(w.Runs, func(a, b Run) int { return a.End.Compare(b.End) })
	for _, r := range w.Runs {
		if free = free.Add(r.Resources); need.FitsIn(free) {
			return r.End, true
		}
	}
	return time.Time{}, false
}

// Allows reports whether another task may start on the reserved worker: it ends before the reservation is
// due, or both fit side by side from then on.
func (r Reservation) Allows(w Worker, need resources.Resources, now time.Time) bool {
	if !now.Add(w.Runtime).After(r.Due) {
		return true
	}
	free := w.Free
	for _, run := range w.Runs {
		if !run.End.After(r.Due) {
			free = free.Add(run.Resources)
		}
	}
	return need.Add(r.Resources).FitsIn(free)
}

// Candidate is a task that fits a worker: the thousandths of a core that it needs, and whether a second
// task of the same job waits.
type Candidate struct {
	MilliCores int64
	HasSecond  bool
}

// Fill returns the indices of the one or two candidates, in their order, that leave the fewest of the free
// thousandths of a core unused. The second index is -1 for one candidate. Without a choice that fills
// clearly more than the first candidate it returns 0, -1.
func Fill(free int64, candidates []Candidate) (first, second int) {
	if len(candidates) == 0 {
		return -1, -1
	}
	second = -1
	least := int64(minFillGain * float64(free))
	filled := candidates[0].MilliCores
	consider := func(sum int64, i, k int) {
		if sum <= free && sum > filled+least {
			first, second, filled = i, k, sum
		}
	}
	for i, a := range candidates {
		consider(a.MilliCores, i, -1)
		for k := i; k < len(candidates); k++ {
			if k > i || a.HasSecond {
				consider(a.MilliCores+candidates[k].MilliCores, i, k)
			}
		}
	}
	return first, second
}
