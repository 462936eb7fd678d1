package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/worker/registry"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/platform"
)

// TestFirstWorkerListCountsAsIncomplete guards against a start beside a run of an earlier holder: a worker whose registration is
// missing for a moment, as after an outage of the store, is not on the first list of an entry that starts then.
func TestFirstWorkerListCountsAsIncomplete(t *testing.T) {
	n := newLargeNode(t, 1)
	n.startedAt = time.Now()
	incomplete := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.firstListIncompleteUntil().After(time.Now())
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

// TestWorkerListIsConfirmedByAnotherEntry guards against a wait in a rolling stop, in which entries take
// groups over just after their start: a list counts as complete once another entry that does not doubt
// its own has the same one. It also guards against confirmation by an entry that knows more workers.
func TestWorkerListIsConfirmedByAnotherEntry(t *testing.T) {
	registration := func(id string) platform.KeyedRecord {
		return platform.KeyedRecord{Key: id, Value: []byte(`{"backend":"listing","address":"10.0.0.1:80","zone":"a","state":"ready","labels":["k"],"capacity":{"cpu":1000,"mem-mb":1000}}`)}
	}
	tests := []struct {
		name      string
		known     []string // workers that the other entry knows
		doubts    bool     // the other entry does not count its list as complete
		confirmed bool
	}{
		{"the same workers", []string{"w0", "w1"}, false, true},
		{"the same workers, in a list that may be incomplete", []string{"w0", "w1"}, true, false},
		{"a worker more", []string{"w0", "w1", "w2"}, false, false},
		{"no workers", nil, false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			other, n := newLargeNode(t, 1), newLargeNode(t, 1)
			read := func(n *Node, ids ...string) {
				var records []platform.KeyedRecord
				for _, id := range ids {
					records = append(records, registration(id))
				}
				n.registry.Reset(records, time.Now())
				n.reconcileGroups(n.ctx) // decides that the registry is read
				n.registryState.setLoaded()
				n.onRegistryAvailable()
			}
			n.startedAt = time.Now().Add(-2 * startupDelay)
			if c.doubts {
				other.startedAt = n.startedAt
			}
			read(other, c.known...)
			other.reconcileGroups(other.ctx)
			read(n, "w0", "w1")
			record := other.members.Self()
			record.ID, record.Heartbeat = "e1", 1
			n.members.Merge([]member.Record{record})
			n.reconcileGroups(n.ctx)
			n.mu.Lock()
			complete := !n.firstListIncompleteUntil().After(time.Now())
			n.mu.Unlock()
			if complete != c.confirmed {
				t.Fatalf("the list counts as complete: %v, want %v", complete, c.confirmed)
			}
			if published := n.members.Self().Workers != 0; published != c.confirmed {
				t.Fatalf("the list is told to others as complete: %v, want %v", published, c.confirmed)
			}
		})
	}
}

// TestFirstListAfterAnOutageCountsAsIncomplete guards against a start beside a run of an earlier holder,
// at an entry that begins to read the registrations long after its start, but just after the store was away.
func TestFirstListAfterAnOutageCountsAsIncomplete(t *testing.T) {
	tests := []struct {
		name       string
		away       time.Duration // how long ago the store answered again; 0 if it never failed
		incomplete bool
	}{
		{"the store was never away", 0, false},
		{"the store was away", time.Second, true},
		{"the store was away long ago", reregistrationWindow + time.Second, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			if c.away > 0 {
				n.onConfigurationAvailable(false)
				n.onConfigurationAvailable(true)
				n.storeAwayAt = n.storeAwayAt.Add(-c.away)
			}
			n.onRegistryAvailable()
			n.mu.Lock()
			defer n.mu.Unlock()
			if got := n.firstListIncompleteUntil().After(time.Now()); got != c.incomplete {
				t.Fatalf("the list counts as incomplete: %v, want %v", got, c.incomplete)
			}
		})
	}
}

