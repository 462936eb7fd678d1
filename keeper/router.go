// Package keeper answers each key by the one process able to start its job: here, at its origin, or at its partition's owner.
package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/shelf"
	"github.com/radishgate/radishgate/window"
)

// Submission is a job as a caller sent it, checked for form.
type Submission struct {
	Key       string // empty for a request that may run more than once
	Digest    string
	Tenant    string
	Service   string
	IsRequest bool
	Tasks     []job.Task
	Deadline  time.Time
	WaitUntil time.Time // zero for no wait
	Forwarded bool      // came from a peer and must not go on to another
}

// Result is a job's state with its answers or its refusal.
type Result struct {
	State          job.State
	Answers        []job.Answer
	CompletedTasks int
	Tasks          int
	Refusal        *refusal.Refusal
	EarlierOwner   string // VM and incarnation of the earlier owner that claimed the key
}

// Options of a keeper. Admit hands a job to the dispatcher; Submit and Look
// forward to a member. Owner names the member that should own a partition.
type Options struct {
	Self           origin.Key // zone, VM and incarnation
	BaseContext    context.Context
	MaxAnswerBytes int64 // bytes of all answers of a job at most
	Window         *window.Window[*job.Job]
	AnswerCache    *shelf.Cache
	Partition      func(index int) *claim.Partition[*job.Job]
	PartitionOwner func(index int) string
	FindMember     func(id string) (member.Record, member.State, bool)
	Bundle         func() *bundle.Bundle
	Admit          func(*job.Job) *refusal.Refusal
	ForwardSubmit  func(ctx context.Context, to member.Record, s Submission) (Result, error)
	ForwardQuery   func(ctx context.Context, to member.Record, l Query) (Result, error)
	Accepting      func() bool
	Now            func() time.Time
}

// Router is safe for concurrent use.
type Router struct{ options Options }

// New makes a keeper.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Router{options: options}
}

// Token gives the present origin token of this entry.
func (rt *Router) Token() string {
	token := rt.options.Self
	token.Slot = rt.options.Window.Slot()
	return token.Token()
}

func refused(r *refusal.Refusal) Result { return Result{State: job.Failed, Refusal: r} }

// Submit admits a job or attaches to the one that its key names.
func (rt *Router) Submit(ctx context.Context, s Submission) Result {
	b := rt.options.Bundle()
	if b == nil {
		return refused(refusal.New(refusal.NotReady, refusal.NotRun, "no bundle is in force yet"))
	}
	if r := validate(b, s); r != nil {
		return refused(r)
	}
	switch {
	case s.Key == "":
		return rt.submitUnkeyed(ctx, b, s)
	case origin.HasPrefix(s.Key):
		return rt.submitByOrigin(ctx, b, s)
	default:
		return rt.submitByPartition(ctx, b, s)
	}
}

func validate(b *bundle.Bundle, s Submission) *refusal.Refusal {
	service, ok := b.Services[s.Service]
	if !ok {
		return refusal.New(refusal.NoService, refusal.NotRun, "service %q is not in bundle %d", s.Service, b.Version)
	}
	if _, ok := b.Tenants[s.Tenant]; !ok {
		return refusal.New(refusal.NoTenant, refusal.NotRun, "tenant %q is not in bundle %d", s.Tenant, b.Version)
	}
	if len(s.Tasks) > b.Rules.Tasks {
		return refusal.New(refusal.TooManyTasks, refusal.NotRun, "%d tasks are more than %d", len(s.Tasks), b.Rules.Tasks)
	}
	for i := range s.Tasks {
		if int64(len(s.Tasks[i].Body)) > service.Body {
			return refusal.New(refusal.BodyTooLarge, refusal.NotRun, "task %d is over the %d bytes of service %s", i, service.Body, s.Service)
		}
	}
	if s.Key == "" && !(s.IsRequest && service.Repeatable) {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "service %s is not repeatable and needs an Idempotency-Key", s.Service)
	}
	return nil
}

