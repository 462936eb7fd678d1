// Package desk keeps the jobs that clients of this entry wait for and hands each to the entry that places its tasks.
package desk

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// GroupHolder is the present holder of a group of workers.
type GroupHolder struct {
	Group   string
	Epoch   uint64
	ID      string // ID of the entry
	Address string // of its peers' listener
	Local   bool
}

// Options of a desk. The functions are its seams; all but Seat may take as long
// as a call to another entry.
type Options struct {
	Self          string
	RequestNumber func() uint64 // of a request; random without it
	GroupOf       func(b *batch.Batch) string
	FindHolder    func(group string) (GroupHolder, bool)
	Place         func(ctx context.Context, to GroupHolder, b *batch.Batch, done []string) (bool, error)
	Await         func(ctx context.Context, to GroupHolder, ids []string) (results []batch.Result, unknown []string, held bool, err error)
	Withdraw      func(ctx context.Context, to GroupHolder, b *batch.Batch)
	OnEnd         func(b *batch.Batch, r batch.Result, tries int)
	// NoHolderExpected tells that no holder is known and none is to be expected within a
	// takeover; nil for never.
	NoHolderExpected func() bool
	Log              *slog.Logger
}

// Spans of the desk.
const (
	sweepInterval = 25 * time.Millisecond   // between looks at jobs that have to be handed in again
	silenceLimit  = 250 * time.Millisecond  // without news after which a holder is asked for a job
	callTimeout   = 400 * time.Millisecond  // for the answer to a job that is handed in
	maxHolderWait = 1500 * time.Millisecond // that a job waits for a holder
	retryDelay    = time.Second             // after which a client may try again when there was no holder
)

// pendingJob is a job whose client waits.
type pendingJob struct {
	batch           *batch.Batch
	group           string
	clients         int
	done            chan struct{}
	result          batch.Result
	holder          GroupHolder
	accepted        bool // handed to the holder in seat
	placing         bool // being handed in
	tries           int
	maybeAccepted   bool // some holder may have taken it
	multipleHolders bool // more than one may have
	doneTasks       []string
	lastHeard       time.Time
	lastPolled      time.Time
}

// Tracker is safe for concurrent use.
type Tracker struct {
	options Options

	mu   sync.Mutex
	jobs map[string]*pendingJob
}

// New makes an empty desk.
func New(options Options) *Tracker {
	if options.RequestNumber == nil {
		options.RequestNumber = rand.Uint64
	}
	if options.NoHolderExpected == nil {
		options.NoHolderExpected = func() bool { return false }
	}
	return &Tracker{options: options, jobs: map[string]*pendingJob{}}
}

// Submit hands a job in and returns once it has ended, has been refused, or its
// client has left. A job that another client waits for already is joined.
func (t *Tracker) Submit(ctx context.Context, b *batch.Batch) batch.Result {
	w, joined := t.join(b)
	if !joined {
		t.place(context.WithoutCancel(ctx), w)
	}
	timer := time.NewTimer(time.Until(b.Expires))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		t.removeClient(w, "its client has left")
		return batch.Result{ID: b.ID, State: batch.Cancelled}
	case <-timer.C:
		t.removeClient(w, "its client's time is over")
		return t.expiredResult(w)
	}
	return w.result
}

func (t *Tracker) join(b *batch.Batch) (*pendingJob, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w, known := t.jobs[b.ID]; known {
		w.clients++
		return w, true
	}
	b.From, b.Attempt = t.options.Self, t.options.RequestNumber()
	w := &pendingJob{batch: b, group: t.options.GroupOf(b), clients: 1, done: make(chan struct{}), lastHeard: b.Arrived}
	t.jobs[b.ID] = w
	return w, false
}

// expiredResult is the result of a job that has had no end in its client's time.
func (t *Tracker) expiredResult(w *pendingJob) batch.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.maybeAccepted {
		return batch.Result{ID: w.batch.ID, State: batch.Unknown, Reason: "its client's time is over"}
	}
	return batch.Result{ID: w.batch.ID, State: batch.Refused, RetryAt: time.Now().Add(retryDelay)}
}

// removeClient takes one client off a job; the last one ends it.
func (t *Tracker) removeClient(w *pendingJob, reason string) {
	t.mu.Lock()
	w.clients--
	last := w.clients == 0 && t.jobs[w.batch.ID] == w
	if last {
		delete(t.jobs, w.batch.ID)
	}
	holder, maybeAccepted, b, tries := w.holder, w.maybeAccepted, w.batch, w.tries
	t.mu.Unlock()
	if !last {
		return
	}
	t.options.OnEnd(b, batch.Result{ID: b.ID, State: batch.Cancelled, Reason: reason}, tries)
	if !maybeAccepted || holder.ID == "" {
		return
	}
	if holder.Local {
		t.options.Withdraw(context.Background(), holder, b)
		return
	}
	go t.withdraw(holder, b)
}

func (t *Tracker) withdraw(holder GroupHolder, b *batch.Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	t.options.Withdraw(ctx, holder, b)
}

