package node

import "sync"

// preparation is whether an entry reads the workers, so that it can hold a group, and
// whether it knows them. It is safe for concurrent use.
type preparation struct {
	mu           sync.Mutex
	reads, knows bool
}

// want settles whether the workers are read and tells whether that is new.
func (p *preparation) want(reads bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.reads != reads
	p.reads, p.knows = reads, p.knows && reads
	return changed
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
