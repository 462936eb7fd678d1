package history

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/desk"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/placement/tenure"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// entry is one life of an entry: its desk, its table of claims and its holder.
// What is left of the node is the exchange of claims, which is simpler here.
type entry struct {
	*world
	id     string
	life   uint64
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	desk   *desk.Tracker
	table  *tenure.ClaimTable
	orders *platform.WorkerClient

	lock    sync.Mutex
	held    *holder.Holder
	leaving bool
	heard   map[string]heard
}

// heard is the last that was heard of another entry.
type heard struct {
	candidate tenure.Candidate
	leaving   bool
	at        time.Time
}

func (w *world) startEntry(place int) {
	e := &entry{world: w, id: fmt.Sprintf("e%d", place), life: uint64(w.draw(1<<30)) + 1, began: time.Now(), heard: map[string]heard{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.orders = platform.NewWorkerClientOver(wire{w, e.id})
	e.table = tenure.New(tenure.Options{Self: e.self(true), TakeoverDelay: 2500 * time.Millisecond, Known: func(id string) bool {
		e.lock.Lock()
		defer e.lock.Unlock()
		_, known := e.heard[id]
		return known || id == e.id
	}})
	e.desk = desk.New(desk.Options{
		Self: e.id, RequestNumber: func() uint64 { return uint64(w.draw(1 << 30)) }, GroupOf: func(*batch.Batch) string { return group },
		FindHolder: e.seat, Place: e.placeAt, Await: e.awaitAt, Withdraw: e.withdrawAt,
		OnEnd: func(*batch.Batch, batch.Result, int) {}, Log: w.log(e.id),
	})
	w.mu.Lock()
	w.entries[place] = e
	w.mu.Unlock()
	w.tasks.Go(func() { e.desk.Run(e.ctx) })
	w.tasks.Go(e.beats)
}

func (e *entry) self(ready bool) tenure.Candidate {
	return tenure.Candidate{ID: e.id, Incarnation: e.life, Zone: "a", Weight: 1, Ready: ready}
}

// beats tells the others of the own claims and governs.
func (e *entry) beats() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.tell()
			e.govern()
		}
	}
}

func (e *entry) tell() {
	e.lock.Lock()
	leaving := e.leaving
	e.lock.Unlock()
	self := e.self(time.Since(e.began) >= listen && !leaving)
	claims := e.table.Claims()
	for _, o := range e.alive() {
		if o == e {
			continue
		}
		e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, beat)
			defer cancel()
			if e.trip(ctx, e.id, o.id) != nil || o.ctx.Err() != nil {
				return
			}
			o.lock.Lock()
			o.heard[e.id] = heard{self, leaving, time.Now()}
			o.lock.Unlock()
			if o.table.Merge(claims) {
				o.govern()
			}
		})
	}
}

// govern claims the group where it falls to this entry and begins or ends its
// holder accordingly.
func (e *entry) govern() {
	e.lock.Lock()
	now := time.Now()
	var live []tenure.Candidate
	others := false
	for _, h := range e.heard {
		if now.Sub(h.at) < deadSpan {
			others = true
			if !h.leaving {
				live = append(live, h.candidate)
			}
		}
	}
	leaving := e.leaving
	e.lock.Unlock()
	if now.Sub(e.began) >= listen && !leaving && e.ctx.Err() == nil {
		e.table.ClaimIfVacant(group, "a", append(live, e.self(true)), others, now)
	}
	e.match()
}

