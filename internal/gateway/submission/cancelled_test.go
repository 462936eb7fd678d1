package submission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestCancelledJobIsNotHandedOver guards against the request of a cancelled job that comes again and starts its tasks.
func TestCancelledJobIsNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(firstHolder)
		f.options.Cancelled = func(id string) bool { return id == "j" }
		began := time.Now()
		if r := f.Submit(t.Context(), newJob(5*time.Second)); r.State != batch.Cancelled || time.Since(began) > 0 {
			t.Errorf("result %+v after %s, want cancelled at once", r, time.Since(began))
		}
		if calls := f.placeCalls(); len(calls) > 0 || f.Len() > 0 {
			t.Errorf("%d calls and %d jobs, want none", len(calls), f.Len())
		}
	})
}
