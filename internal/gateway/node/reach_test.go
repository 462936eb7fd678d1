package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
)

// TestNoDetourWhileClientsSendAgain guards against a second run of a task in another group: its
// first entry has been lost, its client sends the job again, and the holder of its group is silent
// while the lease of the first run is still valid.
func TestNoDetourWhileClientsSendAgain(t *testing.T) {
	lost := func(id string) func(n *Node) {
		return func(n *Node) {
			r, _, _ := n.members.Find(id)
			r.Dead = true
			n.members.Merge([]member.Record{{ID: "e1", Zone: "b", Incarnation: 7, Heartbeat: 2, Ready: true}, r})
		}
	}
	tests := []struct {
		name  string
		event func(n *Node)
		want  string
	}{
		{"only the holder is silent", func(*Node) {}, "b/0"},
		{"the holder is dead", lost("e3"), "b/0"},
		{"another entry of the zone has been lost", lost("e6"), ""},
		{"an entry of another zone has been lost", lost("e4"), "b/0"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 9)
			n.claims.Merge([]election.Claim{
				{Group: "a/0", Epoch: 5, Holder: "e3", Incarnation: 7}, {Group: "b/0", Epoch: 5, Holder: "e1", Incarnation: 7},
			})
			n.silence.Begin("e3", time.Now().Add(-time.Second))
			n.freeSlots.merge([]*wire.Vacancy{{Group: "b/0", Epoch: 5, Turn: 1, Tasks: 40}})
			c.event(n)
			if got := n.detour("a/0", 2); got != c.want {
				t.Fatalf("detour %q, want %q", got, c.want)
			}
		})
	}
}