func (rt *Router) submitUnkeyed(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	if r := rt.checkAccepting(); r != nil {
		return refused(r)
	}
	j := rt.newJob(b, s, "unkeyed-"+strconv.FormatUint(rand.Uint64(), 36))
	if r := rt.options.Admit(j); r != nil {
		j.Fail(r)
	} else {
		stop := context.AfterFunc(ctx, func() {
			j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "the caller went away"))
		})
		defer stop()
	}
	return rt.await(ctx, j, s.WaitUntil)
}

func (rt *Router) checkAccepting() *refusal.Refusal {
	if rt.options.Accepting() {
		return nil
	}
	r := refusal.New(refusal.Draining, refusal.NotRun, "this entry is about to stop")
	return r.Later(rt.options.Now().Add(100 * time.Millisecond))
}

// newJob makes a job; nothing of it starts before it is admitted.
func (rt *Router) newJob(b *bundle.Bundle, s Submission, key string) *job.Job {
	service := b.Services[s.Service]
	now := rt.options.Now()
	deadline := now.Add(service.Limit)
	if !s.Deadline.IsZero() && s.Deadline.Before(deadline) {
		deadline = s.Deadline
	}
	return job.New(rt.options.BaseContext, &job.Job{
		Key: key, Digest: s.Digest, Tenant: s.Tenant, Service: service, Bundle: b,
		IsRequest: s.IsRequest, Tasks: s.Tasks, ArrivedAt: now, Deadline: deadline, MaxAnswerBytes: rt.options.MaxAnswerBytes,
	})
}

// startJob builds and admits a keyed job. It runs once for a key.
func (rt *Router) startJob(b *bundle.Bundle, s Submission) *job.Job {
	j := rt.newJob(b, s, s.Key)
	if r := rt.options.Admit(j); r != nil {
		j.Fail(r)
	}
	context.AfterFunc(j.Context(), func() {
		<-j.Done()
		j.ReleaseTasks()
		rt.options.AnswerCache.Put(j)
	})
	return j
}

func (rt *Router) submitByOrigin(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	key, err := origin.Parse(s.Key)
	if err != nil {
		return refused(refusal.New(refusal.BadKey, refusal.NotRun, "%v", err))
	}
	if !rt.isOwnKey(key) {
		return rt.forwardToOrigin(ctx, key, s.Forwarded, rt.sendSubmission(s))
	}
	// A job that was refused whole, not run, may be submitted again.
	for {
		j, created, err := rt.options.Window.Claim(key.Slot, s.Key, func() *job.Job { return rt.startUnlessDraining(b, s) })
		if err != nil {
			return refused(windowRefusal(err))
		}
		if j.Digest != s.Digest {
			return refused(refusal.New(refusal.KeyConflict, refusal.NotRun, "key was used with another body"))
		}
		if !created && refusedUnstarted(j) {
			rt.options.Window.Remove(key.Slot, s.Key, func(other *job.Job) bool { return other == j })
			continue
		}
		return rt.await(ctx, j, s.WaitUntil)
	}
}

// startUnlessDraining begins a job unless this entry is about to stop.
func (rt *Router) startUnlessDraining(b *bundle.Bundle, s Submission) *job.Job {
	if r := rt.checkAccepting(); r != nil {
		j := rt.newJob(b, s, s.Key)
		j.Fail(r)
		return j
	}
	return rt.startJob(b, s)
}

// refusedUnstarted tells whether a job ended without any start.
func refusedUnstarted(j *job.Job) bool {
	state, _, r := j.Result()
	return state == job.Failed && r != nil && r.Outcome == refusal.NotRun && r.Kind != refusal.Cancelled
}

func (rt *Router) isOwnKey(key origin.Key) bool {
	self := rt.options.Self
	return key.Zone == self.Zone && key.VM == self.VM && key.Incarnation == self.Incarnation
}

func windowRefusal(err error) *refusal.Refusal {
	var expired *window.ExpiredError
	var future *window.FutureError
	var full *window.FullError
	switch {
	case errors.As(err, &expired):
		return refusal.New(refusal.KeyExpired, refusal.Unknown, "%v", err)
	case errors.As(err, &future):
		return refusal.New(refusal.BadKey, refusal.NotRun, "%v", err)
	case errors.As(err, &full):
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", err)
	}
	return refusal.New(refusal.BadKey, refusal.NotRun, "%v", err)
}

