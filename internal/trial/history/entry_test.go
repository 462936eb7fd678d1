package history

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/platform"
)

// entry simulates one incarnation of an entry. It uses the real job tracker, claim
// table and holder; the exchange of heartbeats and claims between entries is a
// simplified version of the one in package node.
type entry struct {
	*world
	id           string
	incarnation  uint64
	startedAt    time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	tracker      *submission.Tracker
	claims       *election.ClaimTable
	workerClient *platform.WorkerClient

	passing sync.Mutex // held while registrations are passed to the holder, which keeps the order in which they were read

	lock          sync.Mutex // guards the fields below; mu belongs to the embedded world
	holder        *holder.Holder
	leaving       bool
	heartbeats    map[string]heartbeat
	registrations []platform.Registration // as last read
}

// heartbeat is the latest heartbeat received from another entry.
type heartbeat struct {
	candidate  election.Candidate
	leaving    bool
	receivedAt time.Time
}

func (w *world) startEntry(index int) {
	e := &entry{world: w, id: fmt.Sprintf("e%d", index), incarnation: uint64(w.randomInt(1<<30)) + 1, startedAt: time.Now(), heartbeats: map[string]heartbeat{}, registrations: w.registrations()}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.workerClient = platform.NewWorkerClientOver(workerTransport{w, e.id})
	e.claims = election.New(election.Options{Self: e.candidate(true), TakeoverDelay: 2500 * time.Millisecond, Known: func(id string) bool {
		e.lock.Lock()
		defer e.lock.Unlock()
		_, known := e.heartbeats[id]
		return known || id == e.id
	}})
	e.tracker = submission.New(submission.Options{
		Self: e.id, RequestNumber: func() uint64 { return uint64(w.randomInt(1 << 30)) }, GroupOf: func(*batch.Batch) string { return group },
		FindHolder: e.findHolder, Place: e.placeAt, Await: e.keepAliveAt, Withdraw: e.withdrawAt,
		OnEnd: func(*batch.Batch, batch.Result, int) {}, Log: w.log(e.id),
	})
	w.mu.Lock()
	w.entries[index] = e
	w.mu.Unlock()
	w.goroutines.Go(func() { e.tracker.Run(e.ctx) })
	w.goroutines.Go(e.runHeartbeats)
	w.goroutines.Go(e.readRegistrations)
}

// readRegistrations periodically reads the list of registrations. It passes the list to the
// holder after each read, and again until the next one.
func (e *entry) readRegistrations() {
	interval := time.Duration(10+e.randomInt(maxReadMillis-10)) * time.Millisecond
	var readAt time.Time
	for e.ctx.Err() == nil {
		if time.Since(readAt) >= interval {
			list := e.world.registrations()
			readAt = time.Now()
			time.Sleep(time.Duration(1+e.randomInt(20)) * time.Millisecond) // the response is on its way
			e.lock.Lock()
			e.registrations = list
			e.lock.Unlock()
		}
		e.updateWorkers()
		time.Sleep(max(time.Millisecond, min(passInterval, interval-time.Since(readAt))))
	}
}

func (e *entry) candidate(ready bool) election.Candidate {
	return election.Candidate{ID: e.id, Incarnation: e.incarnation, Zone: "a", Weight: 1, Ready: ready}
}

// runHeartbeats periodically sends heartbeats and claims the group if it is vacant.
func (e *entry) runHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.sendHeartbeats()
			e.claimIfVacant()
		}
	}
}

func (e *entry) sendHeartbeats() {
	e.lock.Lock()
	leaving := e.leaving
	e.lock.Unlock()
	self := e.candidate(time.Since(e.startedAt) >= listenTime && !leaving)
	claims := e.claims.Claims()
	for _, o := range e.liveEntries() {
		if o == e {
			continue
		}
		e.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, heartbeatInterval)
			defer cancel()
			if e.transmit(ctx, e.id, o.id) != nil || o.ctx.Err() != nil {
				return
			}
			o.lock.Lock()
			o.heartbeats[e.id] = heartbeat{self, leaving, time.Now()}
			o.lock.Unlock()
			if o.claims.Merge(claims) {
				o.claimIfVacant()
			}
		})
	}
}

// claimIfVacant claims the group if it has no live holder and this entry is next
// in line, then starts or releases the local holder to match.
func (e *entry) claimIfVacant() {
	e.lock.Lock()
	now := time.Now()
	var live []election.Candidate
	heardOthers := false
	for _, h := range e.heartbeats {
		if now.Sub(h.receivedAt) < deadAfter {
			heardOthers = true
			if !h.leaving {
				live = append(live, h.candidate)
			}
		}
	}
	leaving := e.leaving
	e.lock.Unlock()
	if now.Sub(e.startedAt) >= listenTime && !leaving && e.ctx.Err() == nil {
		e.claims.ClaimIfVacant(group, "a", append(live, e.candidate(true)), heardOthers, now)
	}
	e.updateHolder()
}

