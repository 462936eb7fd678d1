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

// newLargeNode makes an entry, not running, that knows of many others in three zones,
// each of whose groups has a holder.
func newLargeNode(t testing.TB, entries int) *Node {
	store := httptest.NewServer(ledger.New())
	t.Cleanup(store.Close)
	n := newNode(t, io.Discard, listen(t), settings.Settings{
		VM: "e0", Zones: []string{"a", "b", "c"}, Processors: 1, Store: strings.TrimPrefix(store.URL, "http://"),
	})
	t.Cleanup(n.Abort)
	n.startedAt = n.startedAt.Add(-time.Minute)
	mergeHeartbeats(n, entries, 1)
	return n
}

// mergeHeartbeats has a node hear of all others by their own heartbeats.
func mergeHeartbeats(n *Node, entries int, heartbeat uint64) {
	for i := 1; i < entries; i++ {
		zone := n.settings.Zones[i%len(n.settings.Zones)]
		n.members.Merge([]member.Record{{ID: fmt.Sprintf("e%d", i), Zone: zone, Peer: fmt.Sprintf("127.0.0.1:%d", 1000+i), Incarnation: 7, Beat: heartbeat, Weight: 1, Ready: true}})
	}
}

// TestGroupIsClaimedAfterOneHeartbeat settles holders at an entry that has just started
// and knows the workers, as after the loss of all entries: what it waits is a pause in
// service.
func TestGroupIsClaimedAfterOneHeartbeat(t *testing.T) {
	tests := []struct {
		name  string
		since time.Duration
		taken bool
	}{{"it starts", -time.Hour, false}, {"one heartbeat after", fleetHeartbeat + fleetHeartbeat/3, true}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			n.startedAt = time.Now().Add(-c.since)
			n.reconcileGroups(n.ctx)
			n.registryState.setLoaded()
			n.reconcileGroups(n.ctx)
			if _, taken := n.holder(groupName("a", 0)); taken != c.taken {
				t.Fatalf("group taken: %v, want %v", taken, c.taken)
			}
		})
	}
}

// TestCandidatesAreCachedWhileMembersAreUnchanged settles holders again and again among many entries of
// which nothing new is heard, then of one that has gone.
func TestCandidatesAreCachedWhileMembersAreUnchanged(t *testing.T) {
	n := newLargeNode(t, 300)
	first := n.candidates()
	mergeHeartbeats(n, 300, 2)
	if again := n.candidates(); len(first) != 300 || &first[0] != &again[0] {
		t.Fatalf("%d entries listed anew after heartbeats that bring no change", len(again))
	}
	n.members.Merge([]member.Record{{ID: "e5", Zone: "c", Incarnation: 7, Beat: 3, Weight: 1, Leaving: true}})
	if later := n.candidates(); len(later) != 299 {
		t.Fatalf("%d entries after one has left, want 299", len(later))
	}
}

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

func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{30, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n := newLargeNode(b, entries)
			for b.Loop() {
				n.members.Sweep()
				n.refreshVacancies()
				records, targets := n.members.Beat()
				n.addOtherHolders(targets)
				n.newHeartbeat(records)
			}
		})
	}
}
