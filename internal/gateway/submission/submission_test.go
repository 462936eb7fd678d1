package submission

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// fixture is a Tracker with fake holders, whose answers the test sets.
type fixture struct {
	*Tracker
	mu            sync.Mutex
	holders       map[string]GroupHolder
	calls         []placeCall // in order
	withdrawn     []string
	withdrawnFrom GroupHolder // the holder of the last withdrawal

	lostWithdrawals int  // number of withdrawals that get no answer
	accept          bool // holders accept jobs
	jobsForgotten   bool // holders know no jobs
}

type placeCall struct {
	holder       GroupHolder
	maybeStarted bool
	spilledOver  bool
}

func newFixture(holders ...GroupHolder) *fixture {
	f := &fixture{holders: map[string]GroupHolder{}, accept: true}
	for _, h := range holders {
		f.holders[h.Group] = h
	}
	f.Tracker = New(Options{
		Self: "e1", RequestNumber: func() uint64 { return currentRequest }, Log: slog.New(slog.DiscardHandler), OnEnd: func(*batch.Batch, batch.Result, int) {},
		GroupOf: func(*batch.Batch) string { return "a" },
		FindHolder: func(group string) (GroupHolder, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			h, ok := f.holders[group]
			return h, ok
		},
		Place: func(_ context.Context, to GroupHolder, b *batch.Batch, _ []string) (bool, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.calls = append(f.calls, placeCall{to, b.MaybeStarted, b.SpilledOver})
			return f.accept, nil
		},
		Await: func(_ context.Context, _ GroupHolder, ids []string, _ time.Time) ([]batch.Result, []string, bool, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.jobsForgotten {
				return nil, ids, true, nil
			}
			return nil, nil, true, nil
		},
		Withdraw: func(_ context.Context, to GroupHolder, b *batch.Batch) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.lostWithdrawals > 0 {
				f.lostWithdrawals--
				return context.DeadlineExceeded
			}
			f.withdrawn, f.withdrawnFrom = append(f.withdrawn, b.ID), to
			return nil
		},
	})
	return f
}

// placeCalls returns the calls so far.
func (f *fixture) placeCalls() []placeCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// setForgotten sets whether the holders have forgotten all jobs.
func (f *fixture) setForgotten(all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobsForgotten = all
}

// setAccept sets whether the holders accept jobs.
func (f *fixture) setAccept(accept bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accept = accept
}

// setHolder replaces the holder of a group.
func (f *fixture) setHolder(h GroupHolder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders[h.Group] = h
}

func newJob(timeout time.Duration) *batch.Batch {
	now := time.Now()
	return &batch.Batch{ID: "j", ArrivedAt: now, ExpiresAt: now.Add(timeout), Steps: []batch.Step{{Count: 1}}}
}

var (
	firstHolder     = GroupHolder{Group: "a", Epoch: 1, ID: "e1", Local: true}
	secondHolder    = GroupHolder{Group: "a", Epoch: 2, ID: "e2", Local: true}
	otherZoneHolder = GroupHolder{Group: "b", Epoch: 1, ID: "f1", Local: true}
)

// currentResult returns a result for the request that the test's client has sent.
func currentResult(state batch.State) batch.Result {
	return batch.Result{ID: "j", State: state, Attempt: currentRequest}
}

// earlierResult returns a result for an earlier request of the client.
func earlierResult(state batch.State) batch.Result {
	return batch.Result{ID: "j", State: state, Attempt: currentRequest + 1}
}

// currentRequest is the number of the client's request in these tests.
const currentRequest = 7

// TestRejectedJobIsOfferedAsNew checks that a job which its first holder rejected is
// not marked as possibly started for the next holder: no holder accepted it, so
// nothing can have started.
func TestRejectedJobIsOfferedAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(firstHolder)
		f.setAccept(false)
		done := make(chan batch.Result)
		go func() { done <- f.Submit(t.Context(), newJob(10*time.Second)) }()
		synctest.Wait()
		f.setAccept(true)
		f.setHolder(secondHolder)
		f.Sweep(t.Context())
		f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		if got := <-done; got.State != batch.Completed {
			t.Fatalf("result %+v", got)
		}
		if want := []placeCall{{firstHolder, false, false}, {secondHolder, false, false}}; !slices.Equal(f.calls, want) {
			t.Fatalf("calls of Place %+v, want %+v", f.calls, want)
		}
	})
}

