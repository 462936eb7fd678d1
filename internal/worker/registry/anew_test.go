package registry

import (
	"testing"

	"github.com/radishgate/radishgate/platform"
)

// TestContradictionsAreCountedAfterAReset guards against true registrations that are dropped: one
// of them contradicted an odd one before the history was gone, and offsets are counted anew.
func TestContradictionsAreCountedAfterAReset(t *testing.T) {
	r := New()
	r.Apply([]platform.KeyedRecord{at(70, record("w", "ready", 900, 1)), at(71, record("w", "ready", 500, 1))}, now)
	r.Reset([]platform.KeyedRecord{at(3, record("w", "ready", 500, 2))}, now)
	for offset := range int64(20) {
		r.Apply([]platform.KeyedRecord{at(4+offset, record("w", "draining", 500, int(3+offset)))}, now)
	}
	if live := r.Live(); len(live) != 1 || live[0].StartUnixMilli != 500 || !live[0].Draining {
		t.Fatalf("registered %+v, want one worker that drains", live)
	}
}
