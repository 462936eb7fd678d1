package holder

import "time"

// patience learns how long workers take to answer orders, and gives the time after
// which an answer counts as lost. A fixed time would be too long for tasks of some
// tens of milliseconds, or too short for a slow VM, which would fence its workers
// over and over.
type answerTimeout struct {
	mean      time.Duration // of answers, late ones weighed more
	lostInRow int           // in a row
}

// Bounds of the time for an answer.
const (
	minAnswerTimeout = 100 * time.Millisecond // some lost packets on the way
	maxAnswerTimeout = 400 * time.Millisecond // less than half of the lease
	meanFactor       = 12                     // times the mean
	riseDivisor      = 4                      // a fourth of a longer time than the mean counts at once
	fallDivisor      = 64                     // of a shorter one
	lostAnswersLimit = 3                      // answers lost in a row: the own VM is slow, not a worker
)

// observe takes the time that an answer took.
func (p *answerTimeout) observe(took time.Duration) {
	p.lostInRow = 0
	if took > p.mean {
		p.mean += (took - p.mean) / riseDivisor
		return
	}
	p.mean -= (p.mean - took) / fallDivisor
}

// miss notes that no answer came in time.
func (p *answerTimeout) noteLost() { p.lostInRow++ }

// span is the time to wait for an answer.
func (p *answerTimeout) current() time.Duration {
	if p.mean == 0 || p.lostInRow >= lostAnswersLimit {
		return maxAnswerTimeout // nothing is known, or no longer
	}
	return min(max(p.mean*meanFactor, minAnswerTimeout), maxAnswerTimeout)
}
