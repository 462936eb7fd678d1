// Package registry folds the registrations of workers into the list of those that are there.
package registry

import (
	"sort"
	"sync"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// absentSpan is how long a registration may be missing before its worker counts
// as gone: those that lapse while the store is away are back within two seconds
// of its return.
const absentSpan = 2500 * time.Millisecond

type entry struct {
	platform.Registration
	missing time.Time // since when the registration is gone
}

// Registry is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// New makes an empty registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// Change is what a record did that is worth a log line.
type Change struct {
	ID   string
	What string
	Err  error
}

// Reset takes the newest record of every key: what is not among them is gone.
func (r *Registry) Reset(records []platform.KeyedRecord, now time.Time) []Change {
	changes := r.Apply(records, now)
	there := map[string]bool{}
	for _, k := range records {
		there[k.Key] = len(k.Value) > 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if !there[id] && e.missing.IsZero() {
			e.missing = now
			changes = append(changes, Change{ID: id, What: "registration missing"})
		}
	}
	return changes
}

// Apply takes records in their order.
func (r *Registry) Apply(records []platform.KeyedRecord, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for _, k := range records {
		if c := r.apply(k, now); c.What != "" {
			changes = append(changes, c)
		}
	}
	return changes
}

func (r *Registry) apply(k platform.KeyedRecord, now time.Time) Change {
	e, known := r.entries[k.Key]
	if len(k.Value) == 0 {
		if known && e.missing.IsZero() {
			e.missing = now
			return Change{ID: k.Key, What: "registration missing"}
		}
		return Change{}
	}
	registered, err := platform.ParseRegistration(k.Key, k.Value)
	if err != nil {
		// It names no worker to use, but says nothing of one that was registered.
		return Change{ID: k.Key, What: "registration malformed", Err: err}
	}
	if !known {
		r.entries[k.Key] = &entry{Registration: registered}
		return Change{ID: k.Key, What: "worker registered"}
	}
	old := *e
	if registered.StartUnixMilli < old.StartUnixMilli || registered.StartUnixMilli == old.StartUnixMilli && registered.Sequence < old.Sequence {
		return Change{} // an older record, read late
	}
	e.Registration, e.missing = registered, time.Time{}
	switch {
	case old.StartUnixMilli != registered.StartUnixMilli || old.Address != registered.Address:
		return Change{ID: k.Key, What: "worker has a new life"}
	case old.Draining != registered.Draining:
		return Change{ID: k.Key, What: "worker drains"}
	case !old.missing.IsZero():
		return Change{ID: k.Key, What: "registration is back"}
	}
	return Change{}
}

// Clear forgets all workers, since nobody reads of them any more.
func (r *Registry) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.entries)
}

// Live lists the workers that are there, by ID.
func (r *Registry) Live() []platform.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []platform.Registration
	for _, e := range r.entries {
		live = append(live, e.Registration)
	}
	sort.Slice(live, func(a, b int) bool { return live[a].ID < live[b].ID })
	return live
}

// Expire removes the workers whose registration has been missing for too long
// and lists them. Those that still answer are kept.
func (r *Registry) Expire(answering func(id string) bool, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, e := range r.entries {
		if e.missing.IsZero() || now.Sub(e.missing) < absentSpan || answering(id) {
			continue
		}
		delete(r.entries, id)
		gone = append(gone, id)
	}
	sort.Strings(gone)
	return gone
}
