// Package cancels keeps which jobs clients have cancelled, so that nothing starts them again.
package cancels

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Options bound a Table. Fields that are zero have defaults.
type Options struct {
	Keep time.Duration // how long a cancel is kept at least
	Most int           // records kept at once
}

// Defaults of options that are zero.
const (
	DefaultKeep = 30 * time.Second
	DefaultMost = 100_000
)

// Times of a record.
const (
	// clientMargin is how much longer a cancel is kept than the client waits. Two seconds are required; extensions
	// of less than extensionStep are ignored.
	clientMargin = 2*time.Second + extensionStep
	// extensionStep is the least extension that counts. The time left is stated anew with each message and grows by
	// its delay, so that without it entries would extend each other's records for ever.
	extensionStep = time.Second
	sweepInterval = time.Second // between two sweeps of a full table, each of which looks at all records
	sparseSlack   = 64          // dead positions that are tolerated in addition to as many as there are records
)

// Record is the cancel of a job.
type Record struct {
	Job   uint64 // see Number
	Until time.Time
}

// FullError reports a table that has no room for a further cancel.
type FullError struct{ Most int }

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("%d cancels are kept already", e.Most) }

// Number returns the number that the hexadecimal digits of a job's ID denote, and false for an ID of another form.
func Number(id string) (uint64, bool) {
	if len(id) != idDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(id, 16, 64)
	return number, err == nil
}

// ID returns the ID of the job with a number.
func ID(number uint64) string { return fmt.Sprintf("%0*x", idDigits, number) }

const idDigits = 16

// Table holds the cancels that one entry knows, in the order in which they were recorded. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	options Options
	base    time.Time        // from which the times in until count
	until   map[uint64]int64 // by job, in milliseconds since base
	order   []position       // of records and their extensions; some may be of jobs whose record has been removed
	next    uint64           // position of the next record
	sweepAt time.Time        // before which a full table is not swept again
}

// position is the place of a job in the order of records.
type position struct{ number, job uint64 }

// New returns an empty table.
func New(options Options) *Table {
	t := &Table{until: map[uint64]int64{}}
	t.Configure(options)
	return t
}

// Configure changes the bounds. Records that exist stay.
func (t *Table) Configure(options Options) {
	if options.Keep == 0 {
		options.Keep = DefaultKeep
	}
	if options.Most == 0 {
		options.Most = DefaultMost
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options = options
}

// KeepUntil returns until when the cancel of a job is kept whose client leaves at expiresAt, which is zero if the
// job is not known.
func (t *Table) KeepUntil(expiresAt, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(t.options.Keep)
	if due := expiresAt.Add(clientMargin); !expiresAt.IsZero() && due.After(until) {
		return due
	}
	return until
}

// Add records a cancel, or extends the record of the same job, and reports whether the job was not recorded before. An
// error is a *FullError.
func (t *Table) Add(r Record, now time.Time) (isNew bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.base.IsZero() {
		t.base = now
	}
	t.expire(now)
	until := r.Until.Sub(t.base).Milliseconds()
	known, kept := t.until[r.Job]
	isNew = !kept || !t.live(known, now)
	switch {
	case !isNew && until < known+extensionStep.Milliseconds():
		return false, nil
	case !kept && len(t.until) >= t.options.Most:
		return false, &FullError{t.options.Most}
	}
	t.until[r.Job] = until
	t.order = append(t.order, position{t.next, r.Job})
	t.next++
	return isNew, nil
}

// Has reports whether a job is recorded as cancelled.
func (t *Table) Has(job uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, kept := t.until[job]
	return kept && t.live(until, now)
}

// Len returns the number of records, some of which may have expired.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.until)
}

// Since returns at most limit records from a position on, in the order in which they were recorded, and the position
// that follows them. The position 0 stands for all.
func (t *Table) Since(number uint64, limit int, now time.Time) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var records []Record
	start, _ := slices.BinarySearchFunc(t.order, number, func(p position, n uint64) int {
		if p.number < n {
			return -1
		}
		return 1
	})
	for _, p := range t.order[start:] {
		until, kept := t.until[p.job]
		if !kept || !t.live(until, now) {
			continue
		}
		if len(records) == limit {
			return records, p.number
		}
		records = append(records, Record{Job: p.job, Until: t.base.Add(time.Duration(until) * time.Millisecond)})
	}
	return records, t.next
}

// live reports whether a record has not expired. The caller holds t.mu.
func (t *Table) live(until int64, now time.Time) bool {
	return now.Sub(t.base).Milliseconds() < until
}

// expire removes the oldest records as far as they have expired, and all expired ones if the table is full or sparse.
// The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 && t.remove(t.order[0].job, now) {
		t.order = t.order[1:]
	}
	full, sparse := len(t.until) >= t.options.Most, len(t.order) > 2*len(t.until)+sparseSlack
	if !full && !sparse || now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	latest := map[uint64]uint64{}
	if sparse { // several positions may be of the same job
		for _, p := range t.order {
			latest[p.job] = p.number
		}
	}
	t.order = slices.DeleteFunc(t.order, func(p position) bool { return sparse && latest[p.job] != p.number || t.remove(p.job, now) })
}

// remove removes the record of a job if it has expired, and reports whether there is none any more. The caller
// holds t.mu.
func (t *Table) remove(job uint64, now time.Time) bool {
	until, kept := t.until[job]
	if kept && t.live(until, now) {
		return false
	}
	delete(t.until, job)
	return true
}
