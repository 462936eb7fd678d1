// Package idempotency routes each keyed call to the one process that may start the key's
// job: this entry, the entry that issued the key, or the owner of the key's partition.
package idempotency

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/answercache"
	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/window"
)

// Submission is a job as a caller sent it. Its syntax has been checked, its service,
// tenant and sizes have not.
type Submission struct {
	Key       string // empty for a request that may run more than once
	Digest    string // of the submitted body
	Tenant    string
	Service   string
	IsRequest bool // a single call that a person waits for
	Tasks     []job.Task
	Deadline  time.Time
	WaitUntil time.Time // zero to return at once
	Forwarded bool      // came from a peer and must not be forwarded again
}

// Result is a job's state, with its answers if it is complete or the refusal if it
// failed.
type Result struct {
	State          job.State
	Answers        []job.Answer
	CompletedTasks int
	Tasks          int
	Refusal        *refusal.Refusal
	EarlierOwner   string // VM and incarnation of the earlier owner that claimed the key
}

// Options configures a Router. Admit passes a job to the dispatcher or refuses it;
// it may be called under the lock of the window or of a partition and must call
// neither. ForwardSubmit and ForwardQuery send a call to another member. All fields
// are required, except MaxAnswerBytes (0 for no limit) and Now.
type Options struct {
	Self           origin.Key               // zone, VM and incarnation
	BaseContext    context.Context          // parent of the jobs' contexts
	MaxAnswerBytes int64                    // maximum size of all answers of a job together
	Window         *window.Window[*job.Job] // jobs under the keys that this process issued
	AnswerCache    *answercache.Cache
	Partition      func(index int) *claim.Partition[*job.Job] // jobs under the keys that callers chose
	PartitionOwner func(index int) string                     // the member that should own a partition
	FindMember     func(id string) (member.Record, member.State, bool)
	Bundle         func() *bundle.Bundle // the bundle in force, nil if there is none yet
	Admit          func(*job.Job) *refusal.Refusal
	ForwardSubmit  func(ctx context.Context, to member.Record, s Submission) (Result, error)
	ForwardQuery   func(ctx context.Context, to member.Record, q Query) (Result, error)
	Accepting      func() bool // reports whether new jobs may start here
	// SettleTime is how long entries may disagree about the owner of a partition: only some of
	// them have missed the heartbeats of a member, and count it as suspected or dead.
	SettleTime time.Duration
	Now        func() time.Time
}

// Router answers submissions and queries of jobs, here or through another member.
// It is safe for concurrent use.
type Router struct{ options Options }

// New returns a Router.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Router{options: options}
}

// Token returns the origin token that this entry currently issues.
func (rt *Router) Token() string {
	token := rt.options.Self
	token.Slot = rt.options.Window.CurrentSlot()
	return token.Token()
}

// refused returns the result of a job that failed with r.
func refused(r *refusal.Refusal) Result { return Result{State: job.Failed, Refusal: r} }

// Submit starts a job, or attaches to the job that was started before under the same
// key, and waits for its result until s.WaitUntil.
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

// validate checks a submission against the bundle.
func validate(b *bundle.Bundle, s Submission) *refusal.Refusal {
	service, ok := b.Services[s.Service]
	if !ok {
		return refusal.New(refusal.NoSuchService, refusal.NotRun, "service %q is not in bundle %d", s.Service, b.Version)
	}
	if _, ok := b.Tenants[s.Tenant]; !ok {
		return refusal.New(refusal.NoSuchTenant, refusal.NotRun, "tenant %q is not in bundle %d", s.Tenant, b.Version)
	}
	if len(s.Tasks) > b.Rules.MaxJobTasks {
		return refusal.New(refusal.TooManyTasks, refusal.NotRun, "%d tasks are more than %d", len(s.Tasks), b.Rules.MaxJobTasks)
	}
	for i := range s.Tasks {
		if int64(len(s.Tasks[i].Body)) > service.MaxBodyBytes {
			return refusal.New(refusal.BodyTooLarge, refusal.NotRun, "task %d is over the %d bytes of service %s", i, service.MaxBodyBytes, s.Service)
		}
	}
	if s.Key == "" && !(s.IsRequest && service.Repeatable) {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "service %s is not repeatable and needs an Idempotency-Key", s.Service)
	}
	return nil
}

// submitUnkeyed starts a job without a key, which is canceled when the caller leaves.
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

// checkAccepting returns a refusal while this entry is draining.
func (rt *Router) checkAccepting() *refusal.Refusal {
	if rt.options.Accepting() {
		return nil
	}
	r := refusal.New(refusal.Draining, refusal.NotRun, "this entry is about to stop")
	return r.WithRetryAt(rt.options.Now().Add(100 * time.Millisecond))
}

// newJob builds a job. None of its tasks starts before the job is admitted.
func (rt *Router) newJob(b *bundle.Bundle, s Submission, key string) *job.Job {
	service := b.Services[s.Service]
	now := rt.options.Now()
	deadline := now.Add(service.Timeout)
	if !s.Deadline.IsZero() && s.Deadline.Before(deadline) {
		deadline = s.Deadline
	}
	return job.New(rt.options.BaseContext, &job.Job{
		Key: key, Digest: s.Digest, Tenant: s.Tenant, Service: service, Bundle: b,
		IsRequest: s.IsRequest, Tasks: s.Tasks, ArrivedAt: now, Deadline: deadline, MaxAnswerBytes: rt.options.MaxAnswerBytes,
	})
}

// startJob builds and admits the job of a key. It runs once for each key, except
// that a job refused before any start may be replaced.
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