// TestTrackerDeliversFirstValidResult checks which result reaches the client, and
// which holders get the job, for sequences of results and changes of holder.
// Outdated results must not end a job that a later holder may have started.
func TestTrackerDeliversFirstValidResult(t *testing.T) {
	moved := batch.Result{ID: "j", State: batch.Moved, TargetGroup: "b", Attempt: currentRequest}
	tests := []struct {
		name      string
		holders   []GroupHolder
		steps     func(f *fixture)
		want      batch.State
		wantCalls []placeCall
	}{
		{"completed", []GroupHolder{firstHolder}, func(f *fixture) { f.DeliverResults([]batch.Result{currentResult(batch.Completed)}) }, batch.Completed, []placeCall{{firstHolder, false, false}}},
		{"refused", []GroupHolder{firstHolder}, func(f *fixture) { f.DeliverResults([]batch.Result{currentResult(batch.Refused)}) }, batch.Refused, []placeCall{{firstHolder, false, false}}},
		{"the holder changes", []GroupHolder{firstHolder}, func(f *fixture) {
			f.setHolder(secondHolder)
			f.Sweep(context.Background())
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {secondHolder, true, false}}},
		{"an earlier holder refuses a job that a later one may have started", []GroupHolder{firstHolder}, func(f *fixture) {
			f.setHolder(secondHolder)
			f.Sweep(context.Background())
			f.DeliverResults([]batch.Result{currentResult(batch.Refused)})
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {secondHolder, true, false}}},
		{"the job spills over to another zone", []GroupHolder{firstHolder, otherZoneHolder}, func(f *fixture) {
			f.DeliverResults([]batch.Result{moved})
			f.DeliverResults([]batch.Result{moved})
			f.DeliverResults([]batch.Result{currentResult(batch.Refused)})
		}, batch.Refused, []placeCall{{firstHolder, false, false}, {otherZoneHolder, false, true}}},
		{"an earlier holder reroutes a job that a later one may have started", []GroupHolder{firstHolder, otherZoneHolder}, func(f *fixture) {
			f.setHolder(secondHolder)
			f.Sweep(context.Background())
			f.DeliverResults([]batch.Result{moved})
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {secondHolder, true, false}}},
		{"a late refusal of an earlier request is ignored", []GroupHolder{firstHolder}, func(f *fixture) {
			f.DeliverResults([]batch.Result{earlierResult(batch.Refused)})
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}}},
		{"a late completion of an earlier request counts", []GroupHolder{firstHolder}, func(f *fixture) {
			f.DeliverResults([]batch.Result{earlierResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}}},
		{"the holder was cut off, and dropped and forgot the job", []GroupHolder{firstHolder}, func(f *fixture) {
			f.setForgotten(true)
			time.Sleep(2 * askInterval)
			f.Sweep(context.Background())
			f.setForgotten(false)
			f.Sweep(context.Background())
			f.DeliverResults([]batch.Result{currentResult(batch.Unknown)})
		}, batch.Unknown, []placeCall{{firstHolder, false, false}, {firstHolder, true, false}}},
		{"the holder forgot the job and then rejects it", []GroupHolder{firstHolder}, func(f *fixture) {
			f.setForgotten(true)
			time.Sleep(2 * askInterval)
			f.Sweep(context.Background())
			f.setForgotten(false)
			f.setAccept(false)
			f.Sweep(context.Background())
			f.setAccept(true)
			f.Sweep(context.Background())
			f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
		}, batch.Completed, []placeCall{{firstHolder, false, false}, {firstHolder, true, false}, {firstHolder, true, false}}},
		{"the group has no holder", nil, func(f *fixture) {
			time.Sleep(2 * time.Second)
			f.Sweep(context.Background())
		}, batch.Refused, nil},
		{"no result before the deadline", []GroupHolder{firstHolder}, func(*fixture) {}, batch.Unknown, []placeCall{{firstHolder, false, false}}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				var got batch.Result
				go func() { got = f.Submit(context.Background(), newJob(5*time.Second)) }()
				synctest.Wait()
				c.steps(f)
				time.Sleep(6 * time.Second)
				synctest.Wait()
				if got.State != c.want {
					t.Errorf("state %s, want %s", got.State, c.want)
				}
				if len(f.calls) != len(c.wantCalls) {
					t.Fatalf("calls of Place %+v, want %+v", f.calls, c.wantCalls)
				}
				for i, want := range c.wantCalls {
					if f.calls[i] != want {
						t.Errorf("call of Place %+v, want %+v", f.calls[i], want)
					}
				}
				if f.Len() != 0 {
					t.Error("the tracker still has a job")
				}
			})
		})
	}
}

