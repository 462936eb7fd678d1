// Package exchange borrows slots from other entries while tasks wait here and
// returns them in batches.
package exchange

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// Peer is an entry that may lend slots, with the number of free slots in its
// last heartbeat.
type Peer struct {
	ID        string
	Zone      string
	FreeSlots int
}

// Demand describes the slots that this entry wants to borrow. Wanted is the number of
// waiting tasks that would gain from a borrowed slot, Service the service of the
// first of them and MinSpeed the minimum speed of an upstream that would help.
// Backlog is the number of all waiting tasks, HeldSlots that of the slots held.
type Demand struct {
	Wanted    int
	Backlog   int
	HeldSlots int
	Service   string
	MinSpeed  float64
	DrainTime time.Duration // time that the held slots need for the backlog
}

// Options configures a Borrower. SendRequest sends a message to a peer and returns
// the grant and the number of free slots left there. ZonePeers returns the peers in
// the zone of this entry, RemotePeers those in other zones. OnBorrowed is called
// after slots have been borrowed. All fields except RemotePeers and the durations are
// required.
type Options struct {
	Ledger               *loan.Ledger
	Self                 string
	SendRequest          func(ctx context.Context, peer string, request loan.Request, service string) (loan.Grant, int, error)
	ZonePeers            func() []Peer
	RemotePeers          func() []Peer
	Demand               func() Demand
	OnBorrowed           func()
	CountMessage         func(kind string) // called for each message sent
	ContendedIdleTimeout time.Duration     // idle time after which a loan is returned while another entry waits for slots; 20 ms by default
	IdleTimeout          time.Duration     // idle time after which a loan is returned while none waits; 400 ms by default
	CrossZoneThreshold   time.Duration     // DrainTime above which peers in other zones are asked; 100 ms by default
	RequestInterval      time.Duration     // minimum time between two requests to a peer for the same work; 500 ms by default
	MaxWait              time.Duration     // how long a home may let a request wait for free slots; 1 s by default
	EmptyBackoff         time.Duration     // time before the next request to a peer that granted nothing; 200 ms by default
	ResponseTimeout      time.Duration     // for the answer, in addition to the time that the request may wait; 1 s by default
}

// freeReport is the number of free slots in a peer's last answer.
type freeReport struct {
	free      int
	expiresAt time.Time
}

// reportValidity is how long an answer takes precedence over heartbeats.
const reportValidity = 500 * time.Millisecond

// Borrower requests slots from peers, renews loans and returns idle ones. It is safe
// for concurrent use.
type Borrower struct {
	options Options
	wake    chan struct{}

	mu        sync.Mutex
	nextRound time.Time            // earliest start of the next round of requests
	inFlight  map[string]bool      // peers with a request in flight
	renewing  map[string]time.Time // by home: zero while a renewal is in flight, else the earliest time of the next
	notBefore map[string]time.Time // earliest time of the next request to a peer
	reports   map[string]freeReport
}

// New returns a Borrower; Run starts it. Zero durations get defaults.
func New(options Options) *Borrower {
	if options.ContendedIdleTimeout == 0 {
		options.ContendedIdleTimeout = 20 * time.Millisecond
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = 400 * time.Millisecond
	}
	if options.CrossZoneThreshold == 0 {
		options.CrossZoneThreshold = 100 * time.Millisecond
	}
	if options.RequestInterval == 0 {
		options.RequestInterval = 500 * time.Millisecond
	}
	if options.MaxWait == 0 {
		options.MaxWait = time.Second
	}
	if options.EmptyBackoff == 0 {
		options.EmptyBackoff = 200 * time.Millisecond
	}
	if options.ResponseTimeout == 0 {
		options.ResponseTimeout = time.Second
	}
	return &Borrower{
		options: options, wake: make(chan struct{}, 1),
		inFlight: map[string]bool{}, renewing: map[string]time.Time{}, notBefore: map[string]time.Time{}, reports: map[string]freeReport{},
	}
}

