// Package counted counts the bytes that pass over connections.
package counted

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter holds the bytes read and written by all its connections.
type Counter struct {
	BytesRead    atomic.Int64
	BytesWritten atomic.Int64
}

type conn struct {
	net.Conn
	counter *Counter
}

// Read counts what was read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.BytesRead.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.BytesWritten.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	counter *Counter
}

// Accept gives the next connection, counted.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, counter: l.counter}, nil
}

// WrapListener counts the connections of a listener.
func (c *Counter) WrapListener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, counter: c}
}

// WrapDialer counts the connections of a dialer.
func (c *Counter) WrapDialer(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner, counter: c}, nil
	}
}
