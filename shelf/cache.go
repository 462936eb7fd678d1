// Package shelf bounds the memory of kept answers: past the bound, and past the time in which they can be asked for, the oldest are let go.
package shelf

import (
	"sync"
	"time"
)

// Evictable is an answer that can be let go. Bytes is its size.
type Evictable interface {
	Bytes() int64
	Drop()
}

// answerOverhead is counted for each answer besides its bytes.
const answerOverhead = 512

// Cache is safe for concurrent use.
type Cache struct {
	maxBytes  int64
	retention time.Duration

	mu      sync.Mutex
	answers []cachedAnswer
	bytes   int64
}

// cachedAnswer is one answer and when its key is forgotten.
type cachedAnswer struct {
	Evictable
	expiresAt time.Time
}

// New makes an empty shelf for so many bytes. An answer can be asked for during
// the span after it was put here.
func New(maxBytes int64, retention time.Duration) *Cache {
	return &Cache{maxBytes: maxBytes, retention: retention}
}

// Put keeps an answer and lets the oldest go while the bound is passed.
func (s *Cache) Put(answer Evictable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.answers = append(s.answers, cachedAnswer{Evictable: answer, expiresAt: now.Add(s.retention)})
	s.bytes += answer.Bytes() + answerOverhead
	for len(s.answers) > 0 && (s.bytes > s.maxBytes || s.answers[0].expiresAt.Before(now)) {
		oldest := s.answers[0]
		s.answers[0] = cachedAnswer{}
		s.answers = s.answers[1:]
		s.bytes -= oldest.Bytes() + answerOverhead
		oldest.Drop()
	}
}

// Bytes is the present size.
func (s *Cache) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
