package node

import (
	"testing"
	"time"
)

// TestFirstWorkerListCountsAsIncomplete guards against a start beside a run of an earlier holder: a worker whose registration is
// missing for a moment, as after an outage of the store, is not on the first list of an entry that starts then.
func TestFirstWorkerListCountsAsIncomplete(t *testing.T) {
	n := newLargeNode(t, 1)
	n.startedAt = time.Now()
	incomplete := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.workersIncompleteUntil().After(time.Now())
	}
	n.onRegistryAvailable()
	if !incomplete() {
		t.Fatal("the list counts as complete although it has just been read for the first time")
	}
	n.mu.Lock()
	n.startedAt, n.registryReadAt = n.startedAt.Add(-reregistrationWindow), n.registryReadAt.Add(-reregistrationWindow)
	n.mu.Unlock()
	if incomplete() {
		t.Fatal("the list counts as incomplete although registrations that had expired are back by now")
	}
}
