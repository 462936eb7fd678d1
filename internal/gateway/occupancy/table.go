// Package occupancy adds up the memory of the jobs that an entry holds in several groups.
package occupancy

import "sync"

// Table holds the memory that each owner takes, in bytes. It is safe for concurrent use, and calls nothing under its lock.
type Table[K comparable] struct {
	mu    sync.Mutex
	bytes map[K]int64
	total int64
}

// Set replaces the memory of an owner.
func (t *Table[K]) Set(owner K, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes == nil {
		t.bytes = map[K]int64{}
	}
	t.total += bytes - t.bytes[owner]
	t.bytes[owner] = bytes
}

// Remove forgets an owner.
func (t *Table[K]) Remove(owner K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total -= t.bytes[owner]
	delete(t.bytes, owner)
}

// Room returns how much of a limit the others leave to an owner.
func (t *Table[K]) Room(owner K, limit int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return limit - (t.total - t.bytes[owner])
}
