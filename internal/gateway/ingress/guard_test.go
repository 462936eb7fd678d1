package ingress

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pipes is a listener for connections in memory. While shortage is above 0, Accept fails for lack of descriptors.
type pipes struct {
	accepted chan net.Conn
	shortage atomic.Int32
	failure  syscall.Errno // of Accept meanwhile, EMFILE if 0
	accepts  atomic.Int32
	closed   sync.Once
}

// pipe is one end of a connection with the address of a client.
type pipe struct {
	net.Conn
	address net.TCPAddr
}

func (p *pipe) RemoteAddr() net.Addr { return &p.address }

func (p *pipes) Accept() (net.Conn, error) {
	p.accepts.Add(1)
	if p.shortage.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: cmp.Or(p.failure, syscall.EMFILE)}
	}
	c, open := <-p.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error {
	p.closed.Do(func() { close(p.accepted) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects a client from the address 10.0.0.host.
func (p *pipes) dial(host byte) net.Conn {
	client, server := net.Pipe()
	p.accepted <- &pipe{Conn: server, address: net.TCPAddr{IP: net.IPv4(10, 0, 0, host), Port: 1}}
	synctest.Wait()
	return client
}

// bench is a server with a guard. Its handler reads the body and answers with its length. The path /wait
// waits for 20 s after that, /long has a long answer, the handler of /panic panics, and /parse needs more than the budget to be parsed.
type bench struct {
	*Guard
	pipes  *pipes
	causes []string
}

var testLimits = Limits{Memory: 128 << 10, Jobs: 1000, Connections: 16, Address: 8, Stall: 3 * time.Second, Rate: 2048}

// newBench starts a server. Without sweeps, the test calls Guard.sweep.
func newBench(t *testing.T, sweeps bool) *bench {
	b := &bench{pipes: &pipes{accepted: make(chan net.Conn)}}
	b.Guard = New(Options{
		Limits: testLimits, OnRefuse: func(cause string) { b.causes = append(b.causes, cause) },
		IdleTimeout: func() time.Duration { return 15 * time.Second },
	})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if r.URL.Path == "/parse" {
			_, err = b.Reserve(r, 2*testLimits.Memory)
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		switch r.URL.Path {
		case "/panic":
			panic(http.ErrAbortHandler)
		case "/wait":
			time.Sleep(20 * time.Second)
		case "/long":
			_, _ = w.Write(make([]byte, 100_000))
		}
		fmt.Fprint(w, len(data))
	})}
	b.Attach(server)
	if sweeps {
		go b.Run(t.Context())
	}
	go func() { _ = server.Serve(b.Clients(b.pipes)) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

// seen returns the causes of refusals, separated by spaces.
func (b *bench) seen() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.causes, " ")
}

// head returns the header of a request with a body.
func head(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, length)
}

// status reads an answer and returns its status, or "" if the connection is closed.
func status(c net.Conn) string {
	buffer := make([]byte, 4096)
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	n, _ := c.Read(buffer)
	if n == 0 {
		return ""
	}
	return string(bytes.Fields(buffer[:n])[1])
}

