package node

import "sync"

// preparation is whether an entry reads the workers, so that it can hold a group, and
// whether it knows them. It is safe for concurrent use.
type preparation struct {
	mu           sync.Mutex
	reads, knows bool
	changed      chan struct{} // has a value once reads has changed
}

// want settles whether the workers are read and tells whether that is new.
func (p *preparation) want(reads bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reads == reads {
		return false
	}
	p.reads, p.knows = reads, false
	select {
	case p.changed <- struct{}{}:
	default: // it has one
	}
	return true
}

func (p *preparation) wanted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// know notes that all workers have been read.
func (p *preparation) know() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knows = p.reads
}

func (p *preparation) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knows
}
