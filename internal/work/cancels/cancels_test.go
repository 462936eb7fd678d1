package cancels

import (
	"errors"
	"runtime"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// TestRecordLastsAsStated guards against a cancel that is forgotten while a client may send its job again, and against one
// that is kept for ever since entries extend each other's records.
func TestRecordLastsAsStated(t *testing.T) {
	tests := []struct {
		name              string
		again             time.Duration // extension by a second record of the same job
		keptAt, goneAt    int
		changed           bool // there are new records to pass on
		clientLeavesAfter time.Duration
	}{
		{"default", 0, 29, 30, false, 0},
		{"delay of a message", 900 * time.Millisecond, 29, 30, false, 0},
		{"extended", 10 * time.Second, 39, 40, true, 0},
		{"its client waits for longer", 0, 62, 63, false, time.Minute},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table, expiresAt := New(Options{}), time.Time{}
			if c.clientLeavesAfter > 0 {
				expiresAt = start.Add(c.clientLeavesAfter)
			}
			until := table.KeepUntil(expiresAt, start)
			first, err := table.Add(Record{7, until}, start)
			_, position := table.Since(0, 10, start)
			second, _ := table.Add(Record{7, until.Add(c.again)}, start)
			further, _ := table.Since(position, 10, start)
			if !first || err != nil || second || (len(further) > 0) != c.changed {
				t.Errorf("new: %t, then %t, error %v; passed on again: %v", first, second, err, further)
			}
			if !table.Has(7, after(c.keptAt)) || table.Has(7, after(c.goneAt)) {
				t.Errorf("kept at %d s: %t, at %d s: %t", c.keptAt, table.Has(7, after(c.keptAt)), c.goneAt, table.Has(7, after(c.goneAt)))
			}
		})
	}
}

// TestTableIsBounded guards against a table that grows without bound or stays full after its records have expired, also
// behind one that lasts long.
func TestTableIsBounded(t *testing.T) {
	table := New(Options{Most: 100})
	_, _ = table.Add(Record{1, after(3600)}, start)
	for job := uint64(2); job <= 100; job++ {
		if _, err := table.Add(Record{job, after(30)}, start); err != nil {
			t.Fatal(err)
		}
	}
	var full *FullError
	if _, err := table.Add(Record{101, after(30)}, start); !errors.As(err, &full) {
		t.Errorf("record beyond the bound: %v", err)
	}
	if _, err := table.Add(Record{101, after(61)}, after(31)); err != nil || table.Len() != 2 || !table.Has(1, after(31)) {
		t.Errorf("%d records, error %v, after all but one have expired", table.Len(), err)
	}
	for i := range 1000 {
		_, _ = table.Add(Record{1, after(3600 + 2*i)}, after(32+i))
	}
	if len(table.order) > 2*sparseSlack {
		t.Errorf("%d positions of two jobs", len(table.order))
	}
}

// TestSizeOfARecord guards against records of more than 64 bytes, by which the table would outgrow its share of a small VM.
func TestSizeOfARecord(t *testing.T) {
	for _, count := range []int{12_500, 25_000, 50_000, 100_000} {
		var before, filled runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New(Options{})
		for job := range uint64(count) {
			_, _ = table.Add(Record{job * 0x9e3779b97f4a7c15, after(30)}, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&filled)
		each := float64(filled.HeapAlloc-before.HeapAlloc) / float64(table.Len())
		t.Logf("%d records: %.1f bytes each", count, each)
		if each > 64 {
			t.Errorf("%d records: %.1f bytes each, want 64 at most", count, each)
		}
	}
}
