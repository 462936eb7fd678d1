package submission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestHoldersAreAskedInTimeAndTogether guards against leases that end, or keep jobs from starting, since an entry asks
// too seldom; and against a message for each of its jobs.
func TestHoldersAreAskedInTimeAndTogether(t *testing.T) {
	const jobs, span = 8, 3 * time.Second
	const longestGap = 175 * time.Millisecond // for which package plan leaves room in leases
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(GroupHolder{Group: "a", ID: "e2", Epoch: 1})
		lastAsked, longest, polls := map[string]time.Time{}, time.Duration(0), 0
		f.options.Await = func(_ context.Context, _ GroupHolder, ids []string, askedAt time.Time) ([]batch.Result, []string, bool, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			polls++
			for _, id := range ids {
				longest = max(longest, askedAt.Sub(lastAsked[id]))
				lastAsked[id] = askedAt
			}
			return nil, nil, true, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		for i := range jobs {
			b := newJob(time.Minute)
			b.ID = fmt.Sprintf("%016x", i+1)
			f.mu.Lock()
			lastAsked[b.ID] = time.Now()
			f.mu.Unlock()
			go f.Submit(ctx, b)
			time.Sleep(37 * time.Millisecond)
		}
		time.Sleep(span)
		cancel()
		synctest.Wait()
		if longest > longestGap {
			t.Errorf("a job was not asked for in %v, want %v at most", longest, longestGap)
		}
		if limit := 2 * int((span+jobs*37*time.Millisecond)/askInterval); polls > limit {
			t.Errorf("%d polls, want %d at most", polls, limit)
		}
	})
}
