// Package loan keeps the slots that an entry is home to, those it lends and those it has borrowed, each loan with a deadline.
package loan

import (
	"sync"
	"time"
)

// Permit is the right to run one task on an upstream now. ID is 0 for a slot
// that this entry is home to.
type Permit struct {
	Upstream string
	Home     string
	ID       uint64
}

// Loan is one slot lent.
type Loan struct {
	ID       uint64
	Upstream string
}

// Ask is what a holder tells a home, all in one message. Backlog and Held
// let the home compare needs.
type Ask struct {
	Holder  string
	Want    int
	Backlog int
	Held    int
	Return  []uint64
	Renew   []uint64
	Speed   float64 // least speed of an upstream that helps, 1 for the fastest
	Far     bool    // from another availability zone
	Fit     func(upstream string) bool
	Until   time.Time // how long the holder waits for a slot
}

// Grant is the answer: new loans, and the renewed ones. Recalled ones may
// finish their task but start no other. Returned are loans that the asker had
// given to the one who answers. Life counts from the sending of the ask.
type Grant struct {
	Loans    []Loan
	Renewed  []uint64
	Recalled []uint64
	Returned []uint64
	Life     time.Duration
}

// Options of a ledger. A home takes a slot back Margin after the deadline that
// the holder sees.
type Options struct {
	Life   time.Duration
	Margin time.Duration
	Now    func() time.Time
}

// arrival is a number of slots that came from another home and may still be
// in use there.
type arrival struct {
	count    int
	deadline time.Time
}

// stock is what this entry is home to on one upstream.
type stock struct {
	total    int
	busy     int
	lent     int
	arriving []arrival
}

func (s *stock) free() int {
	free := s.total - s.busy - s.lent
	for _, a := range s.arriving {
		free -= a.count
	}
	return free
}

// lease is one slot lent to a holder.
type lease struct {
	upstream string
	holder   string
	deadline time.Time
}

// credit is one slot borrowed from a home.
type credit struct {
	id       uint64
	home     string
	deadline time.Time
	busy     bool
	recalled bool
	idle     time.Time // since when it runs nothing
}

// waiter is a holder whose ask waits. What comes free for it is collected, so
// that one message brings many slots.
type waiter struct {
	ask   Ask
	grant Grant
	ready chan struct{}
}

// more tells whether the holder's need is still clearly greater than a demand.
func (w *waiter) more(demand float64) bool {
	got := len(w.grant.Loans) + len(w.grant.Returned)
	if got >= w.ask.Want {
		return false
	}
	need := float64(w.ask.Backlog-got) / float64(max(1, w.ask.Held+got))
	return demand == 0 || need > imbalance*demand
}

func (w *waiter) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// Ledger is safe for concurrent use.
type Ledger struct {
	options Options

	mu      sync.Mutex
	last    uint64
	stocks  map[string]*stock
	leases  map[uint64]*lease
	credits map[string][]*credit
	waiters []*waiter
}

// New makes an empty ledger.
func New(options Options) *Ledger {
	if options.Life == 0 {
		options.Life = time.Second
	}
	if options.Margin == 0 {
		options.Margin = options.Life / 4
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Ledger{
		options: options, stocks: map[string]*stock{}, leases: map[uint64]*lease{}, credits: map[string][]*credit{},
	}
}

// Set tells how many slots of an upstream have their home here. Slots that are
// gained wait for the longest loan that their last home can have given.
func (l *Ledger) Set(upstream string, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.stocks[upstream]
	if !ok {
		s = &stock{}
		l.stocks[upstream] = s
	}
	gained := total - s.total
	s.total = total
	if gained > 0 {
		deadline := l.options.Now().Add(l.options.Life + l.options.Margin)
		s.arriving = append(s.arriving, arrival{count: gained, deadline: deadline})
	}
	for gained < 0 && len(s.arriving) > 0 {
		last := len(s.arriving) - 1
		lost := min(-gained, s.arriving[last].count)
		s.arriving[last].count -= lost
		gained += lost
		if s.arriving[last].count == 0 {
			s.arriving = s.arriving[:last]
		}
	}
}

// Settle makes all gained slots usable at once, for an upstream that no entry
// can have used before.
func (l *Ledger) Settle(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.stocks[upstream]; ok {
		s.arriving = nil
	}
}

// Settled tells whether most gained slots can be used.
func (l *Ledger) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, waiting := 0, 0
	for _, s := range l.stocks {
		total += s.total
		for _, a := range s.arriving {
			waiting += a.count
		}
	}
	return waiting*4 <= total
}

// Forget drops an upstream that is gone.
func (l *Ledger) Forget(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.stocks, upstream)
	delete(l.credits, upstream)
	for id, lent := range l.leases {
		if lent.upstream == upstream {
			delete(l.leases, id)
		}
	}
}

