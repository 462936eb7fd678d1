package holder

import "time"

// answerTimeout adapts the timeout of orders to the answer times of workers. A fixed
// timeout would be too long for tasks of some tens of milliseconds, or too short for
// a slow VM, which would fence its workers over and over.
type answerTimeout struct {
	mean      time.Duration // moving average of answer times, rising faster than it falls
	lostInRow int           // answers lost since the last one that arrived
}

// Parameters of the timeout.
const (
	minAnswerTimeout = 100 * time.Millisecond // leaves time to resend some lost packets
	maxAnswerTimeout = 400 * time.Millisecond // must stay below half of the lease
	meanFactor       = 12                     // timeout as a multiple of the mean
	riseDivisor      = 4                      // an answer slower than the mean moves it by 1/riseDivisor of the difference
	fallDivisor      = 64                     // a faster one by 1/fallDivisor
	maxCopies        = 4                      // how often an order without an answer is sent in all, within its timeout
	slowAnswerTime   = 50 * time.Millisecond  // a longer mean shows that the own VM is slow; copies would make it slower
	lostAnswersLimit = 3                      // after so many lost answers in a row the own VM is assumed to be slow, not a worker
)

// observe records the time that an answer took.
func (t *answerTimeout) observe(took time.Duration) {
	t.lostInRow = 0
	if took > t.mean {
		t.mean += (took - t.mean) / riseDivisor
		return
	}
	t.mean -= (t.mean - took) / fallDivisor
}

// noteLost records that no answer arrived in time.
func (t *answerTimeout) noteLost() { t.lostInRow++ }

// current returns the timeout for the next order.
func (t *answerTimeout) current() time.Duration {
	if t.mean == 0 || t.lostInRow >= lostAnswersLimit {
		return maxAnswerTimeout // no answer times yet, or outdated ones
	}
	return min(max(t.mean*meanFactor, minAnswerTimeout), maxAnswerTimeout)
}

// copies returns how often the next order may be sent in all while it has no answer.
func (t *answerTimeout) copies() int {
	if t.mean > slowAnswerTime || t.lostInRow >= lostAnswersLimit {
		return 1
	}
	return maxCopies
}

// copyInterval returns the time after which an order without an answer is sent again.
func (t *answerTimeout) copyInterval() time.Duration { return t.current() / maxCopies }
