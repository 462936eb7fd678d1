// Package plan decides which task runs on which worker. It does no I/O: callers pass in events
// with their times and carry out the orders it returns.
package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/coldstart"
	"github.com/radishgate/radishgate/internal/placement/latestart"
	"github.com/radishgate/radishgate/internal/placement/runtimes"
	"github.com/radishgate/radishgate/internal/placement/spillover"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/outlier"
)

// Worker describes a worker from its start to its end, as in its registration.
type Worker struct {
	ID       string
	Service  string
	Zone     string
	Kind     string // label whose workers share a learned slowdown factor
	Labels   []string
	Capacity resources.Resources
	Draining bool
	// ColdUntil is when a cold worker is warm, see package coldstart. It has passed or is zero for a warm one.
	ColdUntil time.Time
	// Unregistered says that it has started again and not registered since. It may be of another
	// kind, with another capacity, so it gets no work until registrationWait has passed.
	Unregistered bool
}

// OrderKind is the kind of an Order.
type OrderKind int

// Kinds of orders.
const (
	Start         OrderKind = iota // start a run of a task
	Stop                           // stop a run of a task
	Fence                          // make a worker accept a higher fencing token, since the outcome of a start is unknown
	RequestReport                  // ask a worker for a report outside its regular calls, since one seems to be lost
	DeliverResult                  // send the result of a job to the entry that waits for it
	LogLoss                        // log that a run was lost with its worker, which may have crashed
	LogFound                       // log that a worker lists a run that this holder has not started
)

// Order is an action that the caller of the plan has to carry out. Kind decides which other
// fields are set: Worker, Task, Run, Batch and those that explain a start for Start; Worker,
// Task, Run and Reason for Stop; Worker and Reason for Fence; Worker for RequestReport; Batch
// and Result for DeliverResult; Worker, Task, Run, Reason, Crashes and Suspicions for LogLoss; Worker,
// Task and Run for LogFound.
type Order struct {
	Kind   OrderKind
	Worker string
	Task   string
	Run    int
	Batch  *batch.Batch
	Result batch.Result
	Reason string
	// AskedAt is when an entry sent its last message about the job of a Start, Stop or LogFound; zero
	// if the job is not known.
	AskedAt time.Time
	// LeaseEnd is the time by which the lease of a Start has expired.
	LeaseEnd time.Time
	// ExpectedTime, FreeMilliCores, WaitingJobs and Previous explain a start in the log: the
	// run time expected on the worker, the thousandths of a core that stay free there after
	// the start, the number of jobs with tasks that wait, and how the last run of the task
	// was lost; "" if it had none.
	ExpectedTime   time.Duration
	FreeMilliCores int64
	WaitingJobs    int
	Previous       string
	// Crashes and Suspicions are the counts of a task with the loss that is logged.
	Crashes, Suspicions int
}

// Options configure a plan.
type Options struct {
	Lease            time.Duration // longest lease of a run on a worker
	UnknownJobGrace  time.Duration // how long runs of unknown jobs may go on until their entry asks for the job
	ResultRetention  time.Duration // how long the result of an ended job is kept
	ClientRetryAfter time.Duration // when a client without an answer sends its job again
	// WorkersIncompleteUntil is the time until which the list of workers may lack some that
	// are alive.
	WorkersIncompleteUntil time.Time
	// StartedElsewhere returns another group whose holder has started a job, or "". Nil means never.
	StartedElsewhere func(id string) string
	// Zone is the availability zone of the group.
	Zone string
	// EvacuationTarget returns the group of another availability zone that takes a job while the own
	// zone is evacuated, or "" if there is none. Nil means that there never is.
	EvacuationTarget func(id string) string
	// Cancelled reports whether a client has cancelled a job. Nil means never.
	Cancelled func(id string) bool
	// JobBytes returns how much memory jobs may take, see batch.Batch.Bytes; 0 or nil means any.
	JobBytes   func() int64
	Self       string // ID of this entry, whose own messages are never delayed; "" if not known
	Priorities bool   // order waiting jobs by the priority of their queue, see package order
	Lookahead  bool   // look-ahead placement, see package lookahead
}

