package member

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestUnheardInAOneWayPartition guards against a lease that a holder takes for expired although
// another entry renews it. Heartbeats of the others arrive at e000, but neither its own nor its
// answers get through: the others do not count it as live, so that one of them claims its group.
func TestUnheardInAOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3, 1)
		c.tickUntilAgreed(t, 40, 3)
		cutOff := c.find("e000")
		for range 10 {
			time.Sleep(heartbeatInterval)
			for _, sender := range c.tables {
				sender.CheckTimeouts()
				records, targets := sender.NextHeartbeat()
				for _, target := range targets {
					other := c.find(target.ID)
					arrives, answered := sender != cutOff, sender != cutOff && other != cutOff
					if arrives {
						other.Merge(records)
					}
					if answered {
						sender.Merge(other.ReplyRecords())
					}
					sender.NoteContact(target.ID, answered)
				}
			}
		}
		for _, id := range []string{"e001", "e002"} {
			if slices.ContainsFunc(c.find(id).Live(""), func(r Record) bool { return r.ID == "e000" }) {
				t.Fatalf("%s takes e000 for live", id)
			}
		}
		if !cutOff.Unheard() {
			t.Errorf("e000 takes no member for unheard; live members: %d; it is live for no other", len(cutOff.Live("")))
		}
	})
}
