package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/mutate"
)

const validSettings = `[entry]
vm = front-1
zone = a
zones = a,b
cores = 2
share = 0.4
memory = 284
descriptors = 3075
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
[ingress]
connections = 500
stall = 2s
`

// TestParse checks that valid settings are read, and that the error for an invalid
// one names its key.
func TestParse(t *testing.T) {
	s, err := Parse("entry.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.VM != "front-1" || s.Processors != 0.8 || len(s.Seeds) != 2 || len(s.Zones) != 2 || s.Lease != time.Second || s.EvacuationBound != 5*time.Second || s.Groups != 1 || s.AdvertisedAddress != s.Peers || !s.Lookahead || !s.Priorities {
		t.Fatalf("%+v", s)
	}
	want := ingress.DefaultLimits(284<<20, 3075)
	want.Connections, want.Address, want.Stall = 500, 250, 2*time.Second
	if s.Ingress != want {
		t.Fatalf("limits %+v, want %+v", s.Ingress, want)
	}
	tests := []struct {
		name, old, with, key string
	}{
		{"missing store address", "store = 127.0.0.1:8169\n", "", "store"},
		{"host name instead of an IP address", "127.0.0.1:8169", "store:8169", "store"},
		{"seed without a port", "127.0.0.2:8166", "127.0.0.2", "seeds"},
		{"resend without a unit", "1300ms", "1300", "resend"},
		{"evacuation bound too short", "resend = 1300ms", "evacuate = 99ms", "evacuate"},
		{"evacuation bound too long", "resend = 1300ms", "evacuate = 61s", "evacuate"},
		{"lease without a unit", "1000ms", "1000", "lease"},
		{"cancels kept too briefly", "[logs]", "[cancels]\nkeep = 4s\n[logs]", "keep"},
		{"room for too few cancels", "[logs]", "[cancels]\nmost = 1\n[logs]", "most"},
		{"unknown level", "level = info", "level = loud", "level"},
		{"unknown key", "[logs]", "[logs]\nshape = x", "shape"},
		{"share above one", "share = 0.4", "share = 4", "share"},
		{"fewer descriptors than listeners need", "descriptors = 3075", "descriptors = 3", "descriptors"},
		{"stall without a unit", "stall = 2s", "stall = 2", "stall"},
		{"rate of nothing", "stall = 2s", "rate = 0", "rate"},
		{"unknown limit", "stall = 2s", "patience = 2s", "patience"},
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

// FuzzParse guards against settings that crash the parser, or that leave clients without a limit.
func FuzzParse(f *testing.F) {
	for _, text := range mutate.Variants(validSettings, 500) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("fuzz", []byte(text))
		if err != nil {
			return
		}
		if l := s.Ingress; l.Memory <= 0 || l.Jobs <= 0 || l.Held <= 0 || l.Entries < 16 || l.Connections < 16 || l.Address < 1 || l.Stall <= 0 || l.Rate < 1 {
			t.Errorf("limits %+v of %q", l, text)
		}
	})
}
