package node

import (
	"fmt"
	"log/slog"
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

// TestRefusingContactsAreNotAwaited guards against an entry that waits for others, before it claims
// a group, although nothing listens at any of their addresses.
func TestRefusingContactsAreNotAwaited(t *testing.T) {
	const own, first, second = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
	tests := []struct {
		name      string
		addresses []string
		attempt   func(c *contacts)
		want      bool
	}{
		{"no others are configured", []string{own}, func(*contacts) {}, false},
		{"none has been tried", []string{own, first}, func(*contacts) {}, true},
		{"one of two refuses", []string{own, first, second}, func(c *contacts) { c.noteAttempt(first, true) }, true},
		{"both refuse", []string{own, first, second}, func(c *contacts) { c.noteAttempt(first, true); c.noteAttempt(second, true) }, false},
		{"one refused before and is silent now", []string{own, first}, func(c *contacts) { c.noteAttempt(first, true); c.noteAttempt(first, false) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newContacts(slog.New(slog.DiscardHandler))
			c.add(test.addresses...)
			test.attempt(&c)
			if got := c.mayRun(own); got != test.want {
				t.Fatalf("others may be running: %v, want %v", got, test.want)
			}
		})
	}
}
