// Package settings reads the settings of an entry that serves the platform's jobs from an INI file.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
	"github.com/radishgate/radishgate/settings"
)

// Settings of one entry. Spans are turned into deadlines where they are used.
type Settings struct {
	VM                string
	Zone              string
	Zones             []string // all availability zones
	Processors        float64  // cores times the share of them that the process may use
	Memory            int64    // MB
	Listen            string   // clients
	Ready             string   // the platform's check
	Peers             string   // other entries
	AdvertisedAddress string   // where other entries reach it, as through a translation of addresses
	Metrics           string   // empty for none
	Seeds             []string // peers' addresses of some entries

	Store  string
	Lease  time.Duration // of what runs on a worker, at most
	Grace  time.Duration // from SIGTERM until the process is killed
	Resend time.Duration // after which a client that has no answer sends its job again

	Groups            int // of workers in each zone, each placed by one entry
	HeartbeatInterval time.Duration
	LogLevel          string
}

// Load reads and checks a file. Errors are *settings.Error or *inifile.Error.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &settings.Error{File: name, Cause: err}
	}
	return Parse(name, data)
}

// Parse reads and checks settings; name is used in errors.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{
		VM: f.Must("entry", "vm"), Zone: f.Must("entry", "zone"), Zones: f.List("entry", "zones"),
		Processors: f.Float("entry", "cores", 1, 0.01, 4096) * f.Float("entry", "share", 1, 0.001, 1),
		Memory:     f.Int("entry", "memory", 256, 32, 1<<20),
		Listen:     f.Must("entry", "listen"), Ready: f.Must("entry", "ready"), Peers: f.Must("entry", "peers"),
		Metrics: f.String("entry", "metrics", ""), Seeds: f.List("entry", "seeds"),
		Store:             f.Must("platform", "store"),
		Lease:             f.Span("platform", "lease", time.Second, 100*time.Millisecond, time.Minute),
		Grace:             f.Span("platform", "grace", 6*time.Second, 500*time.Millisecond, time.Hour),
		Resend:            f.Span("platform", "resend", 1300*time.Millisecond, 100*time.Millisecond, time.Minute),
		Groups:            int(f.Int("workers", "groups", 1, 1, 64)),
		HeartbeatInterval: f.Span("entry", "beat", 150*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		LogLevel:          f.String("logs", "level", "info"),
	}
	s.AdvertisedAddress = f.String("entry", "reach", s.Peers)
	for key, text := range map[string]string{"listen": s.Listen, "ready": s.Ready, "peers": s.Peers, "metrics": s.Metrics, "reach": s.AdvertisedAddress} {
		checkAddress(f, "entry", key, text)
	}
	for _, seed := range s.Seeds {
		checkAddress(f, "entry", "seeds", seed)
	}
	checkAddress(f, "platform", "store", s.Store)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func checkAddress(f *inifile.File, section, key, text string) {
	if text == "" {
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.Fail(section, key, fmt.Sprintf("%q is not an IP number with a port", text))
	}
}
