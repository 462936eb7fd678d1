package submission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestEachClientIsAnsweredBeforeTheEntryStops guards against a connection that is closed without an answer at the
// end of a drain, and against a refusal of a job that may have run.
func TestEachClientIsAnsweredBeforeTheEntryStops(t *testing.T) {
	tests := []struct {
		name    string
		holders []GroupHolder
		lost    int  // calls without an answer
		refuses bool // the holder, since nothing has run
		event   func(f *fixture)
		want    batch.State
	}{
		{"no holder", nil, 0, true, nil, batch.Refused},
		{"nothing of it has run", []GroupHolder{firstHolder}, 0, true, nil, batch.Refused},
		{"one call is lost", []GroupHolder{firstHolder}, 1, true, nil, batch.Refused},
		{"no call is answered", []GroupHolder{firstHolder}, 2, true, nil, batch.Unknown},
		{"it has started", []GroupHolder{firstHolder}, 0, false, nil, batch.Unknown},
		{"it completes meanwhile", []GroupHolder{firstHolder}, 0, false, func(f *fixture) { f.DeliverResults([]batch.Result{currentResult(batch.Completed)}) }, batch.Completed},
		{"an earlier holder may have started it", []GroupHolder{firstHolder}, 1, true, func(f *fixture) { f.setHolder(secondHolder); f.Sweep(context.Background()) }, batch.Unknown},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				f.options.Refuse = func(ctx context.Context, _ GroupHolder, _ *batch.Batch) (bool, error) {
					if c.lost--; c.lost >= 0 {
						<-ctx.Done()
					}
					return c.refuses, ctx.Err()
				}
				var got batch.Result
				go func() { got = f.Submit(context.Background(), newJob(5*time.Second)) }()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				go f.Stop(ctx)
				time.Sleep(100 * time.Millisecond)
				if c.event != nil {
					c.event(f)
				}
				if late := f.Submit(ctx, &batch.Batch{ID: "late", ExpiresAt: time.Now().Add(time.Second)}); late.State != batch.Refused {
					t.Errorf("a job that came while the entry stopped got %q, want a refusal", late.State)
				}
				<-ctx.Done()
				synctest.Wait()
				if got.State != c.want || len(f.withdrawn) > 0 != (c.want == batch.Unknown) {
					t.Errorf("result %q, %d withdrawals; want %q, and one withdrawal of an unknown job", got.State, len(f.withdrawn), c.want)
				}
			})
		})
	}
}
