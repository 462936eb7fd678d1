// Package settings reads the settings of an entry of the gateway from an INI file.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/work/cancels"
	"github.com/radishgate/radishgate/settings"
)

// Settings holds the settings of one entry. Durations are converted to deadlines
// where they are used.
type Settings struct {
	VM                string // ID of the VM, and of the entry
	Zone              string
	Zones             []string // all availability zones of the platform
	Cores             float64
	Share             float64  // of the cores, that is available to the process
	Processors        float64  // Cores times Share
	Memory            int64    // MB
	Listen            string   // address for clients
	Ready             string   // address for the platform's readiness check
	Peers             string   // address for other entries
	AdvertisedAddress string   // at which other entries reach Peers, such as behind address translation
	Metrics           string   // address for metrics; empty for none
	Seeds             []string // peer addresses of entries to contact first

	Store            string        // address of the platform's store
	Lease            time.Duration // maximum lease of a run on a worker
	Grace            time.Duration // from SIGTERM until the process is killed
	ClientRetryAfter time.Duration // time after which a client without an answer resends its job
	EvacuationBound  time.Duration // within which an evacuation must be in force

	Groups            int // number of worker groups in each zone; one entry schedules the tasks of a group
	HeartbeatInterval time.Duration
	LogLevel          slog.Level

	CancelKeep  time.Duration // how long a cancel is kept at least
	CancelLimit int           // cancels kept at once

	Descriptors int // that the process may open
	Ingress     ingress.Limits
	Lookahead   bool // look-ahead placement
	Priorities  bool // waiting jobs are ordered by the priority of their queue
}

// Load reads and validates a settings file. Errors are *settings.Error or *inifile.Error.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &settings.Error{File: name, Cause: err}
	}
	return Parse(name, data)
}

// Parse reads and validates settings. Errors refer to the file by name.
func Parse(name string, data []byte) (*Settings, error) { return parse(name, data, nil) }

// ParseChanged reads and validates settings that take effect while the process runs with others. The defaults of the
// section [ingress] are those of the memory and the descriptors in force, which only a restart changes.
func ParseChanged(name string, data []byte, inForce *Settings) (*Settings, error) {
	return parse(name, data, inForce)
}

func parse(name string, data []byte, inForce *Settings) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{
		VM: f.RequiredString("entry", "vm"), Zone: f.RequiredString("entry", "zone"), Zones: f.List("entry", "zones"),
		Cores: f.Float("entry", "cores", 1, 0.01, 4096), Share: f.Float("entry", "share", 1, 0.001, 1),
		Memory: f.Int("entry", "memory", 256, 32, 1<<20),
		Listen: f.RequiredString("entry", "listen"), Ready: f.RequiredString("entry", "ready"), Peers: f.RequiredString("entry", "peers"),
		Metrics: f.String("entry", "metrics", ""), Seeds: f.List("entry", "seeds"),
		Store:             f.RequiredString("platform", "store"),
		Lease:             f.Duration("platform", "lease", time.Second, 100*time.Millisecond, time.Minute),
		Grace:             f.Duration("platform", "grace", 6*time.Second, 500*time.Millisecond, time.Hour),
		ClientRetryAfter:  f.Duration("platform", "resend", 1300*time.Millisecond, 500*time.Millisecond, time.Minute),
		EvacuationBound:   f.Duration("platform", "evacuate", 5*time.Second, 100*time.Millisecond, time.Minute),
		Groups:            int(f.Int("workers", "groups", 1, 1, 64)),
		HeartbeatInterval: f.Duration("entry", "beat", 150*time.Millisecond, 10*time.Millisecond, 10*time.Second),
		CancelKeep:        f.Duration("cancels", "keep", cancels.DefaultKeep, 5*time.Second, 10*time.Minute),
		CancelLimit:       int(f.Int("cancels", "most", cancels.DefaultMost, 100, 1_000_000)),
	}
	s.Processors = s.Cores * s.Share
	if err := s.LogLevel.UnmarshalText([]byte(f.String("logs", "level", "info"))); err != nil {
		f.Fail("logs", "level", err.Error())
	}
	s.Descriptors = int(f.Int("entry", "descriptors", int64(ingress.DescriptorLimit()), 64, 1<<30))
	machine := s
	if inForce != nil {
		machine = inForce
	}
	s.Ingress = ingress.ReadLimits(f, machine.Memory<<20, machine.Descriptors)
	s.Lookahead, s.Priorities = parseSwitch(f, "placement", "lookahead"), parseSwitch(f, "placement", "priorities")
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

// parseSwitch returns whether a key is on; off is the default.
func parseSwitch(f *inifile.File, section, key string) bool {
	text := f.String(section, key, "off")
	if text != "on" && text != "off" {
		f.Fail(section, key, fmt.Sprintf("%q is neither on nor off", text))
	}
	return text == "on"
}

// checkAddress records an error for a value that is neither empty nor an IP address
// with a port.
func checkAddress(f *inifile.File, section, key, text string) {
	if text == "" {
		return
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.Fail(section, key, fmt.Sprintf("%q is not an IP number with a port", text))
	}
}
