// Command membership shows three members that find each other by heartbeats,
// and what the others see when one of them stops.
package main

import (
	"fmt"
	"time"

	"github.com/radishgate/radishgate/member"
)

const beat = 50 * time.Millisecond

func main() {
	tables := map[string]*member.Table{}
	var list []member.Record
	for i, id := range []string{"a", "b", "c"} {
		r := member.Record{ID: id, Zone: "z", PeerAddress: id, Incarnation: uint64(i + 1), Weight: 1}
		list = append(list, r)
		tables[id] = member.New(member.Options{Self: r, SuspectAfter: 4 * beat, DeadAfter: 6 * beat})
	}
	for _, t := range tables {
		t.SetSeeds(list)
	}
	run(tables, 10, "")
	fmt.Println("a sees", tables["a"].States())
	run(tables, 12, "c")
	fmt.Println("after c has stopped, a sees", tables["a"].States())
}

// run exchanges heartbeats in place of a network; stopped answers nothing.
func run(tables map[string]*member.Table, beats int, stopped string) {
	for range beats {
		time.Sleep(beat)
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