// TestJobIsWithdrawnWhenLastClientLeaves checks that a job with two clients stays
// with its holder when the first client leaves and is withdrawn when the second does.
func TestJobIsWithdrawnWhenLastClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(firstHolder)
		ctx, leave := context.WithCancel(context.Background())
		b := newJob(5 * time.Second)
		go f.Submit(ctx, b)
		synctest.Wait()
		other, leaveOther := context.WithCancel(context.Background())
		go f.Submit(other, b)
		synctest.Wait()
		leave()
		synctest.Wait()
		if len(f.withdrawn) != 0 {
			t.Fatal("withdrawn while a client waits")
		}
		leaveOther()
		synctest.Wait()
		if len(f.withdrawn) != 1 || len(f.calls) != 1 {
			t.Fatalf("withdrawn %v, calls of Place %v", f.withdrawn, f.calls)
		}
	})
}

// TestPauseIsNoWaitForAHolder pauses the process of an entry while its group has no holder. Jobs
// were refused as soon as it resumed, just before the takeover that had been paused, too.
func TestPauseIsNoWaitForAHolder(t *testing.T) {
	tests := []struct {
		name       string
		holderAt   time.Duration // after the pause; 0 for never
		state      batch.State
		resultWait time.Duration // from the end of the pause
	}{
		{"a holder comes after the pause", 300 * time.Millisecond, batch.Completed, 300 * time.Millisecond},
		{"no holder comes", 0, batch.Refused, maxHolderWait},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				done := make(chan batch.Result, 1)
				go func() { done <- f.Submit(t.Context(), newJob(15*time.Second)) }()
				sweep := func(duration time.Duration) {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(sweepInterval) {
						f.Sweep(t.Context())
					}
				}
				sweep(200 * time.Millisecond)
				time.Sleep(2700 * time.Millisecond)
				if c.holderAt > 0 {
					sweep(c.holderAt)
					f.setHolder(firstHolder)
					f.Sweep(t.Context())
					f.DeliverResults([]batch.Result{currentResult(batch.Completed)})
				} else {
					sweep(c.resultWait)
				}
				synctest.Wait()
				select {
				case r := <-done:
					if r.State != c.state {
						t.Errorf("result %+v, want %s", r, c.state)
					}
				default:
					t.Errorf("no result %v after the pause, want %s", c.resultWait, c.state)
				}
			})
		})
	}
}

// TestJobIsRefusedAtOnceWhenIsolated submits a job that no holder can accept. It must wait
// for a takeover, but not on an entry that is cut off: there waiting would only delay the
// refusal, also while the entry still believes in its holder.
func TestJobIsRefusedAtOnceWhenIsolated(t *testing.T) {
	tests := []struct {
		name     string
		isolated bool
		holders  []GroupHolder
		limit    time.Duration
	}{
		{"a holder may come", false, nil, maxHolderWait + 2*sweepInterval},
		{"isolated without a holder", true, nil, 0},
		{"isolated from a holder", true, []GroupHolder{{Group: "a", ID: "e2", Epoch: 1}}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				f.options.Isolated = func() bool { return c.isolated }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				began := time.Now()
				r := f.Submit(ctx, &batch.Batch{ID: "0000000000000001", ArrivedAt: began, ExpiresAt: began.Add(10 * time.Second)})
				if took := time.Since(began); r.State != batch.Refused || !r.RetryAt.After(time.Now()) || took > c.limit {
					t.Fatalf("%s after %v, again at %v; want a refusal within %v", r.State, took, r.RetryAt, c.limit)
				}
				if calls := f.placeCalls(); len(calls) > 0 {
					t.Errorf("refused job was sent to %v", calls)
				}
			})
		})
	}
}

