// Package fence issues fencing tokens, which increase over time and are never shared
// by two holders.
package fence

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A token consists of a count in the high bits and the number of its holder in the low
// bits. It stays below 2^53, up to which JSON readers represent integers exactly.
const (
	holderBits = 20
	countBits  = 33
)

// stepsPerSecond is how fast the first count of new claims increases with time. At
// this rate 33 bits last for 17 years.
const stepsPerSecond = 16

// minEpochStep is the smallest difference between the epochs of two claims. A holder
// raises the token of one worker at most a few times during a claim.
const minEpochStep = 16

// countStart is the Unix time at which counts start, 2026-01-01.
const countStart = 1767225600

// HolderNumber returns the number that identifies an incarnation of an entry in its
// tokens. It is a hash of holderBits bits.
func HolderNumber(id string, incarnation uint64) uint64 {
	return (xxhash.Sum64String(id) ^ incarnation) % (1 << holderBits)
}

// NextEpoch returns the epoch of a new claim, which is also the first count of its
// tokens. previous is the epoch of the last known claim on the group, 0 if there is
// none; the new epoch is above it. Since epochs also increase with time, it is above
// those of claims that have been forgotten.
func NextEpoch(previous uint64, now time.Time) uint64 {
	count := uint64(max(1, (now.UnixMilli()-countStart*1000)*stepsPerSecond/1000))
	if previous > 0 {
		count = max(count, previous+minEpochStep)
	}
	return min(count, 1<<countBits-minEpochStep)
}

// TokenSource issues the tokens of one claim. It is safe for concurrent use.
type TokenSource struct {
	mu        sync.Mutex
	holder    int64
	base      int64
	stride    int64
	lastCount map[string]int64 // by worker
}

// New returns a TokenSource that starts at base, the epoch of the claim. holder must
// differ from the numbers of all other holders, see HolderNumber.
func New(holder, base uint64) *TokenSource {
	return &TokenSource{holder: int64(holder % (1 << holderBits)), base: int64(base), stride: 1, lastCount: map[string]int64{}}
}

// Next returns a token for a worker that is above all earlier tokens for it.
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

// RaiseBase raises the base after a worker has refused a token. The stride doubles
// each time, up to the counts of an hour, so that a holder whose clock is behind soon
// exceeds the tokens of others.
func (s *TokenSource) RaiseBase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base = min(s.base+s.stride, 1<<countBits-2)
	s.stride = min(s.stride*2, stepsPerSecond*3600)
}
