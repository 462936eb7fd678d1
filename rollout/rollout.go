// Package rollout folds the operators' stream into the bundle in force, the same way on every entry.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/platform"
)

// Stream is the name of the log stream of bundles.
const Stream = "bundles"

// maxChain is the longest run of changes behind one whole record.
const maxChain = 64

// Kinds of envelopes in the stream.
const (
	kindVersion    = "version"
	kindCheckpoint = "checkpoint"
)

// Envelope is the form of a stream record: a version offered by an operator,
// or a checkpoint of what was in force after the record at Through.
type Envelope struct {
	Kind    string          `json:"kind"`
	Through int64           `json:"through"`
	Chain   []bundle.Record `json:"chain"` // one record for a version
}

// ConflictError tells an operator that another version won.
type ConflictError struct {
	ID      string
	Version int64
	Winner  string
}

// Error names both records.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle %.12s lost version %d to %.12s", e.ID, e.Version, e.Winner)
}

// state is what a fold has reached. It is replaced, never changed.
type state struct {
	chain  []bundle.Record
	bundle *bundle.Bundle
}

func (s state) version() int64 {
	if s.bundle == nil {
		return 0
	}
	return s.bundle.Version
}

func (s state) id() string {
	if len(s.chain) == 0 {
		return ""
	}
	return s.chain[len(s.chain)-1].ID
}

// Options of a rollout. Refresh is the age of the last whole state in the
// stream at which this process writes a checkpoint.
type Options struct {
	Log     platform.Log
	Signers []string // trusted base64 ed25519 public keys
	Refresh time.Duration
	Poll    time.Duration // longest wait of one read
	Pause   time.Duration // wait after a failed read
	Change  func(*bundle.Bundle)
	Now     func() time.Time
}

// Rollout follows the stream. All methods are safe for concurrent use.
type Rollout struct {
	options Options

	mu      sync.Mutex
	folded  state // what the stream gives
	force   state // the highest of folded and what peers gave
	next    int64 // next offset to fold
	started bool
	whole   time.Time // when a checkpoint or whole record was last seen
	ids     map[int64]string
	reading bool
}

// New makes a rollout that has read nothing.
func New(options Options) *Rollout {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Poll == 0 {
		options.Poll = 5 * time.Second
	}
	if options.Pause == 0 {
		options.Pause = 250 * time.Millisecond
	}
	if options.Change == nil {
		options.Change = func(*bundle.Bundle) {}
	}
	return &Rollout{options: options, ids: map[int64]string{}, whole: options.Now()}
}

// Bundle gives the version in force, nil before there is one.
func (r *Rollout) Bundle() *bundle.Bundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.force.bundle
}

// ID gives the id of the version in force.
func (r *Rollout) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.force.id()
}

// Chain gives the signed records of the version in force, for a peer.
func (r *Rollout) Chain() []bundle.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.force.chain
}

// Reading tells whether the last read of the stream worked.
func (r *Rollout) Reading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading
}

// Adopt takes a chain from a peer if it is signed and higher than what is in
// force. Peers only hand out what has been in force with them.
func (r *Rollout) Adopt(chain []bundle.Record) error {
	r.mu.Lock()
	version := r.force.version()
	r.mu.Unlock()
	if len(chain) == 0 || chain[len(chain)-1].Version <= version {
		return nil
	}
	next, err := r.replay(chain)
	if err != nil {
		return err
	}
	r.raise(next)
	return nil
}

func (r *Rollout) raise(next state) {
	r.mu.Lock()
	higher := next.version() > r.force.version()
	if higher {
		r.force = next
	}
	r.mu.Unlock()
	if higher {
		r.options.Change(next.bundle)
	}
}

// replay builds a state from a chain: one whole record, then changes.
func (r *Rollout) replay(chain []bundle.Record) (state, error) {
	var s state
	for i, record := range chain {
		if i == 0 && record.Change {
			return s, &bundle.RecordError{ID: record.ID, Reason: "chain begins with a change"}
		}
		if err := record.Verify(r.options.Signers); err != nil {
			return s, err
		}
		if i > 0 && (record.Parent != s.id() || !record.Change) {
			return s, &bundle.RecordError{ID: record.ID, Reason: "chain is broken"}
		}
		next, err := extend(s, record)
		if err != nil {
			return s, err
		}
		s = next
	}
	return s, nil
}

// extend applies one record on a state.
func extend(s state, record bundle.Record) (state, error) {
	chain := []bundle.Record{record}
	var b *bundle.Bundle
	var err error
	switch {
	case !record.Change:
		b, err = bundle.Parse("bundle", record.Version, record.Text)
	case s.bundle == nil:
		err = &bundle.RecordError{ID: record.ID, Reason: "change without a whole version before it"}
	default:
		b, err = s.bundle.Change("bundle", record.Version, record.Text)
		chain = append(append([]bundle.Record(nil), s.chain...), record)
	}
	if err != nil {
		return s, err
	}
	if s.bundle != nil && s.bundle.Rules.Partitions != b.Rules.Partitions {
		return s, &bundle.RecordError{ID: record.ID, Reason: "[rules] partitions may not change, claimed keys would be lost"}
	}
	return state{chain: chain, bundle: b}, nil
}

// Run follows the stream until the context ends.
func (r *Rollout) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.Step(ctx, r.options.Poll)
		r.mu.Lock()
		r.reading = err == nil
		r.mu.Unlock()
		if err != nil {
			pause(ctx, r.options.Pause)
			continue
		}
		r.refresh(ctx)
	}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Step reads one page, waiting at most wait for it, and folds it.