// Expire takes back what is past its deadline. Call it often.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, s := range l.stocks {
		for len(s.arriving) > 0 && !s.arriving[0].deadline.After(now) {
			s.arriving = s.arriving[1:]
		}
	}
	for id, lent := range l.leases {
		if lent.deadline.Add(l.options.Margin).Before(now) {
			l.end(id, lent)
		}
	}
	for upstream, credits := range l.credits {
		kept := credits[:0]
		for _, c := range credits {
			if c.busy || c.deadline.After(now) {
				kept = append(kept, c)
			}
		}
		l.credits[upstream] = kept
	}
}

func (l *Ledger) end(id uint64, lent *lease) {
	delete(l.leases, id)
	if s, ok := l.stocks[lent.upstream]; ok {
		s.lent--
	}
}

// Free counts the slots of an upstream that may be used here now.
func (l *Ledger) Free(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := 0
	if s, ok := l.stocks[upstream]; ok {
		free = max(0, s.free())
	}
	now := l.options.Now()
	for _, c := range l.credits[upstream] {
		if c.usable(now) {
			free++
		}
	}
	return free
}

func (c *credit) usable(now time.Time) bool {
	return !c.busy && !c.recalled && c.deadline.After(now)
}

// Held counts the slots of an upstream that are here, busy or free.
func (l *Ledger) Held(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := len(l.credits[upstream])
	if s, ok := l.stocks[upstream]; ok {
		held += max(0, s.total-s.lent)
	}
	return held
}

// Take gives a permit if one is free. Own slots go first, so that borrowed
// ones can go back early. The deadline of a loan is checked here, before each start.
func (l *Ledger) Take(upstream string) (Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.stocks[upstream]; ok && s.free() > 0 {
		s.busy++
		return Permit{Upstream: upstream}, true
	}
	now := l.options.Now()
	for _, c := range l.credits[upstream] {
		if c.usable(now) {
			c.busy = true
			return Permit{Upstream: upstream, Home: c.home, ID: c.id}, true
		}
	}
	return Permit{}, false
}

// Put gives a permit back. Demand is the backlog of this entry by held slot;
// a holder that waits and needs the slot clearly more gets it.
func (l *Ledger) Put(p Permit, demand float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ID == 0 {
		if s, ok := l.stocks[p.Upstream]; ok {
			s.busy--
			l.offer(p.Upstream, s, demand)
		}
		return
	}
	for i, c := range l.credits[p.Upstream] {
		if c.id != p.ID || c.home != p.Home {
			continue
		}
		c.busy, c.idle = false, l.options.Now()
		if l.handBack(c, demand) {
			l.credits[p.Upstream] = append(l.credits[p.Upstream][:i], l.credits[p.Upstream][i+1:]...)
		}
		return
	}
}

// handBack puts a borrowed slot into the answer to its own home, if that waits
// and needs it more.
func (l *Ledger) handBack(c *credit, demand float64) bool {
	for _, w := range l.waiters {
		if w.ask.Holder == c.home && w.more(demand) {
			w.grant.Returned = append(w.grant.Returned, c.id)
			w.signal()
			return true
		}
	}
	return false
}

// imbalance is how much greater a holder's need by slot must be than the
// home's own before a slot changes hands.
const imbalance = 1.5

func (a Ask) demand() float64 { return float64(a.Backlog) / float64(max(1, a.Held)) }

func (l *Ledger) offer(upstream string, s *stock, demand float64) {
	if s.free() <= 0 {
		return
	}
	now := l.options.Now()
	for _, w := range l.waiters {
		if !w.more(demand) || (w.ask.Fit != nil && !w.ask.Fit(upstream)) {
			continue
		}
		w.grant.Loans = append(w.grant.Loans, l.lend(upstream, s, w.ask.Holder, now))
		w.signal()
		return
	}
}

func (l *Ledger) lend(upstream string, s *stock, holder string, now time.Time) Loan {
	l.last++
	s.lent++
	l.leases[l.last] = &lease{upstream: upstream, holder: holder, deadline: now.Add(l.options.Life)}
	return Loan{ID: l.last, Upstream: upstream}
}

// Offer is an upstream to lend from; Keep of its free slots stay here.
type Offer struct {
	Upstream string
	Keep     int
}

// Lend answers an ask from what is free now. Offers come in the order in which
// to give; demand is as for Put.
func (l *Ledger) Lend(ask Ask, offers []Offer, demand float64) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, id := range ask.Return {
		if lent, ok := l.leases[id]; ok && lent.holder == ask.Holder {
			l.end(id, lent)
		}
	}
	grant := Grant{Life: l.options.Life}
	l.renew(ask, demand, now, &grant)
	if ask.Want > 0 {
		l.handBackIdle(ask.Holder, &grant)
	}
	if ask.Far {
		ask.Want = min(ask.Want, l.spare(offers)/2)
	}
	for _, o := range offers {
		s, ok := l.stocks[o.Upstream]
		if !ok || (ask.Fit != nil && !ask.Fit(o.Upstream)) {
			continue
		}
		for len(grant.Loans) < ask.Want && s.free() > o.Keep {
			grant.Loans = append(grant.Loans, l.lend(o.Upstream, s, ask.Holder, now))
		}
	}
	return grant
}

