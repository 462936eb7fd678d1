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
	refuse := func(refused bool, lost int) func(context.Context) (bool, error) {
		return func(ctx context.Context) (bool, error) {
			if lost > 0 {
				lost--
				<-ctx.Done()
				return false, ctx.Err()
			}
			return refused, nil
		}
	}
	tests := []struct {
		name      string
		holders   []GroupHolder
		before    func(f *fixture) // before the entry stops
		refuse    func(ctx context.Context) (bool, error)
		during    func(f *fixture) // while the entry stops
		want      batch.State
		withdrawn int
	}{
		{"no holder", nil, nil, refuse(true, 0), nil, batch.Refused, 0},
		{"nothing of it has run", []GroupHolder{firstHolder}, nil, refuse(true, 0), nil, batch.Refused, 0},
		{"one call is lost", []GroupHolder{firstHolder}, nil, refuse(true, 1), nil, batch.Refused, 0},
		{"no call is answered", []GroupHolder{firstHolder}, nil, refuse(true, 2), nil, batch.Unknown, 1},
		{"it has started", []GroupHolder{firstHolder}, nil, refuse(false, 0), nil, batch.Unknown, 1},
		{"it has started and completes meanwhile", []GroupHolder{firstHolder}, nil, refuse(false, 0), func(f *fixture) {
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, 0},
		{"an earlier holder may have started it", []GroupHolder{firstHolder}, func(f *fixture) {
			f.setHolder(secondHolder)
			f.Sweep(context.Background())
		}, refuse(true, 0), nil, batch.Unknown, 1},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				f.options.Refuse = func(ctx context.Context, _ GroupHolder, _ *batch.Batch) (bool, error) { return c.refuse(ctx) }
				var got, late batch.Result
				go func() { got = f.Submit(context.Background(), newJob(5*time.Second)) }()
				synctest.Wait()
				if c.before != nil {
					c.before(f)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				go f.Stop(ctx)
				time.Sleep(500 * time.Millisecond)
				if c.during != nil {
					c.during(f)
				}
				other := newJob(5 * time.Second)
				other.ID = "other"
				late = f.Submit(context.Background(), other)
				<-ctx.Done()
				synctest.Wait()
				if got.State != c.want || len(f.withdrawn) != c.withdrawn {
					t.Errorf("result %q, %d withdrawals; want %q, %d", got.State, len(f.withdrawn), c.want, c.withdrawn)
				}
				if late.State != batch.Refused {
					t.Errorf("a job that came while the entry stopped got %q, want a refusal", late.State)
				}
			})
		})
	}
}
