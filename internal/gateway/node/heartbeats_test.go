package node

import (
	"fmt"
	"testing"
)

// TestContactsPerHeartbeatAreBounded guards against an entry that starts beside many
// unknown ones and contacts all of them at once, or never reaches some of them.
func TestContactsPerHeartbeatAreBounded(t *testing.T) {
	tests := []struct {
		addresses, rounds int
		many              bool
		limit             int
	}{
		{30, 1, true, 30}, {300, 7, true, maxContacts}, {5, 5, false, 1},
	}
	for _, c := range tests {
		t.Run(fmt.Sprint(c.addresses, " ", c.many), func(t *testing.T) {
			contacts := contacts{addresses: map[string]bool{}}
			for i := range c.addresses {
				contacts.add(fmt.Sprintf("10.0.%d.%d:1", i/256, i%256))
			}
			contacted := map[string]bool{}
			for range c.rounds {
				next := contacts.next(nil, c.many)
				if len(next) > c.limit {
					t.Fatalf("%d contacted at once, want at most %d", len(next), c.limit)
				}
				for _, a := range next {
					contacted[a] = true
				}
			}
			if len(contacted) != c.addresses {
				t.Fatalf("%d contacted in %d rounds, want %d", len(contacted), c.rounds, c.addresses)
			}
		})
	}
}
