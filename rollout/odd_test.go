package rollout

import (
	"encoding/json"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/standin/store"
)

// TestOddCheckpointStopsNoReader guards against an entry that never reads another version: another
// writer appends a checkpoint of a chain that was in force, and names an offset that no entry can
// have read by then.
func TestOddCheckpointStopsNoReader(t *testing.T) {
	tests := []struct {
		name    string
		through int64
	}{
		{"an offset that has been read", 1},
		{"its own offset", 2},
		{"a distant offset", 1 << 60},
		{"the last offset of all", math.MaxInt64 - 1},
		{"out of range with the next", math.MaxInt64},
		{"negative", -5},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Options{Retention: time.Minute})
				o := operator{newReader(s), privateKey}
				mustSucceed(t, o.publish(t.Context(), 1))
				old := o.Chain()
				mustSucceed(t, o.publish(t.Context(), 2))
				time.Sleep(40 * time.Second)
				for _, e := range []Envelope{{kindCheckpoint, c.through, old}, {kindCheckpoint, 1, o.Chain()}} {
					data, err := json.Marshal(e)
					mustSucceed(t, err)
					_, err = s.Log(Stream).Append(t.Context(), data)
					mustSucceed(t, err)
				}
				time.Sleep(30 * time.Second)
				mustSucceed(t, o.publish(t.Context(), 3))
				fresh := newReader(s)
				for range 3 {
					mustSucceed(t, fresh.Poll(t.Context(), 0))
				}
				if b := fresh.Bundle(); b == nil || b.Version != 3 {
					t.Fatalf("the new reader has version %d in force, want 3", fresh.version())
				}
			})
		})
	}
}

// TestOddRecordDelaysNoCheckpoint guards against a version that is lost with the retention of the
// stream: another writer's records look like checkpoints, or like complete versions, so that no
// entry writes a true checkpoint.
func TestOddRecordDelaysNoCheckpoint(t *testing.T) {
	tests := []struct {
		name string
		odd  Envelope
	}{
		{"a checkpoint of unsigned records", Envelope{Kind: kindCheckpoint, Chain: []bundle.Record{{ID: "x"}}}},
		{"a version without a signature", Envelope{Kind: kindVersion, Chain: []bundle.Record{{ID: "x"}}}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(store.Options{Retention: time.Minute})
				mustSucceed(t, operator{newReader(s), privateKey}.publish(t.Context(), 1))
				entry := New(Options{Log: s.Log(Stream), Signers: signers, CheckpointAfter: 10 * time.Second, Random: func() float64 { return 0 }})
				data, err := json.Marshal(c.odd)
				mustSucceed(t, err)
				for range 40 { // 200 s
					_, err := s.Log(Stream).Append(t.Context(), data)
					mustSucceed(t, err)
					mustSucceed(t, entry.Poll(t.Context(), 0))
					entry.checkpointIfDue(t.Context())
					time.Sleep(5 * time.Second)
				}
				fresh := newReader(s)
				mustSucceed(t, fresh.Poll(t.Context(), 0))
				if b := fresh.Bundle(); b == nil || b.Version != 1 {
					t.Fatalf("the new reader has version %d in force, want 1", fresh.version())
				}
			})
		})
	}
}
