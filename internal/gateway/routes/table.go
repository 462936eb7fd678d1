// Package routes maps the host and path of a request to a queue of the current
// configuration.
package routes

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// Table holds the newest configuration. Its version never decreases. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[index]
}

// index is a configuration with lookup maps.
type index struct {
	platform.Configuration
	hosts    map[string][]platform.Queue // by host in lower case, longest prefix first
	services map[string]platform.Service
}

// New returns a table without a configuration.
func New() *Table { return &Table{} }

// Apply makes c the current configuration if its version is higher than the current
// one, and reports whether it did.
func (t *Table) Apply(c platform.Configuration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	n := &index{Configuration: c, hosts: map[string][]platform.Queue{}, services: map[string]platform.Service{}}
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		n.hosts[host] = append(n.hosts[host], q)
	}
	for _, queues := range n.hosts {
		sort.SliceStable(queues, func(a, b int) bool { return len(queues[a].Prefix) > len(queues[b].Prefix) })
	}
	for _, s := range c.Services {
		n.services[s.Name] = s
	}
	t.current.Store(n)
	return true
}

// Version returns the version of the current configuration, or 0 if there is none.
func (t *Table) Version() int64 {
	if n := t.current.Load(); n != nil {
		return n.Version
	}
	return 0
}

// MaxBodyBytes returns the maximum size of a request body, or 0 if the configuration
// sets none.
func (t *Table) MaxBodyBytes() int64 {
	if n := t.current.Load(); n != nil {
		return n.Configuration.MaxBodyBytes
	}
	return 0
}

// Limits returns the configuration's limits of headers and idle connections, each 0 if it sets none.
func (t *Table) Limits() (headerBytes int64, headerTimeout, idleTimeout time.Duration) {
	if n := t.current.Load(); n != nil {
		return n.MaxHeaderBytes, n.HeaderTimeout, n.IdleTimeout
	}
	return 0, 0, 0
}

// Find returns the settings of the queue with the longest prefix of path at a host, and
// the path without that prefix. The host must be in lower case.
func (t *Table) Find(host, path string) (batch.QueueSettings, string, platform.LookupStatus) {
	n := t.current.Load()
	if n == nil {
		return batch.QueueSettings{}, "", platform.NoConfiguration
	}
	for _, q := range n.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q.QueueSettings, rest, platform.Found
		}
	}
	return batch.QueueSettings{}, "", platform.NoQueue
}