// submitByOrigin answers a submission with an origin key: here if this process issued
// the key, otherwise through the entry that issued it.
func (rt *Router) submitByOrigin(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	key, err := origin.Parse(s.Key)
	if err != nil {
		return refused(refusal.New(refusal.BadKey, refusal.NotRun, "%v", err))
	}
	if !rt.isOwnKey(key) {
		return rt.forwardToOrigin(ctx, key, s.Forwarded, rt.sendSubmission(s))
	}
	// A job that was refused before any of its tasks started is replaced by the resubmission.
	for {
		j, created, err := rt.options.Window.GetOrCreate(key.Slot, s.Key, func() *job.Job { return rt.startUnlessDraining(b, s) })
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

// startUnlessDraining starts a job, or returns a failed one while this entry is
// draining.
func (rt *Router) startUnlessDraining(b *bundle.Bundle, s Submission) *job.Job {
	if r := rt.checkAccepting(); r != nil {
		j := rt.newJob(b, s, s.Key)
		j.Fail(r)
		return j
	}
	return rt.startJob(b, s)
}

// refusedUnstarted reports whether a job was refused before any of its tasks started.
// A job that its caller canceled does not count.
func refusedUnstarted(j *job.Job) bool {
	state, _, r := j.Result()
	return state == job.Failed && r != nil && r.Outcome == refusal.NotRun && r.Kind != refusal.Cancelled
}

// isOwnKey reports whether this process issued the key.
func (rt *Router) isOwnKey(key origin.Key) bool {
	self := rt.options.Self
	return key.Zone == self.Zone && key.VM == self.VM && key.Incarnation == self.Incarnation
}

// windowRefusal returns the refusal for an error of the key window.
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

// partitionOf returns the partition of a client-chosen key.
func partitionOf(b *bundle.Bundle, key string) int {
	return int(xxhash.Sum64String(key) % uint64(b.Rules.Partitions))
}

// settleInterval is the time between attempts while the owner of a partition is not settled.
const settleInterval = 100 * time.Millisecond

// submitByPartition answers a submission with a client-chosen key. It tries again while the
// owner of the key's partition is not settled. The first attempt may have waited for a member that is
// held up, so the time for further ones begins with its answer.
func (rt *Router) submitByPartition(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	var giveUpAt time.Time // zero until an attempt was not settled
	for {
		result := rt.submitToOwner(ctx, b, s)
		if s.Forwarded || !isUnsettled(result) {
			return result
		}
		now := rt.options.Now()
		if giveUpAt.IsZero() {
			giveUpAt = now.Add(rt.options.SettleTime)
		}
		if !s.Deadline.IsZero() && s.Deadline.Before(giveUpAt) {
			giveUpAt = s.Deadline
		}
		if now.Add(settleInterval).After(giveUpAt) || !wait.For(ctx, settleInterval) {
			return result
		}
	}
}

// isUnsettled reports whether a submission started nothing because no entry was found that
// counts as the owner of its partition in its own view.
func isUnsettled(r Result) bool {
	return r.Refusal != nil && r.Refusal.Kind == refusal.OwnerUnreachable && r.Refusal.Outcome == refusal.NotRun
}

// submitToOwner answers a submission with a client-chosen key: here if this entry should own
// the key's partition, otherwise from a job that it claimed before or through the owner.
func (rt *Router) submitToOwner(ctx context.Context, b *bundle.Bundle, s Submission) Result {
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

// maxClaimAttempts limits how often one claim acquires the partition again.
const maxClaimAttempts = 3

// claimKey claims a key as the owner of its partition. If the log shows that another
// entry became the owner meanwhile, it acquires the partition again, because
// according to its view of the members this entry should own it.
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

// isNotOwner reports whether err is a *claim.NotOwnerError.
func isNotOwner(err error) bool {
	var notOwner *claim.NotOwnerError
	return errors.As(err, &notOwner)
}

// attach answers a resubmission from a job that this entry claimed before another
// entry became the owner.
func (rt *Router) attach(ctx context.Context, j *job.Job, s Submission) Result {
	if j.Digest != s.Digest {
		return refused(refusal.New(refusal.KeyConflict, refusal.NotRun, "key was used with another body"))
	}
	return rt.await(ctx, j, s.WaitUntil)
}

// claimRefusal returns the refusal for an error of package claim.
func (rt *Router) claimRefusal(err error) *refusal.Refusal {
	var conflict *claim.ConflictError
	var claimedByOther *claim.ClaimedByOtherError
	var full *claim.FullError
	var notOwner *claim.NotOwnerError
	var undecided *claim.UndecidedError
	retryAt := rt.options.Now().Add(500 * time.Millisecond)
	switch {
	case errors.As(err, &conflict):
		return refusal.New(refusal.KeyConflict, refusal.NotRun, "%v", err)
	case errors.As(err, &claimedByOther):
		return refusal.New(refusal.Lost, refusal.Unknown, "%v", err)
	case errors.As(err, &full):
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", err).WithRetryAt(retryAt)
	case errors.As(err, &notOwner):
		return refusal.New(refusal.OwnerUnreachable, refusal.NotRun, "%v", err).WithRetryAt(retryAt)
	}
	if errors.As(err, &undecided) {
		return refusal.New(refusal.LogUnavailable, refusal.Unknown, "%v", err).WithRetryAt(retryAt)
	}
	return refusal.New(refusal.LogUnavailable, refusal.NotRun, "%v", err).WithRetryAt(retryAt)
}

// await waits until the job has ended, the given time has come or ctx is done, and
// returns the job's state.
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
	completed, tasks := j.Progress()
	return Result{State: state, Answers: answers, CompletedTasks: completed, Tasks: tasks, Refusal: r}
}
