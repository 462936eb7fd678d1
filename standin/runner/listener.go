package runner

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a net.Listener and can freeze its open connections. This
// simulates a middlebox, such as a NAT gateway, that has lost a connection's state.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// WrapListener returns a Listener that accepts connections from inner.
func WrapListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]bool{}}
}

// Accept waits for the next connection and returns it.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// Freeze permanently drops all traffic on the connections that are open now,
// without closing them, and returns their number.
func (l *Listener) Freeze() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.frozen.Store(true)
	}
	return len(l.conns)
}

type conn struct {
	net.Conn
	listener *Listener
	frozen   atomic.Bool
}

// Read discards data that arrives on a frozen connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.frozen.Load() {
			return n, err
		}
	}
}

// Write discards data written to a frozen connection and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
