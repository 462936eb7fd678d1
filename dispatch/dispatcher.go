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
	Job         *job.Job
	Upstream    string
	Result      string // ok, not-run, failed, unknown, corrupt, cancelled
	Hedge       bool
	WaitTime    time.Duration // from arrival to start
	ServiceTime time.Duration // from start to answer
}

// Options of a dispatcher. The functions are its seams to the rest of the entry.
type Options struct {
	Zone            string
	Ledger          *loan.Ledger
	Estimator       *estimate.Estimator
	Outliers        *outlier.Board
	Send            func(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error)
	IsLeaving       func(name string) bool
	LeaseEnd        func(name string) (time.Time, bool) // end of the worker's lease
	OnSlotShortage  func()                              // tasks wait that own slots do not take soon
	OnNewWorkQueued func()                              // the same, and the tasks are new
	OnOutcome       func(Outcome)
	Now             func() time.Time
}

// target is one upstream as the dispatcher sees it.
type target struct {
	name        string
	config      *bundle.Upstream
	inZone      bool
	limit       *limit.Limit
	retryBudget *budget.Budget
	running     []*run

	// The fields below are filled anew for each match.
	free       int
	held       int
	reserved   int // of the free ones, for requests
	speed      float64
	speedKnown bool // some task has ended on it
	trialDue   bool // aside, and due for one task
	slotEnds   []time.Time
	leaseEnd   time.Time // end of the worker's lease, where leased
	hasLease   bool
}

// task is one waiting or running task.
type task struct {
	job             *job.Job
	index           int
	spec            *job.Task
	estimate        time.Duration // on the fastest upstream
	lateFactor      float64       // factor on the estimate for a task that takes long
	item            queue.Item[*task]
	dueTime         time.Time
	idealResponse   time.Duration // of the whole job
	loansExpectedBy time.Time     // by when slots that peers have free have come
	avoidUpstream   string
	attempts        int
	done            bool
	runs            []*run
}

func (t *task) hint() time.Duration { return t.spec.Hint }

// run is one start of a task.
type run struct {
	task        *task
	target      *target
	permit      loan.Permit
	began       time.Time
	expectedEnd time.Time // expected
	usedShare   float64   // share of the slots here that were busy at the start
	isHedge     bool
	cancel      context.CancelFunc
}

// Dispatcher is the aggregate of waiting tasks, running tasks and targets. It
// is safe for concurrent use.
type Dispatcher struct {
	options Options

	mu              sync.Mutex
	bundle          *bundle.Bundle
	targets         map[string]*target
	targetList      []*target
	requests        *queue.Queue[*task]
	jobs            *queue.Queue[*task]
	stagedRequests  []*task // next requests
	stagedJobTasks  []*task // next tasks of jobs
	waitingByJob    map[*job.Job]int
	backlog         int           // live tasks that wait
	backlogWork     time.Duration // their estimates
	backlogTime     time.Duration // in which the slots held here could do all waiting work
	slotsWanted     int
	wantedService   string
	minWantedSpeed  float64 // least speed of a slot that would help
	jobSequence     int64
	startCount      uint64
	runningRequests int       // requests that run
	averageRequests float64   // of serving, as arriving requests see it
	averagedAt      time.Time // when average was last true
	retries         map[string]*budget.Budget
	hedges          map[string]*budget.Budget
	robinTurn       int
	activeRuns      sync.WaitGroup
}

// New makes a dispatcher without upstreams.
func New(options Options) *Dispatcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.IsLeaving == nil {
		options.IsLeaving = func(string) bool { return false }
	}
	if options.LeaseEnd == nil {
		options.LeaseEnd = func(string) (time.Time, bool) { return time.Time{}, false }
	}
	if options.OnSlotShortage == nil {
		options.OnSlotShortage = func() {}
	}
	if options.OnNewWorkQueued == nil {
		options.OnNewWorkQueued = func() {}
	}
	if options.OnOutcome == nil {
		options.OnOutcome = func(Outcome) {}
	}
	if options.Outliers == nil {
		options.Outliers = outlier.New(outlier.Options{Now: options.Now})
	}
	return &Dispatcher{
		options: options, targets: map[string]*target{},
		requests: queue.New[*task](), jobs: queue.New[*task](), waitingByJob: map[*job.Job]int{},
		retries: map[string]*budget.Budget{}, hedges: map[string]*budget.Budget{},
	}
}

// Apply puts a bundle in force for placement. Jobs keep the bundle they were
// admitted under for all else.
func (d *Dispatcher) Apply(b *bundle.Bundle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bundle = b
	d.targetList = d.targetList[:0]
	for name, u := range b.Upstreams {
		t, ok := d.targets[name]
		if !ok {
			t = &target{name: name, limit: limit.New(d.options.Now), retryBudget: budget.New(b.Rules.Retry, maxSavedRetries)}
			d.targets[name] = t
		}
		t.config, t.inZone = u, u.Zone == d.options.Zone
		d.targetList = append(d.targetList, t)
	}
	for name := range d.targets {
		if _, ok := b.Upstreams[name]; !ok {
			delete(d.targets, name)
			d.options.Estimator.Forget(name)
			d.options.Outliers.Forget(name)
		}
	}
	slices.SortFunc(d.targetList, func(a, b *target) int { return strings.Compare(a.name, b.name) })
	d.options.Outliers.Limit(int(b.Rules.Eject * float64(d.zoneUpstreams())))
	d.schedule()
}

func (d *Dispatcher) zoneUpstreams() int {
	count := 0
	for _, t := range d.targetList {
		if t.inZone {
			count++
		}
	}
	return count
}

// Kick looks again for tasks that can start, after slots have come or news of
// upstreams.
func (d *Dispatcher) Schedule() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule()
}

// Backlog counts the tasks that wait.
func (d *Dispatcher) Backlog() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backlog
}

// Idle waits until no start is under way.
func (d *Dispatcher) WaitIdle() { d.activeRuns.Wait() }

// Need tells what to borrow for. Placements without loans need nothing.
func (d *Dispatcher) Need() exchange.Need {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := exchange.Need{Backlog: d.backlog}
	if d.bundle != nil && d.bundle.Rules.Placement == placementHome {
		n.Want, n.Service, n.Speed, n.Left = d.slotsWanted, d.wantedService, d.minWantedSpeed, d.backlogTime
	}
	for _, t := range d.targetList {
		if t.inZone {
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
func (d *Dispatcher) LendableSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backlog > 0 {
		return 0
	}
	slots := 0
	for _, t := range d.targetList {
		if t.inZone && d.usable(t) {
			slots += d.options.Ledger.Free(t.name)
		}
	}
	return slots
}

func (d *Dispatcher) usable(t *target) bool {
	return !t.config.Leaving && !d.options.IsLeaving(t.name) && !d.options.Outliers.Aside(t.name)
}
