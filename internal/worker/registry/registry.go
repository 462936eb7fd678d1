// Package registry maintains the list of workers from their registration records.
package registry

import (
	"errors"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/platform"
)

// absenceGrace is how long a registration may be missing before its worker counts as
// gone. Registrations that expire while the store is unavailable are renewed within
// two seconds after it is back.
const absenceGrace = 2500 * time.Millisecond

// Numbers of records after which a registration with a later start, or with a higher sequence
// number, than theirs is given up. The first also holds for records that state another zone, which a
// worker keeps, or the same start but another address. A worker that is alive publishes again within
// a heartbeat. The store may append a record up to six seconds late, so that several of one
// incarnation can follow a newer one.
const (
	minEarlierStarts    = 2
	minEarlierSequences = 6
)

// registeredWorker is the newest registration of a worker.
type registeredWorker struct {
	platform.Registration
	missingSince time.Time // when the registration was first missing, zero if it is present
	// offset is that of the last record that was read. Contradictions counts the records since
	// the registration that state an earlier start or sequence number, or that the worker has moved.
	offset         int64
	contradictedAt int64 // offset of the last such record
	contradictions int
}

// noOffset is below the offset of every record.
const noOffset = -1

// maxMalformed is the number of keys whose malformed records are reported.
const maxMalformed = 100

// Registry is the list of registered workers. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	workers   map[string]*registeredWorker
	malformed map[string]string // by key, the reported field of a record that cannot be used
	// fingerprint is the sum of the hashes of the workers' IDs.
	fingerprint uint64
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{workers: map[string]*registeredWorker{}, malformed: map[string]string{}}
}

// Change describes a change to the registry for the log.
type Change struct {
	ID    string // of the worker
	Event string // log message
	Err   error  // why a record cannot be parsed, else nil
}

// reportMalformed returns the change for a record that cannot be used, or none if it has been
// reported: whoever writes it may do so at each heartbeat. The caller holds the lock.
func (r *Registry) reportMalformed(key string, err error) Change {
	field := "record"
	var registrationErr *platform.RegistrationError
	if errors.As(err, &registrationErr) {
		field = registrationErr.Field
	}
	reported, known := r.malformed[key]
	if known && reported == field || !known && len(r.malformed) >= maxMalformed {
		return Change{}
	}
	r.malformed[key] = field
	if !known && len(r.malformed) == maxMalformed {
		return Change{ID: key, Event: "registration malformed, those of further keys are not reported", Err: err}
	}
	return Change{ID: key, Event: "registration malformed", Err: err}
}

