package node

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/standin/ledger"
)

// newLargeNode returns an entry, not running, that knows of many others in three zones.
func newLargeNode(t testing.TB, entries int) *Node {
	store := httptest.NewServer(ledger.New())
	t.Cleanup(store.Close)
	n := newNode(t, io.Discard, listen(t), settings.Settings{
		VM: "e0", Zones: []string{"a", "b", "c"}, Processors: 1, Store: strings.TrimPrefix(store.URL, "http://"),
	})
	t.Cleanup(n.Abort)
	n.startedAt = n.startedAt.Add(-time.Minute)
	n.rosters.set(nil) // as read from a store without rosters
	mergeHeartbeats(n, entries, 1)
	return n
}

// mergeHeartbeats adds the records of all other entries, at the given heartbeat number,
// to the members of a node.
func mergeHeartbeats(n *Node, entries int, heartbeat uint64) {
	for i := 1; i < entries; i++ {
		zone := n.settings.Zones[i%len(n.settings.Zones)]
		n.members.Merge([]member.Record{{ID: fmt.Sprintf("e%d", i), Zone: zone, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1000+i), Incarnation: 7, Heartbeat: heartbeat, Weight: 1, Ready: true}})
	}
}

// TestGroupIsClaimedAfterOneHeartbeat guards against a long delay before an entry that has
// just started claims a group: after the loss of all entries, the delay is an outage.
func TestGroupIsClaimedAfterOneHeartbeat(t *testing.T) {
	tests := []struct {
		name    string
		since   time.Duration
		claimed bool
	}{{"at the start", -time.Hour, false}, {"one heartbeat later", fleetHeartbeat + fleetHeartbeat/3, true}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			n.startedAt = time.Now().Add(-c.since)
			n.reconcileGroups(n.ctx)
			n.registryState.setLoaded()
			n.reconcileGroups(n.ctx)
			if _, claimed := n.holder(groupName("a", 0)); claimed != c.claimed {
				t.Fatalf("group claimed: %v, want %v", claimed, c.claimed)
			}
		})
	}
}

// TestCandidatesAreCachedWhileMembersAreUnchanged guards against listing the candidates on
// every heartbeat among many entries, and against a stale list after one has left.
func TestCandidatesAreCachedWhileMembersAreUnchanged(t *testing.T) {
	n := newLargeNode(t, 300)
	first := n.candidates()
	mergeHeartbeats(n, 300, 2)
	if again := n.candidates(); len(first) != 300 || &first[0] != &again[0] {
		t.Fatalf("%d entries listed again after heartbeats that changed nothing", len(again))
	}
	n.members.Merge([]member.Record{{ID: "e5", Zone: "c", Incarnation: 7, Heartbeat: 3, Weight: 1, Leaving: true}})
	if later := n.candidates(); len(later) != 299 {
		t.Fatalf("%d entries after one has left, want 299", len(later))
	}
}

// BenchmarkReconcileGroups measures reconciling among many entries when nothing has changed.
func BenchmarkReconcileGroups(b *testing.B) {
	for _, entries := range []int{30, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n := newLargeNode(b, entries)
			for b.Loop() {
				n.reconcileGroups(n.ctx)
			}
		})
	}
}

// BenchmarkHeartbeat measures composing one heartbeat among many entries, without sending it.
func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{30, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n := newLargeNode(b, entries)
			for b.Loop() {
				n.members.CheckTimeouts()
				n.refreshFreeSlots()
				records, targets := n.members.NextHeartbeat()
				n.addOtherHolders(targets)
				n.newHeartbeat(records)
			}
		})
	}
}
