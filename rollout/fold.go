package rollout

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/platform"
)

// replayChain builds a state from a chain: a complete record followed by
// changes. It verifies the signature of each record and that each change refers
// to its predecessor.
func (r *Rollout) replayChain(chain []bundle.Record) (state, error) {
	var s state
	for i, record := range chain {
		if i == 0 && record.IsChange {
			return s, &bundle.RecordError{ID: record.ID, Reason: "chain starts with a change, not with a complete record"}
		}
		if err := record.Verify(r.options.Signers); err != nil {
			return s, err
		}
		if i > 0 && (record.Parent != s.id() || !record.IsChange) {
			return s, &bundle.RecordError{ID: record.ID, Reason: "record does not follow the previous record of its chain"}
		}
		next, err := applyRecord(s, record)
		if err != nil {
			return s, err
		}
		s = next
	}
	return s, nil
}

// applyRecord returns the state after a record: a complete record starts a new
// chain, a change extends the present one.
func applyRecord(s state, record bundle.Record) (state, error) {
	chain := []bundle.Record{record}
	var b *bundle.Bundle
	var err error
	switch {
	case !record.IsChange:
		b, err = bundle.Parse("bundle", record.Version, record.Text)
	case s.bundle == nil:
		err = &bundle.RecordError{ID: record.ID, Reason: "change without a complete record before it"}
	default:
		b, err = s.bundle.ApplyChange("bundle", record.Version, record.Text)
		chain = append(append([]bundle.Record(nil), s.chain...), record)
	}
	if err != nil {
		return s, err
	}
	if s.bundle != nil && s.bundle.Rules.Partitions != b.Rules.Partitions {
		return s, &bundle.RecordError{ID: record.ID, Reason: "[rules] partitions must not change: claimed keys would be lost"}
	}
	return state{chain: chain, bundle: b}, nil
}

// restartFromCheckpoint continues from the valid checkpoint with the highest version on the
// page at firstOffset for which every record after its ThroughOffset is still readable.
// An older checkpoint could miss versions that have expired since. ThroughOffset is not
// signed, but it precedes the checkpoint. If there is none, the next Poll tries again, or
// Adopt takes over a peer's chain.
func (r *Rollout) restartFromCheckpoint(ctx context.Context, firstOffset int64) error {
	page, err := r.options.Log.Read(ctx, firstOffset, 0)
	if err != nil {
		return err
	}
	var latest state
	next := int64(0)
	for _, record := range page.Records {
		envelope, ok := parseEnvelope(record.Data)
		if !ok || envelope.Kind != kindCheckpoint || envelope.ThroughOffset < page.FirstOffset-1 || envelope.ThroughOffset >= record.Offset {
			continue
		}
		if s, err := r.replayChain(envelope.Chain); err == nil && s.version() > latest.version() {
			latest, next = s, envelope.ThroughOffset+1
		}
	}
	if latest.bundle == nil {
		return &NoCheckpointError{FirstOffset: page.FirstOffset}
	}
	r.mu.Lock()
	r.folded, r.nextOffset, r.started = latest, next, true
	r.mu.Unlock()
	r.foldRecords(page.Records)
	r.activateIfNewer(r.foldedState())
	return nil
}

// NoCheckpointError reports that the version in force can't be derived from the
// stream: older records have expired and the first page has no usable checkpoint.
type NoCheckpointError struct{ FirstOffset int64 }

// parseEnvelope decodes a record of the stream and reports whether it is an
// envelope with at least one record.
func parseEnvelope(data []byte) (Envelope, bool) {
	var envelope Envelope
	if err := json.Unmarshal(data, &envelope); err != nil || len(envelope.Chain) == 0 {
		return envelope, false
	}
	return envelope, true
}

func (r *Rollout) foldRecords(records []platform.Record) {
	for _, record := range records {
		r.foldRecord(record)
	}
}

// foldRecord updates the state by one record of the stream. The first valid
// record that follows the present version wins; every other record, including
// later proposals for the same version, is skipped on every entry alike.
func (r *Rollout) foldRecord(record platform.Record) {
	r.mu.Lock()
	if record.Offset < r.nextOffset {
		r.mu.Unlock()
		return
	}
	r.nextOffset = record.Offset + 1
	current := r.folded
	r.mu.Unlock()
	envelope, ok := parseEnvelope(record.Data)
	// Other checkpoints do not let a new entry start with the present version.
	if ok && envelope.Kind == kindCheckpoint && envelope.ThroughOffset < record.Offset && slices.Equal(envelope.Chain, current.chain) {
		r.noteFullState()
	}
	if !ok || envelope.Kind != kindVersion {
		return
	}
	proposed := envelope.Chain[0]
	if proposed.Version != current.version()+1 || proposed.Parent != current.id() {
		return
	}
	if proposed.Verify(r.options.Signers) != nil {
		return
	}
	next, err := applyRecord(current, proposed)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.folded = next
	r.idByVersion[proposed.Version] = proposed.ID
	delete(r.idByVersion, proposed.Version-maxChainLength)
	r.mu.Unlock()
	if !proposed.IsChange {
		r.noteFullState()
	}
	r.activateIfNewer(next)
}

// noteFullState records that the present version can be derived from the last record read.
func (r *Rollout) noteFullState() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFullState = r.options.Now()
}
