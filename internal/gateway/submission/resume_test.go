package submission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestPausedEntryAsksForNoJobWhoseClientHasLeft pauses the process of an entry. Its client leaves
// meanwhile, and has sent the job to another zone by the time at which the entry resumes. The connection
// is found to be closed only after the timers of the pause have run, so a message that they send keeps the
// job alive, or starts it, for a client that is not there. One more sweep later the connection has been read.
func TestPausedEntryAsksForNoJobWhoseClientHasLeft(t *testing.T) {
	const pause = 1500 * time.Millisecond
	second := GroupHolder{Group: "a", ID: "e3", Epoch: 2}
	tests := []struct {
		name   string
		next   *GroupHolder // that takes the group over during the pause
		before bool         // the job was submitted before the pause; otherwise its request was read after it
	}{
		{"the holder goes on", nil, true},
		{"another one has taken the group", &second, true},
		{"the request is read late", nil, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(GroupHolder{Group: "a", ID: "e2", Epoch: 1})
				polls := 0
				f.options.Await = func(context.Context, GroupHolder, []string, time.Time) ([]batch.Result, []string, bool, error) {
					f.mu.Lock()
					defer f.mu.Unlock()
					polls++
					return nil, nil, true, nil
				}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				submit := func() { go f.Submit(ctx, newJob(15*time.Second)) }
				if c.before {
					submit()
				}
				synctest.Wait()
				f.Sweep(t.Context())
				synctest.Wait()
				sent := len(f.placeCalls())
				time.Sleep(pause)
				if c.next != nil {
					f.setHolder(*c.next)
				}
				if !c.before {
					submit()
				}
				synctest.Wait()
				f.Sweep(t.Context())
				synctest.Wait()
				leave()
				synctest.Wait()
				time.Sleep(sweepInterval)
				f.Sweep(t.Context())
				synctest.Wait()
				f.mu.Lock()
				defer f.mu.Unlock()
				if polls > 0 || len(f.calls) > sent {
					t.Errorf("%d polls and %d calls of Place for a client that had left", polls, len(f.calls)-sent)
				}
			})
		})
	}
}
