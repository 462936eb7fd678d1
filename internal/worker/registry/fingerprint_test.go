package registry

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestFingerprintNamesTheWorkers guards against a list of workers that counts as confirmed although
// it lacks one, and against one that is never confirmed although it has the same workers.
func TestFingerprintNamesTheWorkers(t *testing.T) {
	want := New()
	want.Reset([]platform.KeyedRecord{record("v", "ready", 500, 1), record("w", "ready", 500, 1)}, now)
	tests := []struct {
		name  string
		apply func(r *Registry)
		same  bool
	}{
		{"empty", func(*Registry) {}, false},
		{"one is not registered", func(r *Registry) { r.Reset([]platform.KeyedRecord{record("v", "ready", 500, 1)}, now) }, false},
		{"another order and state", func(r *Registry) {
			r.Reset([]platform.KeyedRecord{record("w", "draining", 500, 2), record("v", "ready", 900, 1)}, now)
		}, true},
		{"read twice", func(r *Registry) {
			for range 2 {
				r.Reset([]platform.KeyedRecord{record("v", "ready", 500, 1), record("w", "ready", 500, 1)}, now)
			}
		}, true},
		{"one is missing", func(r *Registry) {
			r.Reset([]platform.KeyedRecord{record("v", "ready", 500, 1), record("w", "ready", 500, 1)}, now)
			r.Apply([]platform.KeyedRecord{tombstone("w")}, now)
		}, true},
		{"one has expired", func(r *Registry) {
			r.Reset([]platform.KeyedRecord{record("v", "ready", 500, 1), record("w", "ready", 500, 1)}, now)
			r.Apply([]platform.KeyedRecord{tombstone("w")}, now)
			r.Expire(func(string) bool { return false }, now.Add(time.Minute))
		}, false},
		{"another has expired", func(r *Registry) {
			r.Reset([]platform.KeyedRecord{record("u", "ready", 500, 1), record("v", "ready", 500, 1), record("w", "ready", 500, 1)}, now)
			r.Apply([]platform.KeyedRecord{tombstone("u")}, now)
			r.Expire(func(string) bool { return false }, now.Add(time.Minute))
		}, true},
		{"cleared and read again", func(r *Registry) {
			r.Reset([]platform.KeyedRecord{record("u", "ready", 500, 1)}, now)
			r.Clear()
			r.Reset([]platform.KeyedRecord{record("v", "ready", 500, 1), record("w", "ready", 500, 1)}, now)
		}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			if r.Fingerprint() != 0 {
				t.Fatalf("fingerprint %x of an empty registry, want 0", r.Fingerprint())
			}
			c.apply(r)
			if same := r.Fingerprint() == want.Fingerprint(); same != c.same {
				t.Fatalf("same fingerprint: %v, want %v", same, c.same)
			}
		})
	}
}
