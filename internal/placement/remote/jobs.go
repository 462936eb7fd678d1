// Package remote remembers which jobs the holders of other groups of workers have started.
//
// A client that gets no answer sends its job again, to any entry, while the first runs may go on in
// another availability zone. The name of a task finds them only among the workers of its own group, so
// holders tell each other which jobs they have started, and a job goes back to the group that has.
package remote

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// retention is how long a job is remembered at least. A job whose client waits longer than that may be
// forgotten while it runs.
const retention = 15 * time.Second

// Jobs holds the jobs that other groups have started. The zero value is ready for use, and it is safe
// for concurrent use.
type Jobs struct {
	mu sync.Mutex
	// recent and earlier map hashes of job IDs to groups. Both together cover the time from one to two
	// times retention.
	recent, earlier map[uint64]string
	renewAt         time.Time // when recent becomes earlier
	heardAt         map[string]time.Time
}

// Hash returns the number under which holders tell each other of a job.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// Note records that the holder of a group has told of jobs that it has started, possibly none.
func (j *Jobs) Note(group string, hashes []uint64, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.renew(now)
	if j.heardAt == nil {
		j.heardAt = map[string]time.Time{}
	}
	j.heardAt[group] = now
	for _, h := range hashes {
		j.recent[h] = group
	}
}

// Find returns the group that has started a job, and when the holder of that group was heard last.
func (j *Jobs) Find(id string, now time.Time) (group string, heardAt time.Time, found bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.renew(now)
	h := Hash(id)
	group, found = j.recent[h]
	if !found {
		group, found = j.earlier[h]
	}
	return group, j.heardAt[group], found
}

// renew forgets the jobs that are old enough. The caller holds j.mu.
func (j *Jobs) renew(now time.Time) {
	if now.Before(j.renewAt) {
		return
	}
	j.earlier, j.recent = j.recent, map[uint64]string{}
	if now.After(j.renewAt.Add(retention)) {
		j.earlier = nil
	}
	j.renewAt = now.Add(retention)
}
