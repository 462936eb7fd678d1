// Package bundle holds the operators' versioned description of services, upstreams, tenants and rules.
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

// Bounds of a bundle's values.
const (
	maxSlots       = 4096
	maxConnections = 65536
	maxWeight      = 1000
	maxBytes       = 1 << 30
	maxTasks       = 100_000
	maxDuration    = time.Hour
	maxPartitions  = 4096
)

// Service is one kind of work. Hint is the declared run time, which is only a
// start value: measured times replace it.
type Service struct {
	Name           string
	Path           string
	Class          string
	Repeatable     bool
	Timeout        time.Duration // longest time from arrival to answer
	RuntimeHint    time.Duration
	MaxBodyBytes   int64 // bytes
	MaxAnswerBytes int64 // bytes
	RequiredLabels []string
}

// Upstream is one back end with its slots, in one availability zone.
type Upstream struct {
	Name           string
	Zone           string
	Address        string
	Slots          int
	MaxConnections int
	Labels         []string
	Leaving        bool
	HasLease       bool // the platform grants its lease; no start that could outlive it
}

// Tenant is a customer or team with its weight and quota (task starts a second, 0 for none).
type Tenant struct {
	Name   string
	Weight float64
	Quota  float64
}

// Class orders work within a tenant.
type Class struct {
	Name   string
	Weight float64
}

// Rules are settings of the whole fleet.
type Rules struct {
	Placement       string  // home, static, random, robin, least or two
	Partitions      int     // of chosen keys
	RetryRatio      float64 // share of requests that may be repeated
	HedgeRatio      float64 // share of requests that may be hedged
	MaxEjectedRatio float64 // largest share of a zone's upstreams put aside as outliers
	MaxJobTasks     int     // largest job
	MaxQueuedTasks  int     // longest queue of an entry, in tasks
	Spillover       bool    // work may go to other availability zones
}

// Bundle is one version of the description. It is never changed after Parse.
type Bundle struct {
	Version   int64
	Rules     Rules
	Services  map[string]*Service
	Upstreams map[string]*Upstream
	Tenants   map[string]*Tenant
	Classes   map[string]*Class

	text func() string
}

// Text is the whole INI text. For a bundle made by Change it is put together
// when it is first asked for.
func (b *Bundle) Text() string { return b.text() }

// Parse reads and validates the INI text of a bundle. The version is not part
// of the text: the signed record carries it. Errors are *inifile.Error.
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

// ApplyChange makes the next version from a change of sections, as Apply does on
// texts, but reads the changed sections only: a bundle may have thousands.
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
		whole, _ := Apply(b.Text(), change) // change has been parsed
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
	drop := file.HasOnly(section, dropKey, "true")
	kind, name, _ := strings.Cut(section, " ")
	name = strings.TrimSpace(name)
	switch {
	case kind == "rules" && name == "":
		b.Rules = defaultRules()
		if !drop {
			b.Rules = readRules(file)
		}
		file.MarkKnown(section)
	case !drop:
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
		b.readSection(file, section) // refuses the kind
	}
}

// defaultRules are those of a bundle without the section.
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

// Zones lists the availability zones that have upstreams, sorted.
func (b *Bundle) Zones() []string {
	zones := map[string]bool{}
	for _, u := range b.Upstreams {
		zones[u.Zone] = true
	}
	return sortedKeys(zones)
}

// ClassWeight is the weight of a class; classes that are not listed weigh 1.
func (b *Bundle) ClassWeight(class string) float64 {
	if c, ok := b.Classes[class]; ok {
		return c.Weight
	}
	return 1
}

// CanServe tells whether the upstream has every label that the service needs.
func (u *Upstream) CanServe(s *Service) bool {
	for _, need := range s.RequiredLabels {
		if !contains(u.Labels, need) {
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

// HasUpstreamFor tells whether any upstream of any zone can ever run the service.
func (b *Bundle) HasUpstreamFor(s *Service) bool {
	for _, u := range b.Upstreams {
		if u.CanServe(s) {
			return true
		}
	}
	return false
}