// NewWork signals that new tasks are queued. It ends the backoff of all peers, so
// that they can be asked at once.
func (b *Borrower) NewWork() {
	b.mu.Lock()
	clear(b.notBefore)
	b.nextRound = time.Time{}
	b.mu.Unlock()
	b.Wake()
}

// Wake signals that tasks wait for slots. It never blocks.
func (b *Borrower) Wake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// tickInterval is the time between checks for idle and expiring loans.
const tickInterval = 10 * time.Millisecond

// Run borrows until the context ends, then returns the idle loans and waits for the
// answers to its messages.
func (b *Borrower) Run(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.returnIdle(context.WithoutCancel(ctx), time.Now().Add(b.options.IdleTimeout), &sends)
			return
		case <-b.wake:
			b.requestSlots(ctx, &sends)
		case <-ticker.C:
			b.options.Ledger.Expire()
			b.renew(ctx, &sends)
			b.returnIdle(ctx, time.Now(), &sends)
			b.requestSlots(ctx, &sends)
		}
	}
}

// requestSlots requests the wanted slots from the peers with the most free slots. It
// asks peers in other zones only if those in this zone have too few and DrainTime
// exceeds CrossZoneThreshold.
func (b *Borrower) requestSlots(ctx context.Context, sends *sync.WaitGroup) {
	demand := b.options.Demand()
	if demand.Wanted <= 0 || !b.beginRound() {
		return
	}
	missing := b.distribute(ctx, sends, b.options.ZonePeers(), demand, true)
	if missing > 0 && b.options.RemotePeers != nil && demand.DrainTime > b.options.CrossZoneThreshold {
		demand.Wanted = missing
		b.distribute(ctx, sends, b.options.RemotePeers(), demand, false)
	}
}

// beginRound reports whether a round of requests may begin. Without this limit,
// each round would ask the peers that the previous one left out.
func (b *Borrower) beginRound() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.nextRound) {
		return false
	}
	b.nextRound = now.Add(b.options.RequestInterval)
	return true
}

// Maximum number of peers asked in one round, independent of the size of the fleet.
const (
	maxZonePeers   = 3
	maxRemotePeers = 2
)

// distribute splits the wanted slots among the peers with the most free slots, in
// proportion to their free slots plus one, and sends the requests. It returns by how
// many the wanted slots exceed the free slots of these peers.
func (b *Borrower) distribute(ctx context.Context, sends *sync.WaitGroup, peers []Peer, demand Demand, sameZone bool) int {
	b.applyReports(peers)
	sort.SliceStable(peers, func(a, b int) bool { return peers[a].FreeSlots > peers[b].FreeSlots })
	maxPeers := maxZonePeers
	if !sameZone {
		maxPeers = maxRemotePeers
	}
	peers = peers[:min(len(peers), maxPeers)]
	totalWeight := 0
	for _, p := range peers {
		totalWeight += p.FreeSlots + 1
	}
	for _, p := range peers {
		if !b.beginRequest(p.ID) {
			continue
		}
		share := (demand.Wanted*(p.FreeSlots+1) + totalWeight - 1) / totalWeight
		request := loan.Request{
			Borrower: b.options.Self, Wanted: share, Backlog: demand.Backlog, HeldSlots: demand.HeldSlots, MinSpeed: demand.MinSpeed, CrossZone: !sameZone,
		}
		if sameZone {
			request.WaitUntil = time.Now().Add(b.options.MaxWait)
		}
		sends.Go(func() { b.borrow(ctx, p.ID, request, demand.Service) })
	}
	return demand.Wanted - (totalWeight - len(peers))
}

// applyReports replaces the numbers of free slots from heartbeats by those from
// later answers.
func (b *Borrower) applyReports(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range peers {
		if report, ok := b.reports[peers[i].ID]; ok && time.Now().Before(report.expiresAt) {
			peers[i].FreeSlots = report.free
		}
	}
}

// beginRequest reports whether a peer may be asked now, and marks it as asked.
func (b *Borrower) beginRequest(peer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[peer] || time.Now().Before(b.notBefore[peer]) {
		return false
	}
	b.inFlight[peer] = true
	return true
}

