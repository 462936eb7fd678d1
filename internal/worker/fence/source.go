// Package fence makes fencing tokens that rise and that no two holders share.
package fence

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A token is a count above the bits that tell its holder. Both together stay
// under 2^53, the largest count that JSON readers keep exactly.
const (
	holderBits = 20
	countBits  = 33
)

// stepsPerSecond is how fast the base of fresh claims rises with the time of
// day: 33 bits last for 17 years.
const stepsPerSecond = 16

// claimStep is the least distance between the bases of two claims. A holder
// raises the token of one worker a few times at most while it holds a group.
const minEpochStep = 16

// epoch is the Unix second at which the count begins, 2026-01-01.
const countStart = 1767225600

// HolderNumber tells one life of an entry from others, in the bits of a token.
func HolderNumber(id string, incarnation uint64) uint64 {
	return (xxhash.Sum64String(id) ^ incarnation) % (1 << holderBits)
}

// NextEpoch is the count at which the tokens of a claim begin, and the claim's epoch:
// above that of the claim before it, where one is known. The time of day alone puts it above claims
// that are not known any more.
func NextEpoch(previous uint64, now time.Time) uint64 {
	count := uint64(max(1, (now.UnixMilli()-countStart*1000)*stepsPerSecond/1000))
	if previous > 0 {
		count = max(count, previous+minEpochStep)
	}
	return min(count, 1<<countBits-minEpochStep)
}

// TokenSource gives the tokens of one claim. It is safe for concurrent use.
type TokenSource struct {
	mu        sync.Mutex
	holder    int64
	base      int64
	stride    int64
	lastCount map[string]int64 // the last count, by worker
}

// New makes a source; holder is a number that other holders do not have.
func New(holder, base uint64) *TokenSource {
	return &TokenSource{holder: int64(holder % (1 << holderBits)), base: int64(base), stride: 1, lastCount: map[string]int64{}}
}

// Next gives a token for a worker above all that it was given before.
func (s *TokenSource) Next(worker string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.base
	if last, before := s.lastCount[worker]; before {
		count = max(count, last+1)
	}
	count = min(count, 1<<countBits-1)
	s.lastCount[worker] = count
	return count<<holderBits | s.holder
}

// RaiseBase lifts the base each time that a worker has refused a token, by longer and
// longer strides, so that a holder whose clock is behind soon passes the others.
func (s *TokenSource) RaiseBase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base = min(s.base+s.stride, 1<<countBits-2)
	s.stride = min(s.stride*2, stepsPerSecond*3600)
}
