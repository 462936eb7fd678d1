package registry

import (
	"fmt"
	"testing"

	"github.com/radishgate/radishgate/platform"
)

// TestOddRecordIsReportedOnce guards against a log that fills up with the same line: another
// writer publishes its odd record as often as a worker does. Each key is reported once, and
// again after it was readable, was deleted or is odd for another reason. Many odd keys must not
// take more and more memory, nor one line each.
func TestOddRecordIsReportedOnce(t *testing.T) {
	odd := func(id, value string) platform.KeyedRecord {
		return platform.KeyedRecord{Key: id, Value: []byte(value)}
	}
	var many []platform.KeyedRecord
	for i := range 10 * maxMalformed {
		many = append(many, odd(fmt.Sprintf("odd%d", i), `{}`))
	}
	tests := []struct {
		name  string
		pages [][]platform.KeyedRecord
		reset bool // the last page comes with a reset
		lines int  // of odd records
	}{
		{"once", [][]platform.KeyedRecord{{odd("w", `{`)}}, false, 1},
		{"again and again", [][]platform.KeyedRecord{{odd("w", `{`), odd("w", `{`)}, {odd("w", `{`)}, {odd("w", `{`)}}, false, 1},
		{"in a reset", [][]platform.KeyedRecord{{odd("w", `{`)}, {odd("w", `{`)}}, true, 1},
		{"for another reason", [][]platform.KeyedRecord{{odd("w", `{`)}, {odd("w", `{}`)}}, false, 2},
		{"after it was readable", [][]platform.KeyedRecord{{odd("w", `{`)}, {record("w", "ready", 1, 1)}, {odd("w", `{`)}}, false, 2},
		{"after it was deleted", [][]platform.KeyedRecord{{odd("w", `{`)}, {tombstone("w")}, {odd("w", `{`)}}, false, 2},
		{"two keys", [][]platform.KeyedRecord{{odd("w", `{`), odd("v", `{`)}, {odd("w", `{`), odd("v", `{`)}}, false, 2},
		{"records that cannot be read", [][]platform.KeyedRecord{
			{{Offset: 4, Err: &platform.RecordError{Offset: 4}}}, {{Offset: 5, Err: &platform.RecordError{Offset: 5}}}, {{Offset: 6, Err: &platform.RecordError{Offset: 6}}},
		}, false, 1},
		{"many keys", [][]platform.KeyedRecord{many, many}, false, maxMalformed},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r, lines := New(), 0
			for i, page := range c.pages {
				changes := r.Apply
				if c.reset && i == len(c.pages)-1 {
					changes = r.Reset
				}
				for _, change := range changes(page, now) {
					if change.Err != nil {
						lines++
					}
				}
			}
			if lines != c.lines {
				t.Fatalf("%d lines, want %d", lines, c.lines)
			}
		})
	}
}
