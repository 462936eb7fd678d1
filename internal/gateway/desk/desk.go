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

// Seat is the present holder of a group of workers.
type Seat struct {
	Group   string
	Epoch   uint64
	Holder  string // ID of the entry
	Address string // of its peers' listener
	Own     bool
}

// Options of a desk. The functions are its seams; all but Seat may take as long
// as a call to another entry.
type Options struct {
	Self     string
	Number   func() uint64 // of a request; random without it
	Group    func(b *batch.Batch) string
	Seat     func(group string) (Seat, bool)
	Place    func(ctx context.Context, to Seat, b *batch.Batch, done []string) (bool, error)
	Await    func(ctx context.Context, to Seat, ids []string) (results []batch.Result, unknown []string, held bool, err error)
	Withdraw func(ctx context.Context, to Seat, b *batch.Batch)
	Ended    func(b *batch.Batch, r batch.Result, tries int)
	// Stranded tells that no holder is known and none is to be expected within a
	// takeover; nil for never.
	Stranded func() bool
	Log      *slog.Logger
}

// Spans of the desk.
const (
	sweepSpan   = 25 * time.Millisecond   // between looks at jobs that have to be handed in again
	awaitSpan   = 250 * time.Millisecond  // without news after which a holder is asked for a job
	placeSpan   = 400 * time.Millisecond  // for the answer to a job that is handed in
	vacancySpan = 1500 * time.Millisecond // that a job waits for a holder
	returnSpan  = time.Second             // after which a client may try again when there was no holder
)

// waiting is a job whose client waits.
type waiting struct {
	batch     *batch.Batch
	group     string
	clients   int
	done      chan struct{}
	result    batch.Result
	seat      Seat
	seated    bool // handed to the holder in seat
	busy      bool // being handed in
	tries     int
	offered   bool // some holder may have taken it
	several   bool // more than one may have
	finished  []string
	heardAt   time.Time
	askedLast time.Time
}

// Desk is safe for concurrent use.
type Desk struct {
	options Options

	mu   sync.Mutex
	jobs map[string]*waiting
}

// New makes an empty desk.
func New(options Options) *Desk {
	if options.Number == nil {
		options.Number = rand.Uint64
	}
	if options.Stranded == nil {
		options.Stranded = func() bool { return false }
	}
	return &Desk{options: options, jobs: map[string]*waiting{}}
}

// Submit hands a job in and returns once it has ended, has been refused, or its
// client has left. A job that another client waits for already is joined.
func (d *Desk) Submit(ctx context.Context, b *batch.Batch) batch.Result {
	w, joined := d.enter(b)
	if !joined {
		d.place(context.WithoutCancel(ctx), w)
	}
	timer := time.NewTimer(time.Until(b.ExpiresAt))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		d.leave(w, "its client has left")
		return batch.Result{ID: b.ID, State: batch.Cancelled}
	case <-timer.C:
		d.leave(w, "its client's time is over")
		return d.overdue(w)
	}
	return w.result
}

func (d *Desk) enter(b *batch.Batch) (*waiting, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w, known := d.jobs[b.ID]; known {
		w.clients++
		return w, true
	}
	b.WaitingEntry, b.Attempt = d.options.Self, d.options.Number()
	w := &waiting{batch: b, group: d.options.Group(b), clients: 1, done: make(chan struct{}), heardAt: b.ArrivedAt}
	d.jobs[b.ID] = w
	return w, false
}

// overdue is the result of a job that has had no end in its client's time.
func (d *Desk) overdue(w *waiting) batch.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.offered {
		return batch.Result{ID: w.batch.ID, State: batch.Unknown, Reason: "its client's time is over"}
	}
	return batch.Result{ID: w.batch.ID, State: batch.Refused, RetryAt: time.Now().Add(returnSpan)}
}

// leave takes one client off a job; the last one ends it.
func (d *Desk) leave(w *waiting, reason string) {
	d.mu.Lock()
	w.clients--
	last := w.clients == 0 && d.jobs[w.batch.ID] == w
	if last {
		delete(d.jobs, w.batch.ID)
	}
	seat, offered, b, tries := w.seat, w.offered, w.batch, w.tries
	d.mu.Unlock()
	if !last {
		return
	}
	d.options.Ended(b, batch.Result{ID: b.ID, State: batch.Cancelled, Reason: reason}, tries)
	if !offered || seat.Holder == "" {
		return
	}
	if seat.Own {
		d.options.Withdraw(context.Background(), seat, b)
		return
	}
	go d.withdraw(seat, b)
}

func (d *Desk) withdraw(seat Seat, b *batch.Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), placeSpan)
	defer cancel()
	d.options.Withdraw(ctx, seat, b)
}

// place hands a job to the present holder of its group.
func (d *Desk) place(ctx context.Context, w *waiting) {
	seat, ok := d.options.Seat(w.group)
	d.mu.Lock()
	if !ok || w.busy || d.jobs[w.batch.ID] != w {
		d.mu.Unlock()
		return
	}
	b := *w.batch
	// Also the same holder may have started the job, dropped it since it was cut off
	// from here, and forgotten it.
	b.MaybeStarted = w.offered
	w.several = w.several || w.offered && (w.seat.Holder != seat.Holder || w.seat.Epoch != seat.Epoch)
	w.batch = &b // the holder keeps it; it is not changed any more
	w.seat, w.busy, w.offered, w.askedLast = seat, true, true, time.Now()
	w.tries++
	finished, tries := w.finished, w.tries
	d.mu.Unlock()
	d.options.Log.Info("job handed over", "job", b.ID, "queue", b.Queue, "version", b.Version, "group", seat.Group, "to", seat.Holder,
		"epoch", seat.Epoch, "again", b.MaybeStarted, "tries", tries, "left_ms", time.Until(b.ExpiresAt).Milliseconds())
	if seat.Own {
		d.placed(ctx, w, seat, d.offer(ctx, seat, &b, finished))
		return
	}
	go func() { d.placed(ctx, w, seat, d.offer(ctx, seat, &b, finished)) }()
}

