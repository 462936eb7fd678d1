// Package routes finds the queue of a request in the configuration in force.
package routes

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// Table holds the newest configuration. Its version never falls. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[index]
}

type index struct {
	platform.Configuration
	hosts    map[string][]platform.Queue // longest prefix first
	services map[string]platform.Service
}

// New makes a table without a configuration.
func New() *Table { return &Table{} }

// Apply brings a configuration in force unless a newer one is. It tells whether
// it did.
func (t *Table) Apply(c platform.Configuration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.current.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	n := &index{Configuration: c, hosts: map[string][]platform.Queue{}, services: map[string]platform.Service{}}
	for _, q := range c.Queues {
		host := strings.ToLower(q.Host)
		n.hosts[host] = insert(n.hosts[host], q)
	}
	for _, s := range c.Services {
		n.services[s.Name] = s
	}
	t.current.Store(n)
	return true
}

// insert keeps the queues of a host ordered by the length of their prefixes.
func insert(queues []platform.Queue, q platform.Queue) []platform.Queue {
	at := 0
	for at < len(queues) && len(queues[at].Prefix) >= len(q.Prefix) {
		at++
	}
	queues = append(queues, platform.Queue{})
	copy(queues[at+1:], queues[at:])
	queues[at] = q
	return queues
}

// Version is that of the configuration in force, 0 for none.
func (t *Table) Version() int64 {
	if n := t.current.Load(); n != nil {
		return n.Version
	}
	return 0
}

// Body is the size of a request at most, in bytes, 0 for no bound.
func (t *Table) Body() int64 {
	if n := t.current.Load(); n != nil {
		return n.Configuration.MaxBodyBytes
	}
	return 0
}

// Find gives the queue of a host and path and the rest of the path.
func (t *Table) Find(host, path string) (batch.Terms, string, platform.LookupStatus) {
	n := t.current.Load()
	if n == nil {
		return batch.Terms{}, "", platform.NoConfiguration
	}
	for _, q := range n.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q.Terms, rest, platform.Found
		}
	}
	return batch.Terms{}, "", platform.NoQueue
}
