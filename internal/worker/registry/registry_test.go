package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(id, state string, born, sequence int) platform.KeyedRecord {
	return platform.KeyedRecord{Key: id, Value: fmt.Appendf(nil,
		`{"backend":"s","address":"10.0.0.1:80","zone":"z","state":%q,"capacity":{"cpu":1,"mem-mb":1},"born":%d,"seq":%d}`, state, born, sequence)}
}

func tombstone(id string) platform.KeyedRecord { return platform.KeyedRecord{Key: id} }

// TestRegistry guards against a live worker that is dropped, or a dead one that is kept,
// when records are missing, malformed or read out of order.
func TestRegistry(t *testing.T) {
	tests := []struct {
		name     string
		records  []platform.KeyedRecord
		reset    []platform.KeyedRecord
		answers  bool
		after    time.Duration
		live     int
		draining bool
	}{
		{"registered", []platform.KeyedRecord{record("w", "ready", 1, 1)}, nil, false, 0, 1, false},
		{"drains", []platform.KeyedRecord{record("w", "ready", 1, 1), record("w", "draining", 1, 2)}, nil, false, 0, 1, true},
		{"an older record is read out of order", []platform.KeyedRecord{record("w", "draining", 1, 2), record("w", "ready", 1, 1)}, nil, false, 0, 1, true},
		{"a new incarnation registers", []platform.KeyedRecord{record("w", "draining", 1, 9), record("w", "ready", 2, 1)}, nil, false, 0, 1, false},
		{"missing for a while", []platform.KeyedRecord{record("w", "ready", 1, 1), tombstone("w")}, nil, false, 2 * time.Second, 1, false},
		{"missing for too long", []platform.KeyedRecord{record("w", "ready", 1, 1), tombstone("w")}, nil, false, 3 * time.Second, 0, false},
		{"missing for too long but answering", []platform.KeyedRecord{record("w", "ready", 1, 1), tombstone("w")}, nil, true, 3 * time.Second, 1, false},
		{"back in time", []platform.KeyedRecord{record("w", "ready", 1, 1), tombstone("w"), record("w", "ready", 1, 5)}, nil, false, 3 * time.Second, 1, false},
		{"missing from a reset", []platform.KeyedRecord{record("w", "ready", 1, 1)}, []platform.KeyedRecord{record("v", "ready", 1, 1)}, false, 3 * time.Second, 1, false},
		{"malformed", []platform.KeyedRecord{{Key: "w", Value: []byte("{")}}, nil, false, 0, 0, false},
		{"malformed after it was registered", []platform.KeyedRecord{record("w", "ready", 1, 1), {Key: "w", Value: []byte("{")}}, nil, false, 3 * time.Second, 1, false},
		{"cannot be read after it was registered", []platform.KeyedRecord{record("w", "ready", 1, 1), {Key: "w", Err: &platform.RecordError{}}}, nil, false, 3 * time.Second, 1, false},
		{"cannot be read in a reset", []platform.KeyedRecord{record("w", "ready", 1, 1)}, []platform.KeyedRecord{{Key: "w", Err: &platform.RecordError{}}}, false, 3 * time.Second, 1, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Apply(c.records, now)
			if c.reset != nil {
				r.Reset(c.reset, now)
			}
			r.Expire(func(string) bool { return c.answers }, now.Add(c.after))
			live := r.Live()
			if len(live) != c.live {
				t.Fatalf("%d live, want %d", len(live), c.live)
			}
			if len(live) > 0 && live[0].Draining != c.draining {
				t.Fatalf("draining %v", live[0].Draining)
			}
		})
	}
}
