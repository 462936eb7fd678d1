package node

import "sync"

// registryState holds whether this entry reads the worker registrations, which it must do
// to hold a group, and whether it has read all of them. It is safe for concurrent use.
type registryState struct {
	mu             sync.Mutex
	needed, loaded bool
	changed        chan struct{} // receives a value when needed changes
}

// setNeeded sets whether the registrations are read and reports whether that changed.
func (p *registryState) setNeeded(needed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.needed == needed {
		return false
	}
	p.needed, p.loaded = needed, false
	select {
	case p.changed <- struct{}{}:
	default: // a change is already signalled
	}
	return true
}

// isNeeded reports whether the registrations are read.
func (p *registryState) isNeeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needed
}

// setLoaded records that all registrations have been read.
func (p *registryState) setLoaded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaded = p.needed
}

// isLoaded reports whether all registrations have been read.
func (p *registryState) isLoaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}
