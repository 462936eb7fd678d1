// Package dispatch decides which waiting task starts next, on which upstream, and what follows when it fails.
package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishgate/radishgate/budget"
	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/exchange"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/limit"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/outlier"
	"github.com/radishgate/radishgate/queue"
	"github.com/radishgate/radishgate/upstream"
)

// Placements that borrow slots or keep to their own; all others are open, which
// means that entries do not agree on slots at all.
const (
	placementHome   = "home"
	placementStatic = "static"
)

// Outcome is what became of one start, for counters and histograms.
type Outcome struct {
	Job      *job.Job
	Upstream string
	Result   string // ok, not-run, failed, unknown, corrupt, cancelled
	Hedge    bool
	Wait     time.Duration // from arrival to start
	Service  time.Duration // from start to answer
}

// Options of a dispatcher. The functions are its seams to the rest of the entry.
type Options struct {
	Zone      string
	Ledger    *loan.Ledger
	Estimator *estimate.Estimator
	Board     *outlier.Board
	Send      func(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error)
	Leaving   func(name string) bool
	Lease     func(name string) (time.Time, bool) // end of the worker's lease
	Wake      func()                              // tasks wait that own slots do not take soon
	Fresh     func()                              // the same, and the tasks are new
	Seen      func(Outcome)
	Now       func() time.Time
}

// target is one upstream as the dispatcher sees it.
type target struct {
	name    string
	bundle  *bundle.Upstream
	near    bool
	limit   *limit.Limit
	budget  *budget.Budget
	running []*run

	// The fields below are filled anew for each match.
	free   int
	held   int
	kept   int // of the free ones, for requests
	speed  float64
	known  bool // some task has ended on it
	trial  bool // aside, and due for one task
	ends   []time.Time
	lease  time.Time // end of the worker's lease, where leased
	leased bool
}

// task is one waiting or running task.
type task struct {
	job      *job.Job
	index    int
	part     *job.Task
	estimate time.Duration // on the fastest upstream
	late     float64       // factor on the estimate for a task that takes long
	item     queue.Item[*task]
	due      time.Time
	ideal    time.Duration // of the whole job
	borrowed time.Time     // by when slots that peers have free have come
	avoid    string
	attempts int
	done     bool
	runs     []*run
}

func (t *task) hint() time.Duration { return t.part.Hint }

// run is one start of a task.
type run struct {
	task   *task
	target *target
	permit loan.Permit
	began  time.Time
	end    time.Time // expected
	used   float64   // share of the slots here that were busy at the start
	hedge  bool
	cancel context.CancelFunc
}

// Dispatcher is the aggregate of waiting tasks, running tasks and targets. It
// is safe for concurrent use.
type Dispatcher struct {
	options Options

	mu        sync.Mutex
	bundle    *bundle.Bundle
	targets   map[string]*target
	order     []*target
	requests  *queue.Queue[*task]
	jobs      *queue.Queue[*task]
	urgent    []*task // next requests
	staged    []*task // next tasks of jobs
	waiting   map[*job.Job]int
	backlog   int           // live tasks that wait
	work      time.Duration // their estimates
	remaining time.Duration // in which the slots held here could do all waiting work
	want      int
	head      string
	least     float64 // least speed of a slot that would help
	group     int64
	starts    uint64
	serving   int       // requests that run
	average   float64   // of serving, as arriving requests see it
	sampled   time.Time // when average was last true
	retries   map[string]*budget.Budget
	hedges    map[string]*budget.Budget
	turn      int
	runs      sync.WaitGroup
}

// New makes a dispatcher without upstreams.
func New(options Options) *Dispatcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Leaving == nil {
		options.Leaving = func(string) bool { return false }
	}
	if options.Lease == nil {
		options.Lease = func(string) (time.Time, bool) { return time.Time{}, false }
	}
	if options.Wake == nil {
		options.Wake = func() {}
	}
	if options.Fresh == nil {
		options.Fresh = func() {}
	}
	if options.Seen == nil {
		options.Seen = func(Outcome) {}
	}
	if options.Board == nil {
		options.Board = outlier.New(outlier.Options{Now: options.Now})
	}
	return &Dispatcher{
		options: options, targets: map[string]*target{},
		requests: queue.New[*task](), jobs: queue.New[*task](), waiting: map[*job.Job]int{},
		retries: map[string]*budget.Budget{}, hedges: map[string]*budget.Budget{},
	}
}

// Apply puts a bundle in force for placement. Jobs keep the bundle they were
// admitted under for all else.
func (d *Dispatcher) Apply(b *bundle.Bundle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bundle = b
	d.order = d.order[:0]
	for name, u := range b.Upstreams {
		t, ok := d.targets[name]
		if !ok {
			t = &target{name: name, limit: limit.New(d.options.Now), budget: budget.New(b.Rules.RetryRatio, repeatsSaved)}
			d.targets[name] = t
		}
		t.bundle, t.near = u, u.Zone == d.options.Zone
		d.order = append(d.order, t)
	}
	for name := range d.targets {
		if _, ok := b.Upstreams[name]; !ok {
			delete(d.targets, name)
			d.options.Estimator.Forget(name)
			d.options.Board.Forget(name)
		}
	}
	slices.SortFunc(d.order, func(a, b *target) int { return strings.Compare(a.name, b.name) })
	d.options.Board.Limit(int(b.Rules.MaxEjectedRatio * float64(d.near())))
	d.match()
}

func (d *Dispatcher) near() int {
	count := 0
	for _, t := range d.order {
		if t.near {
			count++
		}
	}
	return count
}

// Kick looks again for tasks that can start, after slots have come or news of
// upstreams.
func (d *Dispatcher) Kick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.match()
}

// Backlog counts the tasks that wait.
func (d *Dispatcher) Backlog() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backlog
}

// Idle waits until no start is under way.
func (d *Dispatcher) Idle() { d.runs.Wait() }

// Need tells what to borrow for. Placements without loans need nothing.
func (d *Dispatcher) Need() exchange.Need {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := exchange.Need{Backlog: d.backlog}
	if d.bundle != nil && d.bundle.Rules.Placement == placementHome {
		n.Want, n.Service, n.Speed, n.Left = d.want, d.head, d.least, d.remaining
	}
	for _, t := range d.order {
		if t.near {
			n.Held += d.options.Ledger.Held(t.name)
		}
	}
	return n
}

// Demand is the backlog by held slot, which decides between this entry and a
// holder that asks for its slots.
func (d *Dispatcher) Demand() float64 {
	n := d.Need()
	return float64(n.Backlog) / float64(max(1, n.Held))
}

// Room counts the free slots of the own zone that others could borrow now.
func (d *Dispatcher) Room() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backlog > 0 {
		return 0
	}
	room := 0
	for _, t := range d.order {
		if t.near && d.usable(t) {
			room += d.options.Ledger.Free(t.name)
		}
	}
	return room
}

func (d *Dispatcher) usable(t *target) bool {
	return !t.bundle.Leaving && !d.options.Leaving(t.name) && !d.options.Board.Aside(t.name)
}
