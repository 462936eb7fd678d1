// Package claim lets one fenced owner at a time start the jobs of a partition of keys; the log's order decides.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// NotOwnerError tells that another process owns the partition now.
type NotOwnerError struct{ Owner string }

// Error names the owner.
func (e *NotOwnerError) Error() string { return fmt.Sprintf("partition is owned by %q", e.Owner) }

// LogError tells that the log did not confirm a claim; the job was not started.
type LogError struct{ Cause error }

// Error gives the cause.
func (e *LogError) Error() string { return fmt.Sprintf("claim is not confirmed: %v", e.Cause) }

// Unwrap gives the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// ConflictError tells that the key was claimed with another body.
type ConflictError struct{ Key string }

// Error names the key.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q was used with another body", e.Key)
}

// LostError tells that an earlier owner claimed the key and may have started its job.
type LostError struct{ Key, Owner string }

// Error names the key.
func (e *LostError) Error() string {
	return fmt.Sprintf("key %q was claimed by the earlier owner %q", e.Key, e.Owner)
}

// FullError tells that the partition holds as many keys as it may.
type FullError struct{ Keys int }

// Error names the bound.
func (e *FullError) Error() string { return fmt.Sprintf("partition is full at %d keys", e.Keys) }

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
	flusher bool
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

// resting gives the error of the last append while the log is taken to be
// down, so that callers are told at once.
func (p *Partition[V]) resting() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.Now().Before(p.rest) {
		return &LogError{Cause: p.down}
	}
	return nil
}

func (p *Partition[V]) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.rest = err, time.Time{}
	if err != nil {
		p.rest = p.options.Now().Add(p.options.Breath)
	}
}

// write appends a record, and remembers for a while that the log does not work.
func (p *Partition[V]) write(ctx context.Context, r record) (int64, error) {
	offset, err := p.put(ctx, r)
	p.note(err)
	return offset, err
}

// putSpan bounds an append together with the reading back of a lost reply.
const putSpan = 3 * time.Second

// put appends a record and gives its offset. A lost reply is resolved by
// reading back; the record is never appended a second time.
func (p *Partition[V]) put(ctx context.Context, r record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, putSpan)
	defer cancel()
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	offset, err := p.options.Log.Append(ctx, data)
	var failure *platform.Error
	if err == nil || !errors.As(err, &failure) || !failure.Uncertain {
		return offset, err
	}
	for range p.options.Tries {
		if offset, found := p.find(ctx, r.Nonce); found {
			return offset, nil
		}
		if !sleep(ctx, p.options.Pause) {
			break
		}
	}
	return 0, err
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// find looks for this process's record behind what is folded, without folding.
func (p *Partition[V]) find(ctx context.Context, nonce uint64) (int64, bool) {
	p.mu.Lock()
	from := p.next
	p.mu.Unlock()
	page, err := p.options.Log.Read(ctx, from, 0)
	if err != nil {
		return 0, false
	}
	for _, stored := range page.Records {
		var r record
		if json.Unmarshal(stored.Data, &r) == nil && r.Nonce == nonce && r.Owner == p.options.Owner {
			return stored.Offset, true
		}
	}
	return 0, false
}

// foldTo folds everything up to and with an offset.
func (p *Partition[V]) foldTo(ctx context.Context, offset int64) error {
	for {
		p.mu.Lock()
		from := p.next
		p.mu.Unlock()
		if from > offset {
			return nil
		}
		page, err := p.options.Log.Read(ctx, from, 0)
		var truncated *platform.TruncatedError
		if errors.As(err, &truncated) {
			p.mu.Lock()
			p.next = truncated.Floor
			p.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return &ShortError{Offset: offset, End: page.End}
		}
		p.foldAll(page.Records, offset)
	}
}

// ShortError is a read that ended before an offset which an append had given.
type ShortError struct{ Offset, End int64 }

// Error names the offsets.
func (e *ShortError) Error() string {
	return fmt.Sprintf("log gave offset %d but reads end at %d", e.Offset, e.End)
}

func (p *Partition[V]) foldAll(records []platform.Record, last int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stored := range records {
		if stored.Offset < p.next || stored.Offset > last {
			continue
		}
		p.next = stored.Offset + 1
		var r record
		if json.Unmarshal(stored.Data, &r) == nil {
			p.fold(stored.Offset, r)
		}
	}
}

