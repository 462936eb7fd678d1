package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestPanicInThePlanDoesNotStopTheGroup guards against a message that stops the scheduling of a zone for
// good: the server of its entry recovers from the panic, while the holder's lock stays taken.
func TestPanicInThePlanDoesNotStopTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newChangedBench(t.Context(), func(*Options) {})
		time.Sleep(20 * time.Millisecond)
		func() {
			defer func() {
				if recover() == nil {
					t.Error("the panic is hidden from the caller")
				}
			}()
			b.update(func(*plan.Plan, time.Time) { panic("a step that does not exist") })
		}()
		if !b.mu.TryLock() {
			t.Fatal("the lock is taken after the panic")
		}
		b.mu.Unlock()
		b.Admit(oneTask("0000000000000001", time.Second), []string{batch.TaskName("0000000000000001", 0, 0, 0)})
		if _, unknown := b.KeepAlive([]string{"0000000000000001"}, time.Now()); len(unknown) > 0 {
			t.Error("a later job is not admitted")
		}
		b.Release()
		b.Wait()
	})
}
