package history

import "time"

// Durations of losses.
const (
	restartDelay   = 500 * time.Millisecond // from the kill of an entry to its next start
	cutDuration    = 3 * time.Second
	shortestFreeze = time.Second
	freezeMillis   = 1000 // by which a freeze may be longer
	takeoverTime   = 3 * time.Second
	breakMillis    = 300 // from the begin of a freeze until a client's connection breaks
	noticeMillis   = 10  // from the resumption of an entry until it notices that a client has left
)

// loseEntry has one process or its links fail.
type loseEntry func(w *world, e *entry)

func killEntry(w *world, e *entry) {
	if index := w.entryIndex(e); index >= 0 {
		w.restartAfter(index, restartDelay)
	}
}

func freezeEntry(w *world, e *entry) {
	w.activate(frozen(e.id), 1, shortestFreeze+time.Duration(w.randomInt(freezeMillis))*time.Millisecond)
}

// cutFromWorkers blocks the links from an entry to all workers, so that its stops are lost.
func cutFromWorkers(w *world, e *entry) {
	for i := range w.machines {
		w.blockLink(e.id, workerName(i), cutDuration)
	}
}

func cutFromEntries(w *world, e *entry) {
	if index := w.entryIndex(e); index >= 0 {
		w.isolate(index, cutDuration)
	}
}

// loseAll has all entries that are up fail at once.
func (w *world) loseAll(lose loseEntry) {
	for _, e := range w.liveEntries() {
		lose(w, e)
	}
}

// loseScheduler has the entry fail that schedules the world's tasks, and returns it. Without one, or if it is
// former, loseScheduler waits for a takeover; it returns nil if there is none.
func (w *world) loseScheduler(former *entry, lose loseEntry) *entry {
	for end := time.Now().Add(takeoverTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if e := w.scheduler(); e != nil && e != former {
			lose(w, e)
			return e
		}
	}
	return nil
}

// scheduler returns the entry that holds the group under the latest claim, or nil.
func (w *world) scheduler() *entry {
	var latest *entry
	var latestEpoch uint64
	for _, e := range w.liveEntries() {
		e.lock.Lock()
		if e.holder != nil && e.holder.Epoch() >= latestEpoch {
			latest, latestEpoch = e, e.holder.Epoch()
		}
		e.lock.Unlock()
	}
	return latest
}

// entryIndex returns the index of an entry, or -1 if a later incarnation has replaced it.
func (w *world) entryIndex(e *entry) int {
	for i := range entryCount {
		if w.entry(i) == e {
			return i
		}
	}
	return -1
}

// firstLosses break the client's connection to the entry that has its job.
var firstLosses = []struct {
	name      string
	schedules bool // the entry schedules the tasks as well
	lose      func(z *zones)
}{
	{"the entry is killed", false, func(z *zones) {
		z.lost = z.asked
		killEntry(z.first, z.asked)
	}},
	{"the entry that schedules is killed", true, func(z *zones) {
		z.lost = z.asked
		killEntry(z.first, z.asked)
	}},
	{"the entry is frozen and its client leaves", false, func(z *zones) {
		z.lost = z.asked
		freezeEntry(z.first, z.asked)
		z.first.goroutines.Go(func() {
			if z.first.waitThawed(z.asked.ctx, z.asked.id) == nil {
				time.Sleep(time.Duration(z.first.randomInt(noticeMillis)) * time.Millisecond)
				z.leave()
			}
		})
		time.Sleep(time.Duration(z.first.randomInt(breakMillis)) * time.Millisecond)
	}},
	{"the client leaves", false, func(z *zones) { z.leave() }},
}

// laterLosses follow.
var laterLosses = []struct {
	name   string
	second bool // entries of the second zone are lost, so that the job may be too late there
	lose   func(z *zones)
}{
	{"nothing else", false, func(*zones) {}},
	{"the scheduler is killed", false, func(z *zones) { z.first.loseScheduler(z.lost, killEntry) }},
	{"the scheduler is frozen", false, func(z *zones) { z.first.loseScheduler(z.lost, freezeEntry) }},
	{"the scheduler is cut off from its workers", false, func(z *zones) { z.first.loseScheduler(z.lost, cutFromWorkers) }},
	{"the scheduler is cut off from the other entries", false, func(z *zones) { z.first.loseScheduler(z.lost, cutFromEntries) }},
	{"all entries of the zone are killed", false, func(z *zones) { z.first.loseAll(killEntry) }},
	{"all entries of the zone are frozen", false, func(z *zones) { z.first.loseAll(freezeEntry) }},
	{"all entries of both zones are killed", true, func(z *zones) {
		z.first.loseAll(killEntry)
		z.second.loseAll(killEntry)
	}},
	{"all entries of both zones are frozen", true, func(z *zones) {
		z.first.loseAll(freezeEntry)
		z.second.loseAll(freezeEntry)
	}},
	{"the second zone's scheduler is killed", true, func(z *zones) { z.second.loseScheduler(nil, killEntry) }},
	{"the second zone's scheduler is frozen", true, func(z *zones) { z.second.loseScheduler(nil, freezeEntry) }},
	{"both schedulers are frozen", true, func(z *zones) {
		z.second.loseScheduler(nil, freezeEntry)
		z.first.loseScheduler(z.lost, freezeEntry)
	}},
	{"the scheduler is killed, then its successor", false, func(z *zones) {
		former := z.first.loseScheduler(z.lost, killEntry)
		z.first.loseScheduler(former, func(w *world, e *entry) {
			time.Sleep(w.randomDuration(400))
			killEntry(w, e)
		})
	}},
	{"the scheduler is frozen, then its successor is killed", false, func(z *zones) {
		former := z.first.loseScheduler(z.lost, freezeEntry)
		z.first.loseScheduler(former, func(w *world, e *entry) {
			time.Sleep(w.randomDuration(400))
			killEntry(w, e)
		})
	}},
	{"the scheduler is killed, then the second zone's", true, func(z *zones) {
		z.first.loseScheduler(z.lost, killEntry)
		time.Sleep(z.randomGap())
		z.second.loseScheduler(nil, killEntry)
	}},
	{"the second zone's scheduler is killed, then the first's", true, func(z *zones) {
		z.second.loseScheduler(nil, killEntry)
		time.Sleep(z.randomGap())
		z.first.loseScheduler(z.lost, killEntry)
	}},
	{"the scheduler is cut off from its workers, then killed", false, func(z *zones) {
		e := z.first.loseScheduler(z.lost, cutFromWorkers)
		time.Sleep(z.randomGap())
		if e != nil {
			killEntry(z.first, e)
		}
	}},
	{"the scheduler is cut off from the other entries, then from its workers", false, func(z *zones) {
		e := z.first.loseScheduler(z.lost, cutFromEntries)
		time.Sleep(z.randomGap())
		if e != nil {
			cutFromWorkers(z.first, e)
		}
	}},
	{"the scheduler is frozen, then all entries of the zone are killed", false, func(z *zones) {
		z.first.loseScheduler(z.lost, freezeEntry)
		time.Sleep(z.randomGap())
		z.first.loseAll(killEntry)
	}},
}