// TestConfirmedListDelaysNoStarts guards against a wait in a rolling stop: an entry takes a group over
// with its first reading of the registrations, which another entry has confirmed by then or
// confirms with its next heartbeat.
func TestConfirmedListDelaysNoStarts(t *testing.T) {
	registration := platform.KeyedRecord{Key: "w0", Value: []byte(`{"backend":"listing","address":"127.0.0.1:9","zone":"a","state":"ready","labels":["k"],"capacity":{"cpu":1000,"mem-mb":1000}}`)}
	tests := []struct {
		name   string
		before bool // the confirmation comes before the first reading
		after  bool
		waits  bool
	}{
		{"confirmed before", true, false, false},
		{"confirmed after the takeover", false, true, false},
		{"not confirmed", false, false, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			n.startedAt = time.Now().Add(-2 * startupDelay)
			confirm := func(is bool) {
				if is {
					known := registry.New()
					known.Reset([]platform.KeyedRecord{registration}, time.Now())
					n.members.Merge([]member.Record{{ID: "e1", Zone: "a", PeerAddress: "127.0.0.1:1001", Incarnation: 7, Heartbeat: 2, Weight: 1, Workers: known.Fingerprint()}})
				}
			}
			n.isolation.NoteHeard()
			n.members.Merge([]member.Record{
				{ID: "e1", Zone: "a", PeerAddress: "127.0.0.1:1001", Incarnation: 7, Heartbeat: 1, Weight: 1},
				{ID: "e2", Zone: "a", PeerAddress: "127.0.0.1:1002", Incarnation: 7, Heartbeat: 1, Weight: 1, Leaving: true},
			})
			n.claims.Merge([]election.Claim{{Group: groupName("a", 0), Epoch: 5, Holder: "e2", Incarnation: 7}})
			n.reconcileGroups(n.ctx)
			confirm(c.before)
			for _, f := range n.followers() {
				if f.Name == "workers" {
					f.Reset([]platform.KeyedRecord{registration})
				}
			}
			h, held := n.holder(groupName("a", 0))
			if !held {
				t.Fatal("the group is not taken over")
			}
			confirm(c.after)
			n.reconcileGroups(n.ctx)
			if waits := h.WorkersIncomplete(); waits != c.waits {
				t.Fatalf("the holder expects further workers: %v, want %v", waits, c.waits)
			}
		})
	}
}

// TestListThatIsReadAgainDelaysNoStarts guards against a wait of seconds after a partition: an entry that
// was cut off from the store takes a group over with its old list, and reads the registrations again a
// moment later.
func TestListThatIsReadAgainDelaysNoStarts(t *testing.T) {
	n := newLargeNode(t, 1)
	n.reconcileGroups(n.ctx)
	n.registryState.setLoaded()
	n.onRegistryAvailable()
	n.onRegistryUnavailable()
	n.claims.Merge([]election.Claim{{Group: groupName("a", 0), Epoch: 5, Holder: "e2", Incarnation: 7}})
	n.members.Merge([]member.Record{
		{ID: "e1", Zone: "b", PeerAddress: "127.0.0.1:1001", Incarnation: 7, Heartbeat: 1, Weight: 1},
		{ID: "e2", Zone: "a", PeerAddress: "127.0.0.1:1002", Incarnation: 7, Heartbeat: 1, Weight: 1, Leaving: true},
	})
	n.isolation.NoteHeard()
	n.reconcileGroups(n.ctx)
	n.reconcileGroups(n.ctx)
	h, held := n.holder(groupName("a", 0))
	if !held {
		t.Fatal("the group is not taken over")
	}
	if !h.WorkersIncomplete() {
		t.Fatal("the holder takes a list that cannot be read for complete")
	}
	n.onRegistryAvailable()
	n.reconcileGroups(n.ctx)
	if h.WorkersIncomplete() {
		t.Fatal("the holder expects further workers although the list has been read again")
	}
}