// place hands a job to the present holder of its group.
func (t *Tracker) place(ctx context.Context, w *pendingJob) {
	holder, ok := t.options.FindHolder(w.group)
	t.mu.Lock()
	if !ok || w.placing || t.jobs[w.batch.ID] != w {
		t.mu.Unlock()
		return
	}
	b := *w.batch
	// Also the same holder may have started the job, dropped it since it was cut off
	// from here, and forgotten it.
	b.Again = w.maybeAccepted
	w.multipleHolders = w.multipleHolders || w.maybeAccepted && (w.holder.ID != holder.ID || w.holder.Epoch != holder.Epoch)
	w.batch = &b // the holder keeps it; it is not changed any more
	w.holder, w.placing, w.maybeAccepted, w.lastPolled = holder, true, true, time.Now()
	w.tries++
	doneTasks, tries := w.doneTasks, w.tries
	t.mu.Unlock()
	t.options.Log.Info("job handed over", "job", b.ID, "queue", b.Queue, "version", b.Version, "group", holder.Group, "to", holder.ID,
		"epoch", holder.Epoch, "again", b.Again, "tries", tries, "left_ms", time.Until(b.Expires).Milliseconds())
	if holder.Local {
		t.recordPlacement(ctx, w, holder, t.callPlace(ctx, holder, &b, doneTasks))
		return
	}
	go func() { t.recordPlacement(ctx, w, holder, t.callPlace(ctx, holder, &b, doneTasks)) }()
}

// placement is what became of a job that was handed over.
type placement int

const (
	placementAccepted placement = iota
	placementRejected
	placementUnknown // it may have been taken
)

func (t *Tracker) callPlace(ctx context.Context, holder GroupHolder, b *batch.Batch, doneTasks []string) placement {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	accepted, err := t.options.Place(ctx, holder, b, doneTasks)
	if err != nil {
		t.options.Log.Warn("job not handed over", "job", b.ID, "to", holder.ID, "epoch", holder.Epoch, "error", err)
		return placementUnknown
	}
	if !accepted {
		return placementRejected
	}
	return placementAccepted
}

// recordPlacement notes the answer of a holder. A job that was sent to another group
// meanwhile is handed in there.
func (t *Tracker) recordPlacement(ctx context.Context, w *pendingJob, holder GroupHolder, result placement) {
	t.mu.Lock()
	w.placing = false
	rerouted := w.holder != holder
	if !rerouted {
		w.accepted = result == placementAccepted
		w.maybeAccepted = result != placementRejected || w.batch.Again
		w.lastHeard = time.Now()
	}
	t.mu.Unlock()
	if rerouted {
		t.place(ctx, w)
	}
}

// DeliverResults takes results from holders.
func (t *Tracker) DeliverResults(results []batch.Result) {
	var rerouted []*pendingJob
	for _, r := range results {
		t.mu.Lock()
		w, known := t.jobs[r.ID]
		switch {
		case !known:
		case r.Attempt != w.batch.Attempt && r.State != batch.Completed:
			// Of an earlier request, which has had its answer.
		case w.multipleHolders && (r.State == batch.Refused || r.Group != ""):
			// By an earlier holder; a later one may have started it.
		case r.Group != "" && w.batch.Away:
			// Told twice.
		case r.Group != "":
			w.reroute(r.Group)
			rerouted = append(rerouted, w)
		case r.State == batch.Moved:
			w.accepted = false
			w.doneTasks = append(w.doneTasks, r.Done...)
		case r.State.Ended():
			delete(t.jobs, r.ID)
			w.result = r
			close(w.done)
			t.options.OnEnd(w.batch, r, w.tries)
		}
		t.mu.Unlock()
	}
	for _, w := range rerouted {
		t.place(context.Background(), w)
	}
}

// reroute sends a job of which nothing has started to another group.
func (w *pendingJob) reroute(group string) {
	b := *w.batch
	b.Away = true
	w.batch, w.group = &b, group
	w.holder, w.accepted, w.maybeAccepted, w.multipleHolders = GroupHolder{}, false, false, false
}

// Run hands jobs in again whose holder has changed, and asks holders for those
// without news.
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

// Sweep looks once at all jobs.
func (t *Tracker) Sweep(ctx context.Context) {
	now, noHolderExpected := time.Now(), t.options.NoHolderExpected()
	var unplaced []*pendingJob
	silentJobs := map[GroupHolder][]string{}
	var refusals []batch.Result
	t.mu.Lock()
	for id, w := range t.jobs {
		if w.placing {
			continue
		}
		holder, ok := t.options.FindHolder(w.group)
		switch {
		case !ok && !w.maybeAccepted && (noHolderExpected || now.Sub(w.batch.Arrived) > maxHolderWait):
			refusals = append(refusals, batch.Result{
				ID: id, Attempt: w.batch.Attempt, State: batch.Refused, Reason: "no entry places its tasks", RetryAt: now.Add(retryDelay),
			})
		case !ok:
		case !w.accepted || w.holder.ID != holder.ID || w.holder.Epoch != holder.Epoch:
			unplaced = append(unplaced, w)
		case now.Sub(w.lastHeard) > silenceLimit && now.Sub(w.lastPolled) > silenceLimit:
			w.lastPolled = now
			silentJobs[holder] = append(silentJobs[holder], id)
		}
	}
	t.mu.Unlock()
	t.DeliverResults(refusals)
	for _, w := range unplaced {
		t.place(ctx, w)
	}
	for seat, ids := range silentJobs {
		if seat.Local {
			t.poll(ctx, seat, ids)
			continue
		}
		go t.poll(ctx, seat, ids)
	}
}

// poll renews the interest in jobs and takes what it brings.
func (t *Tracker) poll(ctx context.Context, holder GroupHolder, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results, unknown, isHolder, err := t.options.Await(ctx, holder, ids)
	if err != nil {
		t.options.Log.Warn("jobs not asked for", "jobs", len(ids), "of", holder.ID, "error", err)
		return
	}
	t.DeliverResults(results)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isHolder {
		unknown = ids
	}
	for _, id := range unknown {
		if w, known := t.jobs[id]; known && w.holder == holder && !w.placing {
			w.accepted = false
		}
	}
}

// Len counts the jobs that clients wait for.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.jobs)
}

// JobState gives the state of a job that a client of this entry waits for.
func (t *Tracker) JobState(id string) (batch.State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.jobs[id]; known {
		return batch.Running, true
	}
	return "", false
}
