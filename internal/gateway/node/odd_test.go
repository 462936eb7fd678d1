package node

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/platform"
)

// TestOddAddressIsNoContact guards against an odd record among the addresses that entries store:
// it would be called again and again, as the host, path or port that its text spells, and keep a
// client of its own. The addresses beside it must be contacts, and the log must name it once.
func TestOddAddressIsNoContact(t *testing.T) {
	tests := []struct {
		name    string
		address string
		good    bool
	}{
		{"an entry", "10.0.0.2:7000", true},
		{"IPv6", "[fd00::2]:7000", true},
		{"port 0", "10.0.0.2:0", false},
		{"port out of range", "10.0.0.2:99999", false},
		{"no port", "10.0.0.2", false},
		{"any host", "0.0.0.0:7000", false},
		{"a name", "localhost:7000", false},
		{"a path", "10.0.0.2:7000/drain?", false},
		{"a user", "user@10.0.0.2:7000", false},
		{"a line break", "10.0.0.2:7000\r\nHost: x", false},
		{"JSON", `{"address":"10.0.0.2:7000"}`, false},
		{"nested deeply", strings.Repeat("[", 1<<20), false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var lines strings.Builder
			logger := slog.New(slog.NewTextHandler(&lines, nil))
			n := &Node{settings: &settings.Settings{VM: "own"}, log: logger, contacts: newContacts(logger)}
			newest := func(context.Context) ([]platform.KeyedRecord, int64, error) {
				return []platform.KeyedRecord{
					{Key: "a", Value: []byte("10.0.0.1:7000")},
					{Key: "odd", Value: []byte(c.address)},
					{Key: "", Err: &platform.RecordError{}},
					{Key: "z", Value: []byte("10.0.0.3:7000")},
				}, 4, nil
			}
			for range 3 {
				n.readAddresses(t.Context(), newest)
			}
			want := []string{"10.0.0.1:7000", "10.0.0.3:7000"}
			if c.good {
				want = append(want, c.address)
				slices.Sort(want)
			}
			got := n.contacts.next(nil, true)
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Fatalf("contacts %.200q, want %.200q", got, want)
			}
			if count := strings.Count(lines.String(), "\n"); (count == 1) == c.good || len(lines.String()) > 2000 {
				t.Fatalf("%d lines of %d bytes", count, lines.Len())
			}
		})
	}
}

// TestOddAddressesTakeNoMemory guards against an entry that keeps, or logs, each of many odd
// addresses.
func TestOddAddressesTakeNoMemory(t *testing.T) {
	var lines strings.Builder
	c := newContacts(slog.New(slog.NewTextHandler(&lines, nil)))
	for i := range 10 * maxReportedAddresses {
		c.add(fmt.Sprintf("odd%d", i))
	}
	if count := strings.Count(lines.String(), "\n"); len(c.addresses) > 0 || len(c.reported) > maxReportedAddresses || count != maxReportedAddresses {
		t.Fatalf("%d addresses, %d reported, %d lines", len(c.addresses), len(c.reported), count)
	}
}
