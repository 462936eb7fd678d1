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
