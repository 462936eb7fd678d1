package holder

import (
	"testing"
	"time"
)

// TestShortLeaseIsRenewedInTime guards against runs that lapse while a hold waits: their lease ends soon, or could
// not be renewed before an entry asked for them.
func TestShortLeaseIsRenewedInTime(t *testing.T) {
	now := time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		end  time.Time
		want time.Duration
	}{
		{"a full lease", now.Add(1020 * time.Millisecond), holdWait},
		{"a shorter one", now.Add(800 * time.Millisecond), 200 * time.Millisecond},
		{"one that ends soon", now.Add(300 * time.Millisecond), minHoldWait},
		{"none", time.Time{}, minHoldWait},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := renewalWait(c.end, now); got != c.want {
				t.Errorf("the hold waits %v, want %v", got, c.want)
			}
		})
	}
}
