package history

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestUnservedJobIsAViolation guards against a check that passes over jobs that are not served after the faults. It
// may pass over a refusal for lack of time only, while long jobs have two thirds of the slots.
func TestUnservedJobIsAViolation(t *testing.T) {
	refused := func(reason string) batch.Result { return batch.Result{State: batch.Refused, Reason: reason} }
	tests := []struct {
		name     string
		result   batch.Result
		longRuns int
		allowed  bool
	}{
		{"refused for lack of time beside many long runs", refused(reasonTooLate), overloadingLongRuns, true},
		{"refused for lack of time beside fewer", refused(reasonTooLate), overloadingLongRuns - 1, false},
		{"refused for another reason", refused("no entry places its tasks"), overloadingLongRuns, false},
		{"unknown", batch.Result{State: batch.Unknown, Reason: reasonTooLate}, overloadingLongRuns, false},
	}
	for _, c := range tests {
		w, began := &world{monitor: &worker.RunMonitor{}}, time.Unix(0, 0)
		job := &client{id: jobID(1), tasks: 1, sentAt: began.Add(time.Second), longRuns: c.longRuns, results: []batch.Result{c.result}}
		if reason := job.violation(w, began); (reason == "") != c.allowed {
			t.Errorf("%s: violation %q, allowed: %t", c.name, reason, c.allowed)
		}
	}
	if job := (&client{id: jobID(1), tasks: 1, sentAt: time.Unix(1, 0), longRuns: overloadingLongRuns}); job.violation(&world{monitor: &worker.RunMonitor{}}, time.Unix(0, 0)) == "" {
		t.Error("a job without an answer is no violation")
	}
}
