package holder

import (
	"context"
	"errors"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// answer is the outcome of a call that may have been sent several times.
type answer struct {
	report platform.Report
	err    error         // of the last copy that failed, if none was answered
	took   time.Duration // from sending the answered copy to its answer
	copies int           // number of copies sent
	lastAt time.Time     // when the last copy was sent
	// undelivered reports whether no copy can have taken effect, or will.
	undelivered bool
}

// sendRepeatedly sends a call to a worker and returns its first answer, or an error when ctx
// ends. A copy that has not been answered within the interval, or whose connection broke, is
// followed by another one, up to the limit and as long as mayRepeat allows it; earlier copies
// may still be answered. The call must be one that has no further effect on a worker that has
// executed it already. Copies may be executed after sendRepeatedly has returned.
func (s *session) sendRepeatedly(ctx context.Context, limit int, interval time.Duration, send func(ctx context.Context) (platform.Report, error), mayRepeat func() bool) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, limit)
	sent, pending, uncertain := 0, 0, false
	var lastAt time.Time
	sendCopy := func() {
		sent++
		pending++
		lastAt = time.Now()
		s.holder.goroutines.Go(func() {
			sentAt := time.Now()
			report, err := send(ctx)
			answers <- answer{report: report, err: err, took: time.Since(sentAt)}
		})
	}
	sendCopy()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			pending--
			a.copies, a.lastAt = sent, lastAt
			if a.err == nil || ctx.Err() != nil {
				return a
			}
			uncertain = uncertain || mayHaveEffect(a.err)
			// A broken connection is replaced at once.
			if sent < limit && mayRepeat() {
				sendCopy()
				continue
			}
			if pending == 0 {
				a.undelivered = !uncertain
				return a
			}
		case <-timer.C:
			if sent < limit && mayRepeat() {
				sendCopy()
			}
			timer.Reset(interval)
		case <-ctx.Done():
			return answer{err: ctx.Err(), copies: sent, lastAt: lastAt}
		}
	}
}

// mayHaveEffect reports whether a call that failed may have taken effect nevertheless.
func mayHaveEffect(err error) bool {
	failure := new(platform.Error)
	return !errors.As(err, &failure) || failure.Uncertain
}
