// Package rollout folds the operators' stream into the bundle in force, the same way on every entry.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/common/wait"
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
	Draw    func() float64 // a random number in [0, 1)
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
	if options.Draw == nil {
		options.Draw = rand.Float64
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

// Run follows the stream until the context ends.
func (r *Rollout) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.Step(ctx, r.options.Poll)
		r.mu.Lock()
		r.reading = err == nil
		r.mu.Unlock()
		if err != nil {
			wait.For(ctx, r.options.Pause)
			continue
		}
		r.refresh(ctx)
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
		return r.restart(ctx, truncated.FirstOffset)
	}
	if err != nil {
		return err
	}
	if !started && page.FirstOffset > 0 {
		return r.restart(ctx, page.FirstOffset)
	}
	r.mu.Lock()
	r.started = true
	r.mu.Unlock()
	r.foldAll(page.Records)
	return nil
}

func (r *Rollout) state() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folded
}

// refreshChance is the share of the entries that write a checkpoint at one read
// once it is due, so that of some tens only a few write.
const refreshChance = 0.3

// refresh writes a checkpoint when the last whole state in the stream is old.
// The random part keeps the entries from writing all at once. At twice the age it
// is left out: a lone entry may otherwise pass over every read until the stream
// has dropped the last checkpoint.
func (r *Rollout) refresh(ctx context.Context) {
	r.mu.Lock()
	age := r.options.Now().Sub(r.whole)
	due := r.options.Refresh > 0 && r.folded.bundle != nil && age > r.options.Refresh
	envelope := Envelope{Kind: kindCheckpoint, Through: r.next - 1, Chain: r.folded.chain}
	r.mu.Unlock()
	if !due || age <= 2*r.options.Refresh && r.options.Draw() >= refreshChance {
		return
	}
	data, err := json.Marshal(envelope)
	if err != nil {
		return
	}
	// A checkpoint that is not written is due again after the next read.
	_, _ = r.options.Log.Append(ctx, data)
}
