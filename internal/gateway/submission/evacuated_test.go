package submission

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestJobLeavesAnEvacuatedZone guards against jobs that wait for the holder of an evacuated zone, that are lost
// when they move twice, that wait for leases although their runs have ended, and against a refusal
// of a job of which tasks have run.
func TestJobLeavesAnEvacuatedZone(t *testing.T) {
	thirdHolder := GroupHolder{Group: "c", Epoch: 1, ID: "g1", Local: true}
	moved := func(group string) batch.Result {
		return batch.Result{ID: "j", State: batch.Moved, TargetGroup: group, Attempt: currentRequest}
	}
	ended := moved("b")
	ended.Started, ended.CompletedTasks = true, []string{"j.0.0.0"}
	all := []GroupHolder{firstHolder, otherZoneHolder, thirdHolder}
	tests := []struct {
		name      string
		holders   []GroupHolder
		redirect  map[string]string
		steps     func(f *fixture)
		want      batch.State
		wantCalls []placeCall
	}{
		{"a new job goes to another zone", all, map[string]string{"a": "c"}, func(f *fixture) {
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{thirdHolder, false, true}}},
		{"also if its own zone has no holder", []GroupHolder{thirdHolder}, map[string]string{"a": "c"}, func(f *fixture) {
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{thirdHolder, false, true}}},
		{"no zone is left", all, map[string]string{"a": ""}, func(*fixture) {}, batch.Refused, nil},
		{"it moves twice, and the first message comes again", all, nil, func(f *fixture) {
			f.DeliverResults([]batch.Result{moved("b")})
			f.DeliverResults([]batch.Result{moved("c")})
			f.DeliverResults([]batch.Result{moved("b")})
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {otherZoneHolder, false, true}, {thirdHolder, false, true}}},
		{"its holder moves it back", all, nil, func(f *fixture) {
			f.DeliverResults([]batch.Result{moved("b")})
			f.applyResults([]batch.Result{moved("c")}, &firstHolder)     // a late answer of the earlier holder
			f.applyResults([]batch.Result{moved("a")}, &otherZoneHolder) // its own zone has been taken back
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {otherZoneHolder, false, true}, {firstHolder, false, false}}},
		{"its runs have ended", all, nil, func(f *fixture) {
			f.DeliverResults([]batch.Result{ended})
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {otherZoneHolder, false, true}}},
		{"its runs have ended, and no holder takes it", []GroupHolder{firstHolder}, nil, func(f *fixture) {
			f.DeliverResults([]batch.Result{ended})
			time.Sleep(maxHolderWait + time.Second)
			f.Sweep(context.Background())
			f.Sweep(context.Background())
		}, batch.Unknown, []placeCall{{firstHolder, false, false}}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				f.options.Redirect = func(_, group string) string {
					if to, redirected := c.redirect[group]; redirected {
						return to
					}
					return group
				}
				done := make(chan batch.Result, 1)
				go func() { done <- f.Submit(t.Context(), newJob(10*time.Second)) }()
				synctest.Wait()
				c.steps(f)
				if got := <-done; got.State != c.want {
					t.Errorf("result %+v, want %s", got, c.want)
				}
				if got := f.placeCalls(); !slices.Equal(got, c.wantCalls) {
					t.Errorf("calls of Place %+v, want %+v", got, c.wantCalls)
				}
			})
		})
	}
}

// TestWaitingJobIsRedirected guards against a job that waits for a holder of its zone until it is refused,
// although the zone has been evacuated meanwhile and another one would take it.
func TestWaitingJobIsRedirected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(otherZoneHolder)
		evacuated := false
		f.options.Redirect = func(_, group string) string {
			if evacuated && group == "a" {
				return "b"
			}
			return group
		}
		done := make(chan batch.Result, 1)
		go func() { done <- f.Submit(t.Context(), newJob(10*time.Second)) }()
		synctest.Wait()
		evacuated = true
		f.Sweep(t.Context())
		f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		<-done
		if got, want := f.placeCalls(), []placeCall{{otherZoneHolder, false, true}}; !slices.Equal(got, want) {
			t.Fatalf("calls of Place %+v, want %+v", got, want)
		}
	})
}

// TestSecondMoveFindsTheJobAgain guards against three faults of jobs that move twice between evacuated zones: a
// holder that answers a job that returns with its earlier move, so that the job goes to and fro until its
// client leaves; a late copy of an earlier move that takes a job from the group that runs it now; and a
// job that starts anew at once although another holder of the group that it leaves may run it.
func TestSecondMoveFindsTheJobAgain(t *testing.T) {
	type call struct {
		group                     string
		maybeStarted, startedHere bool
	}
	thirdHolder := GroupHolder{Group: "c", Epoch: 1, ID: "g1", Local: true}
	moved := func(group string, completed ...string) batch.Result {
		return batch.Result{ID: "j", State: batch.Moved, TargetGroup: group, Attempt: currentRequest, Started: len(completed) > 0, CompletedTasks: completed}
	}
	tests := []struct {
		name  string
		steps func(f *fixture)
		want  []call
	}{
		{"nothing has started and it returns", func(f *fixture) {
			f.DeliverResults([]batch.Result{moved("b")})
			f.applyResults([]batch.Result{moved("a")}, &otherZoneHolder)
		}, []call{{"a", false, false}, {"b", false, false}, {"a", false, true}}},
		{"tasks have completed and the first move comes again", func(f *fixture) {
			f.DeliverResults([]batch.Result{moved("b", "j.0.0.0")})
			f.DeliverResults([]batch.Result{moved("c", "j.0.0.0")})
			f.DeliverResults([]batch.Result{moved("b", "j.0.0.0")})
		}, []call{{"a", false, false}, {"b", false, true}, {"c", false, true}}},
		{"two holders of its group", func(f *fixture) {
			f.jobs["j"].multipleHolders = true
			f.DeliverResults([]batch.Result{moved("b", "j.0.0.0")})
		}, []call{{"a", false, false}, {"b", true, true}}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(firstHolder, otherZoneHolder, thirdHolder)
				var got []call
				f.options.Place = func(_ context.Context, to GroupHolder, b *batch.Batch, _ []string) (bool, error) {
					got = append(got, call{to.Group, b.MaybeStarted, b.StartedHere})
					return true, nil
				}
				done := make(chan batch.Result, 1)
				go func() { done <- f.Submit(t.Context(), newJob(10*time.Second)) }()
				synctest.Wait()
				c.steps(f)
				f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
				<-done
				if !slices.Equal(got, c.want) {
					t.Errorf("calls of Place %+v, want %+v", got, c.want)
				}
			})
		})
	}
}
