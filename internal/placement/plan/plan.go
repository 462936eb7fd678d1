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

// Kind of an order.
type Kind int

// The kinds of orders.
const (
	Start  Kind = iota // a run of a task
	Stop               // a run of a task
	Fence              // raise the token of a worker, since the fate of an order is unknown
	Look               // ask a worker for its lists, since a report seems to be lost
	Settle             // tell the waiting entry what became of a job
)

// Order is what the plan wants done.
type Order struct {
	Kind   Kind
	Worker string
	Task   string
	Run    int
	Batch  *batch.Batch
	Result batch.Result
	Reason string
	// Expected, Free and Waiting are what decided a start: the run time expected on
	// the worker, its thousandths of a core left after it, and the jobs that wait.
	Expected time.Duration
	Free     int64
	Waiting  int
}

// Options of a plan.
type Options struct {
	Lease  time.Duration // of what runs on a worker, at most
	Orphan time.Duration // for which runs of unknown jobs are kept for their entry to ask again
	Keep   time.Duration // for which the result of an ended job is remembered
	Resend time.Duration // after which a client that has no answer sends its job again
	// First tells that no other holder is known to have placed before: all entries
	// have lost power or start for the first time.
	First bool
	// PartialTo is until when the list of workers may lack some that are alive.
	PartialTo time.Time
}

// Defaults of the options that a caller leaves at zero.
const (
	defaultLease  = time.Second
	defaultOrphan = 400 * time.Millisecond // some heartbeats between entries
	defaultKeep   = 5 * time.Second        // a client sends again after a second or two
	defaultResend = 1300 * time.Millisecond
)

// Margins by which a job that its entry no longer asks for is dropped before its
// client sends it again. Entries ask every 0.25 s.
const (
	wantedMargin = 100 * time.Millisecond // for a tick and the time in which a run is stopped
	awayMargin   = 600 * time.Millisecond // the job of another zone comes back to another holder
	wantedLeast  = 300 * time.Millisecond
)

// Plan is the state of one holder. It is not safe for concurrent use.
type Plan struct {
	options Options
	pace    *pace.Pace
	board   *outlier.Detector

	workers map[string]*worker
	list    []*worker          // all, in a stable order
	open    []*worker          // reused
	fastest map[string]float64 // least factor of any worker, by service
	usual   map[string]float64 // mean factor of the workers, by service
	jobs    map[string]*job
	waiting []*job // with tasks to place
	// arranged tells that no job has come to those that wait since their order was made.
	arranged bool
	returned bool // a task has come back to those that wait
	doubt    bool // another holder may have taken over unheard
	orphans  map[string]orphan
	strays   map[string]*run // without a task of this holder, by the task's name
	orders   []Order
	at       time.Time // of the event that is being handled
	// disputedTo is when nothing can run any more that another holder has started.
	disputedTo time.Time
	vacancies  map[string]int // tasks that other groups could take at once
	size       float64        // of the tasks of late, in thousandths of a core
}

// orphan is a task that ended well before its job was known here.
type orphan struct{ until time.Time }

// New makes a plan without workers and jobs; began is when its holder took over.
func New(options Options, began time.Time) *Plan {
	if options.Lease == 0 {
		options.Lease = defaultLease
	}
	if options.Orphan == 0 {
		options.Orphan = defaultOrphan
	}
	if options.Keep == 0 {
		options.Keep = defaultKeep
	}
	if options.Resend == 0 {
		options.Resend = defaultResend
	}
	p := &Plan{
		options: options, pace: pace.New(), at: began,
		workers: map[string]*worker{}, jobs: map[string]*job{}, orphans: map[string]orphan{}, strays: map[string]*run{}, fastest: map[string]float64{}, usual: map[string]float64{},
	}
	// Where all entries are lost at once and the leases of what ran lapse before
	// clients send their jobs again, no job can still run anywhere.
	if !options.First || !p.leaseEnd(began).Before(began.Add(options.Resend)) {
		p.disputedTo = p.leaseEnd(began)
	}
	p.board = outlier.New(outlier.Options{
		ConsecutiveFailures: failuresInRow, BaseEjectionTime: asideFirst, MaxEjectionTime: asideLongest, Now: func() time.Time { return p.at },
	})
	return p
}

// Judgement of workers. A healthy worker fails about one task in 500, so two in
// a row are the worker's fault rather than the tasks'.
const (
	failuresInRow = 2
	asideFirst    = time.Second
	asideLongest  = 8 * time.Second
	asideShare    = 0.4 // of the workers may be aside at once
)

// Orders gives the orders since the last call.
func (p *Plan) Orders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

func (p *Plan) order(o Order) { p.orders = append(p.orders, o) }

// leaseEnd is when all that was renewed at a time has lapsed by any worker's
// clock, which may be slow.
func (p *Plan) leaseEnd(renewed time.Time) time.Time {
	return renewed.Add(p.options.Lease + p.options.Lease/clockSlack + leaseMargin)
}

const (
	clockSlack  = 50                    // a worker's clock is 2% slow at most
	leaseMargin = 60 * time.Millisecond // the time in which a lapsed run is ended, and a trip
)

// disputed tells whether another holder may have started new jobs as well. They must
// not start until every worker has taken the token of this holder, or the leases
// that the other one gave have lapsed.
func (p *Plan) disputed() bool { return p.at.Before(p.disputedTo) }

// Doubt sets whether another holder may have taken over unheard. Nothing starts then:
// leases of before, on which the other one waits, must not be followed by new ones.
func (p *Plan) Doubt(doubt bool) { p.doubt = doubt }

// mayRun tells whether a job that was with another holder may still run somewhere.
// Its tasks are adopted where they are listed. What is not listed may run on a
// worker that this holder does not know yet: entries read registrations up to a
// second apart.
func (p *Plan) mayRun(j *job) bool { return j.again && p.at.Before(j.safeAt) }

// known tells whether every worker of a service has taken the token.
func (p *Plan) known(service string) bool {
	if p.at.Before(p.options.PartialTo) {
		return false
	}
	count := 0
	for _, w := range p.workers {
		if w.Service != service {
			continue
		}
		if w.standing != ready {
			return false
		}
		count++
	}
	return count > 0
}

// Calm tells whether every worker is known.
func (p *Plan) Calm() bool {
	for _, w := range p.workers {
		if w.standing != ready {
			return false
		}
	}
	return true
}

// Tick lets time pass.
func (p *Plan) Tick(now time.Time) {
	p.at = now
	p.refresh()
	for _, w := range p.list {
		p.expireRuns(w)
	}
	for name, o := range p.orphans {
		if o.until.Before(now) {
			delete(p.orphans, name)
		}
	}
	for _, j := range p.jobs {
		p.age(j)
	}
	p.place()
}

// Load is what a holder tells of its work.
type Load struct {
	Waiting int // tasks without a worker
	Running int // tasks
	Aside   int // workers that get no ordinary work
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
	l.Aside = len(p.board.EjectedNames())
	return l
}

// Yield ends the plan: every job goes back to its entry, which hands it to the
// next holder. What runs is left alone, for the next holder to find.
func (p *Plan) Yield(now time.Time) {
	p.at = now
	for _, j := range p.jobs {
		if !j.result.State.Ended() {
			p.settle(j, batch.Result{State: batch.Moved, Reason: "another entry places its tasks now", Done: j.doneTasks()})
		}
	}
}