// Defaults of options that are zero.
const (
	defaultLease            = time.Second
	defaultUnknownJobGrace  = 400 * time.Millisecond // several heartbeats between entries
	defaultResultRetention  = 5 * time.Second        // a client sends its job again after one or two seconds
	defaultClientRetryAfter = 1300 * time.Millisecond
)

// A job that its entry no longer asks for is abandoned before the leases of its workers end, so that
// these are renewed for their other runs once its own have been stopped. See interestEnd.
const (
	abandonMargin          = 300 * time.Millisecond // before the client sends the job again; covers the stop, a second one, and the renewal
	spilloverAbandonMargin = 600 * time.Millisecond // larger, since the client sends a job from another zone to another holder
	minAbandonDelay        = 300 * time.Millisecond // shortest time until a job is abandoned, above the interval at which entries ask
)

// Plan holds the workers and jobs of one holder and decides on placement. It is not safe
// for concurrent use.
type Plan struct {
	options   Options
	estimator *runtimes.Estimator
	outliers  *outlier.Detector

	workers    map[string]*worker
	workerList []*worker          // all workers, sorted by ID
	openBuffer []*worker          // reused result of openWorkers
	minFactor  map[string]float64 // smallest slowdown factor of any worker, by service
	meanFactor map[string]float64 // mean slowdown factor of the workers if all are sound, by service
	jobs       map[string]*job
	jobBytes   int64  // memory of jobs, ended ones included
	waiting    []*job // jobs with pending tasks
	// waitingSorted reports whether no job has been added to waiting since it was last sorted.
	waitingSorted     bool
	requeued          bool // a task has become pending again while a report is handled
	takeoverSuspected bool // another holder may have taken over without this one knowing
	earlyCompletions  map[string]earlyCompletion
	unaccountedRuns   map[string][]*run // runs that belong to no task of this holder, by task name
	lateStarts        latestart.Table
	orders            []Order
	now               time.Time // time of the event being handled
	tickedAt          time.Time // time of the last tick
	// waitingInterestEnd is when the interest in a waiting job ended first at the last tick. Leases that outlast it
	// would keep the job from starting.
	waitingInterestEnd time.Time
	// otherLeasesEnd is the time by which every lease that another holder may have granted
	// has expired.
	otherLeasesEnd time.Time
	// replacementEnd is the time by which leases have expired that another holder, which may have
	// taken over on the other side of a partition, may have renewed.
	replacementEnd time.Time
	lastContact    time.Time // see SetLastContact
	conflictEnd    time.Time // until when another holder that was seen at a worker may be taking over others
	otherFreeSlots spillover.Slots
	evacuations    Evacuations
	coldFactors    coldstart.Factors
	arrivals       map[string]*arrivalRate // by service
	formerRoom     map[string]formerRoom   // by service
	nextReturn     map[string]time.Time    // when the next refused client may send again, by service
	nextTrial      map[string]time.Time    // when the next job may become a trial job, by queue
	meanTaskSize   float64                 // moving average over recent tasks, in thousandths of a core
	restarts       float64                 // stragglers that may be restarted now
	ahead          *ahead                  // nil if look-ahead placement is off
}

// earlyCompletion records, until a given time, that a task succeeded before its job was
// known to this holder.
type earlyCompletion struct{ until time.Time }

// New returns a plan without workers and jobs. tookOverAt is the time at which its holder
// took over.
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
	if options.StartedElsewhere == nil {
		options.StartedElsewhere = func(string) string { return "" }
	}
	if options.EvacuationTarget == nil {
		options.EvacuationTarget = func(string) string { return "" }
	}
	if options.JobBytes == nil {
		options.JobBytes = func() int64 { return 0 }
	}
	if options.Cancelled == nil {
		options.Cancelled = func(string) bool { return false }
	}
	p := &Plan{
		options: options, estimator: runtimes.New(), now: tookOverAt, tickedAt: tookOverAt, restarts: firstRestarts,
		arrivals: map[string]*arrivalRate{}, formerRoom: map[string]formerRoom{}, nextReturn: map[string]time.Time{}, nextTrial: map[string]time.Time{}, workers: map[string]*worker{}, jobs: map[string]*job{}, earlyCompletions: map[string]earlyCompletion{}, unaccountedRuns: map[string][]*run{}, minFactor: map[string]float64{}, meanFactor: map[string]float64{},
	}
	if options.Lookahead {
		p.ahead = newAhead()
	}
	// Also after a loss of all entries: one of them may have been lost before the others, so that
	// its clients send their jobs again while the leases of the last holder are still valid.
	p.otherLeasesEnd = p.leaseEnd(tookOverAt)
	p.outliers = outlier.New(outlier.Options{
		ConsecutiveFailures: failuresInRow, BaseEjectionTime: firstEjection, MaxEjectionTime: maxEjection, Now: func() time.Time { return p.now },
	})
	return p
}

