package member_test

import (
	"fmt"

	"github.com/radishgate/radishgate/member"
)

func ExampleTable() {
	table := member.New(member.Options{Self: member.Record{ID: "a", Zone: "z", Incarnation: 1, Weight: 1}})
	// A heartbeat of another entry arrives. The sender's record comes first.
	table.Merge([]member.Record{{ID: "b", Zone: "z", Incarnation: 9, Heartbeat: 1, Weight: 1}})
	for _, r := range table.Live("z") {
		fmt.Println(r.ID)
	}
	// Output:
	// a
	// b
}