func (e *entry) updateHolder() {
	c, claimed := e.claims.Holder(group)
	isHolder := claimed && c.Holder == e.id && c.Incarnation == e.incarnation
	e.lock.Lock()
	previous := e.holder
	if previous != nil && (!isHolder || previous.Epoch() != c.Epoch) {
		e.holder = nil
	} else {
		previous = nil
	}
	started := isHolder && e.holder == nil && e.ctx.Err() == nil
	if started {
		e.holder = holder.New(e.ctx, holder.Options{
			Group: group, Epoch: c.Epoch, FirstClaim: e.claims.FirstClaim(c), Tokens: fence.New(fence.HolderNumber(c.Holder, c.Incarnation), c.Epoch),
			Lease: leaseDuration, ClientRetryAfter: resendAfter,
			Calls: holder.WorkerCalls{Start: e.workerClient.Start, Stop: e.workerClient.Stop, Hold: e.workerClient.Hold},
			Log:   e.log(e.id), OnResult: e.deliverResult, CountCall: func(string) {},
			OnConflict: func() bool { return e.claims.MaySchedule(group, time.Now()) },
		})
	}
	e.lock.Unlock()
	if previous != nil {
		e.log(e.id).Info("group given up", "epoch", previous.Epoch(), "to", c.Holder)
		previous.Release()
	}
	if started {
		e.log(e.id).Info("group taken", "epoch", c.Epoch, "first", e.claims.FirstClaim(c))
		e.updateWorkers()
	}
}

// updateWorkers passes the registrations as last read to the holder.
func (e *entry) updateWorkers() {
	e.passing.Lock()
	defer e.passing.Unlock()
	e.lock.Lock()
	h, registrations := e.holder, e.registrations
	e.lock.Unlock()
	if h == nil {
		return
	}
	for _, r := range registrations {
		for incarnation := 1; ; incarnation++ {
			if id := workerID(workerIndex(r.Address), incarnation); id != r.ID {
				h.RemoveWorker(id, "its registration has gone")
				continue
			}
			break
		}
		h.AddWorker(r)
	}
}

func (e *entry) findHolder(string) (submission.GroupHolder, bool) {
	c, ok := e.claims.Holder(group)
	return submission.GroupHolder{Group: group, Epoch: c.Epoch, ID: c.Holder, Local: c.Holder == e.id && c.Incarnation == e.incarnation}, ok
}

// entryCallTimeout is the timeout of a call to another entry.
const entryCallTimeout = 400 * time.Millisecond

// holderAt returns the holder of a group, reached over the simulated network. It
// returns nil if that entry does not hold the group at this epoch.
func (e *entry) holderAt(ctx context.Context, to submission.GroupHolder) (*holder.Holder, error) {
	for _, o := range e.liveEntries() {
		if o.id != to.ID {
			continue
		}
		if o != e {
			ctx, cancel := context.WithTimeout(ctx, entryCallTimeout)
			defer cancel()
			if err := e.transmit(ctx, e.id, o.id); err != nil {
				return nil, err
			}
		}
		o.lock.Lock()
		defer o.lock.Unlock()
		if o.holder != nil && o.holder.Epoch() == to.Epoch && o.ctx.Err() == nil {
			return o.holder, nil
		}
		return nil, nil
	}
	return nil, errUnreachable
}

func (e *entry) placeAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch, completed []string) (bool, error) {
	h, err := e.holderAt(ctx, to)
	if h == nil || err != nil {
		return false, err
	}
	h.Admit(b, completed)
	return true, nil
}

func (e *entry) keepAliveAt(ctx context.Context, to submission.GroupHolder, ids []string) ([]batch.Result, []string, bool, error) {
	h, err := e.holderAt(ctx, to)
	if h == nil || err != nil {
		return nil, nil, false, err
	}
	results, unknown := h.KeepAlive(ids)
	return results, unknown, true, nil
}

func (e *entry) withdrawAt(ctx context.Context, to submission.GroupHolder, b *batch.Batch) {
	if h, err := e.holderAt(ctx, to); h != nil && err == nil {
		h.Withdraw(b.ID, b.Attempt)
	}
}

// deliverResult sends a result to the entry that waits for it.
func (e *entry) deliverResult(b *batch.Batch, r batch.Result) {
	for _, o := range e.liveEntries() {
		if o.id != b.WaitingEntry {
			continue
		}
		if o == e {
			o.tracker.DeliverResults([]batch.Result{r})
			return
		}
		e.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, entryCallTimeout)
			defer cancel()
			if e.transmit(ctx, e.id, o.id) == nil && o.ctx.Err() == nil {
				o.tracker.DeliverResults([]batch.Result{r})
			}
		})
	}
}

// kill simulates a power loss of the entry.
func (e *entry) kill() { e.cancel() }

// stop simulates an orderly shutdown of the entry, as after SIGTERM.
func (e *entry) stop() {
	e.lock.Lock()
	e.leaving = true
	e.lock.Unlock()
	e.sendHeartbeats()
	time.Sleep(time.Second)
	e.cancel()
}
