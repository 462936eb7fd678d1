package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// zoneRecord returns a registration with a zone.
func zoneRecord(zone string, start, sequence int64) platform.KeyedRecord {
	return platform.KeyedRecord{Key: "w", Offset: sequence, Value: fmt.Appendf(nil,
		`{"backend":"listing","address":"127.0.0.1:9","zone":%q,"state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"born":%d,"seq":%d}`, zone, start, sequence)}
}

// TestWorkerHasOneHolder guards against two holders that take a worker from each other for good,
// so that no job starts in either group: another writer leaves a registration of the worker with
// another zone, or the worker has started again in another zone.
func TestWorkerHasOneHolder(t *testing.T) {
	tests := []struct {
		name    string
		records []platform.KeyedRecord
		called  []bool // after each record
	}{
		{"its zone", []platform.KeyedRecord{zoneRecord("a", 5, 1), zoneRecord("a", 5, 2)}, []bool{true, true}},
		{"one odd record", []platform.KeyedRecord{zoneRecord("b", 5, 1), zoneRecord("a", 5, 2), zoneRecord("b", 5, 3)}, []bool{false, false, false}},
		{"an odd record beside its zone", []platform.KeyedRecord{zoneRecord("a", 5, 1), zoneRecord("b", 5, 2), zoneRecord("a", 5, 3)}, []bool{true, true, true}},
		{"the odd record first", []platform.KeyedRecord{zoneRecord("a", 5, 1), zoneRecord("b", 5, 2), zoneRecord("b", 5, 3)}, []bool{true, true, false}},
		{"an odd record with a later start", []platform.KeyedRecord{zoneRecord("a", 5, 1), zoneRecord("b", 6, 2), zoneRecord("a", 5, 3)}, []bool{true, true, true}},
		{"started again in another zone", []platform.KeyedRecord{zoneRecord("a", 5, 1), zoneRecord("b", 6, 2), zoneRecord("b", 6, 3)}, []bool{true, true, false}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			n.reconcileGroups(n.ctx)
			n.registryState.setLoaded()
			n.reconcileGroups(n.ctx)
			h, held := n.holder(groupName("a", 0))
			if !held {
				t.Fatal("the entry holds no group")
			}
			for i, r := range c.records {
				n.registry.Apply([]platform.KeyedRecord{r}, time.Now())
				n.syncWorkers()
				// A worker that has not answered yet is not ready.
				if called := !h.AllWorkersReady(); called != c.called[i] {
					t.Fatalf("after record %d: the worker has a session: %v, want %v", i+1, called, c.called[i])
				}
			}
		})
	}
}
