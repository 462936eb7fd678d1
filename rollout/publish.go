package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

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

// Error names the floor.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("bundle stream: no usable checkpoint above floor %d", e.FirstOffset)
}

// Draft makes the unsigned record that puts text in force after the present
// version: a change of sections where that is shorter, else the whole.
func (r *Rollout) Draft(text string) bundle.Record {
	s := r.foldedState()
	record := bundle.Record{Version: s.version() + 1, Parent: s.id(), Text: text}
	if s.bundle == nil || len(s.chain) >= maxChainLength {
		return record
	}
	if change := bundle.Diff(s.bundle.Text(), text); len(change) < len(text)/2 {
		record.IsChange, record.Text = true, change
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
		decided, err := r.findWinner(ctx, record)
		if decided || err != nil {
			return err
		}
		if failure == nil && r.hasFolded(offset) {
			return &RejectedError{ID: record.ID, Version: record.Version}
		}
		if ctx.Err() != nil {
			return failure
		}
		wait.For(ctx, r.options.RetryInterval)
	}
}

// passed tells whether the fold is beyond an offset.
func (r *Rollout) hasFolded(offset int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset > offset
}

// RejectedError tells an operator that no entry accepts the record: it does not
// follow the version in force, or breaks a rule between versions.
type RejectedError struct {
	ID      string
	Version int64
}

// Error names the record.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("bundle %.12s for version %d is void and changes nothing", e.ID, e.Version)
}

// decide folds to the end of the stream and tells who won the version.
func (r *Rollout) findWinner(ctx context.Context, record bundle.Record) (bool, error) {
	if err := r.Poll(ctx, 0); err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	winner, ok := r.idByVersion[record.Version]
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
