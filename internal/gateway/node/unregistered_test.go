package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestListWithoutALiveWorkerCountsAsIncomplete guards against a start beside a run of an earlier
// holder: its worker is cut off from the store, so that its registration has expired. The earlier
// holder keeps the worker, since it answers; its successor forgets it and takes its list for
// complete when it takes the group over.
func TestListWithoutALiveWorkerCountsAsIncomplete(t *testing.T) {
	n := newLargeNode(t, 1)
	n.onRegistryAvailable()
	now := time.Now()
	n.registry.Reset([]platform.KeyedRecord{zoneRecord("a", 5, 1), {Key: "v", Offset: 2}}, now.Add(-time.Minute))
	n.registry.Apply([]platform.KeyedRecord{{Key: "w", Offset: 3}}, now.Add(-3*time.Second))
	n.syncWorkers()
	n.mu.Lock()
	incomplete := n.workersIncompleteUntil().After(now)
	n.mu.Unlock()
	if known := len(n.registry.Live()) > 0; !known && !incomplete {
		t.Fatal("the list lacks a worker that may be alive, but counts as complete")
	}
}
