package history

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/gateway/cancellation"
	"github.com/radishgate/radishgate/internal/gateway/evacuation"
	"github.com/radishgate/radishgate/internal/gateway/isolation"
	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/cancels"
	"github.com/radishgate/radishgate/internal/worker/fence"
	"github.com/radishgate/radishgate/internal/worker/registry"
	"github.com/radishgate/radishgate/platform"
)

// reregistrationWindow is the time after an outage of the store within which registrations that
// expired in it return, as in package node.
const reregistrationWindow = 3 * time.Second

// heartbeatTimeout bounds a heartbeat and its answer, as in package node.
const heartbeatTimeout = 300 * time.Millisecond

// sweepInterval is the time between two checks of the tracker's jobs, as in package submission.
const sweepInterval = 25 * time.Millisecond

// entry simulates one incarnation of an entry. It uses the real job tracker, claim
// table, registry, isolation detector and holder; the exchange of heartbeats and claims between
// entries is a simplified version of the one in package node.
type entry struct {
	*world
	id           string
	incarnation  uint64
	startedAt    time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	tracker      *submission.Tracker
	cancels      *cancellation.Exchange
	claims       *election.ClaimTable
	registry     *registry.Registry
	isolation    isolation.Detector
	pause        pauseDetector
	workerClient *platform.WorkerClient
	evacuations  *evacuation.Set // nil in a world without them

	passing sync.Mutex // held while registrations are passed to the holder, which keeps the order in which they were read

	lock             sync.Mutex // guards the fields below; mu belongs to the embedded world
	holder           *holder.Holder
	touchedAt        map[string]time.Time // by job that was cancelled, see cancels_test.go
	leaving          bool
	heartbeats       map[string]heartbeat
	clockOffset      time.Duration // error of the time of day
	registryReadAt   time.Time     // when the registry was first read
	firstReadFailed  bool          // an attempt before that failed
	registryOutdated bool          // the last attempt failed
	workersConfirmed bool          // another entry has had the same list and counted it as complete
}

// heartbeat is the latest heartbeat received from another entry.
type heartbeat struct {
	candidate  election.Candidate
	leaving    bool
	workers    uint64 // fingerprint of its list of workers; 0 if that may be incomplete
	receivedAt time.Time
}

func (w *world) startEntry(index int) {
	e := &entry{
		world: w, id: entryName(index), incarnation: uint64(w.randomInt(1<<30)) + 1, startedAt: time.Now(), heartbeats: map[string]heartbeat{},
		registry: registry.New(),
	}
	if w.takesEffect(wrongClocks) {
		e.clockOffset = w.randomDuration(2*maxClockStepMillis) - maxClockStepMillis*time.Millisecond
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.workerClient = platform.NewWorkerClientOver(workerTransport{w, e.id})
	e.claims = election.New(election.Options{Self: e.candidate(true), TakeoverDelay: 2500 * time.Millisecond, Known: func(id string) bool {
		e.lock.Lock()
		defer e.lock.Unlock()
		_, known := e.heartbeats[id]
		return known || id == e.id
	}, MayHavePeers: e.othersRun})
	e.cancels = e.newCancels()
	if w.operators != nil {
		e.evacuations = evacuation.New([]string{"a", "b"})
	}
	e.tracker = submission.New(submission.Options{
		Redirect: e.redirect, Cancelled: e.cancels.Cancelled,
		Self: e.id, RequestNumber: func() uint64 { return uint64(w.randomInt(1 << 30)) }, GroupOf: func(*batch.Batch) string { return group },
		FindHolder: e.findHolder, Place: e.placeAt, Await: e.keepAliveAt, Withdraw: e.withdrawAt, Refuse: e.refuseAt,
		Isolated: func() bool { return e.isolation.Isolated(time.Now()) }, ResultsLost: e.isolation.ResultsLost,
		OnEnd: func(*batch.Batch, batch.Result, int) {}, Log: w.log(e.id),
	})
	w.mu.Lock()
	w.entries[index] = e
	w.mu.Unlock()
	w.log(e.id).Info("entry starts", "incarnation", e.incarnation, "clock_offset", e.clockOffset)
	w.goroutines.Go(e.sweepJobs)
	w.goroutines.Go(e.runHeartbeats)
	w.goroutines.Go(e.readRegistrations)
	if w.operators != nil {
		w.goroutines.Go(func() { w.operators.follower(e).Run(e.ctx) })
	}
}

// sweepJobs lets the tracker check its jobs periodically.
func (e *entry) sweepJobs() {
	for wait.For(e.ctx, sweepInterval); e.ctx.Err() == nil; wait.For(e.ctx, sweepInterval) {
		if !e.active(frozen(e.id)) {
			e.tracker.Sweep(e.ctx)
		}
	}
}

// readRegistrations periodically reads the list of registrations. It passes the list to the
// holder after each read, and again until the next one.
func (e *entry) readRegistrations() {
	interval := time.Duration(10+e.randomInt(maxReadMillis-10)) * time.Millisecond
	var readAt time.Time
	for e.ctx.Err() == nil {
		if e.waitThawed(e.ctx, e.id) != nil {
			return
		}
		if time.Since(readAt) >= interval {
			list, answered := e.registrations(e.id)
			if !answered {
				e.noteReadFailed()
				e.updateWorkers()
				time.Sleep(failedReadDelay)
				continue
			}
			readAt = time.Now()
			time.Sleep(time.Duration(1+e.randomInt(20)) * time.Millisecond) // the response is on its way
			e.registry.Reset(list, time.Now())
			e.updateWorkers()
			e.noteRead()
		}
		e.updateWorkers()
		time.Sleep(max(time.Millisecond, min(passInterval, interval-time.Since(readAt))))
	}
}

func (e *entry) noteReadFailed() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.firstReadFailed, e.registryOutdated = e.firstReadFailed || e.registryReadAt.IsZero(), true
}

