package order

import (
	"testing"
	"time"
)

// TestDelay guards against priorities that come in the wrong order, and against low ones that delay a job
// for longer than its client waits.
func TestDelay(t *testing.T) {
	if Delay(0) != 0 || Delay(-3) != 0 || Delay(1) >= Delay(2) || Delay(1) <= 0 || Delay(1<<62) > time.Second {
		t.Errorf("%v %v %v %v %v", Delay(0), Delay(-3), Delay(1), Delay(2), Delay(1<<62))
	}
}
