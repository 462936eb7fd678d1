package ingress

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// listener admits connections within the limits.
type listener struct {
	net.Listener
	guard *Guard
	pool  *pool
}

// Delays of Accept while the process has no descriptors. They double up to the last one.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Accept implements net.Listener. It refuses connections beyond the limits, and waits while the process has no
// descriptors, or the kernel no memory for a connection.
func (l *listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		inner, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.guard.admit(l.pool, inner); c != nil {
				return c, nil
			}
			delay = minAcceptDelay
		case isShortage(err):
			l.guard.closeForDescriptor()
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		default:
			return nil, err
		}
	}
}

// isShortage reports whether Accept has failed because the process or the kernel lacks descriptors or memory. net/http
// ends the server after errors that are not of net.Error's Temporary, as the latter two are.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// unavailable is the answer to a client whose connection is refused.
const unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// unavailableTimeout bounds the writing of it, which does not wait with an empty buffer.
const unavailableTimeout = 10 * time.Millisecond

// admit adds a connection to a pool. If the pool is full, it closes the connection with the least progress, or
// the new one if all others are served; it returns nil then.
func (g *Guard) admit(p *pool, inner net.Conn) *conn {
	now := g.now()
	c := &conn{Conn: inner, guard: g, pool: p, address: remoteAddress(inner)}
	c.since.Store(now)
	c.lastByte.Store(now)
	l := g.limits.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	others := len(p.addresses)
	if p.addresses[c.address] > 0 {
		others--
	}
	cause := ""
	switch {
	case others > 0 && p.addresses[c.address] >= max(1, l.Address*p.limit(*l)/l.Connections):
		cause = CauseAddress
	case len(p.conns) >= p.limit(*l):
		cause = CauseConnections
	}
	if cause != "" && !g.closeSlowest(func(other *conn) bool {
		return other.pool == p && (cause == CauseConnections || other.address == c.address)
	}, cause) {
		g.refused(cause)
		if p.clients {
			g.options.OnFull()
			_ = inner.SetWriteDeadline(time.Now().Add(unavailableTimeout))
			_, _ = inner.Write([]byte(unavailable))
		}
		_ = inner.Close()
		return nil
	}
	p.conns[c] = struct{}{}
	p.addresses[c.address]++
	return c
}

func remoteAddress(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// closeForDescriptor closes a connection of any listener.
func (g *Guard) closeForDescriptor() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closeSlowest(func(*conn) bool { return true }, CauseDescriptors) {
		g.refused(CauseDescriptors)
	}
}

// minConnectionAge is the age below which a connection is not closed for another one: its request may have been sent.
const minConnectionAge = 100 * time.Millisecond

// closeSlowest closes one of the connections that may be closed: an idle one, then one without a complete header, then one with
// a body. Within these, those with the least progress come first. It reports whether there was one. The caller holds
// g.mu.
func (g *Guard) closeSlowest(mayClose func(*conn) bool, cause string) bool {
	var slowest *conn
	best := 0
	now := g.now()
	for _, p := range g.pools {
		for c := range p.conns {
			r := closingRank(c.phase.Load())
			if r == 0 || now-c.since.Load() < int64(minConnectionAge) || !mayClose(c) {
				continue
			}
			if slowest == nil || r < best || r == best && c.slowerThan(slowest) {
				slowest, best = c, r
			}
		}
	}
	if slowest == nil || !g.end(slowest, cause) {
		return false
	}
	_ = slowest.Conn.Close()
	g.removeLocked(slowest)
	return true
}

// closingRank orders the phases in which a connection may be closed; 0 means never.
func closingRank(p phase) int {
	switch p {
	case idle:
		return 1
	case opened, header, rest:
		return 2
	case body:
		return 3
	}
	return 0
}

// remove forgets a connection that has been closed, and releases its memory.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
	if c.headerCharge > 0 {
		g.releaseLocked(c, c.headerCharge)
		c.headerCharge = 0
	}
}

// removeLocked takes a connection out of its pool. Its memory counts until its handler has ended.
func (g *Guard) removeLocked(c *conn) {
	if c.removed {
		return
	}
	c.removed = true
	delete(c.pool.conns, c)
	if c.pool.addresses[c.address]--; c.pool.addresses[c.address] == 0 {
		delete(c.pool.addresses, c.address)
	}
}
