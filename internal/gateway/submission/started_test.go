package submission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobReturnsToTheGroupThatStartedIt guards against two runs of a job that was sent again: the holder
// of the group to which it came, also by a detour, knows that another group has started it. The outcome is
// unknown as long as that group does not answer, so no refusal says that it has not run.
func TestJobReturnsToTheGroupThatStartedIt(t *testing.T) {
	home, other := GroupHolder{Group: "a", ID: "e2", Epoch: 1}, GroupHolder{Group: "b", ID: "e3", Epoch: 1}
	started := func(group string) batch.Result {
		return batch.Result{ID: newJob(0).ID, Attempt: currentRequest, State: batch.Moved, TargetGroup: group, Started: true}
	}
	tests := []struct {
		name    string
		holders []GroupHolder
		detour  string
		results []batch.Result
		want    batch.State
		calls   []placeCall
	}{
		{
			"another zone has started it",
			[]GroupHolder{home, other},
			"",
			[]batch.Result{started("b"), started("b"), currentResult(batch.Completed)},
			batch.Completed,
			[]placeCall{{home, false, false}, {other, true, true}},
		},
		{
			"its own zone has started it before the detour",
			[]GroupHolder{home, other},
			"b",
			[]batch.Result{started("a"), currentResult(batch.Completed)},
			batch.Completed,
			[]placeCall{{other, false, true}, {home, true, false}},
		},
		{
			"a zone without a holder has started it",
			[]GroupHolder{home},
			"",
			[]batch.Result{started("b")},
			batch.Unknown,
			[]placeCall{{home, false, false}},
		},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				f.options.Detour = func(string, int) string { return c.detour }
				done := make(chan batch.Result, 1)
				go func() { done <- f.Submit(t.Context(), newJob(5*time.Second)) }()
				synctest.Wait()
				for _, r := range c.results {
					f.DeliverResults([]batch.Result{r})
					synctest.Wait()
				}
				for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(sweepInterval) {
					f.Sweep(t.Context())
				}
				if r := <-done; r.State != c.want {
					t.Errorf("result %+v, want %s", r, c.want)
				}
				calls := f.placeCalls()
				if len(calls) != len(c.calls) {
					t.Fatalf("calls %+v, want %+v", calls, c.calls)
				}
				for i := range calls {
					if calls[i] != c.calls[i] {
						t.Errorf("call %+v, want %+v", calls[i], c.calls[i])
					}
				}
			})
		})
	}
}
