package holder

import (
	"testing"
	"time"
)

// TestPatience replays the answer times of workers: of a calm zone, of one in which
// some answers are lost, and of a holder whose VM becomes slow.
func TestAnswerTimeout(t *testing.T) {
	calm := func(int) time.Duration { return 3 * time.Millisecond }
	tests := []struct {
		name        string
		answer      func(i int) time.Duration // 0 where it is lost
		least, most time.Duration
	}{
		{"calm", calm, minAnswerTimeout, minAnswerTimeout},
		{"one answer in twenty is lost", func(i int) time.Duration {
			if i%20 == 19 {
				return 0
			}
			return 3 * time.Millisecond
		}, minAnswerTimeout, 150 * time.Millisecond},
		{"the VM becomes slow at once", func(i int) time.Duration {
			if i < 500 {
				return 3 * time.Millisecond
			}
			return 200 * time.Millisecond
		}, maxAnswerTimeout, maxAnswerTimeout},
		{"the VM is slow no longer", func(i int) time.Duration {
			if i < 500 {
				return 90 * time.Millisecond
			}
			return 3 * time.Millisecond
		}, minAnswerTimeout, minAnswerTimeout},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var p answerTimeout
			if p.current() != maxAnswerTimeout {
				t.Fatalf("%v while nothing is known", p.current())
			}
			for i := range 1000 {
				if took := c.answer(i); took > 0 && took <= p.current() {
					p.observe(took)
				} else {
					p.noteLost()
				}
			}
			if got := p.current(); got < c.least || got > c.most {
				t.Fatalf("waits %v, want %v to %v", got, c.least, c.most)
			}
		})
	}
}
