package holder

import (
	"testing"
	"time"
)

// TestPatience replays the answer times of workers: of a calm zone, of one in which
// some answers are lost, and of a holder whose VM becomes slow.
func TestPatience(t *testing.T) {
	calm := func(int) time.Duration { return 3 * time.Millisecond }
	tests := []struct {
		name        string
		answer      func(i int) time.Duration // 0 where it is lost
		least, most time.Duration
	}{
		{"calm", calm, patienceLeast, patienceLeast},
		{"one answer in twenty is lost", func(i int) time.Duration {
			if i%20 == 19 {
				return 0
			}
			return 3 * time.Millisecond
		}, patienceLeast, 150 * time.Millisecond},
		{"the VM becomes slow at once", func(i int) time.Duration {
			if i < 500 {
				return 3 * time.Millisecond
			}
			return 200 * time.Millisecond
		}, patienceMost, patienceMost},
		{"the VM is slow no longer", func(i int) time.Duration {
			if i < 500 {
				return 90 * time.Millisecond
			}
			return 3 * time.Millisecond
		}, patienceLeast, patienceLeast},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var p patience
			if p.span() != patienceMost {
				t.Fatalf("%v while nothing is known", p.span())
			}
			for i := range 1000 {
				if took := c.answer(i); took > 0 && took <= p.span() {
					p.observe(took)
				} else {
					p.miss()
				}
			}
			if got := p.span(); got < c.least || got > c.most {
				t.Fatalf("waits %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}
