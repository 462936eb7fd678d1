// Package wait sleeps until a duration has passed or a context ends.
package wait

import (
	"context"
	"time"
)

// For waits until the duration has passed or the context ends, and reports whether
// the full duration passed.
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
