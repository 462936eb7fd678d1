package fleet

import (
	"fmt"
	"net/http"
	"sync"
)

// Platform names the platform as an end of a cut.
const Platform = "platform"

// CutError is a message that a cut has swallowed.
type CutError struct{ Address string }

// Error names the address.
func (e *CutError) Error() string { return fmt.Sprintf("the way to %s is cut", e.Address) }

// cuts are the ways that carry nothing, each from one zone to another or to
// the platform.
type cuts struct {
	mu    sync.Mutex
	ways  map[[2]string]bool
	zones map[string]string // by peers' address
}

func (c *cuts) place(address, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.zones = map[string]string{}
	}
	c.zones[address] = zone
}

// Cut stops all messages from one zone to another, or to Platform. Answers to
// messages of the other direction pass, so a cut of one way is one-way.
func (f *Fleet) Cut(from, to string) {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	if f.cuts.ways == nil {
		f.cuts.ways = map[[2]string]bool{}
	}
	f.cuts.ways[[2]string{from, to}] = true
}

// Heal ends all cuts.
func (f *Fleet) Heal() {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	f.cuts.ways = nil
}

func (f *Fleet) isCut(from, to string) bool {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	return f.cuts.ways[[2]string{from, to}]
}

func (f *Fleet) zoneOf(address string) string {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	return f.cuts.zones[address]
}

// gate is a transport that a cut closes. A message into a cut gets no answer
// until its time is over, as on a network that drops packets.
type gate struct {
	inner http.RoundTripper
	open  func(address string) bool
}

// RoundTrip passes the message on or waits for its end.
func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	if g.open(r.URL.Host) {
		return g.inner.RoundTrip(r)
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
	<-r.Context().Done()
	return nil, &CutError{Address: r.URL.Host}
}

// CloseIdleConnections passes on to the inner transport.
func (g *gate) CloseIdleConnections() {
	if inner, ok := g.inner.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
