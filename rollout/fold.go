package rollout

import (
	"context"
	"encoding/json"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/platform"
)

// replay builds a state from a chain: one whole record, then changes.
func (r *Rollout) replayChain(chain []bundle.Record) (state, error) {
	var s state
	for i, record := range chain {
		if i == 0 && record.IsChange {
			return s, &bundle.RecordError{ID: record.ID, Reason: "chain begins with a change"}
		}
		if err := record.Verify(r.options.Signers); err != nil {
			return s, err
		}
		if i > 0 && (record.Parent != s.id() || !record.IsChange) {
			return s, &bundle.RecordError{ID: record.ID, Reason: "chain is broken"}
		}
		next, err := applyRecord(s, record)
		if err != nil {
			return s, err
		}
		s = next
	}
	return s, nil
}

// extend applies one record on a state.
func applyRecord(s state, record bundle.Record) (state, error) {
	chain := []bundle.Record{record}
	var b *bundle.Bundle
	var err error
	switch {
	case !record.IsChange:
		b, err = bundle.Parse("bundle", record.Version, record.Text)
	case s.bundle == nil:
		err = &bundle.RecordError{ID: record.ID, Reason: "change without a whole version before it"}
	default:
		b, err = s.bundle.ApplyChange("bundle", record.Version, record.Text)
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

// restart begins again at a checkpoint for which every record behind its
// Through is still readable. Without one it waits for the next page or a peer.
func (r *Rollout) restartFromCheckpoint(ctx context.Context, firstOffset int64) error {
	page, err := r.options.Log.Read(ctx, firstOffset, 0)
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		envelope, ok := parseEnvelope(record.Data)
		if !ok || envelope.Kind != kindCheckpoint || envelope.ThroughOffset+1 < page.FirstOffset {
			continue
		}
		s, err := r.replayChain(envelope.Chain)
		if err != nil {
			continue
		}
		r.mu.Lock()
		r.folded, r.nextOffset, r.started = s, envelope.ThroughOffset+1, true
		r.mu.Unlock()
		r.foldRecords(page.Records)
		r.activateIfNewer(r.foldedState())
		return nil
	}
	return &NoCheckpointError{FirstOffset: page.FirstOffset}
}

// NoCheckpointError tells that the readable part of the stream does not show
// which version is in force.
type NoCheckpointError struct{ FirstOffset int64 }

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

func (r *Rollout) foldRecord(record platform.Record) {
	r.mu.Lock()
	if record.Offset < r.nextOffset {
		r.mu.Unlock()
		return
	}
	r.nextOffset = record.Offset + 1
	current := r.folded
	envelope, ok := parseEnvelope(record.Data)
	if ok && (envelope.Kind == kindCheckpoint || !envelope.Chain[0].IsChange) {
		r.lastFullState = r.options.Now()
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
	next, err := applyRecord(current, offered)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.folded = next
	r.idByVersion[offered.Version] = offered.ID
	delete(r.idByVersion, offered.Version-maxChainLength)
	r.mu.Unlock()
	r.activateIfNewer(next)
}
