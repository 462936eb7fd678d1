// Package wait sleeps for a span that the end of a context cuts short.
package wait

import (
	"context"
	"time"
)

// For waits for the span and tells whether it passed whole; the end of the
// context ends it sooner.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