func (r *Rollout) Step(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	from, started := r.next, r.started
	r.mu.Unlock()
	page, err := r.options.Log.Read(ctx, from, wait)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		return r.restart(ctx, truncated.Floor)
	}
	if err != nil {
		return err
	}
	if !started && page.Floor > 0 {
		return r.restart(ctx, page.Floor)
	}
	r.mu.Lock()
	r.started = true
	r.mu.Unlock()
	r.foldAll(page.Records)
	return nil
}

// restart begins again at a checkpoint for which every record behind its
// Through is still readable. Without one it waits for the next page or a peer.
func (r *Rollout) restart(ctx context.Context, floor int64) error {
	page, err := r.options.Log.Read(ctx, floor, 0)
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		envelope, ok := parse(record.Data)
		if !ok || envelope.Kind != kindCheckpoint || envelope.Through+1 < page.Floor {
			continue
		}
		s, err := r.replay(envelope.Chain)
		if err != nil {
			continue
		}
		r.mu.Lock()
		r.folded, r.next, r.started = s, envelope.Through+1, true
		r.mu.Unlock()
		r.foldAll(page.Records)
		r.raise(r.state())
		return nil
	}
	return &NoCheckpointError{Floor: page.Floor}
}

// NoCheckpointError tells that the readable part of the stream does not show
// which version is in force.
type NoCheckpointError struct{ Floor int64 }

// Error names the floor.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("bundle stream: no usable checkpoint above floor %d", e.Floor)
}

func (r *Rollout) state() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folded
}

func parse(data []byte) (Envelope, bool) {
	var envelope Envelope
	if err := json.Unmarshal(data, &envelope); err != nil || len(envelope.Chain) == 0 {
		return envelope, false
	}
	return envelope, true
}

func (r *Rollout) foldAll(records []platform.Record) {
	for _, record := range records {
		r.fold(record)
	}
}

func (r *Rollout) fold(record platform.Record) {
	r.mu.Lock()
	if record.Offset < r.next {
		r.mu.Unlock()
		return
	}
	r.next = record.Offset + 1
	current := r.folded
	envelope, ok := parse(record.Data)
	if ok && (envelope.Kind == kindCheckpoint || !envelope.Chain[0].Change) {
		r.whole = r.options.Now()
	}
	r.mu.Unlock()
	if !ok || envelope.Kind != kindVersion {
		return
	}
	offered := envelope.Chain[0]
	if offered.Version != current.version()+1 || offered.Parent != current.id() {
		return
	}
	if offered.Verify(r.options.Signers) != nil {
		return
	}
	next, err := extend(current, offered)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.folded = next
	r.ids[offered.Version] = offered.ID
	delete(r.ids, offered.Version-maxChain)
	r.mu.Unlock()
	r.raise(next)
}

// refresh writes a checkpoint when the last whole state in the stream is old.
// The random part keeps the entries from writing all at once.
func (r *Rollout) refresh(ctx context.Context) {
	r.mu.Lock()
	age := r.options.Now().Sub(r.whole)
	due := r.options.Refresh > 0 && r.folded.bundle != nil && age > r.options.Refresh
	envelope := Envelope{Kind: kindCheckpoint, Through: r.next - 1, Chain: r.folded.chain}
	r.mu.Unlock()
	if !due || rand.Float64() > 0.3 {
		return
	}
	data, err := json.Marshal(envelope)
	if err != nil {
		return
	}
	_, _ = r.options.Log.Append(ctx, data)
}

// Draft makes the unsigned record that puts text in force after the present
// version: a change of sections where that is shorter, else the whole.
func (r *Rollout) Draft(text string) bundle.Record {
	s := r.state()
	record := bundle.Record{Version: s.version() + 1, Parent: s.id(), Text: text}
	if s.bundle == nil || len(s.chain) >= maxChain {
		return record
	}
	if change := bundle.Diff(s.bundle.Text(), text); len(change) < len(text)/2 {
		record.Change, record.Text = true, change
	}
	return record
}

// Publish appends a sealed record and waits until the fold has decided. A lost
// reply is resolved by reading back; a second append of the same record is
// harmless, because the fold takes a version once.
func (r *Rollout) Publish(ctx context.Context, record bundle.Record) error {
	data, err := json.Marshal(Envelope{Kind: kindVersion, Chain: []bundle.Record{record}})
	if err != nil {
		return &bundle.RecordError{ID: record.ID, Reason: err.Error()}
	}
	for {
		offset, failure := r.options.Log.Append(ctx, data)
		var refused *platform.Error
		if errors.As(failure, &refused) && !refused.Uncertain {
			return failure
		}
		decided, err := r.decide(ctx, record)
		if decided || err != nil {
			return err
		}
		if failure == nil && r.passed(offset) {
			return &VoidError{ID: record.ID, Version: record.Version}
		}
		if ctx.Err() != nil {
			return failure
		}
		pause(ctx, r.options.Pause)
	}
}

// passed tells whether the fold is beyond an offset.
func (r *Rollout) passed(offset int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next > offset
}

// VoidError tells an operator that no entry accepts the record: it does not
// follow the version in force, or breaks a rule between versions.
type VoidError struct {
	ID      string
	Version int64
}

// Error names the record.
func (e *VoidError) Error() string {
	return fmt.Sprintf("bundle %.12s for version %d is void and changes nothing", e.ID, e.Version)
}

// decide folds to the end of the stream and tells who won the version.
func (r *Rollout) decide(ctx context.Context, record bundle.Record) (bool, error) {
	if err := r.Step(ctx, 0); err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	winner, ok := r.ids[record.Version]
	if !ok {
		if r.folded.version() >= record.Version {
			return true, &ConflictError{ID: record.ID, Version: record.Version, Winner: "a later version"}
		}
		return false, nil
	}
	if winner != record.ID {
		return true, &ConflictError{ID: record.ID, Version: record.Version, Winner: winner}
	}
	return true, nil
}
