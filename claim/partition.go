// Package claim lets one fenced owner at a time start the jobs of a partition of keys; the log's order decides.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// Kinds of records in a partition's stream.
const (
	kindOwnership = "own"
	kindClaims    = "claims"
)

// record is one log record. An own record makes its writer the owner from its
// offset on. Claims name the offset of the own record that they rest on; they
// are void if another own record stands between the two.
type record struct {
	Kind            string       `json:"kind"`
	Owner           string       `json:"owner"` // VM and incarnation
	Nonce           uint64       `json:"nonce"`
	OwnershipOffset int64        `json:"own,omitempty"`
	Keys            []claimedKey `json:"keys,omitempty"`
}

type claimedKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Options of a partition.
type Options struct {
	Log              platform.Log
	Owner            string        // VM and incarnation of this process
	KeyRetention     time.Duration // how long a key is remembered; at most the log's retention
	MaxKeys          int           // remembered at most
	MaxBatch         int           // claims in one record at most
	ReadBackTries    int           // reads after a lost reply
	ReadBackInterval time.Duration // between those reads
	FailureBackoff   time.Duration // after a failed append, in which claims are refused at once
	Nonce            func() uint64
	Now              func() time.Time
}

// keyState is a key that was claimed. Mine tells that this process claimed it, so
// that value is its job; else the job's fate is unknown.
type keyState[V any] struct {
	digest    string
	owner     string
	local     bool
	value     V
	claimedAt time.Time
	decided   chan struct{} // closed once the log has decided
	err       error
	competing *keyState[V] // claim of another owner, read while this one was undecided
}

// pendingClaim is a claim that waits for its record.
type pendingClaim[V any] struct {
	key   claimedKey
	state *keyState[V]
	build func() V
}

// Partition is one partition of chosen keys, with values of type V (jobs). It
// is safe for concurrent use.
type Partition[V any] struct {
	options Options

	appendMu sync.Mutex // one append of this process at a time

	mu              sync.Mutex
	nextOffset      int64 // next offset to fold
	ownershipOffset int64 // offset of the own record in force, -1 before there is one
	owner           string
	acquiredOffset  int64     // offset of this process's own record, -1 when it is not the owner
	logDownUntil    time.Time // until when the log is taken to be down
	logDownCause    error
	keys            map[string]*keyState[V]
	keyOrder        []string
	pending         []pendingClaim[V]
	appends         int64
	claims          int64
}

// New makes a partition that nobody is known to own.
func New[V any](options Options) *Partition[V] {
	if options.KeyRetention == 0 {
		options.KeyRetention = 10 * time.Minute
	}
	if options.MaxKeys == 0 {
		options.MaxKeys = 200_000
	}
	if options.MaxBatch == 0 {
		options.MaxBatch = 500
	}
	if options.ReadBackTries == 0 {
		options.ReadBackTries = 5
	}
	if options.ReadBackInterval == 0 {
		options.ReadBackInterval = 50 * time.Millisecond
	}
	if options.FailureBackoff == 0 {
		options.FailureBackoff = time.Second
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Partition[V]{options: options, ownershipOffset: -1, acquiredOffset: -1, keys: map[string]*keyState[V]{}}
}

// Owned tells whether this process believes to be the owner. Only the log's
// answer to an append proves it.
func (p *Partition[V]) Owned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acquiredOffset >= 0
}

// Release gives the partition up without a record; the next owner's own record
// fences this one.
func (p *Partition[V]) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acquiredOffset = -1
}

// Counts gives the appends of claims and the claims in them.
func (p *Partition[V]) Counts() (int64, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends, p.claims
}

// Acquire makes this process the owner: it appends an own record and folds the
// stream up to it, so that every claim that could have been started is known.
func (p *Partition[V]) Acquire(ctx context.Context) error {
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	if p.Owned() {
		return nil
	}
	if err := p.checkLogAvailable(); err != nil {
		return err
	}
	r := record{Kind: kindOwnership, Owner: p.options.Owner, Nonce: p.options.Nonce()}
	offset, err := p.appendRecord(ctx, r)
	if err != nil {
		return &LogError{Cause: err}
	}
	if err := p.replayTo(ctx, offset); err != nil {
		return &LogError{Cause: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ownershipOffset != offset {
		return &NotOwnerError{Owner: p.owner}
	}
	p.acquiredOffset = offset
	return nil
}

// Claim finds the value of a key or claims the key through the log and builds
// it; build runs only after the claim is confirmed, also when the caller has
// gone by then, and the second result tells that this call claimed the key.
// Errors, all meaning that nothing was started by this call: *NotOwnerError,
// *LogError, *ConflictError, *FullError; and *LostError, where an earlier owner
// may have started the job.
func (p *Partition[V]) Claim(ctx context.Context, key, digest string, build func() V) (V, bool, error) {
	var zero V
	k, claimed, err := p.findOrQueue(key, digest, build)
	if err != nil {
		return zero, false, err
	}
	if claimed {
		go p.flush(context.WithoutCancel(ctx))
	}
	if err := k.waitDecided(ctx); err != nil {
		return zero, false, err
	}
	switch {
	case k.digest != digest:
		return zero, false, &ConflictError{Key: key}
	case !k.local:
		return zero, false, &ClaimedByOtherError{Key: key, Owner: k.owner}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return k.value, claimed, nil
}

// waitDecided waits until the log has decided on a claim.
func (k *keyState[V]) waitDecided(ctx context.Context) error {
	select {
	case <-k.decided:
		return k.err
	case <-ctx.Done():
		return &LogError{Cause: ctx.Err()}
	}
}

// Get finds the value of a key without claiming it.
func (p *Partition[V]) Get(ctx context.Context, key string) (V, bool, error) {
	var zero V
	p.mu.Lock()
	k, ok := p.keys[key]
	p.mu.Unlock()
	if !ok {
		return zero, false, nil
	}
	if err := k.waitDecided(ctx); err != nil {
		return zero, false, err
	}
	if !k.local {
		return zero, false, &ClaimedByOtherError{Key: key, Owner: k.owner}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return k.value, true, nil
}

// ReplaceIf replaces the value of a key that this process has claimed, if it is
// still the one given. No record is needed: whoever owns the partition later
// finds the claim and starts nothing.
func (p *Partition[V]) ReplaceIf(key string, same func(V) bool, build func() V) (V, bool) {
	var zero V
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.keys[key]
	if !ok || !k.local || !same(k.value) {
		return zero, false
	}
	k.value = build()
	return k.value, true
}

// findOrQueue finds a key or queues a claim for it.
func (p *Partition[V]) findOrQueue(key, digest string, build func() V) (*keyState[V], bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireKeys()
	if k, ok := p.keys[key]; ok {
		return k, false, nil
	}
	if p.acquiredOffset < 0 {
		return nil, false, &NotOwnerError{Owner: p.owner}
	}
	if p.options.Now().Before(p.logDownUntil) {
		return nil, false, &LogError{Cause: p.logDownCause}
	}
	if len(p.keys) >= p.options.MaxKeys {
		return nil, false, &FullError{Keys: p.options.MaxKeys}
	}
	k := &keyState[V]{digest: digest, local: true, claimedAt: p.options.Now(), decided: make(chan struct{})}
	p.addKey(key, k)
	p.pending = append(p.pending, pendingClaim[V]{key: claimedKey{Key: key, Digest: digest}, state: k, build: build})
	return k, true, nil
}
