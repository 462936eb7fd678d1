package peer

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/radishgate/radishgate/internal/gateway/peerclock"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/cancels"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/peer/wire"
)

// JobHandlers are the callbacks of a Server for jobs whose tasks run on groups
// of workers. OnPlace and OnAwait report with their last result whether this
// entry is the holder of the group under the claim of that epoch: a message
// that refers to an earlier claim may be about a job that has since moved to
// another entry. OnAwait gets the time at which the entry asked, at the latest.
type JobHandlers struct { //nolint
	OnPlace    func(group string, epoch uint64, b *batch.Batch, completedTasks []string) bool
	OnAwait    func(group string, epoch uint64, ids []string, askedAt time.Time) (results []batch.Result, unknown []string, held bool)
	OnResults  func(results []batch.Result)
	OnWithdraw func(group, id string, attempt uint64)
	OnRefuse   func(group, id string, attempt uint64) (refused bool)
	OnCancel   func(group, id string, left time.Duration) CancelReply
}

// CancelReply is how an entry has received a cancel.
type CancelReply struct {
	Held  bool // it holds the group, or none was named
	Known bool // the job may exist
	Kept  bool // it keeps the cancel; false from earlier builds
}

// Place accepts a job for a group of workers.
func (h JobHandlers) Place(_ context.Context, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	return &wire.PlaceReply{Held: h.OnPlace(r.Group, r.Epoch, unpackBatch(r), r.Done), ClockMs: peerclock.Now()}, nil
}

// Await returns the results of jobs that have ended and keeps the others alive. Earlier builds
// take each of the outcomes for a result, so that the jobs that go on have a list of their own.
func (h JobHandlers) Await(_ context.Context, r *wire.AwaitRequest) (*wire.AwaitReply, error) {
	results, unknown, held := h.OnAwait(r.Group, r.Epoch, r.Ids, time.Now().Add(-peerclock.Age(r.SentMs)))
	var ended, running []batch.Result
	for _, r := range results {
		if r.State.Ended() {
			ended = append(ended, r)
			continue
		}
		running = append(running, r)
	}
	return &wire.AwaitReply{Held: held, Outcomes: packOutcomes(ended), Running: packOutcomes(running), Unknown: unknown, ClockMs: peerclock.Now()}, nil
}

// Settle accepts the results of jobs.
func (h JobHandlers) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleReply, error) {
	h.OnResults(unpackOutcomes(r.Outcomes))
	return &wire.SettleReply{}, nil
}

// Withdraw cancels a job whose client has left, or that a client has cancelled, or refuses one whose entry stops.
func (h JobHandlers) Withdraw(_ context.Context, r *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if r.Cancel {
		reply := h.OnCancel(r.Group, r.Id, millisToDuration(r.LeftMs))
		switch {
		case !reply.Held:
			return nil, twirp.NewError(twirp.FailedPrecondition, "group "+r.Group+" is not held here")
		case !reply.Kept:
			return nil, twirp.NewError(twirp.ResourceExhausted, "no room for a cancel")
		}
		return &wire.WithdrawReply{Known: reply.Known, Kept: true}, nil
	}
	if r.Refuse {
		return &wire.WithdrawReply{Refused: h.OnRefuse(r.Group, r.Id, r.Attempt)}, nil
	}
	h.OnWithdraw(r.Group, r.Id, r.Attempt)
	return &wire.WithdrawReply{}, nil
}

