// Package shelf bounds the memory of kept answers: past the bound, and past the time in which they can be asked for, the oldest are let go.
package shelf

import (
	"sync"
	"time"
)

// Kept is an answer that can be let go. Bytes is its size.
type Kept interface {
	Bytes() int64
	Drop()
}

// overhead is counted for each answer besides its bytes.
const overhead = 512

// Shelf is safe for concurrent use.
type Shelf struct {
	most int64
	span time.Duration

	mu    sync.Mutex
	order []item
	bytes int64
}

// item is one answer and when its key is forgotten.
type item struct {
	Kept
	until time.Time
}

// New makes an empty shelf for so many bytes. An answer can be asked for during
// the span after it was put here.
func New(most int64, span time.Duration) *Shelf { return &Shelf{most: most, span: span} }

// Put keeps an answer and lets the oldest go while the bound is passed.
func (s *Shelf) Put(k Kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.order = append(s.order, item{Kept: k, until: now.Add(s.span)})
	s.bytes += k.Bytes() + overhead
	for len(s.order) > 0 && (s.bytes > s.most || s.order[0].until.Before(now)) {
		oldest := s.order[0]
		s.order[0] = item{}
		s.order = s.order[1:]
		s.bytes -= oldest.Bytes() + overhead
		oldest.Drop()
	}
}

// Bytes is the present size.
func (s *Shelf) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