// fate is what became of a job that was handed over.
type fate int

const (
	taken fate = iota
	turnedDown
	lost // it may have been taken
)

func (d *Desk) offer(ctx context.Context, seat Seat, b *batch.Batch, finished []string) fate {
	ctx, cancel := context.WithTimeout(ctx, placeSpan)
	defer cancel()
	held, err := d.options.Place(ctx, seat, b, finished)
	if err != nil {
		d.options.Log.Warn("job not handed over", "job", b.ID, "to", seat.Holder, "epoch", seat.Epoch, "error", err)
		return lost
	}
	if !held {
		return turnedDown
	}
	return taken
}

// placed notes the answer of a holder. A job that was sent to another group
// meanwhile is handed in there.
func (d *Desk) placed(ctx context.Context, w *waiting, seat Seat, became fate) {
	d.mu.Lock()
	w.busy = false
	turned := w.seat != seat
	if !turned {
		w.seated = became == taken
		w.offered = became != turnedDown || w.batch.MaybeStarted
		w.heardAt = time.Now()
	}
	d.mu.Unlock()
	if turned {
		d.place(ctx, w)
	}
}

// Settle takes results from holders.
func (d *Desk) Settle(results []batch.Result) {
	var again []*waiting
	for _, r := range results {
		d.mu.Lock()
		w, known := d.jobs[r.ID]
		switch {
		case !known:
		case r.Attempt != w.batch.Attempt && r.State != batch.Completed:
			// Of an earlier request, which has had its answer.
		case w.several && (r.State == batch.Refused || r.TargetGroup != ""):
			// By an earlier holder; a later one may have started it.
		case r.TargetGroup != "" && w.batch.SpilledOver:
			// Told twice.
		case r.TargetGroup != "":
			w.turn(r.TargetGroup)
			again = append(again, w)
		case r.State == batch.Moved:
			w.seated = false
			w.finished = append(w.finished, r.CompletedTasks...)
		case r.State.Ended():
			delete(d.jobs, r.ID)
			w.result = r
			close(w.done)
			d.options.Ended(w.batch, r, w.tries)
		}
		d.mu.Unlock()
	}
	for _, w := range again {
		d.place(context.Background(), w)
	}
}

// turn sends a job of which nothing has started to another group.
func (w *waiting) turn(group string) {
	b := *w.batch
	b.SpilledOver = true
	w.batch, w.group = &b, group
	w.seat, w.seated, w.offered, w.several = Seat{}, false, false, false
}

// Run hands jobs in again whose holder has changed, and asks holders for those
// without news.
func (d *Desk) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepSpan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.Sweep(ctx)
		}
	}
}

// Sweep looks once at all jobs.
func (d *Desk) Sweep(ctx context.Context) {
	now, stranded := time.Now(), d.options.Stranded()
	var again []*waiting
	silent := map[Seat][]string{}
	var vacant []batch.Result
	d.mu.Lock()
	for id, w := range d.jobs {
		if w.busy {
			continue
		}
		seat, ok := d.options.Seat(w.group)
		switch {
		case !ok && !w.offered && (stranded || now.Sub(w.batch.ArrivedAt) > vacancySpan):
			vacant = append(vacant, batch.Result{
				ID: id, Attempt: w.batch.Attempt, State: batch.Refused, Reason: "no entry places its tasks", RetryAt: now.Add(returnSpan),
			})
		case !ok:
		case !w.seated || w.seat.Holder != seat.Holder || w.seat.Epoch != seat.Epoch:
			again = append(again, w)
		case now.Sub(w.heardAt) > awaitSpan && now.Sub(w.askedLast) > awaitSpan:
			w.askedLast = now
			silent[seat] = append(silent[seat], id)
		}
	}
	d.mu.Unlock()
	d.Settle(vacant)
	for _, w := range again {
		d.place(ctx, w)
	}
	for seat, ids := range silent {
		if seat.Own {
			d.ask(ctx, seat, ids)
			continue
		}
		go d.ask(ctx, seat, ids)
	}
}

// ask renews the interest in jobs and takes what it brings.
func (d *Desk) ask(ctx context.Context, seat Seat, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, placeSpan)
	defer cancel()
	results, unknown, held, err := d.options.Await(ctx, seat, ids)
	if err != nil {
		d.options.Log.Warn("jobs not asked for", "jobs", len(ids), "of", seat.Holder, "error", err)
		return
	}
	d.Settle(results)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		unknown = ids
	}
	for _, id := range unknown {
		if w, known := d.jobs[id]; known && w.seat == seat && !w.busy {
			w.seated = false
		}
	}
}

// Len counts the jobs that clients wait for.
func (d *Desk) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs)
}

// Look gives the state of a job that a client of this entry waits for.
func (d *Desk) Look(id string) (batch.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.jobs[id]; known {
		return batch.Running, true
	}
	return "", false
}
