package holder

import "time"

// patience learns how long workers take to answer orders, and gives the time after
// which an answer counts as lost. A fixed time would be too long for tasks of some
// tens of milliseconds, or too short for a slow VM, which would fence its workers
// over and over.
type patience struct {
	mean time.Duration // of answers, late ones weighed more
	lost int           // in a row
}

// Bounds of the time for an answer.
const (
	patienceLeast  = 100 * time.Millisecond // some lost packets on the way
	patienceMost   = 400 * time.Millisecond // less than half of the lease
	patienceFactor = 12                     // times the mean
	patienceRise   = 4                      // a fourth of a longer time than the mean counts at once
	patienceFall   = 64                     // of a shorter one
	patienceLost   = 3                      // answers lost in a row: the own VM is slow, not a worker
)

// observe takes the time that an answer took.
func (p *patience) observe(took time.Duration) {
	p.lost = 0
	if took > p.mean {
		p.mean += (took - p.mean) / patienceRise
		return
	}
	p.mean -= (p.mean - took) / patienceFall
}

// miss notes that no answer came in time.
func (p *patience) miss() { p.lost++ }

// span is the time to wait for an answer.
func (p *patience) span() time.Duration {
	if p.mean == 0 || p.lost >= patienceLost {
		return patienceMost // nothing is known, or no longer
	}
	return min(max(p.mean*patienceFactor, patienceLeast), patienceMost)
}
