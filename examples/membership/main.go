// Command membership shows three members that detect each other by heartbeats, and the
// states that a member sees before and after another one stops.
package main

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/member"
)

const heartbeatInterval = 50 * time.Millisecond

func main() {
	tables := map[string]*member.Table{}
	var list []member.Record
	for i, id := range []string{"a", "b", "c"} {
		r := member.Record{ID: id, Zone: "z", PeerAddress: id, Incarnation: uint64(i + 1), Weight: 1}
		list = append(list, r)
		tables[id] = member.New(member.Options{Self: r, SuspectAfter: 4 * heartbeatInterval, DeadAfter: 6 * heartbeatInterval})
	}
	for _, t := range tables {
		t.SetSeeds(list)
	}
	exchangeHeartbeats(tables, 10, "")
	fmt.Println("a sees", tables["a"].States())
	exchangeHeartbeats(tables, 12, "c")
	fmt.Println("after c has stopped, a sees", tables["a"].States())
}

// exchangeHeartbeats delivers the heartbeats of all members by function calls in place
// of a network. The stopped member neither sends nor answers.
func exchangeHeartbeats(tables map[string]*member.Table, rounds int, stopped string) {
	for range rounds {
		time.Sleep(heartbeatInterval)
		for id, t := range tables {
			if id == stopped {
				continue
			}
			t.CheckTimeouts()
			records, targets := t.NextHeartbeat()
			for _, target := range targets {
				if target.ID == stopped {
					t.NoteContact(target.ID, false)
					continue
				}
				tables[target.ID].Merge(records)
				t.Merge(tables[target.ID].ReplyRecords())
				t.NoteContact(target.ID, true)
			}
		}
	}
}
