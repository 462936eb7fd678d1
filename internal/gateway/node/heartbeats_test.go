package node

import (
	"fmt"
	"testing"
)

// TestContactsPerHeartbeatAreBounded has an entry that starts beside many unknown ones: it greets
// a bounded number at once, and all of them in turn.
func TestContactsPerHeartbeatAreBounded(t *testing.T) {
	tests := []struct {
		addresses, rounds int
		all               bool
		most              int
	}{
		{30, 1, true, 30}, {300, 7, true, maxContacts}, {5, 5, false, 1},
	}
	for _, c := range tests {
		t.Run(fmt.Sprint(c.addresses, " ", c.all), func(t *testing.T) {
			contacts := contacts{addresses: map[string]bool{}}
			for i := range c.addresses {
				contacts.add(fmt.Sprintf("10.0.0.%d:1", i))
			}
			greeted := map[string]bool{}
			for range c.rounds {
				next := contacts.next(nil, c.all)
				if len(next) > c.most {
					t.Fatalf("%d greeted at once, want %d at most", len(next), c.most)
				}
				for _, a := range next {
					greeted[a] = true
				}
			}
			if len(greeted) != c.addresses {
				t.Fatalf("%d greeted in %d rounds, want %d", len(greeted), c.rounds, c.addresses)
			}
		})
	}
}