func (e *entry) noteRead() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.registryOutdated = false
	if e.registryReadAt.IsZero() {
		e.registryReadAt = time.Now()
	}
}

// workersIncompleteUntil returns the time until which the registry may lack workers that are
// alive. The caller holds e.lock.
func (e *entry) workersIncompleteUntil() time.Time {
	switch {
	case e.registryOutdated:
		return time.Now().Add(reregistrationWindow)
	case e.workersConfirmed:
		return time.Time{}
	case e.firstReadFailed:
		return e.registryReadAt.Add(reregistrationWindow)
	}
	return e.startedAt.Add(reregistrationWindow)
}

// completeWorkers returns the fingerprint of the list of workers, or 0 if the list may be
// incomplete. It notes if another entry confirms the list.
func (e *entry) completeWorkers() uint64 {
	fingerprint := e.registry.Fingerprint()
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.registryReadAt.IsZero() {
		return 0
	}
	for _, h := range e.heartbeats {
		if fingerprint != 0 && h.workers == fingerprint && time.Since(h.receivedAt) < e.deadAfter() {
			e.workersConfirmed = true
		}
	}
	if e.workersIncompleteUntil().After(time.Now()) {
		return 0
	}
	return fingerprint
}

// ready reports whether the entry may claim a group.
func (e *entry) ready() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return time.Since(e.startedAt) >= listenTime && !e.leaving && !e.registryReadAt.IsZero() && e.ctx.Err() == nil
}

func (e *entry) candidate(ready bool) election.Candidate {
	return election.Candidate{ID: e.id, Incarnation: e.incarnation, Zone: "a", Weight: 1, Ready: ready}
}

// runHeartbeats periodically sends heartbeats and claims the group if it is vacant.
func (e *entry) runHeartbeats() {
	ticker := time.NewTicker(e.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			if e.active(frozen(e.id)) {
				continue
			}
			e.pause.recordHeartbeat(suspectHeartbeats * e.heartbeat)
			e.isolation.Beat(e.view(), time.Now())
			e.sendHeartbeats()
			e.claimIfVacant()
		}
	}
}

