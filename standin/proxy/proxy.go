// Package proxy forwards TCP connections and injects network faults on demand.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is a network fault that a proxy injects.
type Fault int32

// The faults that SetFault accepts.
const (
	NoFault      Fault = iota
	Delay              // each chunk is forwarded after delayTime
	DropToServer       // bytes sent to the server are dropped
	DropToClient       // bytes sent to the client are dropped
	DropAll            // bytes of both directions are dropped
	Reset              // open and new connections are reset
	FaultCount         // the number of faults
)

// delayTime is how long Delay holds back each chunk.
const delayTime = 120 * time.Millisecond

// Proxy listens on loopback and forwards connections to one server. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32
	silences atomic.Int64 // calls of SilenceOpenConnections

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// New starts a proxy that forwards connections to target. It returns an error if
// it cannot listen.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault activates a fault in place of the previous one; NoFault clears it. A
// stream that has lost bytes keeps dropping the rest after the fault has ended.
func (p *Proxy) SetFault(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.ResetConnections()
	}
}

// SilenceOpenConnections drops all further bytes of the connections that are open. It neither
// closes nor resets them, and new connections work.
func (p *Proxy) SilenceOpenConnections() { p.silences.Add(1) }

// ResetConnections resets all open connections to clients and to the server.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		resetConnection(c)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ResetConnections()
}

func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // makes Close send a reset instead of a FIN
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the proxy was closed
		}
		if Fault(p.fault.Load()) == Reset || !p.track(client) {
			resetConnection(client)
			continue
		}
		go p.serve(client)
	}
}

func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.connections[c] = true
	}
	return !p.closed
}

func (p *Proxy) closeTracked(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
	_ = c.Close()
}

func (p *Proxy) serve(client net.Conn) {
	defer p.closeTracked(client)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || !p.track(server) {
		resetConnection(client)
		return
	}
	defer p.closeTracked(server)
	silences := p.silences.Load()
	silent := func() bool { return p.silences.Load() != silences }
	ended := make(chan struct{}, 2)
	go p.copyOneWay(client, server, DropToServer, silent, ended)
	go p.copyOneWay(server, client, DropToClient, silent, ended)
	<-ended
}

// copyOneWay copies bytes from one connection to the other until either fails.
// Once it has dropped bytes it drops the rest of the stream too.
func (p *Proxy) copyOneWay(from, to net.Conn, dropFault Fault, silent func() bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := Fault(p.fault.Load())
		dropping = dropping || silent() || f == dropFault || f == DropAll
		if dropping {
			continue
		}
		if f == Delay {
			time.Sleep(delayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
