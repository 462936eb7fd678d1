// Package evacuation keeps the availability zones that operators have evacuated, as far as an entry
// knows them from the store and from other entries.
package evacuation

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/radishgate/radishgate/platform"
)

// maxZones limits the zones that are kept besides those of the settings. No group has workers in
// other zones, so that nothing depends on them.
const maxZones = 1000

// State is what is known at one time. It must not be modified.
type State struct {
	Known  bool            // the operators' topic has been read, by this entry or by one that has told it
	Offset int64           // in the operators' topic, of the first record that is not counted
	Zones  map[string]bool // that are evacuated
}

// Change is the difference that news have made. The zones are sorted.
type Change struct {
	Evacuated []string
	TakenBack []string
	Skipped   int // zones beyond the limit
}

// Set is the known set of evacuated zones. It is safe for concurrent use.
type Set struct {
	settingsZones map[string]bool

	mu sync.Mutex
	// partial reports whether the last snapshot lacked records, so that records below those read since
	// may be missing.
	partial bool
	// zones maps each evacuated zone to the offset of its record, or to one that is at least as high
	// and below the known offset.
	zones map[string]int64
	state atomic.Pointer[State]
}

// New returns a set of which nothing is known. Zones of the settings are kept in any case.
func New(settingsZones []string) *Set {
	s := &Set{settingsZones: map[string]bool{}, zones: map[string]int64{}}
	for _, zone := range settingsZones {
		s.settingsZones[zone] = true
	}
	s.state.Store(&State{})
	return s
}

// State returns what is known.
func (s *Set) State() *State { return s.state.Load() }

// Reset takes the newest records of the topic. next is the offset at which reading goes on. If the list is
// partial, zones that it does not name stay evacuated and the known offset stays as it was. So they do
// if the set is newer than the list.
func (s *Set) Reset(records []platform.KeyedRecord, next int64, partial bool) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, skipped := s.State(), 0
	s.partial = partial
	offset := known.Offset
	switch {
	case partial:
	case known.Known && next < known.Offset:
		partial = true // another entry has read more
	default:
		s.dropBelow(next)
		offset = next
	}
	for _, k := range records {
		zone, evacuated, found := platform.EvacuatedZone(k)
		if !found || !evacuated || partial && !s.partial && k.Offset < known.Offset {
			continue
		}
		if partial {
			k.Offset = max(k.Offset, known.Offset)
		}
		skipped += s.add(zone, k.Offset)
	}
	return s.publish(known.Known || !s.partial, offset, skipped)
}

// Apply takes the records that follow those of the last Reset or Apply. next is the offset after them.
func (s *Set) Apply(records []platform.KeyedRecord, next int64) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, skipped := s.State(), 0
	for _, k := range records {
		zone, evacuated, found := platform.EvacuatedZone(k)
		switch {
		case !found || k.Offset < known.Offset:
		case evacuated:
			skipped += s.add(zone, k.Offset)
		default:
			delete(s.zones, zone)
		}
	}
	offset := known.Offset
	if known.Known && !s.partial {
		offset = max(offset, next)
	}
	return s.publish(known.Known, offset, skipped)
}

// Merge takes the zones that another entry knows up to an offset. They replace the known ones if the
// offset is higher. Zones whose records this entry has read at that offset or later stay.
func (s *Set) Merge(offset uint64, zones []string) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, skipped := s.State(), 0
	if offset > math.MaxInt64 || known.Known && int64(offset) <= known.Offset {
		return Change{}
	}
	s.dropBelow(int64(offset))
	for _, zone := range zones {
		skipped += s.add(zone, int64(offset)-1)
	}
	return s.publish(true, int64(offset), skipped)
}

// dropBelow removes the zones whose records are below an offset. The caller holds s.mu.
func (s *Set) dropBelow(offset int64) {
	maps.DeleteFunc(s.zones, func(_ string, at int64) bool { return at < offset })
}

// add adds a zone and returns 1 if it was skipped, and 0 otherwise. The caller holds s.mu.
func (s *Set) add(zone string, offset int64) int {
	at, present := s.zones[zone]
	if !present && len(s.zones) >= maxZones && !s.settingsZones[zone] {
		return 1
	}
	s.zones[zone] = max(at, offset)
	return 0
}

// publish sets the state and returns the difference from the last one. The caller holds s.mu.
func (s *Set) publish(known bool, offset int64, skipped int) Change {
	before, change := s.State(), Change{Skipped: skipped}
	zones := map[string]bool{}
	for zone := range s.zones {
		zones[zone] = true
		if !before.Zones[zone] {
			change.Evacuated = append(change.Evacuated, zone)
		}
	}
	for zone := range before.Zones {
		if !zones[zone] {
			change.TakenBack = append(change.TakenBack, zone)
		}
	}
	slices.Sort(change.Evacuated)
	slices.Sort(change.TakenBack)
	s.state.Store(&State{Known: known, Offset: offset, Zones: zones})
	return change
}
