package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
)

const validSettings = `[entry]
vm = front-1
zone = a
zones = a,b
cores = 2
share = 0.4
memory = 284
listen = 127.0.0.1:8161
ready = 127.0.0.1:8167
peers = 127.0.0.1:8166
metrics = 127.0.0.1:7720
seeds = 127.0.0.1:8166,127.0.0.2:8166
[platform]
store = 127.0.0.1:8169
lease = 1000ms
grace = 6s
resend = 1300ms
[placement]
lookahead = on
priorities = on
[logs]
level = info
`

// TestParse checks that valid settings are read, and that the error for an invalid
// one names its key.
func TestParse(t *testing.T) {
	s, err := Parse("entry.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.VM != "front-1" || s.Processors != 0.8 || len(s.Seeds) != 2 || len(s.Zones) != 2 || s.Lease != time.Second || s.Groups != 1 || s.AdvertisedAddress != s.Peers || !s.Lookahead || !s.Priorities {
		t.Fatalf("%+v", s)
	}
	tests := []struct {
		name, old, with, key string
	}{
		{"missing store address", "store = 127.0.0.1:8169\n", "", "store"},
		{"host name instead of an IP address", "127.0.0.1:8169", "store:8169", "store"},
		{"seed without a port", "127.0.0.2:8166", "127.0.0.2", "seeds"},
		{"resend without a unit", "1300ms", "1300", "resend"},
		{"lease without a unit", "1000ms", "1000", "lease"},
		{"unknown key", "[logs]", "[logs]\nshape = x", "shape"},
		{"share above one", "share = 0.4", "share = 4", "share"},
		{"look-ahead neither on nor off", "lookahead = on", "lookahead = true", "lookahead"},
		{"priorities neither on nor off", "priorities = on", "priorities = yes", "priorities"},
		{"missing VM", "vm = front-1\n", "", "vm"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("entry.ini", []byte(strings.Replace(validSettings, c.old, c.with, 1)))
			var parseErr *inifile.Error
			if !errors.As(err, &parseErr) || parseErr.Key != c.key {
				t.Fatalf("error %v, want an error for key %s", err, c.key)
			}
		})
	}
}
