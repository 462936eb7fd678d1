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

// largeNode makes an entry, not running, that knows of many others in three zones,
// each of whose groups has a holder.
func largeNode(t testing.TB, entries int) *Node {
	store := httptest.NewServer(ledger.New())
	t.Cleanup(store.Close)
	n := newNode(t, io.Discard, listen(t), settings.Settings{
		VM: "e0", Zones: []string{"a", "b", "c"}, Processors: 1, Store: strings.TrimPrefix(store.URL, "http://"),
	})
	t.Cleanup(n.Abort)
	n.began = n.began.Add(-time.Minute)
	hearAll(n, entries, 1)
	return n
}

// hearAll has a node hear of all others by their own heartbeats.
func hearAll(n *Node, entries int, beat uint64) {
	for i := 1; i < entries; i++ {
		zone := n.settings.Zones[i%len(n.settings.Zones)]
		n.members.Merge([]member.Record{{ID: fmt.Sprintf("e%d", i), Zone: zone, Peer: fmt.Sprintf("127.0.0.1:%d", 1000+i), Incarnation: 7, Beat: beat, Weight: 1, Ready: true}})
	}
}

// TestGroupIsTakenAfterOneHeartbeat settles holders at an entry that has just started
// and knows the workers, as after the loss of all entries: what it waits is a pause in
// service.
func TestGroupIsTakenAfterOneHeartbeat(t *testing.T) {
	tests := []struct {
		name  string
		since time.Duration
		taken bool
	}{{"it starts", -time.Hour, false}, {"one heartbeat after", fleetBeat + fleetBeat/3, true}}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := largeNode(t, 1)
			n.began = time.Now().Add(-c.since)
			n.govern(n.ctx)
			n.prepared.know()
			n.govern(n.ctx)
			if _, taken := n.holder(groupName("a", 0)); taken != c.taken {
				t.Fatalf("group taken: %v, want %v", taken, c.taken)
			}
		})
	}
}

// TestCandidatesAreListedOnce settles holders again and again among many entries of
// which nothing new is heard, then of one that has gone.
func TestCandidatesAreListedOnce(t *testing.T) {
	n := largeNode(t, 300)
	first := n.candidates()
	hearAll(n, 300, 2)
	if again := n.candidates(); len(first) != 300 || &first[0] != &again[0] {
		t.Fatalf("%d entries listed anew after heartbeats that bring no change", len(again))
	}
	n.members.Merge([]member.Record{{ID: "e5", Zone: "c", Incarnation: 7, Beat: 3, Weight: 1, Leaving: true}})
	if later := n.candidates(); len(later) != 299 {
		t.Fatalf("%d entries after one has left, want 299", len(later))
	}
}

func BenchmarkGovern(b *testing.B) {
	for _, entries := range []int{30, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n := largeNode(b, entries)
			for b.Loop() {
				n.govern(n.ctx)
			}
		})
	}
}

func BenchmarkBeat(b *testing.B) {
	for _, entries := range []int{30, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			n := largeNode(b, entries)
			for b.Loop() {
				n.members.Sweep()
				n.countVacancies()
				records, targets := n.members.Beat()
				n.addHolders(targets)
				n.compose(records)
			}
		})
	}
}
