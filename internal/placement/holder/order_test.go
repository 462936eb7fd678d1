package holder

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestEndsInAnyOrderAreSeen guards against a lost end: a worker lists its ends in another order than
// that of their numbers, and the lower ones count as seen, so that they are acknowledged unread.
func TestEndsInAnyOrderAreSeen(t *testing.T) {
	s := &session{holder: &Holder{options: Options{CountCall: func(string) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}}}
	list := func(sequences ...int64) int {
		var report platform.Report
		for _, n := range sequences {
			report.Ended = append(report.Ended, platform.EndedTask{Sequence: n, Task: "a.0.0.0", Run: 1, Outcome: platform.Done})
		}
		return len(s.planReport(report, false, time.Time{}).Ended)
	}
	if got := list(3, 1, 2); got != 3 || s.seenSequence != 3 {
		t.Errorf("%d of 3 ends seen, up to number %d", got, s.seenSequence)
	}
	if got := list(4, 3, 2, 1); got != 1 || s.seenSequence != 4 {
		t.Errorf("%d ends seen that are new, want 1, up to number %d", got, s.seenSequence)
	}
}
