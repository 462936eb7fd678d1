// Package proxy passes TCP connections on and spoils them on demand.
package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a proxy does to the bytes that pass it.
type Fault int32

// The faults.
const (
	NoFault      Fault = iota
	Delay              // each piece of bytes is late
	DropToServer       // bytes towards the server are lost
	DropToClient       // bytes from the server are lost
	DropAll            // bytes of both ways are lost
	Reset              // new connections are reset, and open ones with them
	FaultCount         // the number of faults
)

// lateness of bytes under Delay.
const delayTime = 120 * time.Millisecond

// Proxy listens on loopback for one server. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
}

// New makes a proxy that passes everything to a target. Errors are those of
// listening.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault brings a fault, or None. Connections that were cut by a silence stay
// silent: their bytes are lost.
func (p *Proxy) SetFault(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.ResetConnections()
	}
}

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		resetConnection(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.ResetConnections()
}

func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a reset in place of an orderly end
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the proxy has been closed
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
	ended := make(chan struct{}, 2)
	go p.copyOneWay(client, server, DropToServer, ended)
	go p.copyOneWay(server, client, DropToClient, ended)
	<-ended
}

// pass copies one way until either end closes. Once bytes have been lost the
// rest of the stream is lost as well.
func (p *Proxy) copyOneWay(from, to net.Conn, dropFault Fault, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := Fault(p.fault.Load())
		dropping = dropping || f == dropFault || f == DropAll
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
