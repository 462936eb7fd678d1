// Package dispatch admits requests and jobs, queues their tasks, assigns them to
// upstreams, and retries, hedges or fails them.
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

// Placements under which entries coordinate their use of slots: with "home" an
// entry borrows slots from its peers, with "static" it uses only its own. All
// other placements are uncoordinated baselines.
const (
	placementHome   = "home"
	placementStatic = "static"
)

// RunOutcome describes how one run of a task ended, for metrics.
type RunOutcome struct {
	Job         *job.Job
	Upstream    string
	Result      string // ok, not-run, failed, unknown, corrupt, cancelled
	Hedge       bool
	WaitTime    time.Duration // from arrival to start
	ServiceTime time.Duration // from start to answer
}

// Options configures a Dispatcher. Ledger, Estimator and Send are required; New
// replaces other fields that are nil by defaults. Send and OnOutcome are called
// without the dispatcher's lock. The other functions are called while it is held:
// they must not block or call the dispatcher.
type Options struct {
	Zone            string
	Ledger          *loan.Ledger
	Estimator       *estimate.Estimator
	Outliers        *outlier.Detector
	Send            func(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error)
	IsLeaving       func(name string) bool
	LeaseEnd        func(name string) (time.Time, bool) // end of the worker's lease, false if unknown
	OnSlotShortage  func()                              // called when waiting tasks would gain from borrowed slots
	OnNewWorkQueued func()                              // the same for tasks that were just submitted
	OnOutcome       func(RunOutcome)
	Now             func() time.Time
}

// target is the dispatcher's state for one upstream.
type target struct {
	name        string
	config      *bundle.Upstream
	inZone      bool
	limit       *limit.Limiter
	retryBudget *budget.Budget
	running     []*run

	// The fields below are refreshed on each scheduling pass.
	free       int
	held       int
	reserved   int // free slots reserved for requests
	speed      float64
	speedKnown bool        // a task has finished on it
	trialDue   bool        // ejected, and may get one trial task
	slotEnds   []time.Time // when its busy slots are expected to become free, ascending
	leaseEnd   time.Time   // end of the worker's lease, if hasLease
	hasLease   bool
}

// task is one waiting or running task.
type task struct {
	job             *job.Job
	index           int
	runtimeHint     time.Duration // the caller's; the task's body stays with the job, which releases it at its end
	estimate        time.Duration // run time on the fastest upstream
	lateFactor      float64       // multiple of the estimate assumed for a slow run
	item            queue.Item[*task]
	dueTime         time.Time
	idealResponse   time.Duration // of the whole job
	loansExpectedBy time.Time     // when free slots of peers should have arrived
	avoidUpstream   string
	attempts        int
	done            bool
	runs            []*run
}

// run is one execution of a task on an upstream.
type run struct {
	task        *task
	target      *target
	permit      loan.Permit
	startedAt   time.Time
	expectedEnd time.Time // by the estimate
	usedShare   float64   // share of the target's held slots that were busy at the start
	isHedge     bool
	cancel      context.CancelFunc
}

// Dispatcher queues tasks and runs them on upstreams. It is safe for concurrent
// use.
type Dispatcher struct {
	options Options

	mu              sync.Mutex
	bundle          *bundle.Bundle
	targets         map[string]*target
	targetList      []*target
	requests        *queue.Queue[*task]
	jobs            *queue.Queue[*task]
	stagedRequests  []*task // the next requests, popped from the queue
	stagedJobTasks  []*task // the next tasks of jobs, popped from the queue
	waitingByJob    map[*job.Job]int
	backlog         int           // waiting tasks of live jobs
	backlogWork     time.Duration // sum of the estimates of the backlog
	drainTime       time.Duration // time that the held slots need for the backlog
	slotsWanted     int
	wantedService   string
	minWantedSpeed  float64 // minimum speed of a slot worth borrowing
	jobSequence     int64
	startCount      uint64
	runningRequests int       // runs of requests
	averageRequests float64   // decaying average of runningRequests, sampled on arrivals
	averagedAt      time.Time // when averageRequests was last updated
	retryBudgets    map[string]*budget.Budget
	hedgeBudgets    map[string]*budget.Budget
	robinTurn       int
	activeRuns      sync.WaitGroup
}

// New returns a dispatcher without upstreams. Apply adds them and must be called
// before the first Submit.
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
		options.OnOutcome = func(RunOutcome) {}
	}
	if options.Outliers == nil {
		options.Outliers = outlier.New(outlier.Options{Now: options.Now})
	}
	return &Dispatcher{
		options: options, targets: map[string]*target{},
		requests: queue.New[*task](), jobs: queue.New[*task](), waitingByJob: map[*job.Job]int{},
		retryBudgets: map[string]*budget.Budget{}, hedgeBudgets: map[string]*budget.Budget{},
	}
}

// Apply updates the upstreams and placement rules from a bundle. For everything
// else, jobs keep the bundle under which they were admitted.
func (d *Dispatcher) Apply(b *bundle.Bundle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bundle = b
	d.targetList = d.targetList[:0]
	for name, u := range b.Upstreams {
		t, ok := d.targets[name]
		if !ok {
			t = &target{name: name, limit: limit.New(d.options.Now), retryBudget: budget.New(b.Rules.RetryRatio, maxSavedRetries)}
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
	d.options.Outliers.SetMaxEjected(int(b.Rules.MaxEjectedRatio * float64(d.zoneUpstreams())))
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

// Schedule starts waiting tasks that can start now. Call it when slots have
// arrived or the state of an upstream has changed.
func (d *Dispatcher) Schedule() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule()
}

// Backlog returns the number of waiting tasks.
func (d *Dispatcher) Backlog() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backlog
}

// WaitIdle blocks until no task is running. It does not wait for queued tasks.
func (d *Dispatcher) WaitIdle() { d.activeRuns.Wait() }

// Demand returns the backlog, the number of slots held in the zone and, if the
// placement allows loans, which slots are worth borrowing.
func (d *Dispatcher) Demand() exchange.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := exchange.Demand{Backlog: d.backlog}
	if d.bundle != nil && d.bundle.Rules.Placement == placementHome {
		demand.Wanted, demand.Service, demand.MinSpeed, demand.DrainTime = d.slotsWanted, d.wantedService, d.minWantedSpeed, d.drainTime
	}
	for _, t := range d.targetList {
		if t.inZone {
			demand.HeldSlots += d.options.Ledger.HeldSlots(t.name)
		}
	}
	return demand
}

// BacklogPerSlot returns the backlog per held slot in the zone. The ledger compares
// it with that of a peer that requests slots.
func (d *Dispatcher) BacklogPerSlot() float64 {
	demand := d.Demand()
	return float64(demand.Backlog) / float64(max(1, demand.HeldSlots))
}

// LendableSlots returns the number of free slots in the zone that peers could
// borrow now, which is 0 while tasks wait here.
func (d *Dispatcher) LendableSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backlog > 0 {
		return 0
	}
	slots := 0
	for _, t := range d.targetList {
		if t.inZone && d.usable(t) {
			slots += d.options.Ledger.FreeSlots(t.name)
		}
	}
	return slots
}

func (d *Dispatcher) usable(t *target) bool {
	return !t.config.Leaving && !d.options.IsLeaving(t.name) && !d.options.Outliers.IsEjected(t.name)
}