// TestLimits guards against connections that clients keep without sending or reading, against headers and parsing beyond
// the limits, and against the end of connections that are slow within the limits.
func TestLimits(t *testing.T) {
	drip := func(c net.Conn, size int, interval time.Duration, times int) {
		for range times {
			if _, err := c.Write(make([]byte, size)); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}
	tests := []struct {
		name   string
		send   func(c net.Conn)
		wait   time.Duration // until the client reads its answer
		status string
		cause  string
	}{
		{"header stands still", func(c net.Conn) { _, _ = io.WriteString(c, "POST / HT") }, 0, "", CauseStall},
		{"header too slow", func(c net.Conn) {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nX: ")
			drip(c, 1000, time.Second, 10)
		}, 0, "", CauseStall},
		{"header too late", func(c net.Conn) {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nX: "+strings.Repeat("x", 1000))
			for range 35 {
				if _, err := io.WriteString(c, strings.Repeat("x", 500)); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}, 0, "", CauseHeader},
		{"header too long", func(c net.Conn) { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nX: "+strings.Repeat("x", 30_000)) }, 0, "", CauseHeader},
		{"body stands still", func(c net.Conn) { _, _ = io.WriteString(c, head("/", 9)+"abcdef") }, 0, "503", CauseStall},
		{"body stands still after a part", func(c net.Conn) {
			_, _ = io.WriteString(c, head("/", 10_000))
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(c, strings.Repeat("a", 8000))
			time.Sleep(4500 * time.Millisecond)
			_, _ = io.WriteString(c, strings.Repeat("a", 2000))
		}, 0, "503", CauseStall},
		{"body too slow", func(c net.Conn) {
			_, _ = io.WriteString(c, head("/", 100_000))
			drip(c, 100, 100*time.Millisecond, 40)
		}, 0, "503", CauseStall},
		{"slow body", func(c net.Conn) {
			_, _ = io.WriteString(c, head("/", 10_000))
			drip(c, 500, 200*time.Millisecond, 20)
		}, 0, "200", ""},
		{"whole body", func(c net.Conn) { _, _ = io.WriteString(c, head("/wait", 9)+"abcdefghi") }, 0, "200", ""},
		{"idle", func(c net.Conn) {
			_, _ = io.WriteString(c, head("/", 1)+"a")
			_ = status(c)
		}, 20 * time.Second, "", CauseIdle},
		{"parsing beyond the budget", func(c net.Conn) { _, _ = io.WriteString(c, head("/parse", 9)+"abcdefghi") }, 0, "503", CauseMemory},
		{"unread answer", func(c net.Conn) {
			_, _ = io.WriteString(c, head("/long", 1)+"a")
		}, 10 * time.Second, "", CauseUnread},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, true)
				c := b.pipes.dial(1)
				defer c.Close()
				go test.send(c)
				time.Sleep(test.wait)
				if got := status(c); got != test.status {
					t.Errorf("status %q, want %q", got, test.status)
				}
				time.Sleep(time.Second)
				if got := b.seen(); got != test.cause {
					t.Errorf("causes %q, want %q", got, test.cause)
				}
				_ = c.Close()
				time.Sleep(25 * time.Second)
				b.mu.Lock()
				defer b.mu.Unlock()
				if b.used != 0 || b.leaving != 0 || len(b.pools[0].conns) != 0 || len(b.pools[0].addresses) != 0 {
					t.Errorf("%d bytes, %d leaving, %d connections and %d addresses are left", b.used, b.leaving, len(b.pools[0].conns), len(b.pools[0].addresses))
				}
			})
		})
	}
}

// TestPauseEndsNobody guards against the end of requests whose bytes have arrived while the process was paused.
func TestPauseEndsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, false)
		c := b.pipes.dial(1)
		defer c.Close()
		_, _ = io.WriteString(c, head("/", 9)+"abcdef")
		b.sweep()
		time.Sleep(10 * time.Second)
		b.sweep()
		time.Sleep(sweepInterval)
		b.sweep()
		_, _ = io.WriteString(c, "ghi")
		if got := status(c); got != "200" || b.seen() != "" {
			t.Errorf("status %q and causes %q, want 200 and none", got, b.seen())
		}
	})
}

// TestFullBudget guards against ordinary requests that wait or are refused because of large ones: the large request
// with the least progress is ended, and the part for ordinary ones stays free.
func TestFullBudget(t *testing.T) {
	const large = 40_000 // charged twice, above freeBytes
	tests := []struct {
		name    string
		body    int // of the last request
		stalled bool
		want    []string // of the first large request, which stands still or progresses, and of the last one
	}{
		{"ordinary beside large", 12_000, true, []string{"200", "200"}},
		{"large beside a stalled one", large, true, []string{"503", "200"}},
		{"large beside one that progresses", large, false, []string{"200", "503"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, true)
				first, last := b.pipes.dial(1), b.pipes.dial(1)
				defer first.Close()
				defer last.Close()
				_, _ = io.WriteString(first, head("/", large)+strings.Repeat("a", large-35_000))
				time.Sleep(time.Second)
				if _, err := io.WriteString(first, strings.Repeat("a", 34_999)); err != nil {
					t.Fatal(err)
				}
				synctest.Wait() // the server counts the bytes after the write has returned
				if test.stalled {
					time.Sleep(time.Second)
				}
				go func() {
					_, _ = io.WriteString(last, head("/", test.body))
					for range test.body / 1000 {
						_, _ = io.WriteString(last, strings.Repeat("b", 1000))
					}
				}()
				got := []string{"", status(last)}
				go func() { _, _ = io.WriteString(first, "a") }()
				got[0] = status(first)
				if !slices.Equal(got, test.want) {
					t.Errorf("statuses %q, want %q", got, test.want)
				}
			})
		})
	}
}

