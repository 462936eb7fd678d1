package node

import (
	"testing"
	"time"
)

// TestOutdatedWorkerListCountsAsIncomplete guards against a start beside a run of an earlier holder: this entry alone has been cut
// off from the store, so that it does not know the worker, registered meanwhile, on which that holder runs the task.
func TestOutdatedWorkerListCountsAsIncomplete(t *testing.T) {
	n := newLargeNode(t, 1)
	incomplete := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.firstListIncompleteUntil().After(time.Now())
	}
	n.onRegistryAvailable()
	if incomplete() {
		t.Fatal("the list counts as incomplete although it has just been read")
	}
	n.onRegistryUnavailable()
	if !incomplete() {
		t.Fatal("the list counts as complete while it cannot be read")
	}
	n.onRegistryAvailable()
	if incomplete() {
		t.Fatal("the list counts as incomplete although it has been read again")
	}
}
