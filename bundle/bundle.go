// Package bundle parses and signs the operators' configuration of services,
// upstreams, tenants and rules, which they publish as numbered versions.
package bundle

import (
	"maps"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
)

// Upper limits of the values in a bundle.
const (
	maxSlots       = 4096
	maxConnections = 65536
	maxWeight      = 1000
	maxBytes       = 1 << 30
	maxTasks       = 100_000
	maxDuration    = time.Hour
	maxPartitions  = 4096
)

// Service is one kind of work that callers can ask for. RuntimeHint is the
// declared run time of a task, used only until run times have been measured.
type Service struct {
	Name           string
	Path           string        // HTTP path at the upstreams
	Class          string        // name of its Class, which need not be listed
	Repeatable     bool          // its tasks may run more than once, so requests may be retried and hedged
	Timeout        time.Duration // longest time from arrival to answer; a caller may set a shorter one
	RuntimeHint    time.Duration
	MaxBodyBytes   int64    // of one task
	MaxAnswerBytes int64    // of one task
	RequiredLabels []string // labels that an upstream must have to run it
}

// Upstream is one back end in an availability zone, with a fixed number of slots.
type Upstream struct {
	Name           string
	Zone           string
	Address        string // IP address and port
	Slots          int    // tasks that it runs at once
	MaxConnections int
	Labels         []string
	Leaving        bool // it is being removed and gets no new tasks
	HasLease       bool // it runs under a lease of the platform; no task starts that could outlast the lease
}

// Tenant is a customer or team. Weight sets its share of the slots when several
// tenants compete.
type Tenant struct {
	Name   string
	Weight float64
	Quota  float64 // task starts per second, 0 for unlimited
}

// Class divides a tenant's share among its kinds of work, by weight.
type Class struct {
	Name   string
	Weight float64
}

// Rules are the settings that apply to the whole fleet.
type Rules struct {
	Placement       string  // placement policy: home, static, random, robin, least or two
	Partitions      int     // number of partitions of the keys that callers choose
	RetryRatio      float64 // largest share of requests that may be retried
	HedgeRatio      float64 // largest share of requests that may be hedged
	MaxEjectedRatio float64 // largest share of a zone's upstreams that may be ejected as outliers
	MaxJobTasks     int     // largest number of tasks in a job
	MaxQueuedTasks  int     // longest queue of an entry
	Spillover       bool    // tasks may go to other availability zones
}

// Bundle is one version of the configuration. It is immutable.
type Bundle struct {
	Version   int64
	Rules     Rules
	Services  map[string]*Service
	Upstreams map[string]*Upstream
	Tenants   map[string]*Tenant
	Classes   map[string]*Class

	text func() string
}

// Text returns the complete INI text. For a bundle from ApplyChange the text is
// built on the first call.
func (b *Bundle) Text() string { return b.text() }

