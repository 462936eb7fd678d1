package history

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// Durations of the reading of registrations.
const (
	maxReadMillis    = 780                    // between two reads by an entry; its list is never older than 0.8 s while it reaches the store
	passInterval     = 200 * time.Millisecond // at which an entry passes registrations to its holder when it reads none
	failedReadDelay  = 100 * time.Millisecond // after a read that has failed
	reregisterMillis = 2000                   // from the end of an outage of the store to the return of registrations that have expired in it
)

// record is a worker's registration.
type record struct {
	key            string // the worker's ID
	address        string
	startUnixMilli int64 // 0 if it is not stated
}

// lingeringRecord is the registration of a worker that has ended.
type lingeringRecord struct {
	record
	until time.Time
}

// keyed returns the record as the platform's store lists it.
func (r record) keyed() platform.KeyedRecord {
	fields := map[string]any{
		"backend": "listing", "address": r.address, "zone": "a", "state": "ready", "labels": []string{"k"},
		"capacity": map[string]int{"cpu": slotsPerWorker * 1000, "mem-mb": 1000},
	}
	if r.startUnixMilli != 0 {
		fields["born"] = r.startUnixMilli
	}
	value, _ := json.Marshal(fields)
	return platform.KeyedRecord{Key: r.key, Value: value}
}

// registrations returns the workers' registrations as the platform's store lists them to an
// entry, and false if it does not answer.
func (w *world) registrations(reader string) ([]platform.KeyedRecord, bool) {
	if w.active(storeAway) || w.active(cutFromStore(reader)) {
		return nil, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []platform.KeyedRecord
	for i, m := range w.machines {
		if m.registered.key != "" && !time.Now().Before(w.activeUntil[unregistered(i)]) {
			all = append(all, m.registered.keyed())
		}
	}
	for _, l := range w.lingering {
		if time.Now().Before(l.until) {
			all = append(all, l.keyed())
		}
	}
	return all, true
}

// rosterInterval is the time between two writes of the workers of a group, as in package node.
const rosterInterval = time.Second

// publishRoster stores which workers the group has, unless an entry cannot reach the store.
func (w *world) publishRoster(writer string, workers []string) {
	if w.active(storeAway) || w.active(cutFromStore(writer)) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); !now.Before(w.rosterAt.Add(rosterInterval)) {
		w.roster, w.rosterAt = workers, now
	}
}

// rosterLacks reports whether a list of registrations lacks a worker that has been published.
func (w *world) rosterLacks(list []platform.Registration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.roster, func(id string) bool {
		return !slices.ContainsFunc(list, func(r platform.Registration) bool { return r.ID == id })
	})
}
