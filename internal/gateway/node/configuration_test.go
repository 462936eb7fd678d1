package node

import (
	"fmt"
	"testing"

	"github.com/radishgate/radishgate/platform"
)

// TestNewestConfigurationIsInForce guards against a batch of configurations, as after an outage of
// the store, of which one that is not the newest valid one comes into force.
func TestNewestConfigurationIsInForce(t *testing.T) {
	const refused = `{"version":%d,"routes":7}`
	const valid = `{"version":%d,"routes":[{"name":"r","host":"h","path-prefix":"/"}]}`
	unreadable := &platform.RecordError{Offset: 9}
	type version struct {
		text   string
		number int
		err    error
	}
	tests := []struct {
		name    string
		records []version
		want    int64
	}{
		{"one", []version{{valid, 7, nil}}, 7},
		{"in order", []version{{valid, 3, nil}, {valid, 5, nil}, {valid, 9, nil}}, 9},
		{"one that was written late", []version{{valid, 9, nil}, {valid, 5, nil}}, 9},
		{"the newest refused", []version{{valid, 3, nil}, {valid, 5, nil}, {refused, 9, nil}}, 5},
		{"one that cannot be read", []version{{valid, 3, nil}, {"", 0, unreadable}, {valid, 5, nil}}, 5},
		{"no JSON", []version{{valid, 3, nil}, {"x%d", 0, nil}, {valid, 5, nil}}, 5},
		{"deleted", []version{{valid, 3, nil}, {"", 0, nil}}, 3},
		{"none", []version{{refused, 9, nil}, {"", 0, unreadable}}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			var records []platform.KeyedRecord
			for i, v := range c.records {
				k := platform.KeyedRecord{Key: platform.KeyConfiguration, Offset: int64(i), Err: v.err}
				if v.text != "" {
					k.Value = fmt.Appendf(nil, v.text, v.number)
				}
				records = append(records, k, platform.KeyedRecord{Key: "wave/1", Value: []byte(`{"version":99}`), Offset: int64(i)})
			}
			n.applyConfiguration(records)
			if got := n.routes.Version(); got != c.want {
				t.Fatalf("version %d in force, want %d", got, c.want)
			}
		})
	}
}
