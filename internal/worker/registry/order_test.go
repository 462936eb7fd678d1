package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// at returns a record at an offset.
func at(offset int64, record platform.KeyedRecord) platform.KeyedRecord {
	record.Offset = offset
	return record
}

// TestLaterRegistrationReplacesLaterStart guards against a worker whose true registrations are
// dropped for good. They state an earlier start, or a lower sequence number, than the record
// before them if another writer left an odd record under the worker's ID, or if the clock of
// the worker's VM was set back before it started again. The order of the store decides then,
// but a record that is read or appended late must replace nothing.
func TestLaterRegistrationReplacesLaterStart(t *testing.T) {
	const trueStart, oddStart = 1_700_000_000_000, 4_000_000_000_000
	type page struct {
		reset   bool
		records []platform.KeyedRecord
	}
	apply := func(records ...platform.KeyedRecord) page { return page{records: records} }
	reset := func(records ...platform.KeyedRecord) page { return page{reset: true, records: records} }
	tests := []struct {
		name  string
		pages []page
		want  string // start, whether draining, and whether missing
	}{
		{"odd start in the future", []page{
			apply(at(1, record("w", "ready", trueStart, 1)), at(2, record("w", "ready", oddStart, 1))),
			apply(at(3, record("w", "ready", trueStart, 2)), at(4, record("w", "draining", trueStart, 3))),
		}, "1700000000000 true false"},
		{"odd sequence number", []page{
			apply(at(1, record("w", "ready", trueStart, 1)), at(2, record("w", "ready", trueStart, 1<<53-1))),
			apply(at(3, record("w", "ready", trueStart, 2))), apply(at(4, record("w", "ready", trueStart, 3))),
			apply(at(5, record("w", "ready", trueStart, 4))), apply(at(6, record("w", "ready", trueStart, 5))),
			apply(at(7, record("w", "ready", trueStart, 6))), apply(at(8, record("w", "draining", trueStart, 7))),
		}, "1700000000000 true false"},
		{"clock set back before a restart", []page{
			apply(at(1, record("w", "draining", 900, 7))),
			apply(at(2, record("w", "ready", 500, 1))), apply(at(3, record("w", "ready", 500, 2))),
		}, "500 false false"},
		{"clock set back before a restart, after a deletion", []page{
			apply(at(1, record("w", "draining", 900, 7)), at(2, tombstone("w"))),
			apply(at(3, record("w", "ready", 500, 1))),
		}, "500 false false"},
		{"clock set back, and the history gone", []page{
			apply(at(1, record("w", "draining", 900, 7))),
			reset(at(20, record("w", "ready", 500, 1))), apply(at(21, record("w", "ready", 500, 2))),
		}, "500 false false"},
		{"history gone, and offsets counted anew", []page{
			apply(at(70, record("w", "ready", 900, 7))),
			reset(at(3, record("w", "draining", 900, 8))),
		}, "900 true false"},
		{"offsets counted anew after a contradiction, the worker not among the records", []page{
			apply(at(70, record("w", "ready", 900, 1)), at(71, record("w", "ready", 500, 1))),
			reset(), apply(at(3, record("w", "draining", 500, 2))),
		}, "500 true false"},
		{"a new incarnation after the history is gone", []page{
			apply(at(1, record("w", "draining", 500, 7))),
			reset(at(20, record("w", "ready", 900, 1))),
		}, "900 false false"},
		{"a record appended late", []page{
			apply(at(1, record("w", "ready", 500, 1)), at(2, record("w", "draining", 500, 3)), at(3, record("w", "ready", 500, 2))),
		}, "500 true false"},
		{"two records appended late, one at a time", []page{
			apply(at(1, record("w", "draining", 500, 4)), at(2, record("w", "ready", 500, 1))),
			apply(at(3, record("w", "draining", 500, 5)), at(4, record("w", "ready", 500, 2))),
		}, "500 true false"},
		{"a record of the incarnation before appended late", []page{
			apply(at(1, record("w", "ready", 900, 1)), at(2, record("w", "draining", 500, 9))),
		}, "900 false false"},
		{"older records read after newer ones", []page{
			reset(at(12, record("w", "draining", 500, 3))),
			apply(at(9, record("w", "ready", 900, 1)), at(10, record("w", "ready", 900, 2)), at(11, record("w", "ready", 900, 3)), at(12, record("w", "draining", 500, 3))),
		}, "500 true false"},
		{"an older deletion read after a newer record", []page{
			reset(at(12, record("w", "ready", 500, 3))), apply(at(11, tombstone("w"))),
		}, "500 false false"},
		{"the same page read again", []page{
			apply(at(1, record("w", "draining", 500, 4)), at(2, record("w", "ready", 500, 1))),
			apply(at(2, record("w", "ready", 500, 1))), apply(at(2, record("w", "ready", 500, 1))),
		}, "500 true false"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for i, p := range c.pages {
				if p.reset {
					r.Reset(p.records, now.Add(time.Duration(i)*time.Second))
				} else {
					r.Apply(p.records, now.Add(time.Duration(i)*time.Second))
				}
			}
			w := r.workers["w"]
			if got := fmt.Sprint(w.StartUnixMilli, w.Draining, !w.missingSince.IsZero()); got != c.want {
				t.Fatalf("registered with start, draining, missing %s, want %s", got, c.want)
			}
		})
	}
}