// sendHeartbeats exchanges heartbeats and claims with the other entries.
func (e *entry) sendHeartbeats() {
	for _, o := range e.liveEntries() {
		if o == e {
			continue
		}
		e.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(e.ctx, heartbeatTimeout)
			defer cancel()
			sentAt := time.Now()
			records, confirm := e.cancels.ForHeartbeat(o.receiver(), time.Now())
			// The second heartbeat is the answer.
			if e.sendHeartbeat(ctx, o, records) && o.sendHeartbeat(ctx, e, o.cancels.ForAnswer(e.receiver(), time.Now())) {
				confirm()
				e.pause.recordAnswer(sentAt)
			}
		})
	}
}

// sendHeartbeat sends a heartbeat with records of cancels and reports whether it arrived.
func (e *entry) sendHeartbeat(ctx context.Context, o *entry, records []cancels.Record) bool {
	news := e.evacuationNews()
	self, claims, workers := e.candidate(e.ready()), e.claims.Claims(), e.completeWorkers()
	e.lock.Lock()
	leaving := e.leaving
	e.lock.Unlock()
	if leaving {
		workers = 0 // it reads no registrations any more
	}
	if e.transmit(ctx, e.id, o.id) != nil || o.ctx.Err() != nil {
		return false
	}
	o.isolation.NoteHeard()
	o.cancels.Learn(records, time.Now())
	o.noteTouch(e)
	o.mergeEvacuations(news)
	o.lock.Lock()
	o.heartbeats[e.id] = heartbeat{self, leaving, workers, time.Now()}
	o.lock.Unlock()
	if o.claims.Merge(claims) {
		o.claimIfVacant()
	}
	return true
}

// liveCandidates returns the other entries that count as alive and do not leave, and whether any
// other one counts as alive.
func (e *entry) liveCandidates() (live []election.Candidate, anyOther bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, h := range e.heartbeats {
		if time.Since(h.receivedAt) < e.deadAfter() {
			anyOther = true
			if !h.leaving {
				live = append(live, h.candidate)
			}
		}
	}
	return live, anyOther
}

func (e *entry) hearsPeers() bool {
	_, anyOther := e.liveCandidates()
	return anyOther && !e.isolation.OthersSilent()
}

