package submission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLostWithdrawalIsRepeated guards against a job that goes on, and may be started again in another zone,
// after its client has left: the message to its holder was lost, or the holder itself.
func TestLostWithdrawalIsRepeated(t *testing.T) {
	tests := []struct {
		name   string
		lost   int
		next   *GroupHolder // that takes the group over meanwhile
		from   GroupHolder
		arrive bool
	}{
		{"none is lost", 0, nil, firstHolder, true},
		{"one is lost", 1, nil, firstHolder, true},
		{"all are lost", withdrawAttempts, nil, GroupHolder{}, false},
		{"the holder is lost", 1, &secondHolder, secondHolder, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(firstHolder)
				f.lostWithdrawals = c.lost
				ctx, leave := context.WithCancel(t.Context())
				go f.Submit(ctx, newJob(5*time.Second))
				synctest.Wait()
				if c.next != nil {
					f.setHolder(*c.next)
				}
				leave()
				time.Sleep(time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				if len(f.withdrawn) > 1 || (len(f.withdrawn) == 1) != c.arrive || f.withdrawnFrom != c.from {
					t.Errorf("withdrawn %v from %+v, want it to arrive: %t, at %+v", f.withdrawn, f.withdrawnFrom, c.arrive, c.from)
				}
			})
		})
	}
}
