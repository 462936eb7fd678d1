// Package submission tracks the jobs that clients of this entry are waiting for. It
// sends each job to the holder of its worker group, places it again after a
// change of holder, and returns the result to the waiting clients.
package submission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// Intervals and time limits.
const (
	sweepInterval = 25 * time.Millisecond   // between checks for jobs that must be placed again
	askInterval   = 150 * time.Millisecond  // after which a holder is asked for a job again; leases of its workers depend on it
	callTimeout   = 400 * time.Millisecond  // for one call to a holder
	maxHolderWait = 1500 * time.Millisecond // how long a job waits for its group to get a holder; pauses of this process do not count
	shortestPause = 4 * sweepInterval       // a longer time between two checks is a pause of this process
	// lostGroupDelay is how long a job in a group of another zone is waited for once that group
	// has no reachable holder: the zone is cut off, and the holder there drops the job as well.
	lostGroupDelay = 700 * time.Millisecond
	retryDelay     = time.Second // after which a client may retry a job that no holder accepted

	// isolatedRetryDelay is the time after which a client may retry a job that an isolated
	// entry refused. By then the platform sends its connections to another entry.
	isolatedRetryDelay = 2 * time.Second
)

// pendingJob is a job that at least one client is waiting for.
type pendingJob struct {
	batch           *batch.Batch
	group           string
	homeGroup       string // the group of this entry's zone that it belongs to
	clients         int    // number of waiting clients
	done            chan struct{}
	result          batch.Result
	holder          GroupHolder // that the job was last sent to
	accepted        bool        // by holder
	placing         bool        // a Place call is under way
	tries           int         // number of Place calls
	maybeAccepted   bool        // some holder may have accepted the job
	multipleHolders bool        // more than one holder may have accepted it
	completedTasks  []string    // tasks completed before the job moved
	losses          []batch.Losses
	lastHeard       time.Time
	lastPolled      time.Time // when its holder was asked for it last
	holderDue       time.Time // when it is refused unless its group has a holder
	leftGroups      []string  // whose holders have moved it to another group
}

// Tracker tracks the jobs that clients of this entry are waiting for. It is safe
// for concurrent use.
type Tracker struct {
	options Options

	mu       sync.Mutex
	jobs     map[string]*pendingJob
	sweptAt  time.Time // when Sweep ran last
	resuming bool      // nothing is sent until the next call of Sweep, since the last one followed a stall
	stopping bool      // the entry stops, see Stop
}

// New returns a Tracker without jobs. Run must be called to place jobs again and
// to poll holders.
func New(options Options) *Tracker {
	if options.RequestNumber == nil {
		options.RequestNumber = rand.Uint64
	}
	if options.Isolated == nil {
		options.Isolated = func() bool { return false }
	}
	if options.Detour == nil {
		options.Detour = func(string, int) string { return "" }
	}
	if options.Redirect == nil {
		options.Redirect = func(_, group string) string { return group }
	}
	if options.Refuse == nil {
		options.Refuse = func(context.Context, GroupHolder, *batch.Batch) (bool, error) { return false, nil }
	}
	if options.ResultsLost == nil {
		options.ResultsLost = func() bool { return false }
	}
	if options.Cancelled == nil {
		options.Cancelled = func(string) bool { return false }
	}
	return &Tracker{options: options, jobs: map[string]*pendingJob{}}
}

// Submit places a job and returns once it has ended or was refused, its client
// has left, or its deadline has passed. If another client is already waiting for a
// job with the same ID, Submit waits for that one instead. Otherwise it sets
// WaitingEntry and Attempt of b and keeps b. A job that a client has cancelled ends at once.
func (t *Tracker) Submit(ctx context.Context, b *batch.Batch) batch.Result {
	job, joined := t.join(b)
	switch {
	case job == nil:
		r := batch.Result{ID: b.ID, State: batch.Cancelled, Reason: reasonCancelled}
		t.options.OnEnd(b, r, 0)
		return r
	case joined:
	case t.options.Isolated():
		t.refuseUnlessSent(job, reasonIsolated, isolatedRetryDelay)
	default:
		t.place(context.WithoutCancel(ctx), job)
	}
	timer := time.NewTimer(time.Until(b.ExpiresAt))
	defer timer.Stop()
	select {
	case <-job.done:
	case <-ctx.Done():
		t.removeClient(job, "its client has left")
		return batch.Result{ID: b.ID, State: batch.Cancelled}
	case <-timer.C:
		t.removeClient(job, "its client's time is over")
		return t.expiredResult(job)
	}
	return job.result
}