// Reset applies the newest record of every key. Workers without a record count as
// missing. It returns the changes. Offsets are not compared with those of earlier records.
func (r *Registry) Reset(records []platform.KeyedRecord, now time.Time) []Change {
	present, newest := map[string]bool{}, map[string]int64{}
	for _, k := range records {
		present[k.Key], newest[k.Key] = len(k.Value) > 0 || k.Err != nil, k.Offset
	}
	r.mu.Lock()
	for id, w := range r.workers {
		// The newest record of a key is older than one that was read only if the store counts
		// its offsets anew. Otherwise a contradiction that is read again must not count twice.
		if offset, listed := newest[id]; !listed || offset < w.offset {
			w.contradictedAt = noOffset
		}
		w.offset = noOffset
	}
	r.mu.Unlock()
	changes := r.Apply(records, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.malformed, func(key, _ string) bool { return !present[key] })
	for id, w := range r.workers {
		if !present[id] && w.missingSince.IsZero() {
			w.missingSince = now
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

// apply applies a record. The order of the store decides, since what a record states may come
// from a wrong clock or another writer; but one record that states to be older may have been
// appended late. The caller holds the lock.
func (r *Registry) apply(record platform.KeyedRecord, now time.Time) Change {
	if record.Err != nil {
		return r.reportMalformed(record.Key, record.Err)
	}
	w, known := r.workers[record.Key]
	if known && record.Offset < w.offset {
		return Change{} // an older record, read out of order
	}
	if len(record.Value) == 0 {
		delete(r.malformed, record.Key)
		if !known {
			return Change{}
		}
		w.offset = record.Offset
		if w.missingSince.IsZero() {
			w.missingSince = now
			return Change{ID: record.Key, Event: "registration missing"}
		}
		return Change{}
	}
	registration, err := platform.ParseRegistration(record.Key, record.Value)
	if err != nil {
		// A malformed record adds no worker, but does not remove one either.
		return r.reportMalformed(record.Key, err)
	}
	delete(r.malformed, record.Key)
	registration.ColdUntil = coldUntil(registration, w, now)
	if !known {
		r.workers[record.Key] = &registeredWorker{Registration: registration, offset: record.Offset}
		r.fingerprint += xxhash.Sum64String(record.Key)
		return Change{ID: record.Key, Event: "worker registered"}
	}
	old := *w
	w.offset = record.Offset
	sameStart := registration.StartUnixMilli == old.StartUnixMilli
	earlierSequence := sameStart && registration.Sequence < old.Sequence
	moved := old.StartUnixMilli != 0 && (registration.Zone != old.Zone || sameStart && registration.Address != old.Address)
	if registration.StartUnixMilli < old.StartUnixMilli || earlierSequence || moved {
		if record.Offset == old.offset || old.contradictions > 0 && record.Offset <= old.contradictedAt {
			return Change{} // read before
		}
		enough := minEarlierStarts
		if earlierSequence {
			enough = minEarlierSequences
		}
		w.contradictedAt = record.Offset
		if w.contradictions++; w.contradictions < enough && old.missingSince.IsZero() {
			return Change{}
		}
	}
	w.Registration, w.missingSince, w.contradictions = registration, time.Time{}, 0
	switch {
	case old.StartUnixMilli != registration.StartUnixMilli || old.Address != registration.Address:
		return Change{ID: record.Key, Event: "worker has a new incarnation"}
	case old.Draining != registration.Draining:
		return Change{ID: record.Key, Event: "worker drains"}
	case !old.missingSince.IsZero():
		return Change{ID: record.Key, Event: "registration is back"}
	}
	return Change{}
}

// coldUntil returns when a worker is warm by its registration, or the zero time if it is warm. old is what is known of
// the worker, or nil. A record that states the same time left as before is the same one or a copy, so it begins
// no new time.
func coldUntil(registration platform.Registration, old *registeredWorker, now time.Time) time.Time {
	switch {
	case registration.ColdLeftMilli == 0:
		return time.Time{}
	case old != nil && old.StartUnixMilli == registration.StartUnixMilli && old.ColdLeftMilli == registration.ColdLeftMilli:
		return old.ColdUntil
	}
	return now.Add(time.Duration(registration.ColdLeftMilli) * time.Millisecond)
}

// Clear removes all workers, once registrations are no longer read.
func (r *Registry) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.workers)
	clear(r.malformed)
	r.fingerprint = 0
}

// Fingerprint returns a number that is the same for two registries with the same workers, whatever
// their registrations state, and in practice for no others. It is 0 for an empty one.
func (r *Registry) Fingerprint() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fingerprint
}

// Live returns the registrations of all workers that have not expired, sorted by ID.
func (r *Registry) Live() []platform.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []platform.Registration
	for _, w := range r.workers {
		live = append(live, w.Registration)
	}
	sortByID(live)
	return live
}

func sortByID(list []platform.Registration) {
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
}

// Expire removes workers whose registration has been missing for absenceGrace and
// that do not answer any more. It returns their registrations, sorted by ID. answering is
// called with the lock of the registry held.
func (r *Registry) Expire(answering func(id string) bool, now time.Time) []platform.Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []platform.Registration
	for id, w := range r.workers {
		if w.missingSince.IsZero() || now.Sub(w.missingSince) < absenceGrace || answering(id) {
			continue
		}
		delete(r.workers, id)
		r.fingerprint -= xxhash.Sum64String(id)
		gone = append(gone, w.Registration)
	}
	sortByID(gone)
	return gone
}