// Ejection of failing workers. A healthy worker fails about one task in 500, so two
// failures in a row point to the worker rather than the tasks.
const (
	failuresInRow   = 2
	firstEjection   = time.Second
	maxEjection     = 8 * time.Second
	maxEjectedShare = 0.4 // largest share of the workers that may be ejected at once
)

// Orders returns the orders issued since the last call.
func (p *Plan) Orders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

// emit adds an order for the next call of Orders.
func (p *Plan) emit(o Order) { p.orders = append(p.orders, o) }

// leaseEnd returns the time at which leases renewed at renewedAt have expired by the clock
// of any worker, which may run slow.
func (p *Plan) leaseEnd(renewedAt time.Time) time.Time {
	return renewedAt.Add(p.longestLease() + leaseMargin)
}

// longestLease returns for how long a lease may be valid by the clock of a worker that runs slow. It leaves
// room for the age of a message, so that a job which is asked for can start on a worker whose lease has just
// been renewed.
func (p *Plan) longestLease() time.Duration {
	return min(p.options.Lease+p.options.Lease/clockSlackDivisor, p.interestTime()-usualAskAge)
}

const (
	usualAskAge       = 170 * time.Millisecond // age of the last message about a job that an entry asks for
	clockSlackDivisor = 50                     // a worker's clock runs slow by at most 1/50, that is 2%
	leaseMargin       = 60 * time.Millisecond  // time to kill a run whose lease has expired, plus the network delay; part of every limit
)

// otherLeasesActive reports whether runs that another holder started may still be running
// without this one knowing. While it is true, a job starts only if all workers of its service
// have accepted this holder's fencing token.
func (p *Plan) otherLeasesActive() bool { return p.now.Before(p.otherLeasesEnd) }

// SetTakeoverSuspected sets whether another holder may have taken over without this one
// knowing. While it is set nothing starts: the new holder waits for the leases granted
// before its takeover to expire, so no new ones may follow.
func (p *Plan) SetTakeoverSuspected(suspected bool) { p.takeoverSuspected = suspected }

// SetMayBeReplaced sets whether another holder may have taken over on the other side of a
// partition. While it is set no lease expires, since the other holder may renew those of workers
// that this one does not reach; nor afterwards until those that it renewed last have expired.
func (p *Plan) SetMayBeReplaced(may bool, now time.Time) {
	if may {
		p.replacementEnd = p.leaseEnd(now)
	}
}

// SetLastContact sets when an entry that is not heard now may have been in contact with others for
// the last time. The latest such time counts.
func (p *Plan) SetLastContact(at time.Time) {
	if at.After(p.lastContact) {
		p.lastContact = at
	}
}

// mayRunElsewhere reports whether tasks of a job that an earlier holder may have started
// may be running on a worker that this holder does not know yet, since entries read registrations
// up to a second apart, or on one that it does not reach. There an earlier holder that has not
// noticed its replacement renews leases until it abandons the job; if it is lost before that, its
// last lease goes on. Runs on other workers are adopted when they are listed.
func (p *Plan) mayRunElsewhere(j *job) bool {
	if !j.startedBefore || p.now.Before(j.earlierRunsEnd) {
		return j.startedBefore
	}
	return (p.now.Before(j.earlierJobEnd) || p.unheardLeasesActive()) && !p.allFenced(j.Service)
}