// join adds a client to the pending job with the ID of b, or adds b as a new job.
// It reports whether the job was already pending. The job is nil if a client has cancelled it. That is checked
// under the lock: Cancel, which follows the record, finds a job that was added before it.
func (t *Tracker) join(b *batch.Batch) (*pendingJob, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.options.Cancelled(b.ID) {
		return nil, false
	}
	if job, known := t.jobs[b.ID]; known {
		job.clients++
		return job, true
	}
	b.WaitingEntry, b.Attempt = t.options.Self, t.options.RequestNumber()
	home := t.options.GroupOf(b)
	job := &pendingJob{batch: b, group: home, homeGroup: home, clients: 1, done: make(chan struct{}), lastHeard: b.ArrivedAt, holderDue: b.ArrivedAt.Add(maxHolderWait)}
	t.jobs[b.ID] = job
	return job, false
}

// removeClient removes one client from a job. When the last client leaves, the job
// is cancelled and withdrawn from its holder.
func (t *Tracker) removeClient(job *pendingJob, reason string) {
	t.mu.Lock()
	job.clients--
	last := job.clients == 0 && t.jobs[job.batch.ID] == job
	if last {
		delete(t.jobs, job.batch.ID)
	}
	b, tries := job.batch, job.tries
	withdraw := job.withdrawal(t)
	t.mu.Unlock()
	if !last {
		return
	}
	t.options.OnEnd(b, batch.Result{ID: b.ID, State: batch.Cancelled, Reason: reason}, tries)
	withdraw()
}

// place sends a job to the current holder of its group, if there is one. It waits
// for the answer only if that holder is this entry. After a stall it leaves the job to Sweep.
func (t *Tracker) place(ctx context.Context, job *pendingJob) {
	t.mu.Lock()
	if t.refuseIfUnsent(job) || t.resuming || t.stalled(time.Now()) {
		t.mu.Unlock()
		return
	}
	if t.jobs[job.batch.ID] == job && !t.leaveEvacuated(job) {
		t.mu.Unlock()
		return
	}
	if !job.placing && !job.maybeAccepted && !job.batch.SpilledOver {
		if group := t.options.Detour(job.group, job.batch.Tasks()); group != "" {
			t.options.Log.Info("job takes a detour", "job", job.batch.ID, "from", job.group, "to", group)
			job.reroute(group, false)
		}
	}
	holder, ok := t.options.FindHolder(job.group)
	if !ok || job.placing || t.jobs[job.batch.ID] != job {
		t.mu.Unlock()
		return
	}
	b := *job.batch
	// This applies to the same holder as well: it may have started the job, dropped
	// it while it was cut off from this entry, and kept no record of it.
	b.MaybeStarted, b.Losses, b.AskedAt = job.maybeAccepted, job.losses, time.Now()
	job.multipleHolders = job.multipleHolders || job.maybeAccepted && (job.holder.ID != holder.ID || job.holder.Epoch != holder.Epoch)
	job.batch = &b // a copy, since a holder keeps the batch that it got and it must not change
	job.holder, job.placing, job.maybeAccepted, job.lastPolled = holder, true, true, time.Now()
	job.tries++
	completed, tries := job.completedTasks, job.tries
	t.mu.Unlock()
	t.options.Log.Info("job handed over", "job", b.ID, "queue", b.Queue, "version", b.Version, "group", holder.Group, "to", holder.ID,
		"epoch", holder.Epoch, "again", b.MaybeStarted, "tries", tries, "left_ms", time.Until(b.ExpiresAt).Milliseconds())
	if holder.Local {
		t.recordPlacement(ctx, job, holder, t.callPlace(ctx, holder, &b, completed))
		return
	}
	go func() { t.recordPlacement(ctx, job, holder, t.callPlace(ctx, holder, &b, completed)) }()
}

