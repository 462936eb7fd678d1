package fleet

import (
	"fmt"
	"net/http"
	"sync"
)

// Platform names the platform as an end of a cut.
const Platform = "platform"

// BlockedError is a message that a cut has swallowed.
type BlockedError struct{ Address string }

// Error names the address.
func (e *BlockedError) Error() string { return fmt.Sprintf("the way to %s is cut", e.Address) }

// cuts are the ways that carry nothing, each from one zone to another or to
// the platform.
type blockedLinks struct {
	mu      sync.Mutex
	blocked map[[2]string]bool
	zones   map[string]string // by peers' address
}

func (b *blockedLinks) setZone(address, zone string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.zones == nil {
		b.zones = map[string]string{}
	}
	b.zones[address] = zone
}

// BlockLink stops all messages from one zone to another, or to Platform. Answers to
// messages of the other direction pass, so a cut of one way is one-way.
func (f *Fleet) BlockLink(from, to string) {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.blocked == nil {
		f.links.blocked = map[[2]string]bool{}
	}
	f.links.blocked[[2]string{from, to}] = true
}

// UnblockLinks ends all cuts.
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

// gate is a transport that a cut closes. A message into a cut gets no answer
// until its time is over, as on a network that drops packets.
type linkTransport struct {
	inner  http.RoundTripper
	allows func(address string) bool
}

// RoundTrip passes the message on or waits for its end.
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

// CloseIdleConnections passes on to the inner transport.
func (t *linkTransport) CloseIdleConnections() {
	if inner, ok := t.inner.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