// endRequest records the answer to a request and sets when the peer may be
// asked again.
func (b *Borrower) endRequest(peer string, granted, free int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, peer)
	b.reports[peer] = freeReport{free: free, expiresAt: time.Now().Add(reportValidity)}
	interval := b.options.RequestInterval
	if granted == 0 {
		interval = b.options.EmptyBackoff
	}
	b.notBefore[peer] = time.Now().Add(interval)
}

// noteFreeSlots records the free slots of a peer from an answer.
func (b *Borrower) noteFreeSlots(peer string, free int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[peer] = freeReport{free: free, expiresAt: time.Now().Add(reportValidity)}
}

// forgetReport deletes a peer's report, so that its heartbeats count again.
func (b *Borrower) forgetReport(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reports, peer)
}

func (b *Borrower) borrow(ctx context.Context, peer string, request loan.Request, service string) {
	request.RenewIDs = b.options.Ledger.BusyLoans(peer) // saves a separate message
	grant, free, err := b.send(ctx, "borrow", peer, request, service)
	if err != nil {
		b.endRequest(peer, 0, 0)
		b.forgetReport(peer)
		return
	}
	b.endRequest(peer, len(grant.Loans)+len(grant.Returned), free)
	if len(grant.Loans)+len(grant.Returned) > 0 {
		b.options.OnBorrowed()
	}
}

func (b *Borrower) send(ctx context.Context, kind, peer string, request loan.Request, service string) (loan.Grant, int, error) {
	ctx, cancel := context.WithTimeout(ctx, b.options.ResponseTimeout+max(0, time.Until(request.WaitUntil)))
	defer cancel()
	b.options.CountMessage(kind)
	sent := time.Now()
	grant, free, err := b.options.SendRequest(ctx, peer, request, service)
	if err == nil {
		b.options.Ledger.ApplyGrant(peer, grant, sent)
	}
	return grant, free, err
}

// returnIdle returns the loans that have been idle for IdleTimeout, or for
// ContendedIdleTimeout while other entries wait for slots.
func (b *Borrower) returnIdle(ctx context.Context, now time.Time, sends *sync.WaitGroup) {
	idleTimeout := b.options.IdleTimeout
	if b.options.Ledger.WaitingRequests() > 0 {
		idleTimeout = b.options.ContendedIdleTimeout
	}
	for peer, ids := range b.options.Ledger.TakeIdle(now.Add(-idleTimeout), now.Add(-b.options.ContendedIdleTimeout)) {
		request := loan.Request{Borrower: b.options.Self, ReturnIDs: ids}
		sends.Go(func() {
			_, free, err := b.send(ctx, "return", peer, request, "")
			if err == nil {
				b.noteFreeSlots(peer, free)
			}
		})
	}
}

// renew sends renewals for the loans that run a task and are close to their deadline.
func (b *Borrower) renew(ctx context.Context, sends *sync.WaitGroup) {
	toRenew := b.options.Ledger.LoansToRenew()
	if len(toRenew) == 0 {
		return
	}
	demand := b.options.Demand()
	for peer, ids := range toRenew {
		if !b.beginRenewal(peer) {
			continue
		}
		request := loan.Request{Borrower: b.options.Self, RenewIDs: ids, Backlog: demand.Backlog, HeldSlots: demand.HeldSlots}
		sends.Go(func() {
			_, _, err := b.send(ctx, "renew", peer, request, "")
			b.endRenewal(peer, err == nil)
		})
	}
}

// beginRenewal reports whether a renewal may be sent to a home: one at a time,
// and none for EmptyBackoff after one that failed.
func (b *Borrower) beginRenewal(peer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until, ok := b.renewing[peer]; ok && (until.IsZero() || time.Now().Before(until)) {
		return false
	}
	b.renewing[peer] = time.Time{}
	return true
}

func (b *Borrower) endRenewal(peer string, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.renewing, peer)
	if !answered {
		b.renewing[peer] = time.Now().Add(b.options.EmptyBackoff)
	}
}