// hasMajority reports whether more than half of the entries, without those that are down, count
// as alive.
func (e *entry) hasMajority() bool {
	down := map[string]bool{}
	for i := range entryCount {
		down[entryName(i)] = e.entry(i).ctx.Err() != nil
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	heard, all := 1, 1
	for id, h := range e.heartbeats {
		isLive := time.Since(h.receivedAt) < e.deadAfter()
		if !isLive && (h.leaving || down[id]) {
			continue
		}
		all++
		if isLive {
			heard++
		}
	}
	return 2*heard > all
}

// othersRun reports whether any other entry is up, i.e. would not refuse connections.
func (e *entry) othersRun() bool {
	return slices.ContainsFunc(e.liveEntries(), func(o *entry) bool { return o != e })
}

// mayBeReplaced reports whether an entry that is up is not heard.
func (e *entry) mayBeReplaced() bool {
	_, unheard := e.unheardSince()
	return unheard
}

// lastContact returns when an entry that is up and not heard may have been in contact with others
// for the last time, as in package node.
func (e *entry) lastContact() time.Time {
	at, _ := e.unheardSince()
	return at.Add(e.heartbeat)
}

// unheardSince returns when the last heartbeat of any entry came that is up and not heard, and whether
// there is such an entry.
func (e *entry) unheardSince() (at time.Time, unheard bool) {
	up := map[string]bool{}
	for _, o := range e.liveEntries() {
		up[o.id] = o != e
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	for id, h := range e.heartbeats {
		if up[id] && !h.leaving && time.Since(h.receivedAt) >= suspectHeartbeats*e.heartbeat {
			unheard = true
			if h.receivedAt.After(at) {
				at = h.receivedAt
			}
		}
	}
	return at, unheard || len(e.heartbeats) == 0 && len(up) > 1
}

// view returns what the entry knows of the holder.
func (e *entry) view() isolation.View {
	_, known := e.findHolder(group)
	e.lock.Lock()
	h := e.holder
	e.lock.Unlock()
	now := time.Now()
	return isolation.View{
		HolderKnown: known, Suspended: e.claims.Suspended(group, now),
		ServesAlone: h != nil && e.claims.MaySchedule(group, now) && h.AnyWorkerAnswers(),
	}
}

// claimIfVacant claims the group if it has no live holder and this entry is next
// in line, then starts or releases the local holder to match.
func (e *entry) claimIfVacant() {
	live, _ := e.liveCandidates()
	e.claims.ResumeIfMajority(e.hasMajority)
	e.lock.Lock()
	now := time.Now().Add(e.clockOffset)
	leaving := e.leaving
	e.lock.Unlock()
	if time.Since(e.startedAt) >= listenTime && !leaving && e.ctx.Err() == nil {
		e.claims.ClaimIfVacant(group, "a", append(live, e.candidate(e.ready())), e.hearsPeers(), now)
	}
	e.updateHolder()
	e.isolation.Update(e.view(), time.Now())
}

func (e *entry) updateHolder() {
	c, claimed := e.claims.Holder(group)
	isHolder := claimed && c.Holder == e.id && c.Incarnation == e.incarnation
	e.completeWorkers()
	e.lock.Lock()
	previous := e.holder
	if previous != nil && (!isHolder || previous.Epoch() != c.Epoch) {
		e.holder = nil
	} else {
		previous = nil
	}
	started := isHolder && e.holder == nil && e.ctx.Err() == nil
	if started {
		incompleteUntil := e.workersIncompleteUntil()
		if e.claims.IsFirst(c) && !e.firstReadFailed && !e.registryOutdated && !e.rosterLacks(e.registry.Live()) {
			incompleteUntil = time.Time{}
		}
		if left := time.Until(incompleteUntil); left > 0 {
			e.log(e.id).Info("list of workers may be incomplete", "ms", left.Milliseconds())
		}
		e.holder = holder.New(e.ctx, holder.Options{
			Group: group, Epoch: c.Epoch, Tokens: fence.New(fence.HolderNumber(c.Holder, c.Incarnation), c.Epoch),
			Lease: leaseDuration, ClientRetryAfter: resendAfter, WorkersIncompleteUntil: incompleteUntil,
			Calls: holder.WorkerCalls{Start: e.checkedStart, Stop: e.workerClient.Stop, Hold: e.workerClient.Hold},
			Log:   e.log(e.id), OnResult: e.deliverResult, CountCall: func(string) {},
			Zone: "a", Evacuations: e.planEvacuations, EvacuationTarget: e.evacuationTarget,
			Cancelled: e.cancels.Cancelled, MayBeReplaced: e.mayBeReplaced, LastContact: e.lastContact, TakeoverSuspected: e.takeoverSuspected,
			OnConflict: func() bool {
				e.claims.NoteConflict(e.hearsPeers(), e.hasMajority(), time.Now())
				return e.claims.MaySchedule(group, time.Now())
			},
		})
	}
	e.lock.Unlock()
	if previous != nil {
		e.log(e.id).Info("group given up", "epoch", previous.Epoch(), "to", c.Holder)
		previous.Release()
	}
	if started {
		e.log(e.id).Info("group taken", "epoch", c.Epoch)
		e.updateWorkers()
	}
}

// updateWorkers passes the registered workers to the holder, and those whose registrations have
// expired.
func (e *entry) updateWorkers() {
	e.passing.Lock()
	defer e.passing.Unlock()
	e.lock.Lock()
	h := e.holder
	e.lock.Unlock()
	gone := e.registry.Expire(func(id string) bool { return h != nil && h.Answering(id) }, time.Now())
	if h == nil {
		return
	}
	for _, r := range gone {
		h.RemoveWorker(r.ID, "its registration has gone")
	}
	for _, r := range e.registry.Live() {
		h.AddWorker(r)
	}
	if !h.WorkersIncomplete() {
		e.publishRoster(e.id, h.AnsweringWorkers())
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
	ctx, cancel := context.WithTimeout(e.ctx, 900*time.Millisecond)
	defer cancel()
	e.tracker.Stop(ctx)
	time.Sleep(100 * time.Millisecond)
	e.cancel()
}

// setClockBack sets the entry's time of day back. It is not set forward while the entry runs: the
// claim table measures durations with the time that it gets.
func (e *entry) setClockBack(by time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.clockOffset -= by
}
