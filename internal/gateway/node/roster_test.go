package node

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestFirstListWithoutAPublishedWorkerIsIncomplete guards against a start beside a run of a holder that was
// lost with all other entries: live workers have not registered again since an outage of the store, and no
// entry is left that knows them.
func TestFirstListWithoutAPublishedWorkerIsIncomplete(t *testing.T) {
	group := groupName("a", 0)
	registration := func(id string) platform.KeyedRecord {
		return platform.KeyedRecord{Key: id, Offset: 1, Value: []byte(`{"backend":"listing","address":"127.0.0.1:9","zone":"a","state":"ready","labels":["k"],"capacity":{"cpu":1000,"mem-mb":1000}}`)}
	}
	roster := func(ids ...string) []platform.KeyedRecord {
		var workers []uint64
		for _, id := range ids {
			workers = append(workers, xxhash.Sum64String(id))
		}
		return []platform.KeyedRecord{{Key: group, Value: packRoster(workers)}, {Key: groupName("b", 0), Value: packRoster([]uint64{1})}}
	}
	tests := []struct {
		name       string
		published  []platform.KeyedRecord
		incomplete bool
	}{
		{"nothing was published", nil, false},
		{"the same workers", roster("w0", "w1"), false},
		{"a worker is new", roster("w0"), false},
		{"a worker is missing", roster("w0", "w1", "w2"), true},
		{"a value that is no list", []platform.KeyedRecord{{Key: group, Value: []byte("odd")}}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			n.rosters.set(c.published)
			n.reconcileGroups(n.ctx) // decides that the registry is read
			n.applyWorkerChanges(n.registry.Reset([]platform.KeyedRecord{registration("w0"), registration("w1")}, time.Now()))
			n.registryState.setLoaded()
			n.onRegistryRead()
			n.reconcileGroups(n.ctx)
			h, held := n.holder(group)
			if !held {
				t.Fatal("the entry holds no group")
			}
			if got := h.WorkersIncomplete(); got != c.incomplete {
				t.Fatalf("the list counts as incomplete: %t, want %t", got, c.incomplete)
			}
			n.applyWorkerChanges(n.registry.Apply([]platform.KeyedRecord{registration("w2")}, time.Now()))
			if h.WorkersIncomplete() {
				t.Error("the list counts as incomplete although all workers have registered")
			}
		})
	}
}

// TestListIsIncompleteUntilTheRostersAreRead guards against a first claim that is made before the store has
// answered.
func TestListIsIncompleteUntilTheRostersAreRead(t *testing.T) {
	n := newLargeNode(t, 1)
	n.rosters = rosters{}
	n.reconcileGroups(n.ctx) // decides that the registry is read
	n.registryState.setLoaded()
	n.onRegistryRead()
	n.reconcileGroups(n.ctx)
	h, _ := n.holder(groupName("a", 0))
	if !h.WorkersIncomplete() {
		t.Error("the list counts as complete before the rosters are read")
	}
	if !n.readRosters(t.Context(), n.store.KeyedFeed(rosterTopic).Newest, true) || h.WorkersIncomplete() {
		t.Error("the list counts as incomplete after empty rosters were read")
	}
}

// TestHolderPublishesItsWorkers guards against a roster that lacks a worker, and against writes without a
// change.
func TestHolderPublishesItsWorkers(t *testing.T) {
	f := newFleet(t, 1, 2, worker.Options{})
	f.waitReady()
	n, group := f.nodes[0], groupName("a", 0)
	want := []uint64{xxhash.Sum64String("w0"), xxhash.Sum64String("w1")}
	slices.Sort(want)
	published := func() []uint64 {
		records, _, err := n.store.KeyedFeed(rosterTopic).Newest(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			if r.Key == group {
				return unpackRoster(r.Value)
			}
		}
		return nil
	}
	f.waitFor("the workers are published", func() bool { return slices.Equal(published(), want) })
	if n.rosters.changed(group, want) {
		t.Error("the same workers would be written again")
	}
	n.claims.Merge([]election.Claim{{Group: group, Epoch: 1 << 62, Holder: "e9", Incarnation: 9}})
	f.waitFor("what was written is forgotten with the group", func() bool { return n.rosters.changed(group, want) })
}
