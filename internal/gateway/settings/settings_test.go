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
[logs]
level = info
`

func TestParse(t *testing.T) {
	s, err := Parse("entry.ini", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.VM != "front-1" || s.Processors != 0.8 || len(s.Seeds) != 2 || len(s.Zones) != 2 || s.Lease != time.Second || s.Groups != 1 || s.AdvertisedAddress != s.Peers {
		t.Fatalf("%+v", s)
	}
	tests := []struct {
		name, old, with, key string
	}{
		{"no address of the store", "store = 127.0.0.1:8169\n", "", "store"},
		{"an address with a name", "127.0.0.1:8169", "store:8169", "store"},
		{"a seed that is no address", "127.0.0.2:8166", "127.0.0.2", "seeds"},
		{"a resend without a unit", "1300ms", "1300", "resend"},
		{"a lease without a unit", "1000ms", "1000", "lease"},
		{"an unknown key", "[logs]", "[logs]\nshape = x", "shape"},
		{"a share above one", "share = 0.4", "share = 4", "share"},
		{"no VM", "vm = front-1\n", "", "vm"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("entry.ini", []byte(strings.Replace(validSettings, c.old, c.with, 1)))
			var place *inifile.Error
			if !errors.As(err, &place) || place.Key != c.key {
				t.Fatalf("error %v, want one that names %s", err, c.key)
			}
		})
	}
}
