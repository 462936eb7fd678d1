package ingress

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// phase is what a connection is occupied with.
type phase = int32

const (
	opened  phase = iota // nothing has been received
	header               // a header is being read
	body                 // a body is being read
	waiting              // a body waits to be parsed
	serving              // a request is being served; the connection is not closed
	rest                 // the request has been served, but its body has not been read
	idle
	ended // by the guard
)

// freeBytes are the bytes of a header and of a body that count with the connection, so that ordinary requests need no lock.
const freeBytes = 4 << 10

// conn is a connection of a guarded listener.
type conn struct {
	net.Conn
	guard   *Guard
	pool    *pool
	address netip.Addr

	phase       atomic.Int32
	since       atomic.Int64 // when the phase began
	lastByte    atomic.Int64 // when a byte was received
	received    atomic.Int64 // bytes
	headerBytes atomic.Int64
	bodyBytes   atomic.Int64
	writing     atomic.Int64 // since when a write has waited, 0 for none

	// The fields below belong to guard.mu.
	charged         int64
	leaving         int64 // bytes of charged that count in guard.leaving
	headerCharge    int64 // bytes of charged for the header
	blocked         bool  // waits for memory
	removed         bool
	earlier, latest int64 // received at the last sweeps
	windowStart     int64 // of the measurement of the rate
	windowBytes     int64 // received before the window
}

// enter changes the phase and reports whether it was the expected one.
func (c *conn) enter(from, to phase) bool {
	if !c.phase.CompareAndSwap(from, to) {
		return false
	}
	c.since.Store(c.guard.now())
	return true
}

// onState follows the states that the server reports.
func (c *conn) onState(state http.ConnState) {
	switch state {
	case http.StateActive:
		if !c.enter(header, serving) {
			c.enter(idle, serving) // the header was received together with the request before
		}
	case http.StateIdle:
		c.releaseHeader()
		c.bodyBytes.Store(0)
		if !c.enter(serving, idle) {
			c.enter(rest, idle)
		}
	case http.StateClosed, http.StateHijacked:
		c.guard.remove(c)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.guard.remove(c)
	return err
}

// Read implements net.Conn. It charges headers that are longer than usual.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := c.guard.now()
	c.received.Add(int64(n))
	c.lastByte.Store(now)
	switch c.phase.Load() {
	case opened:
		c.enter(opened, header)
	case idle:
		c.enter(idle, header)
	}
	if c.phase.Load() != header {
		return n, err
	}
	if total := c.headerBytes.Add(int64(n)); total > freeBytes {
		if limitErr := c.chargeHeader(total, int64(n)); limitErr != nil {
			return 0, limitErr
		}
	}
	return n, err
}

// chargeHeader charges further bytes of a header twice, since it is parsed into strings. The server reads up to
// freeBytes of the body with the header.
func (c *conn) chargeHeader(total, bytes int64) error {
	limit := c.guard.limits.Load().HeaderBytes
	if limit == 0 {
		limit = configured(c.guard.options.HeaderBytes, defaultHeaderBytes)
	}
	if total > limit+freeBytes {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.end(c, CauseHeader)
		return &RefusedError{}
	}
	if err := c.guard.charge(c, 2*bytes); err != nil {
		return err
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.headerCharge += 2 * bytes
	return nil
}

func (c *conn) releaseHeader() {
	if c.headerBytes.Swap(0) <= freeBytes {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.releaseLocked(c, c.headerCharge)
	c.headerCharge = 0
}

// writeUnit is the size of the parts in which answers are written, so that a slow client makes progress within Stall.
const writeUnit = 6 << 10

// Write implements net.Conn. The sweep closes the connection if the client does not read.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeUnit)]
		c.writing.Store(c.guard.now())
		n, err := c.Conn.Write(part)
		c.writing.Store(0)
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// large reports whether the request is larger than ordinary ones.
func (c *conn) large() bool { return c.bodyBytes.Load()+c.headerBytes.Load() > ordinaryBytes }

// endable reports whether the guard may end what the connection does.
func (c *conn) endable() bool {
	switch c.phase.Load() {
	case header, body, waiting:
		return true
	}
	return false
}

// recent returns the number of bytes received since the sweep before the last one.
func (c *conn) recent() int64 { return c.received.Load() - c.earlier }

// slowerThan reports whether the connection is ended before another one: those of clients before those of entries, probes
// and metrics, then large requests, then those with less progress, then older ones.
func (c *conn) slowerThan(other *conn) bool {
	if c.pool.clients != other.pool.clients {
		return c.pool.clients
	}
	if c.large() != other.large() {
		return c.large()
	}
	if a, b := c.recent()/progressUnit, other.recent()/progressUnit; a != b {
		return a < b
	}
	return c.since.Load() < other.since.Load()
}

// restartTimes forgets how long the connection has waited, after a pause of this process.
func (c *conn) restartTimes(now int64) {
	c.since.Store(now)
	c.lastByte.Store(now)
	if c.writing.Load() != 0 {
		c.writing.Store(now)
	}
}

// overdue returns the cause for which the connection is ended, or "".
func (c *conn) overdue(now int64, l *Limits, headerTimeout, idleTimeout int64) string {
	since := c.since.Load()
	if writing := c.writing.Load(); writing != 0 && now-writing > int64(l.Stall) {
		return CauseUnread
	}
	switch c.phase.Load() {
	case idle:
		if c.pool.clients && now-since > idleTimeout {
			return CauseIdle
		}
	case header:
		if now-since > headerTimeout {
			return CauseHeader
		}
		return c.stalled(now, since, l)
	case body, rest:
		return c.stalled(now, since, l)
	}
	return ""
}

// stalled returns CauseStall if the client sends nothing, or too slowly.
func (c *conn) stalled(now, since int64, l *Limits) string {
	received := c.received.Load()
	if c.blocked || c.windowStart < since {
		c.windowStart, c.windowBytes = now, received
		return ""
	}
	if now-max(since, c.lastByte.Load()) > int64(l.Stall) {
		return CauseStall
	}
	if now-c.windowStart < int64(l.Stall) {
		return ""
	}
	tooSlow := received-c.windowBytes < int64(l.Stall.Seconds()*float64(l.Rate))
	c.windowStart, c.windowBytes = now, received
	if tooSlow {
		return CauseStall
	}
	return ""
}