// Parse reads and validates the INI text of a bundle. The version comes from the
// signed record, since the text does not contain it; name is used in errors,
// which are of type *inifile.Error.
func Parse(name string, version int64, text string) (*Bundle, error) {
	file, err := inifile.Parse(name, []byte(text))
	if err != nil {
		return nil, err
	}
	b := &Bundle{
		Version: version, text: func() string { return text },
		Services: map[string]*Service{}, Upstreams: map[string]*Upstream{},
		Tenants: map[string]*Tenant{}, Classes: map[string]*Class{},
	}
	b.Rules = readRules(file)
	for _, section := range file.Sections() {
		b.readSection(file, section)
	}
	b.validate(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// ApplyChange returns the next version of the bundle, with the sections of a
// change applied. The result equals parsing the text that Apply returns, but only
// the changed sections are parsed: a bundle may have thousands.
func (b *Bundle) ApplyChange(name string, version int64, change string) (*Bundle, error) {
	file, err := inifile.Parse(name, []byte(change))
	if err != nil {
		return nil, err
	}
	next := &Bundle{
		Version: version, Rules: b.Rules, Services: maps.Clone(b.Services), Upstreams: maps.Clone(b.Upstreams),
		Tenants: maps.Clone(b.Tenants), Classes: maps.Clone(b.Classes),
	}
	next.text = sync.OnceValue(func() string {
		whole, _ := Apply(b.Text(), change) // no error: change parsed above
		return whole
	})
	for _, section := range file.Sections() {
		next.applySection(file, section)
	}
	next.validate(file)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

func (b *Bundle) applySection(file *inifile.File, section string) {
	deletion := file.HasOnly(section, dropKey, "true")
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	switch {
	case kind == "rules" && name == "":
		b.Rules = defaultRules()
		if !deletion {
			b.Rules = readRules(file)
		}
		file.MarkKnown(section)
	case !deletion:
		b.readSection(file, section)
	case kind == "service":
		delete(b.Services, name)
	case kind == "upstream":
		delete(b.Upstreams, name)
	case kind == "tenant":
		delete(b.Tenants, name)
	case kind == "class":
		delete(b.Classes, name)
	default:
		b.readSection(file, section) // records the unknown kind as an error
	}
}

// defaultRules returns the rules of a bundle without a [rules] section.
func defaultRules() Rules {
	empty, _ := inifile.Parse("rules", nil)
	return readRules(empty)
}

func readRules(file *inifile.File) Rules {
	const section = "rules"
	r := Rules{
		Placement:       file.String(section, "placement", "home"),
		Partitions:      int(file.Int(section, "partitions", 8, 1, maxPartitions)),
		RetryRatio:      file.Float(section, "retry", 0.1, 0, 1),
		HedgeRatio:      file.Float(section, "hedge", 0.05, 0, 1),
		MaxEjectedRatio: file.Float(section, "eject", 0.3, 0, 0.9),
		MaxJobTasks:     int(file.Int(section, "tasks", 1000, 1, maxTasks)),
		MaxQueuedTasks:  int(file.Int(section, "queue", 20_000, 1, 10_000_000)),
		Spillover:       file.Bool(section, "spill", true),
	}
	switch r.Placement {
	case "home", "static", "random", "robin", "least", "two":
	default:
		file.Fail(section, "placement", "is none of home, static, random, robin, least, two")
	}
	return r
}

func (b *Bundle) readSection(file *inifile.File, section string) {
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	if kind == "rules" && name == "" {
		file.MarkKnown(section)
		return
	}
	if name == "" {
		file.Fail(section, "", "section needs a kind and a name, such as [service recall]")
		return
	}
	switch kind {
	case "service":
		b.Services[name] = readService(file, section, name)
	case "upstream":
		b.Upstreams[name] = readUpstream(file, section, name)
	case "tenant":
		file.MarkKnown(section)
		b.Tenants[name] = &Tenant{
			Name: name, Weight: file.Float(section, "weight", 1, 0.01, maxWeight),
			Quota: file.Float(section, "quota", 0, 0, 1e9),
		}
	case "class":
		file.MarkKnown(section)
		b.Classes[name] = &Class{Name: name, Weight: file.Float(section, "weight", 1, 0.01, maxWeight)}
	default:
		file.Fail(section, "", "is none of rules, service, upstream, tenant, class")
	}
}

func readService(file *inifile.File, section, name string) *Service {
	s := &Service{
		Name:           name,
		Path:           file.RequiredString(section, "path"),
		Class:          file.String(section, "class", "default"),
		Repeatable:     file.Bool(section, "repeatable", false),
		Timeout:        file.Duration(section, "limit", 10*time.Second, time.Millisecond, maxDuration),
		RuntimeHint:    file.Duration(section, "hint", 100*time.Millisecond, time.Millisecond, maxDuration),
		MaxBodyBytes:   file.Int(section, "body", 1<<20, 1, maxBytes),
		MaxAnswerBytes: file.Int(section, "answer", 4<<20, 1, maxBytes),
		RequiredLabels: file.List(section, "needs"),
	}
	if !strings.HasPrefix(s.Path, "/") {
		file.Fail(section, "path", "does not begin with /")
	}
	return s
}

func readUpstream(file *inifile.File, section, name string) *Upstream {
	u := &Upstream{
		Name:           name,
		Zone:           file.RequiredString(section, "zone"),
		Address:        file.RequiredString(section, "address"),
		Slots:          int(file.Int(section, "slots", 8, 1, maxSlots)),
		MaxConnections: int(file.Int(section, "connections", 60, 1, maxConnections)),
		Labels:         file.List(section, "labels"),
		Leaving:        file.Bool(section, "leaving", false),
		HasLease:       file.Bool(section, "lease", false),
	}
	if host, _, err := net.SplitHostPort(u.Address); err != nil || net.ParseIP(host) == nil {
		file.Fail(section, "address", "is not an IP number with a port")
	}
	if u.MaxConnections < u.Slots {
		file.Fail(section, "connections", "is less than slots")
	}
	return u
}

// validate checks what spans several sections: unique upstream addresses and at
// least one service and tenant.
func (b *Bundle) validate(file *inifile.File) {
	addresses := make(map[string]string, len(b.Upstreams))
	for _, name := range sortedKeys(b.Upstreams) {
		u := b.Upstreams[name]
		if other, seen := addresses[u.Address]; seen && u.Address != "" {
			file.Fail("upstream "+name, "address", "is also the address of upstream "+other)
		}
		addresses[u.Address] = name
	}
	if len(b.Services) == 0 {
		file.Fail("service", "", "a bundle needs at least one service")
	}
	if len(b.Tenants) == 0 {
		file.Fail("tenant", "", "a bundle needs at least one tenant")
	}
}

func sortedKeys[V any](table map[string]V) []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Zones returns the availability zones that have upstreams, sorted by name.
func (b *Bundle) Zones() []string {
	zones := map[string]bool{}
	for _, u := range b.Upstreams {
		zones[u.Zone] = true
	}
	return sortedKeys(zones)
}

// ClassWeight returns the weight of a class, which is 1 if the bundle does not
// list the class.
func (b *Bundle) ClassWeight(class string) float64 {
	if c, ok := b.Classes[class]; ok {
		return c.Weight
	}
	return 1
}

// CanServe reports whether the upstream has every label that the service requires.
func (u *Upstream) CanServe(s *Service) bool {
	for _, label := range s.RequiredLabels {
		if !contains(u.Labels, label) {
			return false
		}
	}
	return true
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

// HasUpstreamFor reports whether any upstream, in any zone, can serve the service.
func (b *Bundle) HasUpstreamFor(s *Service) bool {
	for _, u := range b.Upstreams {
		if u.CanServe(s) {
			return true
		}
	}
	return false
}
