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

// ConflictError reports that another record was accepted for the version.
type ConflictError struct {
	ID      string
	Version int64
	Winner  string // id of the accepted record, or "a later version" if the id is no longer known
}

// Error implements error; it names both records.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle %.12s was not accepted: version %d is already taken by %.12s", e.ID, e.Version, e.Winner)
}

// Error implements error; it names the first readable offset.
func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("bundle stream: no usable checkpoint in the first page, from offset %d", e.FirstOffset)
}

// Draft returns the unsigned record that replaces the present version by text.
// The record holds only the changed sections if they are less than half as long
// as the text and the chain has room; otherwise it holds the complete text.
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

// Publish appends a signed record and reads the stream until it shows whether
// the record was accepted. It returns a *ConflictError if another record was
// accepted for the version, and a *RejectedError if no entry accepts the record.
// If the reply to the append is lost, Publish reads the stream back and appends
// again if needed; that is safe because a version is accepted only once.
func (r *Rollout) Publish(ctx context.Context, record bundle.Record) error {
	data, err := json.Marshal(Envelope{Kind: kindVersion, Chain: []bundle.Record{record}})
	if err != nil {
		return &bundle.RecordError{ID: record.ID, Reason: err.Error()}
	}
	for {
		offset, appendErr := r.options.Log.Append(ctx, data)
		var platformErr *platform.Error
		if errors.As(appendErr, &platformErr) && !platformErr.Uncertain {
			return appendErr
		}
		decided, err := r.findWinner(ctx, record)
		if decided || err != nil {
			return err
		}
		if appendErr == nil && r.hasFolded(offset) {
			return &RejectedError{ID: record.ID, Version: record.Version}
		}
		if ctx.Err() != nil {
			return appendErr
		}
		wait.For(ctx, r.options.RetryInterval)
	}
}

// hasFolded reports whether the record at the offset has been folded.
func (r *Rollout) hasFolded(offset int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset > offset
}

// RejectedError reports that no entry accepts the record: it does not follow the
// version in force, or it changes what must stay the same between versions.
type RejectedError struct {
	ID      string
	Version int64
}

// Error implements error; it names the record.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("bundle %.12s for version %d was rejected and has no effect", e.ID, e.Version)
}

// findWinner folds one page of the stream and reports whether a record has been
// accepted for the version. The error is a *ConflictError if it is another one.
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
