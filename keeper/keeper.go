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
	Request   bool
	Tasks     []job.Task
	Deadline  time.Time
	WaitUntil time.Time // zero for no wait
	Forwarded bool      // came from a peer and must not go on to another
}

// Result is a job's state with its answers or its refusal.
type Result struct {
	State   job.State
	Answers []job.Answer
	Done    int
	Tasks   int
	Refusal *refusal.Refusal
	Earlier string // VM and incarnation of the earlier owner that claimed the key
}

// Options of a keeper. Admit hands a job to the dispatcher; Submit and Look
// forward to a member. Owner names the member that should own a partition.
type Options struct {
	Self      origin.Key // zone, VM and incarnation
	Life      context.Context
	Room      int64 // bytes of all answers of a job at most
	Window    *window.Window[*job.Job]
	Shelf     *shelf.Shelf
	Partition func(index int) *claim.Partition[*job.Job]
	Owner     func(index int) string
	Find      func(id string) (member.Record, member.State, bool)
	Bundle    func() *bundle.Bundle
	Admit     func(*job.Job) *refusal.Refusal
	Submit    func(ctx context.Context, to member.Record, s Submission) (Result, error)
	Look      func(ctx context.Context, to member.Record, l Look) (Result, error)
	Accepting func() bool
	Now       func() time.Time
}

// Keeper is safe for concurrent use.
type Keeper struct{ options Options }

// New makes a keeper.
func New(options Options) *Keeper {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Keeper{options: options}
}

// Token gives the present origin token of this entry.
func (k *Keeper) Token() string {
	token := k.options.Self
	token.Slot = k.options.Window.Slot()
	return token.Token()
}

func refuse(r *refusal.Refusal) Result { return Result{State: job.Failed, Refusal: r} }

// Submit admits a job or attaches to the one that its key names.
func (k *Keeper) Submit(ctx context.Context, s Submission) Result {
	b := k.options.Bundle()
	if b == nil {
		return refuse(refusal.New(refusal.NotReady, refusal.NotRun, "no bundle is in force yet"))
	}
	if r := check(b, s); r != nil {
		return refuse(r)
	}
	switch {
	case s.Key == "":
		return k.unkeyed(ctx, b, s)
	case origin.Is(s.Key):
		return k.byOrigin(ctx, b, s)
	default:
		return k.byPartition(ctx, b, s)
	}
}

func check(b *bundle.Bundle, s Submission) *refusal.Refusal {
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
	if s.Key == "" && !(s.Request && service.Repeatable) {
		return refusal.New(refusal.KeyRequired, refusal.NotRun, "service %s is not repeatable and needs an Idempotency-Key", s.Service)
	}
	return nil
}

func (k *Keeper) unkeyed(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	if r := k.closed(); r != nil {
		return refuse(r)
	}
	j := k.build(b, s, "unkeyed-"+strconv.FormatUint(rand.Uint64(), 36))
	if r := k.options.Admit(j); r != nil {
		j.Fail(r)
	} else {
		stop := context.AfterFunc(ctx, func() {
			j.Fail(refusal.New(refusal.Cancelled, refusal.NotRun, "the caller went away"))
		})
		defer stop()
	}
	return k.await(ctx, j, s.WaitUntil)
}

func (k *Keeper) closed() *refusal.Refusal {
	if k.options.Accepting() {
		return nil
	}
	r := refusal.New(refusal.Draining, refusal.NotRun, "this entry is about to stop")
	return r.WithRetryAt(k.options.Now().Add(100 * time.Millisecond))
}

// build makes a job; nothing of it starts before it is admitted.
func (k *Keeper) build(b *bundle.Bundle, s Submission, key string) *job.Job {
	service := b.Services[s.Service]
	now := k.options.Now()
	deadline := now.Add(service.Timeout)
	if !s.Deadline.IsZero() && s.Deadline.Before(deadline) {
		deadline = s.Deadline
	}
	return job.New(k.options.Life, &job.Job{
		Key: key, Digest: s.Digest, Tenant: s.Tenant, Service: service, Bundle: b,
		Request: s.Request, Tasks: s.Tasks, Arrived: now, Deadline: deadline, Room: k.options.Room,
	})
}

// begin builds and admits a keyed job. It runs once for a key.
func (k *Keeper) begin(b *bundle.Bundle, s Submission) *job.Job {
	j := k.build(b, s, s.Key)
	if r := k.options.Admit(j); r != nil {
		j.Fail(r)
	}
	context.AfterFunc(j.Context(), func() {
		<-j.Done()
		j.Release()
		k.options.Shelf.Put(j)
	})
	return j
}

