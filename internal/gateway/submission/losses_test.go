package submission

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestNextHolderGetsTheLosses guards against losses of a task's runs that are forgotten when its
// holder changes: the entry learns of them while the job goes on, or when it moves.
func TestNextHolderGetsTheLosses(t *testing.T) {
	losses := []batch.Losses{{Task: "j.0.0.0", Crashes: 1, Suspicions: 1}}
	told := func(state batch.State, attempt uint64, l []batch.Losses) batch.Result {
		return batch.Result{ID: "j", State: state, Attempt: attempt, Losses: l}
	}
	tests := []struct {
		name  string
		polls []batch.Result // what the first holder answers to polls
		sent  []batch.Result // what it sends by itself
		want  []batch.Losses
	}{
		{"none", nil, nil, nil},
		{"a poll shows them", []batch.Result{told(batch.Running, currentRequest, losses)}, nil, losses},
		{"a poll for an earlier request shows them", []batch.Result{told(batch.Running, currentRequest+1, losses)}, nil, losses},
		{"the job moves", nil, []batch.Result{told(batch.Moved, currentRequest, losses)}, losses},
		{"an old message comes later", nil, []batch.Result{
			told(batch.Running, currentRequest, losses), told(batch.Running, currentRequest, []batch.Losses{{Task: "j.0.0.0", Crashes: 1}}),
		}, losses},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(firstHolder)
				var mu sync.Mutex
				var placed [][]batch.Losses
				f.options.Place = func(_ context.Context, _ GroupHolder, b *batch.Batch, _ []string) (bool, error) {
					mu.Lock()
					defer mu.Unlock()
					placed = append(placed, b.Losses)
					return true, nil
				}
				f.options.Await = func(context.Context, GroupHolder, []string, time.Time) ([]batch.Result, []string, bool, error) {
					return c.polls, nil, true, nil
				}
				done := make(chan batch.Result)
				go func() { done <- f.Submit(t.Context(), newJob(10*time.Second)) }()
				time.Sleep(askInterval + time.Millisecond)
				f.Sweep(t.Context())
				for _, r := range c.sent {
					f.DeliverResults([]batch.Result{r})
				}
				f.setHolder(secondHolder)
				f.Sweep(t.Context())
				f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
				if got := <-done; got.State != batch.Completed {
					t.Fatalf("result %+v", got)
				}
				if len(placed) != 2 || placed[0] != nil || !slices.Equal(placed[1], c.want) {
					t.Fatalf("placed with losses %+v, want none and then %+v", placed, c.want)
				}
			})
		})
	}
}
