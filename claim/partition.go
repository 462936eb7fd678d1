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
	kindOwn    = "own"
	kindClaims = "claims"
)

// record is one log record. An own record makes its writer the owner from its
// offset on. Claims name the offset of the own record that they rest on; they
// are void if another own record stands between the two.
type record struct {
	Kind  string  `json:"kind"`
	Owner string  `json:"owner"` // VM and incarnation
	Nonce uint64  `json:"nonce"`
	Own   int64   `json:"own,omitempty"`
	Keys  []entry `json:"keys,omitempty"`
}

type entry struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Options of a partition.
type Options struct {
	Log    platform.Log
	Owner  string        // VM and incarnation of this process
	Window time.Duration // how long a key is remembered; at most the log's retention
	Keys   int           // remembered at most
	Batch  int           // claims in one record at most
	Tries  int           // reads after a lost reply
	Pause  time.Duration // between those reads
	Breath time.Duration // after a failed append, in which claims are refused at once
	Nonce  func() uint64
	Now    func() time.Time
}

// known is a key that was claimed. Mine tells that this process claimed it, so
// that value is its job; else the job's fate is unknown.
type known[V any] struct {
	digest string
	owner  string
	mine   bool
	value  V
	at     time.Time
	state  chan struct{} // closed once the log has decided
	err    error
	other  *known[V] // claim of another owner, read while this one was undecided
}

// pending is a claim that waits for its record.
type pending[V any] struct {
	entry entry
	known *known[V]
	build func() V
}

// Partition is one partition of chosen keys, with values of type V (jobs). It
// is safe for concurrent use.
type Partition[V any] struct {
	options Options

	append sync.Mutex // one append of this process at a time

	mu      sync.Mutex
	next    int64 // next offset to fold
	own     int64 // offset of the own record in force, -1 before there is one
	owner   string
	mine    int64     // offset of this process's own record, -1 when it is not the owner
	rest    time.Time // until when the log is taken to be down
	down    error
	keys    map[string]*known[V]
	order   []string
	pending []pending[V]
	appends int64
	claims  int64
}

// New makes a partition that nobody is known to own.
func New[V any](options Options) *Partition[V] {
	if options.Window == 0 {
		options.Window = 10 * time.Minute
	}
	if options.Keys == 0 {
		options.Keys = 200_000
	}
	if options.Batch == 0 {
		options.Batch = 500
	}
	if options.Tries == 0 {
		options.Tries = 5
	}
	if options.Pause == 0 {
		options.Pause = 50 * time.Millisecond
	}
	if options.Breath == 0 {
		options.Breath = time.Second
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Partition[V]{options: options, own: -1, mine: -1, keys: map[string]*known[V]{}}
}

// Owned tells whether this process believes to be the owner. Only the log's
// answer to an append proves it.
func (p *Partition[V]) Owned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mine >= 0
}

// Release gives the partition up without a record; the next owner's own record
// fences this one.
func (p *Partition[V]) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mine = -1
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
	p.append.Lock()
	defer p.append.Unlock()
	if p.Owned() {
		return nil
	}
	if err := p.resting(); err != nil {
		return err
	}
	r := record{Kind: kindOwn, Owner: p.options.Owner, Nonce: p.options.Nonce()}
	offset, err := p.write(ctx, r)
	if err != nil {
		return &LogError{Cause: err}
	}
	if err := p.foldTo(ctx, offset); err != nil {
		return &LogError{Cause: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own != offset {
		return &NotOwnerError{Owner: p.owner}
	}
	p.mine = offset
	return nil
}

// Claim finds the value of a key or claims the key through the log and builds
// it; build runs only after the claim is confirmed, also when the caller has
// gone by then, and the second result tells that this call claimed the key.
// Errors, all meaning that nothing was started by this call: *NotOwnerError,
// *LogError, *ConflictError, *FullError; and *LostError, where an earlier owner
// may have started the job.
func (p *Partition[V]) Claim(ctx context.Context, key, digest string, build func() V) (V, bool, error) {
	var none V
	k, mine, err := p.enter(key, digest, build)
	if err != nil {
		return none, false, err
	}
	if mine {
		go p.flush(context.WithoutCancel(ctx))
	}
	if err := k.decided(ctx); err != nil {
		return none, false, err
	}
	switch {
	case k.digest != digest:
		return none, false, &ConflictError{Key: key}
	case !k.mine:
		return none, false, &LostError{Key: key, Owner: k.owner}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return k.value, mine, nil
}

// decided waits until the log has decided on a claim.
func (k *known[V]) decided(ctx context.Context) error {
	select {
	case <-k.state:
		return k.err
	case <-ctx.Done():
		return &LogError{Cause: ctx.Err()}
	}
}

// Get finds the value of a key without claiming it.
func (p *Partition[V]) Get(ctx context.Context, key string) (V, bool, error) {
	var none V
	p.mu.Lock()
	k, ok := p.keys[key]
	p.mu.Unlock()
	if !ok {
		return none, false, nil
	}
	if err := k.decided(ctx); err != nil {
		return none, false, err
	}
	if !k.mine {
		return none, false, &LostError{Key: key, Owner: k.owner}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return k.value, true, nil
}

// Rebuild replaces the value of a key that this process has claimed, if it is
// still the one given. No record is needed: whoever owns the partition later
// finds the claim and starts nothing.
func (p *Partition[V]) Rebuild(key string, same func(V) bool, build func() V) (V, bool) {
	var none V
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.keys[key]
	if !ok || !k.mine || !same(k.value) {
		return none, false
	}
	k.value = build()
	return k.value, true
}

// enter finds a key or queues a claim for it.
func (p *Partition[V]) enter(key, digest string, build func() V) (*known[V], bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	if k, ok := p.keys[key]; ok {
		return k, false, nil
	}
	if p.mine < 0 {
		return nil, false, &NotOwnerError{Owner: p.owner}
	}
	if p.options.Now().Before(p.rest) {
		return nil, false, &LogError{Cause: p.down}
	}
	if len(p.keys) >= p.options.Keys {
		return nil, false, &FullError{Keys: p.options.Keys}
	}
	k := &known[V]{digest: digest, mine: true, at: p.options.Now(), state: make(chan struct{})}
	p.keep(key, k)
	p.pending = append(p.pending, pending[V]{entry: entry{Key: key, Digest: digest}, known: k, build: build})
	return k, true, nil
}
