// Package occupancy shares one limit among several owners, such as the memory for jobs among the groups of an entry.
package occupancy

import "sync"

// Table holds how much each owner takes. It is safe for concurrent use, and calls nothing under its lock.
type Table[K comparable] struct {
	mu      sync.Mutex
	amounts map[K]int64
	total   int64
}

// Set replaces the amount of an owner.
func (t *Table[K]) Set(owner K, amount int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.amounts == nil {
		t.amounts = map[K]int64{}
	}
	t.total += amount - t.amounts[owner]
	t.amounts[owner] = amount
}

// Remove forgets an owner.
func (t *Table[K]) Remove(owner K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total -= t.amounts[owner]
	delete(t.amounts, owner)
}

// Room returns how much of a limit the others leave to an owner.
func (t *Table[K]) Room(owner K, limit int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return limit - (t.total - t.amounts[owner])
}