func (p *Partition[V]) fold(offset int64, r record) {
	switch r.Kind {
	case kindOwn:
		p.own, p.owner = offset, r.Owner
		if p.mine >= 0 && offset != p.mine {
			p.mine = -1
		}
	case kindClaims:
		if p.own > r.Own {
			return // void: another own record stands between
		}
		for _, e := range r.Keys {
			p.learn(e, r.Owner)
		}
	}
}

// learn remembers a claim read from the log. A claim of this process's own is
// known already, or was given up before anything started. While a claim of this
// process for the same key is undecided, the other is kept beside it: it must
// not be forgotten when this one turns out void.
func (p *Partition[V]) learn(e entry, owner string) {
	if owner == p.options.Owner {
		return
	}
	decided := make(chan struct{})
	close(decided)
	learned := &known[V]{digest: e.Digest, owner: owner, at: p.options.Now(), state: decided}
	k, ok := p.keys[e.Key]
	switch {
	case !ok:
		p.keep(e.Key, learned)
	case k.mine && !k.settled():
		k.other = learned
	}
}

// settled tells whether the log has decided.
func (k *known[V]) settled() bool {
	select {
	case <-k.state:
		return true
	default:
		return false
	}
}

func (p *Partition[V]) keep(key string, k *known[V]) {
	p.keys[key] = k
	p.order = append(p.order, key)
}

// forget drops the keys that are older than the window.
func (p *Partition[V]) forget() {
	oldest := p.options.Now().Add(-p.options.Window)
	for len(p.order) > 0 {
		k, ok := p.keys[p.order[0]]
		if ok && k.at.After(oldest) {
			return
		}
		delete(p.keys, p.order[0])
		p.order = p.order[1:]
	}
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

// flush writes the pending claims, many to one record. One flush runs at a
// time; claims that come meanwhile go into its next record.
func (p *Partition[V]) flush(ctx context.Context) {
	p.append.Lock()
	defer p.append.Unlock()
	for {
		batch, own, expected := p.batch()
		if len(batch) == 0 {
			return
		}
		err := p.commit(ctx, batch, own, expected)
		p.decide(batch, err)
	}
}

// batch takes the next pending claims. A key that another owner turned out to
// have claimed meanwhile is answered as lost and left out.
func (p *Partition[V]) batch() ([]pending[V], int64, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []pending[V]
	for len(p.pending) > 0 && len(batch) < p.options.Batch {
		next := p.pending[0]
		p.pending = p.pending[1:]
		if next.known.other == nil {
			batch = append(batch, next)
			continue
		}
		p.void(next, &LostError{Key: next.entry.Key, Owner: next.known.other.owner})
		close(next.known.state)
	}
	return batch, p.mine, p.next
}

// void takes a claim back: the key is another's, or free again.
func (p *Partition[V]) void(b pending[V], err error) {
	b.known.err = err
	if p.keys[b.entry.Key] != b.known {
		return
	}
	if b.known.other != nil {
		p.keys[b.entry.Key] = b.known.other
		return
	}
	delete(p.keys, b.entry.Key)
}

// commit appends one record of claims. When the append gives the very offset
// that was expected, nothing came between and no read is needed.
func (p *Partition[V]) commit(ctx context.Context, batch []pending[V], own, expected int64) error {
	if own < 0 {
		return &NotOwnerError{}
	}
	r := record{Kind: kindClaims, Owner: p.options.Owner, Nonce: p.options.Nonce(), Own: own}
	for _, b := range batch {
		r.Keys = append(r.Keys, b.entry)
	}
	offset, err := p.write(ctx, r)
	if err != nil {
		return &LogError{Cause: err}
	}
	if offset != expected {
		if err := p.foldTo(ctx, offset); err != nil {
			return &LogError{Cause: err}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
	p.claims += int64(len(batch))
	if offset == expected {
		p.next = offset + 1
	}
	if p.own != own {
		p.mine = -1
		return &NotOwnerError{Owner: p.owner}
	}
	return nil
}

// decide tells the waiting claims what the log said. Claims without
// confirmation are forgotten: this process has not started their jobs.
func (p *Partition[V]) decide(batch []pending[V], err error) {
	for _, b := range batch {
		if err != nil {
			p.mu.Lock()
			p.void(b, err)
			p.mu.Unlock()
			close(b.known.state)
			continue
		}
		value := b.build()
		p.mu.Lock()
		b.known.value = value
		p.mu.Unlock()
		close(b.known.state)
	}
}
