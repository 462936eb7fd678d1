package holder

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
)

// clockReading is the time that the clock of a worker showed when an answer came, or earlier.
type clockReading struct {
	milli  int64
	readAt time.Time
}

// until returns a time on the worker's clock in milliseconds that it shows by a time at the latest, even if
// it is slow.
func (r clockReading) until(end time.Time) int64 {
	return r.milli + plan.SlowestClock(end.Sub(r.readAt)).Milliseconds()
}

// workerClock holds readings of the clock of one incarnation of a worker. The zero value has none.
type workerClock struct {
	latest clockReading
	// before is a reading from before the last message for which a lease is granted, and next the one that
	// replaces it. The clock of this process stands still while its VM is suspended, so that a lease which
	// is computed from a later reading would outlast the interest.
	before, next clockReading
}

// note records a reading. span is how old a message may be for which a lease is granted.
func (c *workerClock) note(r clockReading, span time.Duration) {
	c.latest = r
	switch {
	case c.before.readAt.IsZero():
		c.before, c.next = r, r
	case r.readAt.Sub(c.next.readAt) >= span:
		c.before, c.next = c.next, r
	}
}

// until returns the end of a lease on the worker's clock in milliseconds, such that the lease has
// expired by a time. It returns 0 for the zero time, and while the clock is unknown.
func (c *workerClock) until(end time.Time) int64 {
	if end.IsZero() || c.latest.readAt.IsZero() {
		return 0
	}
	return min(c.latest.until(end), c.before.until(end))
}
