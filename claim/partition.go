// Package claim lets one fenced owner at a time start the jobs of a partition of
// keys. The owner and its claims are recorded in a shared log, whose order decides
// between competing processes.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// Kinds of records in a partition's log.
const (
	kindOwnership = "own"
	kindClaims    = "claims"
)

// record is one log record. An ownership record makes its writer the owner from
// its offset on. A claims record names the offset of its writer's ownership record
// and is void if another ownership record lies between the two.
type record struct {
	Kind            string       `json:"kind"`
	Owner           string       `json:"owner"` // VM and incarnation
	Nonce           uint64       `json:"nonce"`
	OwnershipOffset int64        `json:"own,omitempty"`
	Keys            []claimedKey `json:"keys,omitempty"`
}

// claimedKey is one key of a claims record, with the digest of the job's body.
type claimedKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Options configures a Partition. Log, Owner and Nonce are required; New replaces
// other zero values by defaults.
type Options struct {
	Log          platform.Log
	Owner        string        // VM and incarnation of this process, unique for each process start
	KeyRetention time.Duration // how long a key is remembered; must not exceed the log's retention; 10 minutes by default
	MaxKeys      int           // maximum number of remembered keys; 200,000 by default
	// KeyRoom, if set, is called with the number of remembered keys and returns their maximum in place of MaxKeys. It must
	// not call the partition.
	KeyRoom          func(held int) int
	MaxBatch         int           // maximum number of claims in one record; 500 by default
	ReadBackTries    int           // reads of the log after a lost reply to an append; 5 by default
	ReadBackInterval time.Duration // pause between those reads; 50 ms by default
	FailureBackoff   time.Duration // how long claims fail at once after a failed append; 1 s by default
	Nonce            func() uint64 // returns a random number that identifies one record
	Now              func() time.Time
}

// keyState is the state of a claimed key. If this process claimed it (local),
// value is its job; otherwise the outcome of the job is unknown.
type keyState[V any] struct {
	digest    string
	owner     string
	local     bool
	value     V
	claimedAt time.Time
	decided   chan struct{} // closed once the log has confirmed or voided the claim
	err       error
	competing *keyState[V] // another owner's claim, read while this one was undecided
}

// pendingClaim is a claim that waits to be appended to the log.
type pendingClaim[V any] struct {
	key   claimedKey
	state *keyState[V]
	build func() V
}

// Partition tracks the owner of one partition of client-chosen keys and maps each
// claimed key to a value of type V, such as its job. It is safe for concurrent use.
type Partition[V any] struct {
	options Options

	appendMu sync.Mutex // serializes the appends of this process

	mu              sync.Mutex
	nextOffset      int64 // next offset to apply
	ownershipOffset int64 // offset of the latest ownership record, -1 if none was read
	owner           string
	acquiredOffset  int64     // offset of this process's ownership record, -1 when it is not the owner
	logDownUntil    time.Time // until when the log is assumed to be down
	logDownCause    error
	keys            map[string]*keyState[V]
	keyOrder        []string // oldest claim first
	pending         []pendingClaim[V]
	appendCount     int64
	claimCount      int64
}

// New returns a partition without a known owner.
func New[V any](options Options) *Partition[V] {
	if options.KeyRetention == 0 {
		options.KeyRetention = 10 * time.Minute
	}
	if options.MaxKeys == 0 {
		options.MaxKeys = 200_000
	}
	if options.KeyRoom == nil {
		options.KeyRoom = func(int) int { return options.MaxKeys }
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

// Expire drops the keys that are remembered no longer.
func (p *Partition[V]) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireKeys()
	p.options.KeyRoom(len(p.keys))
}

// Owned reports whether this process believes it is the owner. Only a successful
// append to the log proves it.
func (p *Partition[V]) Owned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acquiredOffset >= 0
}

// Release gives up the partition. It appends nothing: the ownership record of the
// next owner fences this process off.
func (p *Partition[V]) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acquiredOffset = -1
}

// Counts returns the number of claims records appended and of the claims in them.
func (p *Partition[V]) Counts() (int64, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendCount, p.claimCount
}

// Acquire makes this process the owner, unless it is already. It appends an
// ownership record and applies the log up to it, so that every claim whose job may
// have been started is known. It returns when ctx ends, but goes on with what it has
// begun: other callers wait for it. Errors: *LogError and *NotOwnerError.
func (p *Partition[V]) Acquire(ctx context.Context) error {
	if ctx.Err() != nil {
		return &LogError{Cause: ctx.Err()}
	}
	done := make(chan error, 1)
	go func() { done <- p.acquire(context.WithoutCancel(ctx)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &LogError{Cause: ctx.Err()}
	}
}

// acquire is Acquire for a ctx that does not end.
func (p *Partition[V]) acquire(ctx context.Context) error {
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

// Claim returns the value of a key. If the key is new, it claims the key through
// the log and then calls build for the value. The second result reports whether
// this call claimed the key. build runs only after the log has confirmed the
// claim, even if ctx has ended by then. build must not call Acquire or Claim, which
// would wait for it.
//
// After an error this call has started nothing, unless it is an *UndecidedError because
// ctx ended before the log decided. The other errors are *NotOwnerError, *LogError,
// *ConflictError, *FullError and, if an earlier owner may have started the job,
// *ClaimedByOtherError.
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

// waitDecided waits until the log has confirmed or voided the claim and returns
// the reason if it was voided, or an *UndecidedError if ctx ends first.
func (k *keyState[V]) waitDecided(ctx context.Context) error {
	select {
	case <-k.decided:
		return k.err
	case <-ctx.Done():
		return &UndecidedError{Cause: ctx.Err()}
	}
}

// Get returns the value of a key without claiming it. The second result reports
// whether the key is known. While a claim of the key is under way, Get waits until
// the log has decided it or ctx ends. The error is that of a claim that failed, an
// *UndecidedError if ctx ended, or a *ClaimedByOtherError if an earlier owner claimed the
// key.
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

// ReplaceIf replaces the value of a key that this process has claimed, if same
// reports true for the current value. It returns the new value and whether it was
// replaced. Nothing is appended to the log: a later owner finds the original claim
// and starts nothing. same and build run under the partition's lock and must not call
// the partition.
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

// findOrQueue returns the state of a key. It queues a claim if the key is new;
// the second result reports whether it did.
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
	if room := p.options.KeyRoom(len(p.keys)); len(p.keys) >= room {
		return nil, false, &FullError{MaxKeys: room}
	}
	k := &keyState[V]{digest: digest, local: true, claimedAt: p.options.Now(), decided: make(chan struct{})}
	p.addKey(key, k)
	p.options.KeyRoom(len(p.keys))
	p.pending = append(p.pending, pendingClaim[V]{key: claimedKey{Key: key, Digest: digest}, state: k, build: build})
	return k, true, nil
}
