package registry

import (
	"testing"

	"github.com/radishgate/radishgate/platform"
)

// TestDrainingWorkerStaysSo guards against new tasks for a worker that is about to leave: the
// platform appends older records of the same incarnation late, after the one that says that it
// drains and before its next one.
func TestDrainingWorkerStaysSo(t *testing.T) {
	tests := []struct {
		name   string
		events func(r *Registry)
	}{
		{"two records appended late, one after the other", func(r *Registry) {
			r.Apply([]platform.KeyedRecord{at(2, record("w", "ready", 500, 2)), at(3, record("w", "ready", 500, 3))}, now)
		}},
		{"one record appended late, and the list read again", func(r *Registry) {
			r.Apply([]platform.KeyedRecord{at(2, record("w", "ready", 500, 3))}, now)
			r.Reset([]platform.KeyedRecord{at(2, record("w", "ready", 500, 3))}, now)
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Apply([]platform.KeyedRecord{at(0, record("w", "ready", 500, 1)), at(1, record("w", "draining", 500, 4))}, now)
			c.events(r)
			if live := r.Live(); len(live) != 1 || !live[0].Draining {
				t.Fatalf("registered %+v, want one worker that drains", live)
			}
		})
	}
}