// unheardLeasesActive reports whether leases may be valid that an earlier holder which is not heard
// has renewed until it abandoned the jobs of this side of a partition.
func (p *Plan) unheardLeasesActive() bool {
	return p.now.Before(p.replacementEnd) && p.now.Before(p.leaseEnd(p.lastContact.Add(p.options.ClientRetryAfter)))
}

// awaitEarlierRuns sets until when runs of an earlier holder keep the tasks of a job from starting.
func (p *Plan) awaitEarlierRuns(j *job) {
	j.earlierRunsEnd, j.earlierJobEnd = p.leaseEnd(p.now), p.now.Add(p.options.ClientRetryAfter)
}

// allFenced reports whether the list of workers is complete, the service has workers, and
// all of them have accepted this holder's fencing token.
func (p *Plan) allFenced(service string) bool {
	if p.WorkersIncomplete(p.now) {
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

// WorkersIncomplete reports whether the list of workers may lack some on which runs of an earlier
// holder go on.
func (p *Plan) WorkersIncomplete(now time.Time) bool {
	return now.Before(p.options.WorkersIncompleteUntil)
}

// WorkersComplete records that the list of workers lacks none that is alive.
func (p *Plan) WorkersComplete(now time.Time) {
	p.now, p.options.WorkersIncompleteUntil = now, time.Time{}
	p.placeAll()
}

// AllWorkersReady reports whether every known worker answers and has accepted this holder's
// fencing token. One that has not answered since it was registered a while ago does not count:
// its registration may be wrong.
func (p *Plan) AllWorkersReady() bool {
	for _, w := range p.workers {
		if w.state != ready && (!w.reportedAt.IsZero() || p.now.Before(w.addedAt.Add(firstAnswerLimit))) {
			return false
		}
	}
	return true
}

// firstAnswerLimit is the time within which a registered worker answers for the first time. It
// covers several calls to a worker that starts or is cut off for a moment.
const firstAnswerLimit = 5 * time.Second

// Answers reports whether a worker answered the last call to it, or a call is still pending.
func (p *Plan) Answers(id string) bool {
	w, known := p.workers[id]
	return known && !w.unanswered
}

// AnyWorkerAnswers reports whether any known worker answered the last call to it.
func (p *Plan) AnyWorkerAnswers() bool {
	for _, w := range p.workers {
		if !w.unanswered {
			return true
		}
	}
	return false
}

// Tick applies what depends on time alone: leases and deadlines that have expired, stalled
// runs, overdue reports and records to forget. Then it places pending tasks.
func (p *Plan) Tick(now time.Time) {
	p.estimator.DecaySlowdowns(now.Sub(p.tickedAt))
	p.now, p.tickedAt = now, now
	p.refreshFactors()
	p.suspectSilent()
	p.removeRetired()
	for _, w := range p.workerList {
		p.checkRuns(w)
		w.Unregistered = w.Unregistered && now.Before(w.registrationDue)
	}
	for name, o := range p.earlyCompletions {
		if o.until.Before(now) {
			delete(p.earlyCompletions, name)
		}
	}
	for _, j := range p.jobs {
		p.checkJob(j)
	}
	p.updateWaitingInterest()
	p.placeAll()
}

// Load counts the tasks of a holder and the workers it has ejected.
type Load struct {
	Waiting int // tasks without a worker
	Running int // runs on workers, also those being stopped or unaccounted
	Ejected int // workers that get no ordinary work for a while
}

// Load returns the current load.
func (p *Plan) Load() Load {
	var l Load
	for _, j := range p.waiting {
		l.Waiting += len(j.pending)
	}
	for _, w := range p.workers {
		l.Running += len(w.runs)
	}
	l.Ejected = len(p.outliers.EjectedNames())
	return l
}

// Release returns every job to its entry, which sends it to the next holder. Runs are left
// alone, so that the next holder can adopt them.
func (p *Plan) Release(now time.Time) {
	p.now = now
	for _, j := range p.jobs {
		if !j.result.State.Ended() {
			p.deliver(j, batch.Result{State: batch.Moved, Reason: "another entry places its tasks now", CompletedTasks: j.completedTasks(), Losses: j.losses()})
		}
	}
}
