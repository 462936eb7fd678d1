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
const maxChainLength = 64

// Kinds of envelopes in the stream.
const (
	kindVersion    = "version"
	kindCheckpoint = "checkpoint"
)

// Envelope is the form of a stream record: a version offered by an operator,
// or a checkpoint of what was in force after the record at Through.
type Envelope struct {
	Kind          string          `json:"kind"`
	ThroughOffset int64           `json:"through"`
	Chain         []bundle.Record `json:"chain"` // one record for a version
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
	Log             platform.Log
	Signers         []string // trusted base64 ed25519 public keys
	CheckpointAfter time.Duration
	MaxReadWait     time.Duration // longest wait of one read
	RetryInterval   time.Duration // wait after a failed read
	OnChange        func(*bundle.Bundle)
	Now             func() time.Time
	Random          func() float64 // a random number in [0, 1)
}

// Rollout follows the stream. All methods are safe for concurrent use.
type Rollout struct {
	options Options

	mu            sync.Mutex
	folded        state // what the stream gives
	inForce       state // the highest of folded and what peers gave
	nextOffset    int64 // next offset to fold
	started       bool
	lastFullState time.Time // when a checkpoint or whole record was last seen
	idByVersion   map[int64]string
	logReadable   bool
}

// New makes a rollout that has read nothing.
func New(options Options) *Rollout {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.MaxReadWait == 0 {
		options.MaxReadWait = 5 * time.Second
	}
	if options.RetryInterval == 0 {
		options.RetryInterval = 250 * time.Millisecond
	}
	if options.OnChange == nil {
		options.OnChange = func(*bundle.Bundle) {}
	}
	return &Rollout{options: options, idByVersion: map[int64]string{}, lastFullState: options.Now()}
}

// Bundle gives the version in force, nil before there is one.
func (r *Rollout) Bundle() *bundle.Bundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.bundle
}

// ID gives the id of the version in force.
func (r *Rollout) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.id()
}

// Chain gives the signed records of the version in force, for a peer.
func (r *Rollout) Chain() []bundle.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.chain
}

// LogReadable tells whether the last read of the stream worked.
func (r *Rollout) LogReadable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logReadable
}

// Adopt takes a chain from a peer if it is signed and higher than what is in
// force. Peers only hand out what has been in force with them.
func (r *Rollout) Adopt(chain []bundle.Record) error {
	r.mu.Lock()
	version := r.inForce.version()
	r.mu.Unlock()
	if len(chain) == 0 || chain[len(chain)-1].Version <= version {
		return nil
	}
	next, err := r.replayChain(chain)
	if err != nil {
		return err
	}
	r.activateIfNewer(next)
	return nil
}

func (r *Rollout) activateIfNewer(next state) {
	r.mu.Lock()
	higher := next.version() > r.inForce.version()
	if higher {
		r.inForce = next
	}
	r.mu.Unlock()
	if higher {
		r.options.OnChange(next.bundle)
	}
}

// Run follows the stream until the context ends.
func (r *Rollout) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.Poll(ctx, r.options.MaxReadWait)
		r.mu.Lock()
		r.logReadable = err == nil
		r.mu.Unlock()
		if err != nil {
			wait.For(ctx, r.options.RetryInterval)
			continue
		}
		r.checkpointIfDue(ctx)
	}
}

// Poll reads one page, waiting at most wait for it, and folds it.
func (r *Rollout) Poll(ctx context.Context, maxWait time.Duration) error {
	r.mu.Lock()
	from, started := r.nextOffset, r.started
	r.mu.Unlock()
	page, err := r.options.Log.Read(ctx, from, maxWait)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		return r.restartFromCheckpoint(ctx, truncated.FirstOffset)
	}
	if err != nil {
		return err
	}
	if !started && page.FirstOffset > 0 {
		return r.restartFromCheckpoint(ctx, page.FirstOffset)
	}
	r.mu.Lock()
	r.started = true
	r.mu.Unlock()
	r.foldRecords(page.Records)
	return nil
}

func (r *Rollout) foldedState() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folded
}

// refreshChance is the share of the entries that write a checkpoint at one read
// once it is due, so that of some tens only a few write.
const checkpointProbability = 0.3

// refresh writes a checkpoint when the last whole state in the stream is old.
// The random part keeps the entries from writing all at once. At twice the age it
// is left out: a lone entry may otherwise pass over every read until the stream
// has dropped the last checkpoint.
func (r *Rollout) checkpointIfDue(ctx context.Context) {
	r.mu.Lock()
	age := r.options.Now().Sub(r.lastFullState)
	due := r.options.CheckpointAfter > 0 && r.folded.bundle != nil && age > r.options.CheckpointAfter
	envelope := Envelope{Kind: kindCheckpoint, ThroughOffset: r.nextOffset - 1, Chain: r.folded.chain}
	r.mu.Unlock()
	if !due || age <= 2*r.options.CheckpointAfter && r.options.Random() >= checkpointProbability {
		return
	}
	data, err := json.Marshal(envelope)
	if err != nil {
		return
	}
	// A checkpoint that is not written is due again after the next read.
	_, _ = r.options.Log.Append(ctx, data)
}