func (k *Keeper) byOrigin(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	key, err := origin.Parse(s.Key)
	if err != nil {
		return refuse(refusal.New(refusal.BadKey, refusal.NotRun, "%v", err))
	}
	if !k.mine(key) {
		return k.forward(ctx, key, s.Forwarded, k.submitTo(s))
	}
	// A job that was refused whole, not run, may be submitted again.
	for {
		j, made, err := k.options.Window.Claim(key.Slot, s.Key, func() *job.Job { return k.gate(b, s) })
		if err != nil {
			return refuse(keyRefusal(err))
		}
		if j.Digest != s.Digest {
			return refuse(refusal.New(refusal.KeyConflict, refusal.NotRun, "key was used with another body"))
		}
		if !made && refusedWhole(j) {
			k.options.Window.Remove(key.Slot, s.Key, func(other *job.Job) bool { return other == j })
			continue
		}
		return k.await(ctx, j, s.WaitUntil)
	}
}

// gate begins a job unless this entry is about to stop.
func (k *Keeper) gate(b *bundle.Bundle, s Submission) *job.Job {
	if r := k.closed(); r != nil {
		j := k.build(b, s, s.Key)
		j.Fail(r)
		return j
	}
	return k.begin(b, s)
}

// refusedWhole tells whether a job ended without any start.
func refusedWhole(j *job.Job) bool {
	state, _, r := j.Result()
	return state == job.Failed && r != nil && r.Outcome == refusal.NotRun && r.Kind != refusal.Cancelled
}

func (k *Keeper) mine(key origin.Key) bool {
	self := k.options.Self
	return key.Zone == self.Zone && key.VM == self.VM && key.Incarnation == self.Incarnation
}

func keyRefusal(err error) *refusal.Refusal {
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

func (k *Keeper) byPartition(ctx context.Context, b *bundle.Bundle, s Submission) Result {
	index := partitionOf(b, s.Key)
	partition := k.options.Partition(index)
	owner := k.options.Owner(index)
	if owner != k.options.Self.VM {
		if j, ok, _ := partition.Get(ctx, s.Key); ok {
			return k.attach(ctx, j, s)
		}
		return k.follow(ctx, k.toOwner(ctx, owner, s.Forwarded, k.submitTo(s)), s.Forwarded, k.submitTo(s))
	}
	build := func() *job.Job { return k.gate(b, s) }
	j, made, err := k.claim(ctx, partition, s, build)
	if err != nil {
		return k.follow(ctx, k.lost(err), s.Forwarded, k.submitTo(s))
	}
	if !made && refusedWhole(j) {
		same := func(other *job.Job) bool { return other == j }
		if next, ok := partition.Rebuild(s.Key, same, build); ok {
			j = next
		}
	}
	return k.await(ctx, j, s.WaitUntil)
}

// claimTries bounds how often ownership is taken anew for one claim.
const claimTries = 3

// claim claims a key as the owner. An entry that learns from the log that
// another became the owner meanwhile takes the partition again, since by its
// view of the members it should own it.
func (k *Keeper) claim(ctx context.Context, p *claim.Partition[*job.Job], s Submission, build func() *job.Job) (*job.Job, bool, error) {
	var failure error
	for range claimTries {
		if err := p.Acquire(ctx); err != nil {
			failure = err
			if !isNotOwner(err) {
				break
			}
			continue
		}
		j, made, err := p.Claim(ctx, s.Key, s.Digest, build)
		if !isNotOwner(err) {
			return j, made, err
		}
		failure = err
	}
	return nil, false, failure
}

func isNotOwner(err error) bool {
	var other *claim.NotOwnerError
	return errors.As(err, &other)
}

// attach answers a resubmission from a job that this entry claimed before
// another became the owner.
func (k *Keeper) attach(ctx context.Context, j *job.Job, s Submission) Result {
	if j.Digest != s.Digest {
		return refuse(refusal.New(refusal.KeyConflict, refusal.NotRun, "key was used with another body"))
	}
	return k.await(ctx, j, s.WaitUntil)
}

func (k *Keeper) claimRefusal(err error) *refusal.Refusal {
	var conflict *claim.ConflictError
	var lost *claim.LostError
	var full *claim.FullError
	var other *claim.NotOwnerError
	back := k.options.Now().Add(500 * time.Millisecond)
	switch {
	case errors.As(err, &conflict):
		return refusal.New(refusal.KeyConflict, refusal.NotRun, "%v", err)
	case errors.As(err, &lost):
		return refusal.New(refusal.Lost, refusal.Unknown, "%v", err)
	case errors.As(err, &full):
		return refusal.New(refusal.Overloaded, refusal.NotRun, "%v", err).WithRetryAt(back)
	case errors.As(err, &other):
		return refusal.New(refusal.OwnerUnreachable, refusal.NotRun, "%v", err).WithRetryAt(back)
	}
	return refusal.New(refusal.LogUnavailable, refusal.NotRun, "%v", err).WithRetryAt(back)
}

// await waits for a job until it is done, the wait is over or the caller gone.
func (k *Keeper) await(ctx context.Context, j *job.Job, until time.Time) Result {
	if wait := until.Sub(k.options.Now()); wait > 0 {
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
	return Result{State: state, Answers: answers, Done: done, Tasks: tasks, Refusal: r}
}
