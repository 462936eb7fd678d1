// Package fence makes fencing tokens that rise and that no two holders share.
package fence

import (
	"sync"
	"time"
)

// A token is a count above the bits that tell its holder. Both together stay
// under 2^53, the largest count that JSON readers keep exactly.
const (
	holderBits = 20
	countBits  = 33
)

// stepsPerSecond is how fast the count of fresh holders rises with the time of
// day: 33 bits last for 34 years.
const stepsPerSecond = 8

// epoch is the Unix second at which the count begins, 2026-01-01.
const epoch = 1767225600

// Source gives the tokens of one holder. It is safe for concurrent use.
type Source struct {
	mu     sync.Mutex
	holder int64
	count  int64
	jump   int64
}

// New makes a source; holder is any number that other holders do not have. The
// time of day only helps a fresh holder to begin above earlier ones: a token
// that a worker refuses is raised until it does not.
func New(holder uint64, now time.Time) *Source {
	count := max(1, (now.Unix()-epoch)*stepsPerSecond)
	return &Source{holder: int64(holder % (1 << holderBits)), count: count, jump: 1}
}

// Next gives a token above all before it.
func (s *Source) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count = min(s.count+1, 1<<countBits-1)
	return s.count<<holderBits | s.holder
}

// Raise takes longer strides each time that a worker has refused a token, so that a
// holder whose clock is behind soon passes the others.
func (s *Source) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count = min(s.count+s.jump, 1<<countBits-2)
	s.jump = min(s.jump*2, stepsPerSecond*3600)
}
