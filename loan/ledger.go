// Package loan accounts for the slots of upstreams that an entry may use: those
// that have their home at the entry, those it lends to others and those it has
// borrowed. Each loan has a deadline.
package loan

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Permit is the right to run one task on an upstream. ID is that of the loan, 0
// for a slot that has its home at this entry.
type Permit struct {
	Upstream string
	Home     string
	ID       uint64
}

// Loan is one slot lent to another entry.
type Loan struct {
	ID       uint64
	Upstream string
}

// Request is a message of a borrower to the home of the slots. One message may
// request slots, return loans and renew others. From Backlog and HeldSlots the
// home computes the borrower's backlog per held slot and compares it with its own.
type Request struct {
	Borrower  string
	Wanted    int // slots
	Backlog   int // tasks that wait at the borrower
	HeldSlots int // slots that the borrower holds
	ReturnIDs []uint64
	RenewIDs  []uint64
	MinSpeed  float64                    // minimum speed of an upstream, 1 for the fastest
	CrossZone bool                       // the borrower is in another availability zone
	Suits     func(upstream string) bool // reports whether an upstream is of use; set by the home, nil for any upstream
	WaitUntil time.Time                  // until when the borrower waits for a slot
}

// Grant is the home's answer: new loans and renewed ones. On a recalled loan, the
// running task may finish but no other may start. Returned lists loans that the
// home had borrowed from the requester and returns with this answer. Duration
// counts from when the request was sent.
type Grant struct {
	Loans    []Loan
	Renewed  []uint64
	Recalled []uint64
	Returned []uint64
	Duration time.Duration
}

// Options configures a Ledger. If a lent slot is not returned, its home reclaims it
// GracePeriod after the deadline of the loan. LoanDuration is 1 s by default and
// GracePeriod a quarter of LoanDuration. LoanDuration should be the same on all
// entries, since SetHomeSlots derives from it how long loans of another home can last.
type Options struct {
	LoanDuration time.Duration
	GracePeriod  time.Duration
	Now          func() time.Time
}

// gainedSlots are slots whose home has moved here and which the previous home
// may still use or lend until the deadline.
type gainedSlots struct {
	count    int
	deadline time.Time
}

// homeSlots are the slots of one upstream that have their home here.
type homeSlots struct {
	total  int
	busy   int
	lent   int
	gained []gainedSlots
}

func (s *homeSlots) free() int {
	free := s.total - s.busy - s.lent
	for _, g := range s.gained {
		free -= g.count
	}
	return free
}

// lentSlot is one slot lent to a borrower.
type lentSlot struct {
	upstream string
	borrower string
	deadline time.Time
}

// Ledger accounts for the slots of an entry. It is safe for concurrent use.
type Ledger struct {
	options Options

	mu        sync.Mutex
	lastID    uint64 // begins at random, since borrowers may still name loans of an earlier incarnation
	homeSlots map[string]*homeSlots
	lent      map[uint64]*lentSlot
	borrowed  map[string][]*borrowedSlot
	waiters   []*waiter
}

// New returns an empty ledger. Zero options get defaults.
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
		options: options, lastID: uint64(rand.Uint32()), homeSlots: map[string]*homeSlots{}, lent: map[uint64]*lentSlot{}, borrowed: map[string][]*borrowedSlot{},
	}
}

// SetHomeSlots sets how many slots of an upstream have their home here. Gained
// slots become usable when any loan that their previous home may have granted has
// ended.
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

// ActivateGained makes all gained slots of an upstream usable at once. Use it
// only if no entry can have used the upstream before.
func (l *Ledger) ActivateGained(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.homeSlots[upstream]; ok {
		s.gained = nil
	}
}

// MostlyActive reports whether at most a quarter of the home slots are gained
// ones that are not usable yet.
func (l *Ledger) MostlyActive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, waiting := 0, 0
	for _, s := range l.homeSlots {
		total += s.total
		for _, g := range s.gained {
			waiting += g.count
		}
	}
	return waiting*4 <= total
}

// RemoveUpstream removes an upstream that no longer exists, with its loans.
func (l *Ledger) RemoveUpstream(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.homeSlots, upstream)
	delete(l.borrowed, upstream)
	for id, slot := range l.lent {
		if slot.upstream == upstream {
			delete(l.lent, id)
		}
	}
}

// Expire ends the loans that are past their deadline and makes gained slots usable
// when their deadline has passed. It must be called regularly.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, s := range l.homeSlots {
		for len(s.gained) > 0 && !s.gained[0].deadline.After(now) {
			s.gained = s.gained[1:]
		}
	}
	for id, slot := range l.lent {
		if slot.deadline.Add(l.options.GracePeriod).Before(now) {
			l.endLoan(id, slot)
		}
	}
	for upstream, slots := range l.borrowed {
		kept := slots[:0]
		for _, slot := range slots {
			if slot.busy || slot.deadline.After(now) {
				kept = append(kept, slot)
			}
		}
		l.borrowed[upstream] = kept
	}
}

func (l *Ledger) endLoan(id uint64, slot *lentSlot) {
	delete(l.lent, id)
	if s, ok := l.homeSlots[slot.upstream]; ok {
		s.lent--
	}
}

// FreeSlots counts the slots of an upstream on which a task may start here now.
func (l *Ledger) FreeSlots(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := 0
	if s, ok := l.homeSlots[upstream]; ok {
		free = max(0, s.free())
	}
	now := l.options.Now()
	for _, slot := range l.borrowed[upstream] {
		if slot.usable(now) {
			free++
		}
	}
	return free
}

// HeldSlots counts the slots of an upstream that this entry holds, busy or
// free.
func (l *Ledger) HeldSlots(upstream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := len(l.borrowed[upstream])
	if s, ok := l.homeSlots[upstream]; ok {
		held += max(0, s.total-s.lent)
	}
	return held
}

// Acquire returns a permit if a slot of the upstream is free. It prefers home
// slots, so that borrowed ones can be returned early. The deadline of a loan is
// checked here, before each start of a task.
func (l *Ledger) Acquire(upstream string) (Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.homeSlots[upstream]; ok && s.free() > 0 {
		s.busy++
		return Permit{Upstream: upstream}, true
	}
	now := l.options.Now()
	for _, slot := range l.borrowed[upstream] {
		if slot.usable(now) {
			slot.busy = true
			return Permit{Upstream: upstream, Home: slot.home, ID: slot.id}, true
		}
	}
	return Permit{}, false
}

// Release ends the use of a permit. backlogPerSlot is the number of tasks that wait
// here per held slot. A home slot is granted to the first waiting request whose
// borrower has more than 1.5 times as large a backlog per slot, or to any waiting
// request if no task waits here. A borrowed slot is granted to its home alone, on the
// same condition.
func (l *Ledger) Release(p Permit, backlogPerSlot float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.ID == 0 {
		if s, ok := l.homeSlots[p.Upstream]; ok {
			s.busy--
			l.offerToWaiter(p.Upstream, s, backlogPerSlot)
		}
		return
	}
	for i, slot := range l.borrowed[p.Upstream] {
		if slot.id != p.ID || slot.home != p.Home {
			continue
		}
		slot.busy, slot.idleSince = false, l.options.Now()
		if l.returnToHome(slot, backlogPerSlot) {
			l.borrowed[p.Upstream] = append(l.borrowed[p.Upstream][:i], l.borrowed[p.Upstream][i+1:]...)
		}
		return
	}
}

// Totals returns the numbers of home slots, of slots lent and of slots borrowed.
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
	return home, len(l.lent), borrowed
}
