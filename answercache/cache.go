// Package answercache caches the answers of ended jobs. The oldest answers are evicted when
// the cache exceeds its size and when they can no longer be asked for.
package answercache

import (
	"sync"
	"time"
)

// Evictable is an answer that can be evicted. Bytes returns its size, which must not
// change while it is cached; Drop frees its memory. Both are called under the lock
// of the cache and must not call it.
type Evictable interface {
	Bytes() int64
	Drop()
}

// answerOverhead is the number of bytes counted for each answer besides its size.
const answerOverhead = 512

// Cache holds answers up to a total size. It is safe for concurrent use.
type Cache struct {
	maxBytes  int64
	retention time.Duration

	mu      sync.Mutex
	answers []cachedAnswer // oldest first
	bytes   int64          // of all answers, with overhead
}

// cachedAnswer is an answer and the time when its key expires.
type cachedAnswer struct {
	Evictable
	expiresAt time.Time
}

// New returns an empty cache for maxBytes of answers. An answer can be asked for
// until retention has passed since it was put into the cache.
func New(maxBytes int64, retention time.Duration) *Cache {
	return &Cache{maxBytes: maxBytes, retention: retention}
}

// Put adds an answer. It then evicts answers, oldest first, while the cache is too
// large or the oldest answer has expired.
func (c *Cache) Put(answer Evictable) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.answers = append(c.answers, cachedAnswer{Evictable: answer, expiresAt: now.Add(c.retention)})
	c.bytes += answer.Bytes() + answerOverhead
	for len(c.answers) > 0 && (c.bytes > c.maxBytes || c.answers[0].expiresAt.Before(now)) {
		oldest := c.answers[0]
		c.answers[0] = cachedAnswer{}
		c.answers = c.answers[1:]
		c.bytes -= oldest.Bytes() + answerOverhead
		oldest.Drop()
	}
}

// Bytes returns the current size, including the overhead of each answer.
func (c *Cache) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}
