// Package plan decides which task runs on which worker. It does no input or output: events and times go in, orders come out.
package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/pace"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
	"github.com/radishgate/radishgate/outlier"
)

// Worker is one life of a worker as it is registered.
type Worker struct {
	ID       string
	Service  string
	Zone     string
	Kind     string // label by which speeds are learned
	Labels   []string
	Room     room.Room
	Draining bool
}

// OrderKind of an order.
type OrderKind int

// The kinds of orders.
const (
	Start         OrderKind = iota // a run of a task
	Stop                           // a run of a task
	Fence                          // raise the token of a worker, since the fate of an order is unknown
	RequestReport                  // ask a worker for its lists, since a report seems to be lost
	DeliverResult                  // tell the waiting entry what became of a job
)

// Order is what the plan wants done.
type Order struct {
	Kind   OrderKind
	Worker string
	Task   string
	Run    int
	Batch  *batch.Batch
	Result batch.Result
	Reason string
	// ExpectedTime, Free and Waiting are what decided a start: the run time expected on
	// the worker, its thousandths of a core left after it, and the jobs that wait.
	ExpectedTime   time.Duration
	FreeMillicores int64
	WaitingJobs    int
}

// Options of a plan.
type Options struct {
	Lease            time.Duration // of what runs on a worker, at most
	UnknownJobGrace  time.Duration // for which runs of unknown jobs are kept for their entry to ask again
	ResultRetention  time.Duration // for which the result of an ended job is remembered
	ClientRetryAfter time.Duration // after which a client that has no answer sends its job again
	// FirstClaim tells that no other holder is known to have placed before: all entries
	// have lost power or start for the first time.
	FirstClaim bool
	// WorkersIncompleteUntil is until when the list of workers may lack some that are alive.
	WorkersIncompleteUntil time.Time
}

// Defaults of the options that a caller leaves at zero.
const (
	defaultLease            = time.Second
	defaultUnknownJobGrace  = 400 * time.Millisecond // some heartbeats between entries
	defaultResultRetention  = 5 * time.Second        // a client sends again after a second or two
	defaultClientRetryAfter = 1300 * time.Millisecond
)

// Margins by which a job that its entry no longer asks for is dropped before its
// client sends it again. Entries ask every 0.25 s.
const (
	abandonMargin          = 100 * time.Millisecond // for a tick and the time in which a run is stopped
	spilloverAbandonMargin = 600 * time.Millisecond // the job of another zone comes back to another holder
	minAbandonDelay        = 300 * time.Millisecond
)

// Plan is the state of one holder. It is not safe for concurrent use.
type Plan struct {
	options Options
	pace    *pace.Pace
	board   *outlier.Board

	workers    map[string]*worker
	workerList []*worker          // all, in a stable order
	openBuffer []*worker          // reused
	minFactor  map[string]float64 // least factor of any worker, by service
	meanFactor map[string]float64 // mean factor of the workers, by service
	jobs       map[string]*job
	waiting    []*job // with tasks to place
	// waitingSorted tells that no job has come to those that wait since their order was made.
	waitingSorted     bool
	requeued          bool // a task has come back to those that wait
	takeoverSuspected bool // another holder may have taken over unheard
	earlyCompletions  map[string]earlyCompletion
	unaccountedRuns   map[string]*run // without a task of this holder, by the task's name
	orders            []Order
	now               time.Time // of the event that is being handled
	// otherLeasesEnd is when nothing can run any more that another holder has started.
	otherLeasesEnd time.Time
	vacancies      map[string]int // tasks that other groups could take at once
	meanTaskSize   float64        // of the tasks of late, in thousandths of a core
}

// earlyCompletion is a task that ended well before its job was known here.
type earlyCompletion struct{ until time.Time }

