// Package rollout publishes bundles to a shared log stream and derives the
// version in force from it. The result depends only on the records of the
// stream, so every entry arrives at the same version.
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

// Stream is the name of the log stream that holds the bundle records.
const Stream = "bundles"

// maxChainLength limits a chain: one complete record and the changes after it.
// Draft starts a new chain when the limit is reached.
const maxChainLength = 64

// Values of Envelope.Kind.
const (
	kindVersion    = "version"
	kindCheckpoint = "checkpoint"
)

// Envelope is the encoding of one record of the stream: either a version that
// an operator proposes, or a checkpoint of the version that was in force after
// the record at ThroughOffset.
type Envelope struct {
	Kind          string          `json:"kind"`
	ThroughOffset int64           `json:"through"`
	Chain         []bundle.Record `json:"chain"` // a single record if Kind is "version"
}

// state is a bundle with the chain of signed records that produces it. A state
// is immutable: a new record yields a new state.
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

// Options configures a Rollout. Zero durations and nil functions get defaults,
// except that no checkpoints are written if CheckpointAfter is 0. OnChange is called
// by the goroutine that calls Run, Poll, Publish or Adopt, and must call none of them.
// Its calls do not overlap, and versions rise from one to the next.
type Options struct {
	Log             platform.Log
	Signers         []string             // trusted ed25519 public keys, base64
	CheckpointAfter time.Duration        // age of the last complete record or checkpoint at which a checkpoint is written
	MaxReadWait     time.Duration        // longest time that a read of the stream waits for new records; 5 s by default
	RetryInterval   time.Duration        // time between attempts after a failed read or publication; 250 ms by default
	OnChange        func(*bundle.Bundle) // called with each version that comes into force
	Now             func() time.Time
	Random          func() float64 // returns a random number in [0, 1)
}

// Rollout follows the stream and publishes to it. All methods are safe for
// concurrent use.
type Rollout struct {
	options Options

	changeMu sync.Mutex // held while a version comes into force and OnChange runs; taken before mu

	mu            sync.Mutex
	folded        state            // result of the records read so far
	inForce       state            // the higher version of folded and the chains adopted from peers
	nextOffset    int64            // offset of the next record to fold
	started       bool             // a page or a checkpoint has been folded
	lastFullState time.Time        // when a checkpoint or complete record was last read
	idByVersion   map[int64]string // ids of the last maxChainLength versions folded
	logReadable   bool             // the last read in Run succeeded
}

// New returns a rollout that has not read the stream yet; see Run and Poll.
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

// Bundle returns the version in force, or nil if there is none yet.
func (r *Rollout) Bundle() *bundle.Bundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.bundle
}

// ID returns the record id of the version in force, or "" if there is none yet.
func (r *Rollout) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.id()
}

// Chain returns the signed records of the version in force, which a peer can
// pass to Adopt. The caller must not modify them.
func (r *Rollout) Chain() []bundle.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.chain
}

// LogReadable reports whether the last read of the stream in Run succeeded.
func (r *Rollout) LogReadable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logReadable
}

// Adopt puts a peer's chain in force if its version is higher than the present
// one and all its signatures are valid. Peers send only chains that have been in
// force on them. Chains that are not newer are ignored without an error.
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

// activateIfNewer puts a state in force if its version is higher than the
// present one, and then calls OnChange. Calls of OnChange do not overlap, so that an older
// version is never applied after a newer one.
func (r *Rollout) activateIfNewer(next state) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
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

// Run reads and folds the stream and writes checkpoints until the context ends.
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

// Poll reads one page of the stream, waiting at most maxWait for new records,
// and folds it. If records that it needs have expired, it restarts from a
// checkpoint and returns a *NoCheckpointError if there is none.
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

// foldedState returns the state after the records read from the stream, without
// the chains adopted from peers.
func (r *Rollout) foldedState() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.folded
}

// checkpointProbability is the probability that an entry writes a due checkpoint
// after a read, so that only a few of some tens of entries write one.
const checkpointProbability = 0.3

// checkpointIfDue writes a checkpoint if the last complete record or checkpoint
// in the stream is older than CheckpointAfter. The random choice keeps the
// entries from all writing at once. At twice that age every entry writes;
// otherwise a lone entry could skip every read until the last checkpoint has
// expired from the stream.
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
	// If the append fails, the checkpoint is still due after the next read.
	_, _ = r.options.Log.Append(ctx, data)
}
