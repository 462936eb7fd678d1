package latestart

import (
	"strconv"
	"testing"
	"time"
)

// TestTableStaysBounded guards against a table that grows without bound while starts get no answers, and against
// one that loses starts which may yet be executed before others.
func TestTableStaysBounded(t *testing.T) {
	var table Table
	began := time.Unix(0, 0)
	for i := range maxStarts + 100 {
		table.Add(Start{Worker: "w" + strconv.Itoa(i%7), Task: strconv.Itoa(i), Run: 1, Until: began.Add(time.Duration(i) * time.Millisecond)})
		table.Add(Start{Worker: "w" + strconv.Itoa(i%7), Task: strconv.Itoa(i), Run: 1, Until: began.Add(time.Duration(i) * time.Millisecond)}) // again
	}
	table.Suspect("w1")
	if table.count != maxStarts || len(table.starts) != maxStarts || table.MayStart("1", began) || !table.MayStart("106", began) {
		t.Errorf("%d starts of %d tasks, want %d, without the first", table.count, len(table.starts), maxStarts)
	}
	table.Extend("w1", "106", 1, began.Add(2*time.Minute))
	table.Prune(began.Add(time.Minute))
	if !table.MayStart("106", began.Add(time.Minute)) {
		t.Error("a start of which a copy was sent later is lost")
	}
	table.RemoveWorker("w1")
	if len(table.queue) > 1 {
		t.Errorf("the queue has %d starts, want the one that was extended at most", len(table.queue))
	}
	if table.count != 0 || len(table.starts) != 0 || len(table.workers) != 0 || table.HasStarts("w1") {
		t.Errorf("%d starts, %d tasks and %d workers are left, want none", table.count, len(table.starts), len(table.workers))
	}
}
