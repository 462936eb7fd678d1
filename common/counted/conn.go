// Package counted counts the bytes that are sent and received on connections.
package counted

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes read and written by all connections of the listeners
// and dialers that it wraps.
type Counter struct {
	BytesRead    atomic.Int64
	BytesWritten atomic.Int64
}

// conn is a connection that adds its bytes to a counter.
type conn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn and counts the bytes read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.BytesRead.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.BytesWritten.Add(int64(n))
	return n, err
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener; bytes on the connection are counted.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, counter: l.counter}, nil
}

// WrapListener returns a listener that counts the bytes on its connections.
func (c *Counter) WrapListener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, counter: c}
}

// WrapDialer returns a DialContext function that counts the bytes on the
// connections of the dialer.
func (c *Counter) WrapDialer(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, counter: c}, nil
	}
}
