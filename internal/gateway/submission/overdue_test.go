package submission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestEndLongest guards against clients that wait for hours while others find no room, against the end of a job whose client
// has come lately, and against a refusal of one that has run.
func TestEndLongest(t *testing.T) {
	tests := []struct {
		name    string
		refuses bool // the holder, since nothing has run
		most    int
		age     time.Duration
		want    []batch.State // of jobs that arrived one second after the other
	}{
		{"nothing has run", true, 2, time.Second, []batch.State{batch.Refused, batch.Refused, "", ""}},
		{"they have started", false, 2, time.Second, []batch.State{batch.Unknown, batch.Unknown, "", ""}},
		{"none has waited for long", true, 2, time.Minute, []batch.State{"", "", "", ""}},
		{"few have waited for long", true, 8, 3500 * time.Millisecond, []batch.State{batch.Refused, "", "", ""}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(firstHolder)
				f.options.Refuse = func(context.Context, GroupHolder, *batch.Batch) (bool, error) { return c.refuses, nil }
				ctx, leave := context.WithCancel(t.Context())
				got := make([]batch.State, len(c.want))
				for i := range got {
					go func() {
						now := time.Now()
						if r := f.Submit(ctx, &batch.Batch{ID: fmt.Sprint(i), ArrivedAt: now, ExpiresAt: now.Add(time.Hour)}); ctx.Err() == nil {
							got[i] = r.State
						}
					}()
					time.Sleep(time.Second)
				}
				f.EndLongest(ctx, time.Now().Add(-c.age), c.most)
				synctest.Wait()
				for i, want := range c.want {
					if got[i] != want {
						t.Errorf("job %d: %q, want %q", i, got[i], want)
					}
				}
				leave()
				synctest.Wait()
			})
		})
	}
}
