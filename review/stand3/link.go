package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// holdStep is how often a connection that is held up looks whether the cut is over.
const holdStep = 10 * time.Millisecond

// network decides which connections go on. A link has a name at either end: that of an entry, of a runner, or "store".
type network struct {
	mu     sync.Mutex
	cut    map[[2]string]bool // bytes from the first to the second are held up
	owners map[string]string  // by number of a process
}

func newNetwork() *network { return &network{cut: map[[2]string]bool{}, owners: map[string]string{}} }

// setCut holds up the bytes from one end to another, or lets them pass.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[[2]string{from, to}] = true
		return
	}
	delete(n.cut, [2]string{from, to})
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// own records that a process is the entry with an ID.
func (n *network) own(process int, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[fmt.Sprint(process)] = id
}

// ownerOf returns the entry whose process has opened a connection that was accepted here, by the kernel's lists of the
// connections and of the descriptors of the processes that the case has started; "" if there is none.
func (n *network) ownerOf(c net.Conn) string {
	port := c.RemoteAddr().(*net.TCPAddr).Port
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	inode := ""
	local := fmt.Sprintf("0100007F:%04X", port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local {
			inode = "socket:[" + fields[9] + "]"
		}
	}
	if inode == "" {
		return ""
	}
	n.mu.Lock()
	owners := map[string]string{}
	for process, id := range n.owners {
		owners[process] = id
	}
	n.mu.Unlock()
	for process, id := range owners {
		files, err := os.ReadDir("/proc/" + process + "/fd")
		if err != nil {
			continue
		}
		for _, f := range files {
			if name, err := os.Readlink(filepath.Join("/proc", process, "fd", f.Name())); err == nil && name == inode {
				return id
			}
		}
	}
	return ""
}

// link forwards connections to the listener of one end. Bytes that are held up by a cut pass once it is over, also if the
// sender has closed the connection meanwhile, as TCP has it.
type link struct {
	network *network
	to      string
	target  string
	address string
}

func (n *network) newLink(to, target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{network: n, to: to, target: target, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) serve(client net.Conn) {
	defer client.Close()
	from := k.network.ownerOf(client)
	k.hold(from, k.to)
	k.hold(k.to, from)
	server, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // nothing listens: the caller gets a reset
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { k.forward(client, server, from, k.to) })
	both.Go(func() { k.forward(server, client, k.to, from) })
	both.Wait()
}

// hold returns once bytes pass from one end to another.
func (k *link) hold(from, to string) {
	for k.network.isCut(from, to) {
		time.Sleep(holdStep)
	}
}

func (k *link) forward(in, out net.Conn, from, to string) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := in.Read(buffer)
		k.hold(from, to)
		if count > 0 {
			if _, failed := out.Write(buffer[:count]); failed != nil {
				_ = in.(*net.TCPConn).SetLinger(0)
				_ = in.Close()
				return
			}
		}
		if err != nil {
			if strings.Contains(err.Error(), "reset") {
				_ = out.(*net.TCPConn).SetLinger(0)
				_ = out.Close()
				return
			}
			_ = out.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
