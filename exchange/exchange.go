// Package exchange borrows slots from peers while tasks wait here and returns them in batches.
package exchange

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/radishgate/radishgate/loan"
)

// Peer is a member that may lend, with the number of free slots it last told.
type Peer struct {
	ID   string
	Zone string
	Free int
}

// Need is what waits here: the tasks that no slot of this entry takes soon, the
// whole backlog, the slots held, the service at the head of the queue, and the
// least speed of an upstream that would help.
type Need struct {
	Want    int
	Backlog int
	Held    int
	Service string
	Speed   float64
	Left    time.Duration // in which the slots held here could do the backlog
}

// Options of an exchange. Ask sends one message to a peer; Peers lists those of
// the own zone, Far those of other zones; Got is called when slots have come.
type Options struct {
	Ledger  *loan.Ledger
	Self    string
	Ask     func(ctx context.Context, peer string, ask loan.Ask, service string) (loan.Grant, int, error)
	Peers   func() []Peer
	Far     func() []Peer
	Need    func() Need
	Got     func()
	Count   func(kind string) // messages sent, one call each
	Linger  time.Duration     // how long idle loans are kept while another entry waits
	Keep    time.Duration     // how long they are kept while none does
	Trip    time.Duration     // backlog here that is worth asking other zones
	Pause   time.Duration     // least time between two asks of a peer for the same work
	Wait    time.Duration     // how long a home may hold an ask
	Breath  time.Duration     // pause after an ask that brought nothing
	Timeout time.Duration     // for the answer, beyond the wait
}

// hint is what a peer's last answer told of its free slots.
type hint struct {
	free  int
	until time.Time
}

// hintSpan is how long an answer counts for more than heartbeats.
const hintSpan = 500 * time.Millisecond

// Exchange runs one loop of asks for each peer that is worth one.
type Exchange struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex
	round    time.Time            // when the next round of asks may begin
	busy     map[string]bool      // peers with an ask under way
	renewing map[string]time.Time // homes with a renewal under way (zero), or not to be sent one before
	rest     map[string]time.Time // peers not to be asked before
	free     map[string]hint
}

// New makes an exchange; Run starts it.
func New(options Options) *Exchange {
	if options.Linger == 0 {
		options.Linger = 20 * time.Millisecond
	}
	if options.Keep == 0 {
		options.Keep = 400 * time.Millisecond
	}
	if options.Trip == 0 {
		options.Trip = 100 * time.Millisecond
	}
	if options.Pause == 0 {
		options.Pause = 500 * time.Millisecond
	}
	if options.Wait == 0 {
		options.Wait = time.Second
	}
	if options.Breath == 0 {
		options.Breath = 200 * time.Millisecond
	}
	if options.Timeout == 0 {
		options.Timeout = time.Second
	}
	return &Exchange{
		options: options, wake: make(chan struct{}, 1),
		busy: map[string]bool{}, renewing: map[string]time.Time{}, rest: map[string]time.Time{}, free: map[string]hint{},
	}
}

// Fresh tells that new work has come, for which peers may be asked at once.
func (e *Exchange) Fresh() {
	e.mu.Lock()
	clear(e.rest)
	e.round = time.Time{}
	e.mu.Unlock()
	e.Wake()
}

// Wake tells that tasks wait. It never blocks.
func (e *Exchange) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step is the time between looks at idle and ending loans.
const step = 10 * time.Millisecond

// Run serves until the context ends, then returns what is borrowed.
func (e *Exchange) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.giveBack(context.WithoutCancel(ctx), time.Now().Add(e.options.Keep), &group)
			return
		case <-e.wake:
			e.ask(ctx, &group)
		case <-ticker.C:
			e.options.Ledger.Expire()
			e.renew(ctx, &group)
			e.giveBack(ctx, time.Now(), &group)
			e.ask(ctx, &group)
		}
	}
}

// ask spreads the want over the peers with the most free slots; peers of other
// zones are asked only when the own zone shows too little room.
func (e *Exchange) ask(ctx context.Context, group *sync.WaitGroup) {
	need := e.options.Need()
	if need.Want <= 0 || !e.due() {
		return
	}
	left := e.spread(ctx, group, e.options.Peers(), need, true)
	if left > 0 && e.options.Far != nil && need.Left > e.options.Trip {
		need.Want = left
		e.spread(ctx, group, e.options.Far(), need, false)
	}
}

// due tells whether a round of asks may begin. Without this, each round would
// go on to the peers that the one before had left out.
func (e *Exchange) due() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.round) {
		return false
	}
	e.round = now.Add(e.options.Pause)
	return true
}

// Bounds of the peers asked at once, whatever the size of the fleet.
const (
	maxNear = 3
	maxFar  = 2
)

