package latestart

import (
	"strconv"
	"testing"
	"time"
)

// TestTableStaysBounded guards against a table that grows while starts get no answers, and against one that loses
// starts which may yet be executed.
func TestTableStaysBounded(t *testing.T) {
	var table Table
	began := time.Unix(0, 0)
	for i := range 2 * (maxStarts + 100) {
		table.Add(Start{Worker: "w" + strconv.Itoa(i/2%7), Task: strconv.Itoa(i / 2), Run: 1, Until: began.Add(time.Second)}) // each twice
	}
	table.Suspect("w1")
	if table.count != maxStarts || len(table.starts) != maxStarts || table.MayStartLate("1", began) || !table.MayStartLate("106", began) {
		t.Errorf("%d starts of %d tasks, want %d, without the first", table.count, len(table.starts), maxStarts)
	}
	table.Extend("w1", "106", 1, began.Add(2*time.Minute))
	if table.Prune(began.Add(time.Minute)); !table.MayStartLate("106", began.Add(time.Minute)) || table.count != 1 || len(table.queue) != 1 {
		t.Errorf("%d starts are left, want the one of which a copy was sent later", table.count)
	}
	if table.RemoveWorker("w1"); table.count != 0 || len(table.starts) != 0 || len(table.workers) != 0 {
		t.Errorf("%d starts, %d tasks and %d workers are left, want none", table.count, len(table.starts), len(table.workers))
	}
}
