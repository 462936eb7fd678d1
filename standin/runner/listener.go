package runner

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a listener so that its open connections can be made silent,
// as when something between the two ends has lost track of them.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// WrapListener makes a listener whose connections can be frozen.
func WrapListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]bool{}}
}

// Accept gives the next connection.
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

// Freeze makes all connections that are open now silent for good and counts them.
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

// Read drops what arrives on a frozen connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.frozen.Load() {
			return n, err
		}
	}
}

// Write swallows what is written to a frozen connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close forgets the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