// placement is the outcome of a Place call.
type placement int

const (
	placementAccepted placement = iota
	placementRejected
	placementUnknown // the call failed; the holder may have accepted the job
)

// callPlace sends a job to a holder and returns the outcome.
func (t *Tracker) callPlace(ctx context.Context, holder GroupHolder, b *batch.Batch, completed []string) placement {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	accepted, err := t.options.Place(ctx, holder, b, completed)
	if err != nil {
		t.options.Log.Warn("job not handed over", "job", b.ID, "to", holder.ID, "epoch", holder.Epoch, "error", err)
		return placementUnknown
	}
	if !accepted {
		return placementRejected
	}
	return placementAccepted
}

// recordPlacement records the outcome of a Place call. A job that was rerouted to
// another group during the call is placed there.
func (t *Tracker) recordPlacement(ctx context.Context, job *pendingJob, holder GroupHolder, outcome placement) {
	t.mu.Lock()
	job.placing = false
	rerouted := job.holder != holder
	if !rerouted {
		job.accepted = outcome == placementAccepted
		job.maybeAccepted = outcome != placementRejected || job.batch.MaybeStarted
		job.lastHeard = time.Now()
	}
	t.mu.Unlock()
	if rerouted {
		t.place(ctx, job)
	}
}

// DeliverResults applies results from holders: it ends jobs, or marks them to be
// placed again or in another group. Outdated results are ignored, except for their losses.
func (t *Tracker) DeliverResults(results []batch.Result) { t.applyResults(results, nil) }

// applyResults applies results, of a holder that was polled for them if from is set.
func (t *Tracker) applyResults(results []batch.Result, from *GroupHolder) {
	var rerouted []*pendingJob
	for _, r := range results {
		t.mu.Lock()
		job, known := t.jobs[r.ID]
		if known {
			job.losses = batch.MergeLosses(job.losses, r.Losses)
		}
		switch {
		case !known:
		case r.Attempt != job.batch.Attempt && r.State != batch.Completed:
			// Answers an earlier request, which has already been answered. Completion
			// counts for any request.
		case r.Started && (r.TargetGroup == job.group || len(r.CompletedTasks) > 0 && job.hasTaken(r.TargetGroup, from)):
			// Duplicate of a message that rerouted the job.
		case r.Started:
			job.completedTasks = append(job.completedTasks, r.CompletedTasks...)
			// A holder that names completed tasks has started the job itself, and none of its runs is left. Another
			// holder of its group may have runs.
			maybeAccepted := len(r.CompletedTasks) == 0 || job.multipleHolders
			job.reroute(r.TargetGroup, true)
			job.maybeAccepted = maybeAccepted
			rerouted = append(rerouted, job)
		case job.multipleHolders && (r.State == batch.Refused || r.TargetGroup != ""):
			// May come from an earlier holder while a later one has started the job.
		case r.TargetGroup != "" && job.hasTaken(r.TargetGroup, from):
			// Duplicate of a message that rerouted the job.
		case r.TargetGroup != "":
			// A group to which the job returns would otherwise answer with its earlier move.
			job.reroute(r.TargetGroup, slices.Contains(job.leftGroups, r.TargetGroup))
			job.maybeAccepted = false
			rerouted = append(rerouted, job)
		case r.State == batch.Moved:
			job.accepted = false
			job.completedTasks = append(job.completedTasks, r.CompletedTasks...)
		case r.State.Ended():
			t.end(job, r)
		}
		t.mu.Unlock()
	}
	for _, job := range rerouted {
		t.place(context.Background(), job)
	}
}

