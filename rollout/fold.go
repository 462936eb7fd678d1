package rollout

import (
	"context"
	"encoding/json"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/platform"
)

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

// restart begins again at a checkpoint for which every record behind its
// Through is still readable. Without one it waits for the next page or a peer.
func (r *Rollout) restart(ctx context.Context, floor int64) error {
	page, err := r.options.Log.Read(ctx, floor, 0)
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		envelope, ok := parse(record.Data)
		if !ok || envelope.Kind != kindCheckpoint || envelope.Through+1 < page.FirstOffset {
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
	return &NoCheckpointError{Floor: page.FirstOffset}
}

// NoCheckpointError tells that the readable part of the stream does not show
// which version is in force.
type NoCheckpointError struct{ Floor int64 }

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