// NotSentError reports a job that was not sent, since the receiver did not answer before.
type NotSentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string { return "job not sent to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Place sends a job to another entry and reports whether that entry is the
// holder of the group. After an error other than *NotSentError the entry may still have accepted the
// job.
func (c *Client) Place(ctx context.Context, address, group string, epoch uint64, b *batch.Batch, completedTasks []string) (bool, error) {
	clock, err := c.receiverClock(ctx, address, group, epoch)
	if err != nil {
		return false, &NotSentError{Address: address, Cause: err}
	}
	askedAt := b.AskedAt
	if askedAt.IsZero() {
		askedAt = time.Now()
	}
	request := packBatch(group, b, completedTasks, askedAt)
	request.Epoch, request.SentMs = epoch, clockAt(clock, askedAt)
	reply, err := c.peer(address).Place(ctx, request)
	if err != nil {
		return false, err
	}
	c.clocks.Note(claimKey(address, epoch), reply.ClockMs)
	return reply.Held, nil
}

// claimKey names the clock of the entry at an address that has made the claim of an epoch. Another
// machine may take over the address.
func claimKey(address string, epoch uint64) string {
	return address + "/" + strconv.FormatUint(epoch, 10)
}

// receiverClock returns the time on the clock of the holder of a group, or an earlier one, for a
// message to it. If no answer of the holder has told it lately, it asks.
func (c *Client) receiverClock(ctx context.Context, address, group string, epoch uint64) (uint64, error) {
	if clock, known := c.clocks.Estimate(claimKey(address, epoch)); known {
		return clock, nil
	}
	if _, _, _, err := c.await(ctx, address, &wire.AwaitRequest{Group: group, Epoch: epoch}); err != nil {
		return 0, err
	}
	clock, _ := c.clocks.Estimate(claimKey(address, epoch))
	return clock, nil
}

// clockAt returns what a clock that shows a time now has shown at another time, or an earlier one; 0 for the
// time 0, of a clock that is not known.
func clockAt(clock uint64, at time.Time) uint64 {
	if clock == 0 {
		return 0
	}
	elapsed := uint64(max(0, time.Since(at).Milliseconds()) + 1)
	return max(1, clock-min(clock, elapsed))
}

// Await fetches the results of jobs from another entry and keeps those alive
// that have not ended, for which clients waited at askedAt. It returns the results, the states of other jobs that have
// losses, the IDs of jobs that the entry does not know, and whether the entry is the holder of the group.
func (c *Client) Await(ctx context.Context, address, group string, epoch uint64, ids []string, askedAt time.Time) ([]batch.Result, []string, bool, error) {
	clock, err := c.receiverClock(ctx, address, group, epoch)
	if err != nil {
		return nil, nil, false, err
	}
	return c.await(ctx, address, &wire.AwaitRequest{Group: group, Epoch: epoch, Ids: ids, SentMs: clockAt(clock, askedAt)})
}

func (c *Client) await(ctx context.Context, address string, request *wire.AwaitRequest) ([]batch.Result, []string, bool, error) {
	reply, err := c.peer(address).Await(ctx, request)
	if err != nil {
		return nil, nil, false, err
	}
	c.clocks.Note(claimKey(address, request.Epoch), reply.ClockMs)
	return append(unpackOutcomes(reply.Outcomes), unpackOutcomes(reply.Running)...), reply.Unknown, reply.Held, nil
}

// DeliverResults sends results to the entry whose clients wait for them.
func (c *Client) DeliverResults(ctx context.Context, address string, results []batch.Result) error {
	_, err := c.peer(address).Settle(ctx, &wire.SettleRequest{Outcomes: packOutcomes(results)})
	return err
}

// Withdraw informs another entry that the client of a job has left.
func (c *Client) Withdraw(ctx context.Context, address, group, id string, attempt uint64) error {
	_, err := c.peer(address).Withdraw(ctx, &wire.WithdrawRequest{Group: group, Id: id, Attempt: attempt})
	return err
}

// Refuse asks the holder of a group to refuse a job, and reports whether nothing of it has run and nothing will.
// A holder of an earlier build withdraws the job and reports false.
func (c *Client) Refuse(ctx context.Context, address, group, id string, attempt uint64) (bool, error) {
	reply, err := c.peer(address).Withdraw(ctx, &wire.WithdrawRequest{Group: group, Id: id, Attempt: attempt, Refuse: true})
	if err != nil {
		return false, err
	}
	return reply.Refused, nil
}

// Cancel asks the holder of a group to cancel a job and to keep the cancel for a time. Any entry can be asked if the
// group is empty; one of an earlier build does nothing then.
func (c *Client) Cancel(ctx context.Context, address, group, id string, left time.Duration) (CancelReply, error) {
	reply, err := c.peer(address).Withdraw(ctx, &wire.WithdrawRequest{Group: group, Id: id, Cancel: true, LeftMs: durationToMillis(left)})
	var failure twirp.Error
	if group == "" && errors.As(err, &failure) && failure.Code() == twirp.FailedPrecondition {
		return CancelReply{}, nil
	}
	if err != nil {
		return CancelReply{}, err
	}
	return CancelReply{Held: true, Known: reply.Known, Kept: reply.Kept}, nil
}

// durationToMillis returns a time left for a message, at least 1 ms.
func durationToMillis(left time.Duration) uint32 {
	return uint32(min(max(1, left.Milliseconds()), math.MaxUint32))
}

// PackCancels converts records of cancels to wire messages. The times left count from now.
func PackCancels(records []cancels.Record, now time.Time) []*wire.Cancel {
	var packed []*wire.Cancel
	for _, r := range records {
		packed = append(packed, &wire.Cancel{Job: r.Job, LeftMs: durationToMillis(r.Until.Sub(now))})
	}
	return packed
}

// UnpackCancels converts wire messages to records of cancels.
func UnpackCancels(packed []*wire.Cancel, now time.Time) []cancels.Record {
	var records []cancels.Record
	for _, c := range packed {
		records = append(records, cancels.Record{Job: c.Job, Until: now.Add(millisToDuration(c.LeftMs))})
	}
	return records
}

// packBatch returns the message that brings a job. Its ages and times left are those at askedAt.
func packBatch(group string, b *batch.Batch, completedTasks []string, askedAt time.Time) *wire.PlaceRequest {
	r := &wire.PlaceRequest{
		Group: group, Id: b.ID, Spec: b.Spec, Queue: b.Queue, Service: b.Service, Version: b.Version,
		Priority: uint32(max(0, b.Priority)), Attempts: uint32(b.MaxAttempts), Stretch: float32(b.Stretch),
		SlackMs: uint32(b.Slack.Milliseconds()), From: b.WaitingEntry, AgeMs: millisBetween(b.ArrivedAt, askedAt), LeftMs: millisBetween(askedAt, b.ExpiresAt),
		Again: b.MaybeStarted, Done: completedTasks, Attempt: b.Attempt, Away: b.SpilledOver, Losses: packLosses(b.Losses), StartedHere: b.StartedHere,
	}
	for _, s := range b.Steps {
		step := &wire.Step{
			Count: uint32(s.Count), Processors: s.Resources.MilliCores, Memory: s.Resources.MemoryMB, Accelerators: s.Resources.Accelerators,
			HintMs: uint32(s.Hint.Milliseconds()), Label: s.RequiredLabel, Rack: s.DataRack, PerWorker: uint32(s.MaxPerWorker),
			SameRack: s.SameRack, Together: s.Gang, Copies: s.Speculative, Saves: s.Checkpointing,
		}
		for _, before := range s.DependsOn {
			step.After = append(step.After, uint32(before))
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

func unpackBatch(r *wire.PlaceRequest) *batch.Batch {
	sent := time.Now().Add(-peerclock.Age(r.SentMs))
	b := &batch.Batch{
		QueueSettings: batch.QueueSettings{
			Queue: r.Queue, Service: r.Service, Version: r.Version, Priority: int(r.Priority), MaxAttempts: int(r.Attempts),
			Stretch: float64(r.Stretch), Slack: millisToDuration(r.SlackMs),
		},
		ID: r.Id, Spec: r.Spec, WaitingEntry: r.From, MaybeStarted: r.Again, Attempt: r.Attempt, SpilledOver: r.Away, StartedHere: r.StartedHere, Losses: unpackLosses(r.Losses),
		ArrivedAt: sent.Add(-millisToDuration(r.AgeMs)), ExpiresAt: sent.Add(millisToDuration(r.LeftMs)), AskedAt: sent,
	}
	for _, s := range r.Steps {
		step := batch.Step{
			Count: int(s.Count), Resources: resources.Resources{MilliCores: s.Processors, MemoryMB: s.Memory, Accelerators: s.Accelerators},
			Hint: millisToDuration(s.HintMs), RequiredLabel: s.Label, DataRack: s.Rack, MaxPerWorker: int(s.PerWorker),
			SameRack: s.SameRack, Gang: s.Together, Speculative: s.Copies, Checkpointing: s.Saves,
		}
		for _, before := range s.After {
			step.DependsOn = append(step.DependsOn, int(before))
		}
		b.Steps = append(b.Steps, step)
	}
	return b
}

// millisBetween returns the time between two times in milliseconds, or 0 if the first is zero or later.
func millisBetween(from, to time.Time) uint32 {
	if from.IsZero() {
		return 0
	}
	return uint32(min(max(0, to.Sub(from).Milliseconds()), math.MaxUint32))
}

func millisToDuration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func packOutcomes(results []batch.Result) []*wire.Outcome {
	var outcomes []*wire.Outcome
	for _, r := range results {
		outcomes = append(outcomes, &wire.Outcome{
			Id: r.ID, State: string(r.State), Reason: r.Reason, RetryMs: millisUntil(r.RetryAt), Done: r.CompletedTasks, Group: r.TargetGroup, Started: r.Started, Attempt: r.Attempt, Losses: packLosses(r.Losses),
		})
	}
	return outcomes
}

func unpackOutcomes(outcomes []*wire.Outcome) []batch.Result {
	now := time.Now()
	var results []batch.Result
	for _, o := range outcomes {
		results = append(results, batch.Result{
			ID: o.Id, State: batch.State(o.State), Reason: o.Reason, RetryAt: now.Add(millisToDuration(o.RetryMs)), CompletedTasks: o.Done, TargetGroup: o.Group, Started: o.Started, Attempt: o.Attempt, Losses: unpackLosses(o.Losses),
		})
	}
	return results
}

func packLosses(losses []batch.Losses) []*wire.Loss {
	var packed []*wire.Loss
	for _, l := range losses {
		packed = append(packed, &wire.Loss{Task: l.Task, Crashes: uint32(l.Crashes), Suspicions: uint32(l.Suspicions)})
	}
	return packed
}

func unpackLosses(packed []*wire.Loss) []batch.Losses {
	var losses []batch.Losses
	for _, l := range packed {
		losses = append(losses, batch.Losses{Task: l.Task, Crashes: int(l.Crashes), Suspicions: int(l.Suspicions)})
	}
	return losses
}

// PackClaims converts claims to wire messages.
func PackClaims(claims []election.Claim) []*wire.Claim {
	var packed []*wire.Claim
	for _, c := range claims {
		packed = append(packed, &wire.Claim{Group: c.Group, Epoch: c.Epoch, Holder: c.Holder, Life: c.Incarnation})
	}
	return packed
}

// UnpackClaims converts wire messages to claims.
func UnpackClaims(packed []*wire.Claim) []election.Claim {
	var claims []election.Claim
	for _, c := range packed {
		claims = append(claims, election.Claim{Group: c.Group, Epoch: c.Epoch, Holder: c.Holder, Incarnation: c.Life})
	}
	return claims
}
