package node

import "sync"

// registryState is whether an entry reads the workers, so that it can hold a group, and
// whether it knows them. It is safe for concurrent use.
type registryState struct {
	mu             sync.Mutex
	needed, loaded bool
	changed        chan struct{} // has a value once reads has changed
}

// setNeeded settles whether the workers are read and tells whether that is new.
func (p *registryState) setNeeded(needed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.needed == needed {
		return false
	}
	p.needed, p.loaded = needed, false
	select {
	case p.changed <- struct{}{}:
	default: // it has one
	}
	return true
}

func (p *registryState) isNeeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needed
}

// setLoaded notes that all workers have been read.
func (p *registryState) setLoaded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded = p.needed
}

func (p *registryState) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}
