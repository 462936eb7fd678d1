// Package shelf bounds the memory of kept answers: past the bound the oldest are let go.
package shelf

import "sync"

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

	mu    sync.Mutex
	order []Kept
	bytes int64
}

// New makes an empty shelf for so many bytes.
func New(most int64) *Shelf { return &Shelf{most: most} }

// Put keeps an answer and lets the oldest go while the bound is passed.
func (s *Shelf) Put(k Kept) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = append(s.order, k)
	s.bytes += k.Bytes() + overhead
	for s.bytes > s.most && len(s.order) > 0 {
		oldest := s.order[0]
		s.order[0] = nil
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
