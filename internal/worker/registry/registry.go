// Package registry maintains the list of workers from their registration records.
package registry

import (
	"sort"
	"sync"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// absenceGrace is how long a registration may be missing before its worker counts as
// gone. Registrations that expire while the store is unavailable are renewed within
// two seconds after it is back.
const absenceGrace = 2500 * time.Millisecond

// workerState is the newest registration of a worker.
type registeredWorker struct {
	platform.Registration
	missingSince time.Time // when the registration was first missing, zero if it is present
}

// Registry is the list of registered workers. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	workers map[string]*registeredWorker
}

// New returns an empty Registry.
func New() *Registry { return &Registry{workers: map[string]*registeredWorker{}} }

// Change describes a change to the registry for the log.
type Change struct {
	ID    string
	Event string
	Err   error
}

// Reset applies the newest record of every key. Workers without a record count as
// missing. It returns the changes.
func (r *Registry) Reset(records []platform.KeyedRecord, now time.Time) []Change {
	changes := r.Apply(records, now)
	present := map[string]bool{}
	for _, k := range records {
		present[k.Key] = len(k.Value) > 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.workers {
		if !present[id] && e.missingSince.IsZero() {
			e.missingSince = now
			changes = append(changes, Change{ID: id, Event: "registration missing"})
		}
	}
	return changes
}

// Apply applies records in order and returns the changes.
func (r *Registry) Apply(records []platform.KeyedRecord, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for _, k := range records {
		if c := r.apply(k, now); c.Event != "" {
			changes = append(changes, c)
		}
	}
	return changes
}

func (r *Registry) apply(k platform.KeyedRecord, now time.Time) Change {
	e, known := r.workers[k.Key]
	if len(k.Value) == 0 {
		if known && e.missingSince.IsZero() {
			e.missingSince = now
			return Change{ID: k.Key, Event: "registration missing"}
		}
		return Change{}
	}
	registration, err := platform.ParseRegistration(k.Key, k.Value)
	if err != nil {
		// A malformed record adds no worker, but does not remove one either.
		return Change{ID: k.Key, Event: "registration malformed", Err: err}
	}
	if !known {
		r.workers[k.Key] = &registeredWorker{Registration: registration}
		return Change{ID: k.Key, Event: "worker registered"}
	}
	old := *e
	if registration.StartUnixMilli < old.StartUnixMilli || registration.StartUnixMilli == old.StartUnixMilli && registration.Sequence < old.Sequence {
		return Change{} // an older record, read out of order
	}
	e.Registration, e.missingSince = registration, time.Time{}
	switch {
	case old.StartUnixMilli != registration.StartUnixMilli || old.Address != registration.Address:
		return Change{ID: k.Key, Event: "worker has a new incarnation"}
	case old.Draining != registration.Draining:
		return Change{ID: k.Key, Event: "worker drains"}
	case !old.missingSince.IsZero():
		return Change{ID: k.Key, Event: "registration is back"}
	}
	return Change{}
}

// Clear removes all workers, once registrations are no longer read.
func (r *Registry) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.workers)
}

// Live returns the registrations of all workers that have not expired, sorted by ID.
func (r *Registry) Live() []platform.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []platform.Registration
	for _, e := range r.workers {
		live = append(live, e.Registration)
	}
	sort.Slice(live, func(a, b int) bool { return live[a].ID < live[b].ID })
	return live
}

// Expire removes workers whose registration has been missing for absenceGrace and
// that do not answer any more. It returns their IDs, sorted.
func (r *Registry) Expire(answering func(id string) bool, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, e := range r.workers {
		if e.missingSince.IsZero() || now.Sub(e.missingSince) < absenceGrace || answering(id) {
			continue
		}
		delete(r.workers, id)
		gone = append(gone, id)
	}
	sort.Strings(gone)
	return gone
}
