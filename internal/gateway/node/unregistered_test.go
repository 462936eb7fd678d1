package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/member"
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
	incomplete := n.workersIncompleteFor(election.Claim{Group: groupName("a", 0), Epoch: 9, Holder: "e0"}).After(now)
	n.mu.Unlock()
	if known := len(n.registry.Live()) > 0; !known && !incomplete {
		t.Fatal("the list lacks a worker that may be alive, but counts as complete")
	}
}

// TestDoubtedListOfWorkers guards against two opposite faults of a successor that has forgotten a worker:
// it must expect runs there when it takes the group over, but not once the holder has the same list, and not if
// it holds the group itself and the worker has not answered.
func TestDoubtedListOfWorkers(t *testing.T) {
	tests := []struct {
		name   string
		own    bool // this entry holds the group when the registration expires
		agrees bool // the holder has a complete list of the same workers
		waits  bool // for runs of the earlier holder, after a takeover
	}{
		{"the holder keeps the worker", false, false, true},
		{"the holder has the same workers", false, true, false},
		{"this entry is the holder", true, false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			group, now := groupName("a", 0), time.Now()
			holder := member.Record{ID: "e1", Zone: "a", PeerAddress: "127.0.0.1:1001", Incarnation: 7, Heartbeat: 1, Weight: 1}
			n.members.Merge([]member.Record{holder, {ID: "e2", Zone: "b", PeerAddress: "127.0.0.1:1002", Incarnation: 7, Heartbeat: 1, Weight: 1}})
			n.reconcileGroups(n.ctx)
			n.registryState.setLoaded()
			n.onRegistryAvailable()
			remaining := zoneRecord("a", 5, 1)
			remaining.Key = "other"
			n.registry.Reset([]platform.KeyedRecord{zoneRecord("a", 5, 1), remaining}, now.Add(-time.Minute))
			if c.own {
				n.isolation.NoteHeard()
				n.reconcileGroups(n.ctx)
			} else {
				n.claims.Merge([]election.Claim{{Group: group, Epoch: 5, Holder: "e1", Incarnation: 7}})
			}
			if _, held := n.holder(group); held != c.own {
				t.Fatalf("the group is held: %v, want %v", held, c.own)
			}
			n.registry.Apply([]platform.KeyedRecord{{Key: "w", Offset: 3}}, now.Add(-3*time.Second))
			n.syncWorkers()
			holder.Heartbeat++
			if c.agrees {
				holder.Workers = n.registry.Fingerprint()
			}
			n.members.Merge([]member.Record{holder})
			n.reconcileGroups(n.ctx)
			if !c.own {
				holder.Leaving, holder.Heartbeat = true, holder.Heartbeat+1
				n.isolation.NoteHeard()
				n.members.Merge([]member.Record{holder})
				n.reconcileGroups(n.ctx)
				n.reconcileGroups(n.ctx)
			}
			h, held := n.holder(group)
			if !held {
				t.Fatal("the group is not taken over")
			}
			if waits := h.WorkersIncomplete(); waits != c.waits {
				t.Fatalf("the holder expects further workers: %v, want %v", waits, c.waits)
			}
		})
	}
}

// TestDoubtEndsAfterTheLeases guards against a doubt that is never settled: once this entry has held the
// group for long enough, no lease of the earlier holder is left.
func TestDoubtEndsAfterTheLeases(t *testing.T) {
	now, none := time.Now(), func(string) bool { return false }
	d := doubtedGroups{}
	if !d.add("g") || d.add("g") {
		t.Fatal("a group is doubted twice, or not at all")
	}
	d.settle(none, now.Add(time.Hour))
	if len(d) == 0 {
		t.Fatal("the doubt has ended although another entry holds the group")
	}
	if end := d.takeOver("g", now); !end.Equal(now.Add(reregistrationWindow)) {
		t.Fatalf("the doubt ends %s after the takeover, want %s", end.Sub(now), reregistrationWindow)
	}
	d.settle(none, now.Add(reregistrationWindow))
	if len(d) > 0 || !d.takeOver("g", now).IsZero() {
		t.Fatal("the doubt has not ended")
	}
}
