package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
)

// TestCallWaitsUntilTheOwnerIsSettled guards against calls that are refused while two entries
// disagree for a moment about the owner of a partition, since only one of them has missed
// heartbeats of a third. A call that nobody has started must be forwarded again.
func TestCallWaitsUntilTheOwnerIsSettled(t *testing.T) {
	unsettled := refusal.New(refusal.OwnerUnreachable, refusal.NotRun, "not settled")
	tests := []struct {
		name      string
		answer    *refusal.Refusal // of the owner, until settledAt
		takes     time.Duration    // until the first answer
		settledAt time.Duration
		forwarded bool
		deadline  time.Duration // 0 for none
		complete  bool
		calls     int
	}{
		{"settled at once", unsettled, 0, 0, false, 0, true, 1},
		{"settled soon", unsettled, 0, 300 * time.Millisecond, false, 0, true, 4},
		{"settled soon after an owner that is held up answers", unsettled, 800 * time.Millisecond, 1100 * time.Millisecond, false, 0, true, 4},
		{"not settled", unsettled, 0, time.Hour, false, 0, false, 6},
		{"its deadline is near", unsettled, 0, time.Hour, false, 150 * time.Millisecond, false, 2},
		{"it may have started", refusal.New(refusal.OwnerUnreachable, refusal.Unknown, "no answer"), 0, time.Hour, false, 0, false, 1},
		{"refused for another reason", refusal.New(refusal.Overloaded, refusal.NotRun, "full"), 0, time.Hour, false, 0, false, 1},
		{"forwarded before", unsettled, 0, time.Hour, true, 0, false, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, calls := time.Now(), 0
				b := &bundle.Bundle{Rules: bundle.Rules{Partitions: 1, MaxJobTasks: 1}}
				b.Services, b.Tenants = map[string]*bundle.Service{"hold": {}}, map[string]*bundle.Tenant{"lullaby": {}}
				rt := New(Options{
					SettleTime: 500 * time.Millisecond,
					Self:       origin.Key{VM: "a"}, Bundle: func() *bundle.Bundle { return b }, PartitionOwner: func(int) string { return "b" },
					Partition:  func(int) *claim.Partition[*job.Job] { return claim.New[*job.Job](claim.Options{Owner: "a"}) },
					FindMember: func(id string) (member.Record, member.State, bool) { return member.Record{ID: id}, member.Alive, true },
					ForwardSubmit: func(context.Context, member.Record, Submission) (Result, error) {
						if calls++; calls == 1 {
							time.Sleep(c.takes)
						}
						if time.Since(began) < c.settledAt {
							return refused(c.answer), nil
						}
						return Result{State: job.Complete}, nil
					},
				})
				s := Submission{Key: "x", Tenant: "lullaby", Service: "hold", Forwarded: c.forwarded}
				if c.deadline > 0 {
					s.Deadline = began.Add(c.deadline)
				}
				result := rt.Submit(t.Context(), s)
				if (result.State == job.Complete) != c.complete || calls != c.calls {
					t.Errorf("state %v, refusal %v, %d calls; want complete %v and %d calls", result.State, result.Refusal, calls, c.complete, c.calls)
				}
			})
		})
	}
}

// TestEarlierOwnerThatCountsAsDeadIsAsked guards against "lost" as the answer for a job whose owner was
// only held up: other entries count it as dead, and another one has become the owner of its
// partitions. An earlier owner that does not answer must not hold the call for long.
func TestEarlierOwnerThatCountsAsDeadIsAsked(t *testing.T) {
	const claimedBy = "c~5"
	tests := []struct {
		name        string
		state       member.State
		incarnation uint64
		answersAt   time.Duration
		complete    bool
		asked       bool
	}{
		{"alive", member.Alive, 5, 0, true, true},
		{"held up", member.Dead, 5, 600 * time.Millisecond, true, true},
		{"gone", member.Dead, 5, time.Hour, false, true},
		{"replaced", member.Alive, 6, 0, false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, asked := time.Now(), false
				b := &bundle.Bundle{Rules: bundle.Rules{Partitions: 1, MaxJobTasks: 1}}
				b.Services, b.Tenants = map[string]*bundle.Service{"hold": {}}, map[string]*bundle.Tenant{"lullaby": {}}
				rt := New(Options{
					Self: origin.Key{VM: "a"}, Bundle: func() *bundle.Bundle { return b }, PartitionOwner: func(int) string { return "b" },
					Partition: func(int) *claim.Partition[*job.Job] { return claim.New[*job.Job](claim.Options{Owner: "a"}) },
					FindMember: func(id string) (member.Record, member.State, bool) {
						if id == "c" {
							return member.Record{ID: id, Incarnation: c.incarnation}, c.state, true
						}
						return member.Record{ID: id}, member.Alive, true
					},
					ForwardSubmit: func(ctx context.Context, to member.Record, _ Submission) (Result, error) {
						if to.ID != "c" {
							result := refused(refusal.New(refusal.Lost, refusal.Unknown, "claimed by %s", claimedBy))
							result.EarlierOwner = claimedBy
							return result, nil
						}
						asked = true
						if !wait.For(ctx, c.answersAt) {
							return Result{}, ctx.Err()
						}
						return Result{State: job.Complete}, nil
					},
				})
				result := rt.Submit(t.Context(), Submission{Key: "x", Tenant: "lullaby", Service: "hold"})
				if (result.State == job.Complete) != c.complete || asked != c.asked {
					t.Errorf("state %v, refusal %v, asked %v; want complete %v, asked %v", result.State, result.Refusal, asked, c.complete, c.asked)
				}
				if took := time.Since(began); took > 2*deadGracePeriod {
					t.Errorf("the call took %s, want at most %s", took, 2*deadGracePeriod)
				}
				time.Sleep(2 * livenessInterval) // ends the checks of the members
			})
		})
	}
}
