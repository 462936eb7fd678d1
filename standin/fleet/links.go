package fleet

import (
	"fmt"
	"net/http"
	"sync"
)

// Platform is the name of the platform as the destination of a blocked link.
const Platform = "platform"

// BlockedError is returned for a request that was dropped by a blocked link.
type BlockedError struct{ Address string }

// Error returns a message that contains the destination address. The text is part of
// refusals that the fleet's entries send to callers.
func (e *BlockedError) Error() string { return fmt.Sprintf("the way to %s is cut", e.Address) }

// blockedLinks holds the blocked one-way links, each from an availability zone
// to another one or to the platform.
type blockedLinks struct {
	mu      sync.Mutex
	blocked map[[2]string]bool
	zones   map[string]string // by address for peers
}

func (b *blockedLinks) setZone(address, zone string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.zones == nil {
		b.zones = map[string]string{}
	}
	b.zones[address] = zone
}

// BlockLink drops all requests from one availability zone to another, or to
// Platform. Responses to requests of the opposite direction still pass.
func (f *Fleet) BlockLink(from, to string) {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.blocked == nil {
		f.links.blocked = map[[2]string]bool{}
	}
	f.links.blocked[[2]string{from, to}] = true
}

// UnblockLinks restores all blocked links.
func (f *Fleet) UnblockLinks() {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	f.links.blocked = nil
}

func (f *Fleet) isBlocked(from, to string) bool {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	return f.links.blocked[[2]string{from, to}]
}

func (f *Fleet) zoneOf(address string) string {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	return f.links.zones[address]
}

// linkTransport is an http.RoundTripper that drops requests over blocked links.
// Such a request fails only when its context ends, as on a network that drops
// packets.
type linkTransport struct {
	inner  http.RoundTripper
	allows func(address string) bool
}

// RoundTrip forwards the request or, if its link is blocked, waits until its context ends.
func (t *linkTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.allows(r.URL.Host) {
		return t.inner.RoundTrip(r)
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
	<-r.Context().Done()
	return nil, &BlockedError{Address: r.URL.Host}
}

// CloseIdleConnections forwards the call to the inner transport.
func (t *linkTransport) CloseIdleConnections() {
	if inner, ok := t.inner.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