func (e *entry) match() {
	c, claimed := e.table.Holder(group)
	own := claimed && c.Holder == e.id && c.Incarnation == e.life
	e.lock.Lock()
	before := e.held
	if before != nil && (!own || before.Epoch() != c.Epoch) {
		e.held = nil
	} else {
		before = nil
	}
	begun := own && e.held == nil && e.ctx.Err() == nil
	if begun {
		e.held = holder.New(e.ctx, holder.Options{
			Group: group, Epoch: c.Epoch, FirstClaim: e.table.FirstClaim(c), Tokens: fence.New(fence.HolderNumber(c.Holder, c.Incarnation), c.Epoch),
			Lease: lease, ClientRetryAfter: resend,
			Calls: holder.WorkerCalls{Start: e.orders.Start, Stop: e.orders.Stop, Hold: e.orders.Hold},
			Log:   e.log(e.id), OnResult: e.settled, CountCall: func(string) {},
			OnConflict: func() bool { return e.table.MaySchedule(group, time.Now()) },
		})
	}
	e.lock.Unlock()
	if before != nil {
		e.log(e.id).Info("group given up", "epoch", before.Epoch(), "to", c.Holder)
		before.Release()
	}
	if begun {
		e.log(e.id).Info("group taken", "epoch", c.Epoch, "first", e.table.FirstClaim(c))
		e.enlist()
	}
}

func (e *entry) enlist() {
	e.lock.Lock()
	h := e.held
	e.lock.Unlock()
	if h == nil {
		return
	}
	for _, r := range e.registrations() {
		for life := 1; ; life++ {
			var place int
			_, _ = fmt.Sscanf(r.Address, "w%d", &place)
			if id := workerID(place, life); id != r.ID {
				h.RemoveWorker(id, "its registration has gone")
				continue
			}
			break
		}
		h.AddWorker(r)
	}
}

func (e *entry) seat(string) (desk.GroupHolder, bool) {
	c, ok := e.table.Holder(group)
	return desk.GroupHolder{Group: group, Epoch: c.Epoch, ID: c.Holder, Local: c.Holder == e.id && c.Incarnation == e.life}, ok
}

// callSpan bounds a call to another entry.
const callSpan = 400 * time.Millisecond

// at gives the holder that a seat names, across the network.
func (e *entry) at(ctx context.Context, to desk.GroupHolder) (*holder.Holder, error) {
	for _, o := range e.alive() {
		if o.id != to.ID {
			continue
		}
		if o != e {
			ctx, cancel := context.WithTimeout(ctx, callSpan)
			defer cancel()
			if err := e.trip(ctx, e.id, o.id); err != nil {
				return nil, err
			}
		}
		o.lock.Lock()
		defer o.lock.Unlock()
		if o.held != nil && o.held.Epoch() == to.Epoch && o.ctx.Err() == nil {
			return o.held, nil
		}
		return nil, nil
	}
	return nil, errCut
}

func (e *entry) placeAt(ctx context.Context, to desk.GroupHolder, b *batch.Batch, done []string) (bool, error) {
	h, err := e.at(ctx, to)
	if h == nil || err != nil {
		return false, err
	}
	h.Admit(b, done)
	return true, nil
}

func (e *entry) awaitAt(ctx context.Context, to desk.GroupHolder, ids []string) ([]batch.Result, []string, bool, error) {
	h, err := e.at(ctx, to)
	if h == nil || err != nil {
		return nil, nil, false, err
	}
	results, unknown := h.KeepAlive(ids)
	return results, unknown, true, nil
}

func (e *entry) withdrawAt(ctx context.Context, to desk.GroupHolder, b *batch.Batch) {
	if h, err := e.at(ctx, to); h != nil && err == nil {
		h.Withdraw(b.ID, b.Attempt)
	}
}

// settled passes a result to the entry that waits for it.
func (e *entry) settled(b *batch.Batch, r batch.Result) {
	for _, o := range e.alive() {
		if o.id != b.WaitingEntry {
			continue
		}
		if o == e {
			o.desk.DeliverResults([]batch.Result{r})
			return
		}
		e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, callSpan)
			defer cancel()
			if e.trip(ctx, e.id, o.id) == nil && o.ctx.Err() == nil {
				o.desk.DeliverResults([]batch.Result{r})
			}
		})
	}
}

// kill ends the entry as a loss of power would.
func (e *entry) kill() { e.cancel() }

// stop ends the entry as a SIGTERM would.
func (e *entry) stop() {
	e.lock.Lock()
	e.leaving = true
	e.lock.Unlock()
	e.tell()
	time.Sleep(time.Second)
	e.cancel()
}