// New makes a plan without workers and jobs; began is when its holder took over.
func New(options Options, tookOverAt time.Time) *Plan {
	if options.Lease == 0 {
		options.Lease = defaultLease
	}
	if options.UnknownJobGrace == 0 {
		options.UnknownJobGrace = defaultUnknownJobGrace
	}
	if options.ResultRetention == 0 {
		options.ResultRetention = defaultResultRetention
	}
	if options.ClientRetryAfter == 0 {
		options.ClientRetryAfter = defaultClientRetryAfter
	}
	p := &Plan{
		options: options, pace: pace.New(), now: tookOverAt,
		workers: map[string]*worker{}, jobs: map[string]*job{}, earlyCompletions: map[string]earlyCompletion{}, unaccountedRuns: map[string]*run{}, minFactor: map[string]float64{}, meanFactor: map[string]float64{},
	}
	// Where all entries are lost at once and the leases of what ran lapse before
	// clients send their jobs again, no job can still run anywhere.
	if !options.FirstClaim || !p.leaseEnd(tookOverAt).Before(tookOverAt.Add(options.ClientRetryAfter)) {
		p.otherLeasesEnd = p.leaseEnd(tookOverAt)
	}
	p.board = outlier.New(outlier.Options{
		Failures: failuresInRow, Aside: firstEjection, Longest: maxEjection, Now: func() time.Time { return p.now },
	})
	return p
}

// Judgement of workers. A healthy worker fails about one task in 500, so two in
// a row are the worker's fault rather than the tasks'.
const (
	failuresInRow   = 2
	firstEjection   = time.Second
	maxEjection     = 8 * time.Second
	maxEjectedShare = 0.4 // of the workers may be aside at once
)

// Orders gives the orders since the last call.
func (p *Plan) Orders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

func (p *Plan) emit(o Order) { p.orders = append(p.orders, o) }

// leaseEnd is when all that was renewed at a time has lapsed by any worker's
// clock, which may be slow.
func (p *Plan) leaseEnd(renewedAt time.Time) time.Time {
	return renewedAt.Add(p.options.Lease + p.options.Lease/clockSlack + leaseMargin)
}

const (
	clockSlack  = 50                    // a worker's clock is 2% slow at most
	leaseMargin = 60 * time.Millisecond // the time in which a lapsed run is ended, and a trip
)

// otherLeasesActive tells whether another holder may have started new jobs as well. They must
// not start until every worker has taken the token of this holder, or the leases
// that the other one gave have lapsed.
func (p *Plan) otherLeasesActive() bool { return p.now.Before(p.otherLeasesEnd) }

// SetTakeoverSuspected sets whether another holder may have taken over unheard. Nothing starts then:
// leases of before, on which the other one waits, must not be followed by new ones.
func (p *Plan) SetTakeoverSuspected(suspected bool) { p.takeoverSuspected = suspected }

// mayRunElsewhere tells whether a job that was with another holder may still run somewhere.
// Its tasks are adopted where they are listed. What is not listed may run on a
// worker that this holder does not know yet: entries read registrations up to a
// second apart.
func (p *Plan) mayRunElsewhere(j *job) bool { return j.startedBefore && p.now.Before(j.earlierRunsEnd) }

// allFenced tells whether every worker of a service has taken the token.
func (p *Plan) allFenced(service string) bool {
	if p.now.Before(p.options.WorkersIncompleteUntil) {
		return false
	}
	count := 0
	for _, w := range p.workers {
		if w.Service != service {
			continue
		}
		if w.state != ready {
			return false
		}
		count++
	}
	return count > 0
}

// AllWorkersReady tells whether every worker is known.
func (p *Plan) AllWorkersReady() bool {
	for _, w := range p.workers {
		if w.state != ready {
			return false
		}
	}
	return true
}

// Tick lets time pass.
func (p *Plan) Tick(now time.Time) {
	p.now = now
	p.refreshFactors()
	for _, w := range p.workerList {
		p.checkRuns(w)
	}
	for name, o := range p.earlyCompletions {
		if o.until.Before(now) {
			delete(p.earlyCompletions, name)
		}
	}
	for _, j := range p.jobs {
		p.checkJob(j)
	}
	p.placeAll()
}

// Load is what a holder tells of its work.
type Load struct {
	Waiting int // tasks without a worker
	Running int // tasks
	Ejected int // workers that get no ordinary work
}

// Load counts the present work.
func (p *Plan) Load() Load {
	var l Load
	for _, j := range p.waiting {
		l.Waiting += len(j.pending)
	}
	for _, w := range p.workers {
		l.Running += len(w.runs)
	}
	l.Ejected = len(p.board.Names())
	return l
}

// Release ends the plan: every job goes back to its entry, which hands it to the
// next holder. What runs is left alone, for the next holder to find.
func (p *Plan) Release(now time.Time) {
	p.now = now
	for _, j := range p.jobs {
		if !j.result.State.Ended() {
			p.deliver(j, batch.Result{State: batch.Moved, Reason: "another entry places its tasks now", Done: j.doneTasks()})
		}
	}
}
