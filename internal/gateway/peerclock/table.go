// Package peerclock bounds the age of messages between entries, whose clocks are not synchronized.
//
// Each answer of an entry carries the time on its clock. Whoever sends that entry a message adds the
// time that has passed since, and so states a time on the receiver's clock at which the message had not
// been sent yet. What delays an answer makes the message look older, never younger.
package peerclock

import (
	"sync"
	"time"
)

// maxReadingAge is the age from which a reading of a clock is no longer used, since clocks may differ
// in speed.
const maxReadingAge = 2 * time.Second

// maxReadings bounds the number of readings that are kept.
const maxReadings = 4096

// reading is the time on another entry's clock when its answer came.
type reading struct {
	clock  uint64 // milliseconds; 0 if the entry states none
	readAt uint64 // milliseconds on the own clock
}

// Table holds the latest reading of the clock of each entry. The zero value is ready for use, and it
// is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	readings map[string]reading
}

// Note records the time on an entry's clock, from an answer that has just come.
func (t *Table) Note(entry string, clock uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readings == nil || len(t.readings) >= maxReadings {
		t.readings = map[string]reading{}
	}
	t.readings[entry] = reading{clock: clock, readAt: Now()}
}

// Estimate returns the present time on an entry's clock, which is at least that, and whether there is a
// recent reading of it. It is 0 for an entry that states no time.
func (t *Table) Estimate(entry string) (clock uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.readings[entry]
	elapsed := Now() - r.readAt
	if !known || elapsed > uint64(maxReadingAge.Milliseconds()) {
		return 0, false
	}
	if r.clock == 0 {
		return 0, true
	}
	return r.clock + elapsed, true
}

// Age returns how long ago it was, at most, that the own clock showed a time. It is 0 for the time 0,
// of a sender that does not know the clock.
func Age(clock uint64) time.Duration {
	now := Now()
	if clock == 0 || clock >= now {
		return 0
	}
	return time.Duration(now-clock) * time.Millisecond
}