// TestConnections guards against connections beyond the limit, against one address that shuts out others, and against
// the end of connections that are served.
func TestConnections(t *testing.T) {
	tests := []struct {
		name  string
		hosts []byte // of 16 connections
		path  string // that these request; "" for connections that send nothing
		host  byte   // of one more
		want  string // its status, or that of its request
		first string // status of the first connection
	}{
		{"silent ones are closed", make([]byte, 16), "", 0, "200", ""},
		{"idle ones are closed", make([]byte, 16), "/", 0, "200", ""},
		{"served ones are not", make([]byte, 16), "/wait", 0, "503", "200"},
		{"the only address", make([]byte, 15), "/wait", 0, "200", "200"},
		{"one address beside another", []byte{9, 1, 1, 1, 1, 1, 1, 1, 1}, "/wait", 1, "503", "200"},
		{"another address beside it", []byte{1, 1, 1, 1, 1, 1, 1, 1}, "/wait", 2, "200", "200"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, true)
				var clients []net.Conn
				for _, host := range test.hosts {
					c := b.pipes.dial(host)
					defer c.Close()
					if test.path != "" {
						_, _ = io.WriteString(c, head(test.path, 1)+"a")
					}
					if test.path == "/" {
						_ = status(c)
					}
					clients = append(clients, c)
				}
				time.Sleep(time.Second)
				client, server := net.Pipe()
				defer client.Close()
				b.pipes.accepted <- &pipe{Conn: server, address: net.TCPAddr{IP: net.IPv4(10, 0, 0, test.host)}}
				go func() { _, _ = io.WriteString(client, head("/", 1)+"a") }()
				if got := status(client); got != test.want {
					t.Errorf("status %q, want %q", got, test.want)
				}
				if got := status(clients[0]); got != test.first {
					t.Errorf("status %q of the first connection, want %q", got, test.first)
				}
			})
		})
	}
}

// TestNoDescriptors guards against an accept loop that ends or spins while the process has no descriptors, and checks
// that an idle connection gives way.
func TestNoDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, true)
		c := b.pipes.dial(1)
		defer c.Close()
		_, _ = io.WriteString(c, head("/", 1)+"a")
		_ = status(c)
		time.Sleep(time.Second)
		b.pipes.shortage.Store(12)
		before := b.pipes.accepts.Load()
		other := b.pipes.dial(1) // taken by the Accept that waits
		defer other.Close()
		time.Sleep(4 * time.Second)
		if tries := b.pipes.accepts.Load() - before; tries > 11 {
			t.Errorf("%d tries in 4 s, want 11 at most", tries)
		}
		time.Sleep(6 * time.Second)
		last := b.pipes.dial(1)
		defer last.Close()
		_, _ = io.WriteString(last, head("/", 1)+"a")
		if got := status(last); got != "200" || status(c) != "" || !strings.Contains(b.seen(), CauseDescriptors) {
			t.Errorf("status %q after the shortage and causes %q; want 200 and the idle connection closed", got, b.seen())
		}
	})
}

// TestReserveJob guards against jobs beyond their budget, and against memory that is released twice.
func TestReserveJob(t *testing.T) {
	full := 0
	g := New(Options{Limits: testLimits, OnFull: func() { full++ }})
	release, ok := g.ReserveJob(testLimits.Jobs)
	if _, second := g.ReserveJob(1); !ok || second || full != 1 {
		t.Fatalf("reserved %v, then beyond the budget %v, reported %d times; want only the first and one report", ok, second, full)
	}
	release()
	release()
	if _, ok := g.ReserveJob(testLimits.Jobs + 1); ok || g.jobs != 0 {
		t.Fatalf("reserved more than the budget: %v, %d bytes in use; want false and 0", ok, g.jobs)
	}
}

// TestPanicReleasesBody guards against memory that stays charged because the handler of a request has panicked.
func TestPanicReleasesBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, true)
		c := b.pipes.dial(1)
		defer c.Close()
		go func() { _, _ = io.WriteString(c, head("/panic", 20_000)+strings.Repeat("a", 20_000)) }()
		if got := status(c); got != "" {
			t.Errorf("status %q, want a closed connection", got)
		}
		synctest.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.used != 0 {
			t.Errorf("%d bytes are left after a panic, want 0", b.used)
		}
	})
}