// handBackIdle gives the asker its own slots back that were borrowed here and
// run nothing.
func (l *Ledger) handBackIdle(home string, grant *Grant) {
	for upstream, credits := range l.credits {
		kept := credits[:0]
		for _, c := range credits {
			if c.home == home && !c.busy {
				grant.Returned = append(grant.Returned, c.id)
				continue
			}
			kept = append(kept, c)
		}
		l.credits[upstream] = kept
	}
}

// spare counts the free slots of these upstreams. Other zones get half of them
// at a time, so that work of the own zone still finds room.
func (l *Ledger) spare(offers []Offer) int {
	spare := 0
	for _, o := range offers {
		if s, ok := l.stocks[o.Upstream]; ok {
			spare += max(0, s.free()-o.Keep)
		}
	}
	return spare
}

// renew extends the loans that run a task. One that the home needs more itself
// is recalled: it ends with its task.
func (l *Ledger) renew(ask Ask, demand float64, now time.Time, grant *Grant) {
	recall := demand > 0 && ask.demand() < demand
	for _, id := range ask.Renew {
		lent, ok := l.leases[id]
		if !ok || lent.holder != ask.Holder {
			continue
		}
		lent.deadline = now.Add(l.options.Life)
		grant.Renewed = append(grant.Renewed, id)
		if recall {
			grant.Recalled = append(grant.Recalled, id)
		}
	}
}

// Wait queues an ask that got nothing. The channel tells that something has
// come; the function takes the ask out and gives all that has come.
func (l *Ledger) Wait(ask Ask) (<-chan struct{}, func() Grant) {
	w := &waiter{ask: ask, ready: make(chan struct{}, 1)}
	l.mu.Lock()
	l.waiters = append(l.waiters, w)
	l.mu.Unlock()
	return w.ready, func() Grant { return l.leave(w) }
}

func (l *Ledger) leave(w *waiter) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			break
		}
	}
	return w.grant
}

// Waiting counts the holders that wait for a slot of this home.
func (l *Ledger) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// Receive takes a grant from a home; sent is when the ask was sent, from which
// all deadlines count, so that the holder's always come before the home's.
func (l *Ledger) Receive(home string, grant Grant, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range grant.Returned {
		if lent, ok := l.leases[id]; ok && lent.holder == home {
			l.end(id, lent)
		}
	}
	deadline := sent.Add(grant.Life)
	now := l.options.Now()
	for _, lent := range grant.Loans {
		c := &credit{id: lent.ID, home: home, deadline: deadline, idle: now}
		l.credits[lent.Upstream] = append(l.credits[lent.Upstream], c)
	}
	renewed := set(grant.Renewed)
	recalled := set(grant.Recalled)
	for _, credits := range l.credits {
		for _, c := range credits {
			if c.home == home && renewed[c.id] {
				c.deadline = deadline
				c.recalled = c.recalled || recalled[c.id]
			}
		}
	}
}

func set(ids []uint64) map[uint64]bool {
	if len(ids) == 0 {
		return nil
	}
	s := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		s[id] = true
	}
	return s
}

// Idle takes out borrowed slots to be returned, by home: where one has run
// nothing since the time long, all of that home go that have run nothing since
// the time short, in one message.
func (l *Ledger) Idle(long, short time.Time) map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	due := map[string]bool{}
	for _, credits := range l.credits {
		for _, c := range credits {
			if !c.busy && !c.idle.After(long) {
				due[c.home] = true
			}
		}
	}
	if len(due) == 0 {
		return nil
	}
	idle := map[string][]uint64{}
	for upstream, credits := range l.credits {
		kept := credits[:0]
		for _, c := range credits {
			if c.busy || !due[c.home] || c.idle.After(short) {
				kept = append(kept, c)
				continue
			}
			idle[c.home] = append(idle[c.home], c.id)
		}
		l.credits[upstream] = kept
	}
	return idle
}

// Ending lists the loans to renew, by home: all that run a task, as soon as one
// of that home is past half its life, so that one message renews them together.
func (l *Ledger) Ending() map[string][]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ending := map[string][]uint64{}
	due := map[string]bool{}
	soon := l.options.Now().Add(l.options.Life / 2)
	for _, credits := range l.credits {
		for _, c := range credits {
			if c.busy {
				ending[c.home] = append(ending[c.home], c.id)
				due[c.home] = due[c.home] || c.deadline.Before(soon)
			}
		}
	}
	for home := range ending {
		if !due[home] {
			delete(ending, home)
		}
	}
	return ending
}

// Totals counts the slots at home here, lent and borrowed.
func (l *Ledger) Totals() (int, int, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	home, borrowed := 0, 0
	for _, s := range l.stocks {
		home += s.total
	}
	for _, credits := range l.credits {
		borrowed += len(credits)
	}
	return home, len(l.leases), borrowed
}