// reroute assigns a job, of which nothing runs in its present group, to another group. started
// says that the other group has started it, or has had it before.
func (j *pendingJob) reroute(group string, started bool) {
	b := *j.batch
	b.SpilledOver, b.StartedHere = group != j.homeGroup, started
	if !slices.Contains(j.leftGroups, j.group) {
		j.leftGroups = append(j.leftGroups, j.group)
	}
	j.batch, j.group = &b, group
	j.holder, j.accepted, j.maybeAccepted, j.multipleHolders = GroupHolder{}, false, started, false
}

// Run calls Sweep periodically until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Sweep(ctx)
		}
	}
}

// Sweep checks all jobs once. It refuses jobs that no holder will accept, gives up those
// whose results no longer arrive, places jobs again whose holder has changed or has not
// accepted them, and polls holders. After a stall it sends nothing once, so that
// clients that have left meanwhile are noticed first.
func (t *Tracker) Sweep(ctx context.Context) {
	now, isolated, resultsLost := time.Now(), t.options.Isolated(), t.options.ResultsLost()
	var unplaced []*pendingJob
	accepted := map[GroupHolder][]*pendingJob{}
	due := map[GroupHolder]bool{}
	t.mu.Lock()
	t.extendHolderWaits(now)
	t.resuming = !t.resuming && t.stalled(now)
	t.sweptAt = now
	// A job is ended under the lock under which it was found not to be sent, so that no holder
	// gets it in between.
	for _, job := range t.jobs {
		if job.placing {
			continue
		}
		holder, ok := t.options.FindHolder(job.group)
		switch {
		case !job.maybeAccepted && !t.resuming && t.options.Redirect(job.batch.ID, job.group) != job.group:
			unplaced = append(unplaced, job)
		case isolated && !job.maybeAccepted:
			t.end(job, job.refusal(reasonIsolated, isolatedRetryDelay))
		case resultsLost && job.maybeAccepted && !job.holder.Local:
			t.end(job, job.lost())
		case !ok && job.maybeAccepted && job.batch.SpilledOver && now.Sub(job.lastHeard) > lostGroupDelay:
			t.end(job, job.lost())
		case !ok && !job.maybeAccepted && now.After(job.holderDue):
			t.end(job, job.refusal(reasonNoHolder, retryDelay))
		case !ok, t.resuming:
		case !job.accepted || job.holder.ID != holder.ID || job.holder.Epoch != holder.Epoch:
			unplaced = append(unplaced, job)
		default:
			accepted[holder] = append(accepted[holder], job)
			due[holder] = due[holder] || now.Sub(job.lastPolled) > askInterval
		}
	}
	polls := map[GroupHolder][]string{}
	for holder := range due {
		if due[holder] {
			polls[holder] = jobsToPoll(accepted[holder], now)
		}
	}
	t.mu.Unlock()
	for _, job := range unplaced {
		t.place(ctx, job)
	}
	for holder, ids := range polls {
		if holder.Local {
			t.poll(ctx, holder, ids, now)
			continue
		}
		go t.poll(ctx, holder, ids, now)
	}
	t.mu.Lock()
	t.sweptAt = time.Now()
	t.mu.Unlock()
}

// extendHolderWaits extends the waits for a holder by the time in which this process was paused:
// a takeover could not go on meanwhile either. The caller holds t.mu.
func (t *Tracker) extendHolderWaits(now time.Time) {
	if t.sweptAt.IsZero() || now.Sub(t.sweptAt) < shortestPause {
		return
	}
	for _, job := range t.jobs {
		pausedAt := t.sweptAt
		if job.batch.ArrivedAt.After(pausedAt) {
			pausedAt = job.batch.ArrivedAt
		}
		job.holderDue = job.holderDue.Add(max(0, now.Sub(pausedAt)))
	}
}

// Len returns the number of jobs that clients are waiting for.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.jobs)
}

// JobState returns the state of a job that a client of this entry is waiting for,
// and reports whether there is one. The state is always Running, since ended jobs
// are removed.
func (t *Tracker) JobState(id string) (batch.State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.jobs[id]; known {
		return batch.Running, true
	}
	return "", false
}