func (e *Exchange) spread(ctx context.Context, group *sync.WaitGroup, peers []Peer, need Need, near bool) int {
	e.adjust(peers)
	sort.SliceStable(peers, func(a, b int) bool { return peers[a].Free > peers[b].Free })
	most := maxNear
	if !near {
		most = maxFar
	}
	peers = peers[:min(len(peers), most)]
	room := 0
	for _, p := range peers {
		room += p.Free + 1
	}
	for _, p := range peers {
		if !e.claim(p.ID) {
			continue
		}
		share := (need.Want*(p.Free+1) + room - 1) / room
		ask := loan.Ask{
			Holder: e.options.Self, Want: share, Backlog: need.Backlog, Held: need.Held, Speed: need.Speed, Far: !near,
		}
		if near {
			ask.Until = time.Now().Add(e.options.Wait)
		}
		group.Go(func() { e.borrow(ctx, p.ID, ask, need.Service) })
	}
	return need.Want - (room - len(peers))
}

// adjust replaces what heartbeats told of free slots by later answers.
func (e *Exchange) adjust(peers []Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range peers {
		if h, ok := e.free[peers[i].ID]; ok && time.Now().Before(h.until) {
			peers[i].Free = h.free
		}
	}
}

func (e *Exchange) claim(peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[peer] || time.Now().Before(e.rest[peer]) {
		return false
	}
	e.busy[peer] = true
	return true
}

func (e *Exchange) release(peer string, got, free int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, peer)
	e.free[peer] = hint{free: free, until: time.Now().Add(hintSpan)}
	rest := e.options.Pause
	if got == 0 {
		rest = e.options.Breath
	}
	e.rest[peer] = time.Now().Add(rest)
}

func (e *Exchange) note(peer string, free int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.free[peer] = hint{free: free, until: time.Now().Add(hintSpan)}
}

// forgetHint drops the last answers, which age quickly.
func (e *Exchange) forgetHint(peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.free, peer)
}

func (e *Exchange) borrow(ctx context.Context, peer string, ask loan.Ask, service string) {
	ask.Renew = e.options.Ledger.Busy(peer) // spares a message of its own
	grant, free, err := e.send(ctx, "borrow", peer, ask, service)
	if err != nil {
		e.release(peer, 0, 0)
		e.forgetHint(peer)
		return
	}
	e.release(peer, len(grant.Loans)+len(grant.Returned), free)
	if len(grant.Loans)+len(grant.Returned) > 0 {
		e.options.Got()
	}
}

func (e *Exchange) send(ctx context.Context, kind, peer string, ask loan.Ask, service string) (loan.Grant, int, error) {
	ctx, cancel := context.WithTimeout(ctx, e.options.Timeout+max(0, time.Until(ask.Until)))
	defer cancel()
	e.options.Count(kind)
	sent := time.Now()
	grant, free, err := e.options.Ask(ctx, peer, ask, service)
	if err == nil {
		e.options.Ledger.Receive(peer, grant, sent)
	}
	return grant, free, err
}

// giveBack returns the loans that have been idle for the linger.
func (e *Exchange) giveBack(ctx context.Context, now time.Time, group *sync.WaitGroup) {
	linger := e.options.Keep
	if e.options.Ledger.Waiting() > 0 {
		linger = e.options.Linger
	}
	for peer, ids := range e.options.Ledger.Idle(now.Add(-linger), now.Add(-e.options.Linger)) {
		ask := loan.Ask{Holder: e.options.Self, Return: ids}
		group.Go(func() {
			_, free, err := e.send(ctx, "return", peer, ask, "")
			if err == nil {
				e.note(peer, free)
			}
		})
	}
}

func (e *Exchange) renew(ctx context.Context, group *sync.WaitGroup) {
	ending := e.options.Ledger.Ending()
	if len(ending) == 0 {
		return
	}
	need := e.options.Need()
	for peer, ids := range ending {
		if !e.beginRenewal(peer) {
			continue
		}
		ask := loan.Ask{Holder: e.options.Self, Renew: ids, Backlog: need.Backlog, Held: need.Held}
		group.Go(func() {
			_, _, err := e.send(ctx, "renew", peer, ask, "")
			e.endRenewal(peer, err == nil)
		})
	}
}

// beginRenewal lets one renewal a home be under way, and none right after one
// that failed.
func (e *Exchange) beginRenewal(peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until, ok := e.renewing[peer]; ok && (until.IsZero() || time.Now().Before(until)) {
		return false
	}
	e.renewing[peer] = time.Time{}
	return true
}

func (e *Exchange) endRenewal(peer string, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.renewing, peer)
	if !answered {
		e.renewing[peer] = time.Now().Add(e.options.Breath)
	}
}
