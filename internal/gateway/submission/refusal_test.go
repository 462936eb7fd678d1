package submission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestPlacedJobIsNotRefusedAsIsolated guards against a refusal of a job that a holder has got: another
// entry is heard again while the job is submitted, and a sweep places the job between the check for
// isolation and the refusal that follows from it.
func TestPlacedJobIsNotRefusedAsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(GroupHolder{Group: "a", ID: "e2", Epoch: 1})
		checks := 0
		f.options.Isolated = func() bool {
			checks++
			if checks > 1 {
				return false
			}
			f.Sweep(t.Context())
			synctest.Wait()
			return true
		}
		began := time.Now()
		r := f.Submit(t.Context(), &batch.Batch{ID: "0000000000000001", ArrivedAt: began, ExpiresAt: began.Add(time.Second)})
		if calls := f.placeCalls(); r.State == batch.Refused && len(calls) > 0 {
			t.Errorf("the job is refused (%s) although %v has it", r.Reason, calls)
		}
	})
}