// partitionOf gives the partition of a chosen key.
func partitionOf(b *bundle.Bundle, key string) int {
	return int(xxhash.Sum64String(key) % uint64(b.Rules.Partitions))
}

func (rt *Router) submitByPartition(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	index := partitionOf(b, s.Key)
	partition := rt.options.Partition(index)
	owner := rt.options.PartitionOwner(index)
	if owner != rt.options.Self.VM {
		if j, ok, _ := partition.Get(ctx, s.Key); ok {
			return rt.attach(ctx, j, s)
		}
		return rt.askEarlierOwner(ctx, rt.forwardToOwner(ctx, owner, s.Forwarded, rt.sendSubmission(s)), s.Forwarded, rt.sendSubmission(s))
	}
	build := func() *job.Job { return rt.startUnlessDraining(b, s) }
	j, created, err := rt.claimKey(ctx, partition, s, build)
	if err != nil {
		return rt.askEarlierOwner(ctx, rt.claimFailed(err), s.Forwarded, rt.sendSubmission(s))
	}
	if !created && refusedUnstarted(j) {
		same := func(other *job.Job) bool { return other == j }
		if next, ok := partition.ReplaceIf(s.Key, same, build); ok {
			j = next
		}
	}
	return rt.await(ctx, j, s.WaitUntil)
}

// maxClaimAttempts bounds how often ownership is taken anew for one claim.
const maxClaimAttempts = 3

// claimKey claims a key as the owner. An entry that learns from the log that
// another became the owner meanwhile takes the partition again, since by its
// view of the members it should own it.
func (rt *Router) claimKey(ctx context.Context, p *claim.Partition[*job.Job], s Submission, build func() *job.Job) (*job.Job, bool, error) {
	var lastErr error
	for range maxClaimAttempts {
		if err := p.Acquire(ctx); err != nil {
			lastErr = err
			if !isNotOwner(err) {
				break
			}
			continue
		}
		j, created, err := p.Claim(ctx, s.Key, s.Digest, build)
		if !isNotOwner(err) {
			return j, created, err
		}
		lastErr = err
	}
	return nil, false, lastErr
}

func isNotOwner(err error) bool {
	var notOwner *claim.NotOwnerError
	return errors.As(err, &notOwner)
}

// attach answers a resubmission from a job that this entry claimed before
// another became the owner.
func (rt *Router) attach(ctx context.Context, j *job.Job, s Submission) Result {
	if j.Digest != s.Digest {
		return refused(refusal.New(refusal.KeyConflict, refusal.NotRun, "key was used with another body"))
	}
	return rt.await(ctx, j, s.WaitUntil)
}

func (rt *Router) claimRefusal(err error) *refusal.Refusal {
	var conflict *claim.ConflictError
	var claimedByOther *claim.ClaimedByOtherError
	var full *claim.FullError
	var notOwner *claim.NotOwnerError
	retryAt := rt.options.Now().Add(500 * time.Millisecond)
	switch {
	case errors.As(err, &conflict):
		return refusal.New(refusal.KeyConflict, refusal.NotRun, "%v", err)
	case errors.As(err, &claimedByOther):
		return refusal.New(refusal.Lost, refusal.Unknown, "%v", err)
	case errors.As(err, &full):
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", err).Later(retryAt)
	case errors.As(err, &notOwner):
		return refusal.New(refusal.OwnerDown, refusal.NotRun, "%v", err).Later(retryAt)
	}
	return refusal.New(refusal.LogDown, refusal.NotRun, "%v", err).Later(retryAt)
}

// await waits for a job until it is done, the wait is over or the caller gone.
func (rt *Router) await(ctx context.Context, j *job.Job, until time.Time) Result {
	if wait := until.Sub(rt.options.Now()); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-j.Done():
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	state, answers, r := j.Result()
	done, tasks := j.Progress()
	return Result{State: state, Answers: answers, CompletedTasks: done, Tasks: tasks, Refusal: r}
}