// TestJobIsGivenUpWhenResultsAreLost cuts an entry off after a holder has accepted a job. The
// result cannot arrive, and the job may have run: the client must learn at once that the
// outcome is unknown, so that it can send the job through another entry. A job of the
// entry's own holder goes on.
func TestJobIsGivenUpWhenResultsAreLost(t *testing.T) {
	tests := []struct {
		name   string
		holder GroupHolder
		want   batch.State
	}{
		{"another entry's holder", GroupHolder{Group: "a", ID: "e2", Epoch: 1}, batch.Unknown},
		{"the entry's own holder", GroupHolder{Group: "a", ID: "e1", Epoch: 1, Local: true}, batch.Completed},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holder)
				cutAt := time.Now().Add(100 * time.Millisecond)
				f.options.ResultsLost = func() bool { return !time.Now().Before(cutAt) }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				time.AfterFunc(time.Second, func() {
					f.DeliverResults([]batch.Result{{ID: "0000000000000001", Attempt: currentRequest, State: batch.Completed}})
				})
				r := f.Submit(ctx, &batch.Batch{ID: "0000000000000001", ArrivedAt: time.Now(), ExpiresAt: time.Now().Add(10 * time.Second)})
				if took := time.Since(cutAt); r.State != c.want || r.State == batch.Unknown && took > 2*sweepInterval {
					t.Errorf("%s %v after the cut, want %s", r.State, took, c.want)
				}
			})
		})
	}
}

// TestNewJobTakesADetour replays the second in which a holder has frozen, but is not yet known
// to be dead. New jobs went to it and waited for the takeover, although another group had free
// slots. A job that the holder may have accepted must not start elsewhere, and a job that has
// come from another group must not be passed on.
func TestNewJobTakesADetour(t *testing.T) {
	first, second := GroupHolder{Group: "a", ID: "e2", Epoch: 1}, GroupHolder{Group: "b", ID: "e3", Epoch: 1}
	tests := []struct {
		name    string
		holders []GroupHolder
		detour  string // group offered instead of a
		holder  string // that gets the job
	}{
		{"the holder answers", []GroupHolder{first, second}, "", "e2"},
		{"the holder is silent", []GroupHolder{first, second}, "b", "e3"},
		{"no holder is known", []GroupHolder{second}, "b", "e3"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.holders...)
				detours := 0
				f.options.Detour = func(string, int) string {
					f.mu.Lock()
					defer f.mu.Unlock()
					detours++
					return c.detour
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				go f.Submit(ctx, &batch.Batch{ID: "0000000000000001", ArrivedAt: time.Now(), ExpiresAt: time.Now().Add(time.Second)})
				time.Sleep(10 * time.Millisecond)
				if calls := f.placeCalls(); len(calls) != 1 || calls[0].holder.ID != c.holder || calls[0].spilledOver != (c.detour != "") {
					t.Fatalf("calls %+v, want one to %s", calls, c.holder)
				}
				f.setForgotten(true) // the holder forgets the job, so that it is placed again
				time.Sleep(500 * time.Millisecond)
				calls := f.placeCalls()
				f.mu.Lock()
				defer f.mu.Unlock()
				if len(calls) < 2 || calls[1].holder.ID != c.holder || detours != 1 {
					t.Errorf("calls %+v after %d offers, want another one to %s after one offer", calls, detours, c.holder)
				}
			})
		})
	}
}

// TestJobInALostZoneIsGivenUp cuts off the zone to which a job was moved. The job was held until
// its client left, since no holder there could be asked, while its own zone had room. A job of
// the own group must wait for the takeover there.
func TestJobInALostZoneIsGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		detour string
		limit  time.Duration // until the result, counted from the loss of the holder
		want   batch.State
	}{
		{"moved to another zone", "b", time.Second, batch.Unknown},
		{"in the own group", "", 0, batch.Completed},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(GroupHolder{Group: "a", ID: "e2", Epoch: 1}, GroupHolder{Group: "b", ID: "e3", Epoch: 1})
				f.options.Detour = func(string, int) string { return c.detour }
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				lostAt := time.Now().Add(100 * time.Millisecond)
				time.AfterFunc(100*time.Millisecond, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					clear(f.holders)
				})
				time.AfterFunc(1500*time.Millisecond, func() {
					f.DeliverResults([]batch.Result{{ID: "0000000000000001", Attempt: currentRequest, State: batch.Completed}})
				})
				r := f.Submit(ctx, &batch.Batch{ID: "0000000000000001", ArrivedAt: time.Now(), ExpiresAt: time.Now().Add(5 * time.Second)})
				if took := time.Since(lostAt); r.State != c.want || c.limit > 0 && took > c.limit {
					t.Errorf("%s %v after the loss, want %s within %v", r.State, took, c.want, c.limit)
				}
			})
		})
	}
}
