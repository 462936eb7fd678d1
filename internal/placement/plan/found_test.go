package plan

import (
	"testing"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestRunFoundAfterItsJobArrivedCountsAsStarted guards against telling a client that its job has not run: the run of an earlier
// holder is found only after the job has come again, and the job is given up later.
func TestRunFoundAfterItsJobArrivedCountsAsStarted(t *testing.T) {
	p := fencedPlan(testWorker("w1", 4))
	p.AddWorker(testWorker("w2", 4), start)
	b := testJob("00000000000000aa", 1, after(100))
	b.ExpiresAt = after(1100)
	p.Admit(b, nil, after(100))
	listed := RunProgress{Task: batch.TaskName(b.ID, 0, 0, 0), Run: 1, Percent: 10}
	p.HandleReport(Report{Worker: "w2", Sent: after(150), Fenced: true, Running: []RunProgress{listed}}, after(151))
	p.KeepAlive(b.ID, after(1000))
	p.Tick(after(1101))
	results := ordersOfKind(p.Orders(), DeliverResult)
	if len(results) != 1 || results[0].Result.State != batch.Unknown {
		t.Fatalf("results %+v, want one whose outcome is unknown", results)
	}
}
