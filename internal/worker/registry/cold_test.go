package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestColdTimeEnds guards against a worker that stays cold as long as its registration is read again, and
// against one that counts as warm after it has started again.
func TestColdTimeEnds(t *testing.T) {
	cold := func(born, sequence, left int) []platform.KeyedRecord {
		return []platform.KeyedRecord{{Key: "w", Value: fmt.Appendf(nil,
			`{"backend":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem-mb":1},"born":%d,"seq":%d,"cold-left-ms":%d}`, born, sequence, left)}}
	}
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		read func(r *Registry)
		want time.Time
	}{
		{"warm", func(r *Registry) { r.Apply(cold(1, 1, 0), now) }, time.Time{}},
		{"cold", func(r *Registry) { r.Apply(cold(1, 1, 5000), now) }, at(5000)},
		{"read again from the newest records", func(r *Registry) {
			r.Apply(cold(1, 1, 5000), now)
			r.Reset(cold(1, 1, 5000), at(2000))
		}, at(5000)},
		{"a later record that still states the first time", func(r *Registry) {
			r.Apply(cold(1, 1, 5000), now)
			r.Apply(cold(1, 2, 5000), at(2000))
		}, at(5000)},
		{"a later record", func(r *Registry) {
			r.Apply(cold(1, 1, 5000), now)
			r.Apply(cold(1, 2, 2500), at(2000))
		}, at(4500)},
		{"started again", func(r *Registry) {
			r.Apply(cold(1, 1, 5000), now)
			r.Apply(cold(2, 1, 5000), at(2000))
		}, at(7000)},
	}
	for _, c := range tests {
		r := New()
		c.read(r)
		if got := r.Live()[0].ColdUntil; !got.Equal(c.want) {
			t.Errorf("%s: cold until %v, want %v", c.name, got, c.want)
		}
	}
}
