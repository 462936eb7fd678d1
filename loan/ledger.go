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

// Request is what a holder tells a home, all in one message. Backlog and Held
// let the home compare needs.
type Request struct {
	Holder    string
	Wanted    int
	Backlog   int
	HeldSlots int
	ReturnIDs []uint64
	RenewIDs  []uint64
	MinSpeed  float64 // least speed of an upstream that helps, 1 for the fastest
	CrossZone bool    // from another availability zone
	Suits     func(upstream string) bool
	WaitUntil time.Time // how long the holder waits for a slot
}

// Grant is the answer: new loans, and the renewed ones. Recalled ones may
// finish their task but start no other. Returned are loans that the asker had
// given to the one who answers. Life counts from the sending of the ask.
type Grant struct {
	Loans    []Loan
	Renewed  []uint64
	Recalled []uint64
	Returned []uint64
	Duration time.Duration
}

// Options of a ledger. A home takes a slot back Margin after the deadline that
// the holder sees.
type Options struct {
	LoanDuration time.Duration
	GracePeriod  time.Duration
	Now          func() time.Time
}

// gainedSlots is a number of slots that came from another home and may still be
// in use there.
type gainedSlots struct {
	count    int
	deadline time.Time
}

// homeSlots is what this entry is home to on one upstream.
type homeSlots struct {
	total  int
	busy   int
	lent   int
	gained []gainedSlots
}

func (s *homeSlots) free() int {
	free := s.total - s.busy - s.lent
	for _, a := range s.gained {
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

	mu        sync.Mutex
	lastID    uint64
	homeSlots map[string]*homeSlots
	leases    map[uint64]*lease
	borrowed  map[string][]*borrowedSlot
	waiters   []*waiter
}

// New makes an empty ledger.
func New(options Options) *Ledger {
	if options.LoanDuration == 0 {
		options.LoanDuration = time.Second
	}
	if options.GracePeriod == 0 {
		options.GracePeriod = options.LoanDuration / 4
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Ledger{
		options: options, homeSlots: map[string]*homeSlots{}, leases: map[uint64]*lease{}, borrowed: map[string][]*borrowedSlot{},
	}
}

// SetHomeSlots tells how many slots of an upstream have their home here. Slots that are
// gained wait for the longest loan that their last home can have given.
func (l *Ledger) SetHomeSlots(upstream string, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.homeSlots[upstream]
	if !ok {
		s = &homeSlots{}
		l.homeSlots[upstream] = s
	}
	gained := total - s.total
	s.total = total
	if gained > 0 {
		deadline := l.options.Now().Add(l.options.LoanDuration + l.options.GracePeriod)
		s.gained = append(s.gained, gainedSlots{count: gained, deadline: deadline})
	}
	for gained < 0 && len(s.gained) > 0 {
		last := len(s.gained) - 1
		lost := min(-gained, s.gained[last].count)
		s.gained[last].count -= lost
		gained += lost
		if s.gained[last].count == 0 {
			s.gained = s.gained[:last]
		}
	}
}

// ActivateGained makes all gained slots usable at once, for an upstream that no entry
// can have used before.
func (l *Ledger) ActivateGained(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.homeSlots[upstream]; ok {
		s.gained = nil
	}
}

// MostlyActive tells whether most gained slots can be used.
func (l *Ledger) MostlyActive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, waiting := 0, 0
	for _, s := range l.homeSlots {
		total += s.total
		for _, a := range s.gained {
			waiting += a.count
		}
	}
	return waiting*4 <= total
}

// RemoveUpstream drops an upstream that is gone.
func (l *Ledger) RemoveUpstream(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.homeSlots, upstream)
	delete(l.borrowed, upstream)
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
	for _, s := range l.homeSlots {
		for len(s.gained) > 0 && !s.gained[0].deadline.After(now) {
			s.gained = s.gained[1:]
		}
	}
	for id, lent := range l.leases {
		if lent.deadline.Add(l.options.GracePeriod).Before(now) {
			l.endLease(id, lent)
		}
	}
	for upstream, slots := range l.borrowed {
		kept := slots[:0]
		for _, c := range slots {
			if c.busy || c.deadline.After(now) {
				kept = append(kept, c)
			}
		}
		l.borrowed[upstream] = kept
	}
}

func (l *Ledger) endLease(id uint64, lent *lease) {
	delete(l.leases, id)
	if s, ok := l.homeSlots[lent.upstream]; ok {
		s.lent--
	}
}

// FreeSlots counts the slots of an upstream that may be used here now.
func (l *Ledger) FreeSlots(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := 0
	if s, ok := l.homeSlots[upstream]; ok {
		free = max(0, s.free())
	}
	now := l.options.Now()
	for _, c := range l.borrowed[upstream] {
		if c.usable(now) {
			free++
		}
	}
	return free
}

// HeldSlots counts the slots of an upstream that are here, busy or free.
func (l *Ledger) HeldSlots(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := len(l.borrowed[upstream])
	if s, ok := l.homeSlots[upstream]; ok {
		held += max(0, s.total-s.lent)
	}
	return held
}

// Acquire gives a permit if one is free. Own slots go first, so that borrowed
// ones can go back early. The deadline of a loan is checked here, before each start.
func (l *Ledger) Acquire(upstream string) (Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.homeSlots[upstream]; ok && s.free() > 0 {
		s.busy++
		return Permit{Upstream: upstream}, true
	}
	now := l.options.Now()
	for _, c := range l.borrowed[upstream] {
		if c.usable(now) {
			c.busy = true
			return Permit{Upstream: upstream, Home: c.home, ID: c.id}, true
		}
	}
	return Permit{}, false
}

// Release gives a permit back. Demand is the backlog of this entry by held slot;
// a holder that waits and needs the slot clearly more gets it.
func (l *Ledger) Release(p Permit, demand float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ID == 0 {
		if s, ok := l.homeSlots[p.Upstream]; ok {
			s.busy--
			l.offerToWaiter(p.Upstream, s, demand)
		}
		return
	}
	for i, c := range l.borrowed[p.Upstream] {
		if c.id != p.ID || c.home != p.Home {
			continue
		}
		c.busy, c.idleSince = false, l.options.Now()
		if l.returnToHome(c, demand) {
			l.borrowed[p.Upstream] = append(l.borrowed[p.Upstream][:i], l.borrowed[p.Upstream][i+1:]...)
		}
		return
	}
}

// Totals counts the slots at home here, lent and borrowed.
func (l *Ledger) Totals() (int, int, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	home, borrowed := 0, 0
	for _, s := range l.homeSlots {
		home += s.total
	}
	for _, slots := range l.borrowed {
		borrowed += len(slots)
	}
	return home, len(l.leases), borrowed
}
