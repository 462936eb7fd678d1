// Package isolation decides when an entry refuses jobs at once because it is cut off from the
// entries and workers that could serve their jobs. It does no I/O.
package isolation

import (
	"sync"
	"time"
)

// View is what an entry knows of the holders of its zone and of its own workers.
type View struct {
	HolderKnown bool // a group of the own zone has a live holder
	Suspended   bool // this entry held a group of the own zone, but another entry has most likely taken it over unheard
	ServesAlone bool // this entry may schedule the tasks of a group, and a worker of it answers
}

// Detector decides whether an entry is isolated, from the heartbeats that it exchanges with
// other entries. It is safe for concurrent use; its zero value is ready to use.
type Detector struct {
	mu              sync.Mutex
	view            View
	holderMissingAt time.Time // when the missing holder makes the entry isolated; zero if a holder is known
	heardEver       bool      // another entry has been heard since the start
	heard           bool      // another entry has been heard since the last heartbeat
	silentBeats     int       // heartbeats in a row after which no other entry was heard
	lastReported    bool      // result of isolated in the last call of Beat
	askedAt         time.Time // last call of Beat, Update or Isolated
}

// holderGrace is how long no holder may be known before an entry counts as isolated, unless it
// was suspended itself. It is longer than a takeover takes once the loss of a holder is
// detected, so that the entries of a zone do not all refuse jobs during a takeover.
const holderGrace = time.Second

// Limits in heartbeats rather than in time, so that a process that was paused is not
// isolated when it resumes.
const (
	silentLimit = 4 // as many as until others suspect a silent member
	lostLimit   = 6 // as many as until others declare a silent member dead, and no longer send it results
)

// NoteHeard records that another entry has answered a heartbeat or sent one.
func (d *Detector) NoteHeard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard, d.heardEver = true, true
}

// Beat records that a heartbeat is due and what the entry knows then. It reports whether the
// isolation began or ended since the last call.
func (d *Detector) Beat(view View, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silentBeats++
	if d.heard {
		d.silentBeats = 0
	}
	d.heard = false
	return d.update(view, now)
}

// Update records what the entry knows between two heartbeats. It reports whether the
// isolation began or ended since the last call.
func (d *Detector) Update(view View, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.update(view, now)
}

// update is Update with d.mu held.
func (d *Detector) update(view View, now time.Time) (changed bool) {
	d.extendGrace(now)
	d.view = view
	switch {
	case view.HolderKnown:
		d.holderMissingAt = time.Time{}
	case view.Suspended:
		d.holderMissingAt = now // no takeover will be heard of
	case d.holderMissingAt.IsZero():
		d.holderMissingAt = now.Add(holderGrace)
	}
	isolated := d.isolated(now)
	changed = d.lastReported != isolated
	d.lastReported = isolated
	return changed
}

// Isolated reports whether the entry cannot get jobs served, so that clients should go to
// another entry.
func (d *Detector) Isolated(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extendGrace(now)
	return d.isolated(now)
}

// extendGrace extends the time in which a holder may come by a pause of the process that is
// longer than that time: a takeover could not go on meanwhile either. The caller holds d.mu.
func (d *Detector) extendGrace(now time.Time) {
	pause := now.Sub(d.askedAt)
	if pause >= holderGrace && d.askedAt.Before(d.holderMissingAt) {
		d.holderMissingAt = d.holderMissingAt.Add(pause)
	}
	d.askedAt = now
}

// isolated is Isolated with d.mu held.
func (d *Detector) isolated(now time.Time) bool {
	return !d.holderMissingAt.IsZero() && !now.Before(d.holderMissingAt) || d.othersSilent(silentLimit) && !d.view.ServesAlone
}

// ResultsLost reports whether results of jobs that other entries have accepted no longer
// arrive: those entries count this one as dead.
func (d *Detector) ResultsLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.othersSilent(lostLimit) && !d.view.ServesAlone
}

// OthersSilent reports whether other entries have been heard since the start, but none of
// late. They probably hear nothing of this one either.
func (d *Detector) OthersSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.othersSilent(silentLimit)
}

// othersSilent reports whether other entries have been heard since the start, but none for a
// number of heartbeats. The caller holds d.mu.
func (d *Detector) othersSilent(beats int) bool { return d.heardEver && d.silentBeats >= beats }