// TestIdleIsNotLogged guards against a warning for each keep-alive connection of an ordinary client that is closed, which
// also takes the place of the lines that matter.
func TestIdleIsNotLogged(t *testing.T) {
	var text bytes.Buffer
	g := New(Options{Limits: testLimits, Log: slog.New(slog.NewTextHandler(&text, nil))})
	g.refused(CauseIdle)
	if text.Len() > 0 {
		t.Errorf("logged %q for an idle connection, want nothing", text.String())
	}
	g.refused(CauseMemory)
	if !strings.Contains(text.String(), "cause=memory") {
		t.Errorf("logged %q, want a line with the cause memory", text.String())
	}
}

// TestEntriesBeforeClients guards against requests of other entries that are ended because of clients: heartbeats of large
// fleets count as large requests.
func TestEntriesBeforeClients(t *testing.T) {
	g := New(Options{Limits: testLimits})
	clients, entries := g.Clients(nil).(*listener).pool, g.Entries(nil).(*listener).pool
	add := func(p *pool) *conn {
		c := &conn{Conn: &pipe{}, guard: g, pool: p, charged: 1}
		c.bodyBytes.Store(20_000)
		c.phase.Store(body)
		p.conns[c] = struct{}{}
		return c
	}
	heartbeat, upload := add(entries), add(clients)
	upload.received.Store(100_000) // progresses, whereas the heartbeat stands still
	if got := g.slowestRequest(heartbeat); got != upload {
		t.Error("a heartbeat that needs memory does not end the request of a client")
	}
	if got := g.slowestRequest(upload); got != upload {
		t.Error("a client that needs memory ends the heartbeat of an entry")
	}
}

// TestWaitForMemoryIsNoStall guards against the end of a request that was not read because it waited for memory: no byte
// was received from it for longer than Stall.
func TestWaitForMemoryIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Limits: testLimits})
		p := g.Clients(nil).(*listener).pool
		c := &conn{guard: g, pool: p}
		c.phase.Store(body)
		p.conns[c] = struct{}{}
		g.used, g.leaving = testLimits.Memory, testLimits.Memory
		go func() {
			if err := g.charge(c, 1); err != nil {
				t.Error(err)
			}
		}()
		for range 20 {
			time.Sleep(sweepInterval)
			g.sweep()
		}
		g.mu.Lock()
		g.used, g.leaving = 0, 0
		g.freed.Broadcast()
		g.mu.Unlock()
		for range 4 {
			time.Sleep(sweepInterval)
			g.mu.Lock()
			cause := c.overdue(g.now(), &testLimits, int64(time.Minute), int64(time.Minute))
			g.mu.Unlock()
			if cause != "" {
				t.Fatalf("ended for %q right after it got memory", cause)
			}
		}
	})
}

// TestConnectionsOfEntries guards against entries of a large fleet that close each other's connections: the smallest
// entry must have room for two from each of 287 others.
func TestConnectionsOfEntries(t *testing.T) {
	for _, memory := range []int64{144, 284, 536} {
		l := DefaultLimits(memory<<20, 3075)
		entries := New(Options{Limits: l}).Entries(nil).(*listener).pool.limit(l)
		if all := l.Connections + entries + 2*max(16, l.Connections/16); entries < 2*287 || all > 3075-maxFileDescriptors {
			t.Errorf("with %d MB: %d connections of entries, %d in all; want 574 at least and %d at most", memory, entries, all, 3075-maxFileDescriptors)
		}
	}
}

// TestNoKernelMemory guards against an accept loop that ends, and the entry with it, because the kernel has no memory for a
// connection.
func TestNoKernelMemory(t *testing.T) {
	for _, failure := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t, true)
			first := b.pipes.dial(1) // taken by the Accept that waits
			defer first.Close()
			b.pipes.failure = failure
			b.pipes.shortage.Store(3)
			second := b.pipes.dial(1)
			defer second.Close()
			go func() {
				last := b.pipes.dial(1)
				defer last.Close()
				_, _ = io.WriteString(last, head("/", 1)+"a")
				if got := status(last); got != "200" {
					t.Errorf("status %q after %v, want 200", got, failure)
				}
			}()
			time.Sleep(3 * time.Second)
		})
	}
}
