// Package ingress bounds the memory, the connections and the time that clients of HTTP servers can take.
package ingress

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Causes for which a client is refused or its connection is closed. They are labels of a metric.
const (
	CauseMemory      = "memory"      // the budget for headers, bodies and parsing is full
	CauseJobs        = "jobs"        // the budget for jobs is full
	CauseHeld        = "held"        // the budget for the jobs that the process keeps is full
	CauseConnections = "connections" // there are too many
	CauseAddress     = "address"     // there are too many from one address
	CauseDescriptors = "descriptors" // the process has no more of them
	CauseHeader      = "header"      // it is too long, or was not complete in time
	CauseStall       = "stall"       // a header or body stands still or is too slow
	CauseIdle        = "idle"        // no request for too long
	CauseUnread      = "unread"      // the client does not read its answer
	CauseWait        = "wait"        // the client has waited for its job for long, and there was no room for others
)

// Intervals of the sweep. A longer time between two sweeps than maxSweepGap is a pause of this process, in which
// nothing could be read.
const (
	sweepInterval = 250 * time.Millisecond
	maxSweepGap   = time.Second
)

// RetryDelay is the time after which a client that was refused may try again.
const RetryDelay = time.Second

// RefusedError reports that a request was ended because it exceeds a limit, before it was handed to anybody.
type RefusedError struct{}

// Error implements error.
func (*RefusedError) Error() string { return "ingress: request exceeds what the entry can take" }

// Options configure a Guard. The functions may be nil.
type Options struct {
	Limits Limits
	Log    *slog.Logger
	// OnFull is called when a client is refused although nothing that stands still could be ended for it. It must not
	// block or call the guard.
	OnFull func()
	// OnRefuse is called with the cause for each request or connection that is refused or ended. It must not block.
	OnRefuse func(cause string)
	// HeaderBytes, HeaderTimeout and IdleTimeout return limits of the configuration, 0 for none.
	HeaderBytes   func() int64
	HeaderTimeout func() time.Duration
	IdleTimeout   func() time.Duration
}

// Limits that apply unless the configuration has others.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// Guard decides which connections and bodies may continue. It is safe for concurrent use.
type Guard struct {
	options Options
	limits  atomic.Pointer[Limits]
	started time.Time
	logged  rate.Sometimes

	mu      sync.Mutex
	freed   *sync.Cond // signalled when memory is released and when a request is ended
	used    int64      // bytes charged
	leaving int64      // bytes of used whose requests have been ended and will release them
	jobs    int64      // bytes of jobs that clients wait for
	held    int64      // bytes of jobs reserved with ReserveHeld
	pools   []*pool
	sweptAt int64
}

// pool is the set of connections of one listener.
type pool struct {
	limit     func(Limits) int
	clients   bool // refused connections get a 503, and idle ones are closed after the configured time
	conns     map[*conn]struct{}
	addresses map[netip.Addr]int // number of connections
}

// New returns a guard. Run must be called to end slow transfers.
func New(options Options) *Guard {
	if options.OnRefuse == nil {
		options.OnRefuse = func(string) {}
	}
	if options.OnFull == nil {
		options.OnFull = func() {}
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	g := &Guard{options: options, started: time.Now(), logged: rate.Sometimes{Interval: time.Second}}
	g.freed = sync.NewCond(&g.mu)
	g.limits.Store(&options.Limits)
	return g
}

// SetLimits replaces the limits. Requests in progress continue unless they exceed the new ones.
func (g *Guard) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freed.Broadcast()
}

// Limits returns the limits in force.
func (g *Guard) Limits() Limits { return *g.limits.Load() }

// Clients wraps the listener for clients.
func (g *Guard) Clients(inner net.Listener) net.Listener {
	return g.listener(inner, true, func(l Limits) int { return l.Connections })
}

// Entries wraps the listener for other entries.
func (g *Guard) Entries(inner net.Listener) net.Listener {
	return g.listener(inner, false, func(l Limits) int { return max(16, l.Entries) })
}

// Operators wraps a listener for probes or metrics.
func (g *Guard) Operators(inner net.Listener) net.Listener {
	return g.listener(inner, false, func(l Limits) int { return max(16, l.Connections/16) })
}

func (g *Guard) listener(inner net.Listener, clients bool, limit func(Limits) int) net.Listener {
	p := &pool{limit: limit, clients: clients, conns: map[*conn]struct{}{}, addresses: map[netip.Addr]int{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pools = append(g.pools, p)
	return &listener{Listener: inner, guard: g, pool: p}
}

type connKey struct{}

// Attach makes a server report its connections and bodies to the guard. The server must use a listener of the guard.
func (g *Guard) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c := guarded(c); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c := guarded(c); c != nil {
			c.onState(state)
		}
	}
	s.Handler = &handler{inner: s.Handler}
}

// guarded returns the connection of the guard below a connection of a server, or nil.
func guarded(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	g, _ := c.(*conn)
	return g
}

// now returns the time since the guard was made, which is above 0: 0 means that a connection waits for nothing.
func (g *Guard) now() int64 { return 1 + int64(time.Since(g.started)) }

// Refused counts and logs a refusal that was decided elsewhere.
func (g *Guard) Refused(cause string) { g.refused(cause) }

// refused counts and logs a refusal.
func (g *Guard) refused(cause string) {
	g.options.OnRefuse(cause)
	if cause == CauseIdle {
		return // ordinary clients keep connections as well
	}
	g.logged.Do(func() { g.options.Log.Warn("limit of clients reached", "cause", cause) })
}

// ReserveJob reserves memory for a job that a client waits for. It returns false if the budget of jobs is full;
// otherwise the returned function must be called once the job has ended.
func (g *Guard) ReserveJob(bytes int64) (func(), bool) {
	return g.reserve(&g.jobs, bytes, g.limits.Load().Jobs, CauseJobs)
}

// ReserveHeld reserves memory for a job that this process keeps, whether a client waits for it or not. It returns false
// if the budget for them is full; otherwise the returned function must be called once the job is no longer kept.
func (g *Guard) ReserveHeld(bytes int64) (func(), bool) {
	limit := g.limits.Load().Held
	if limit <= 0 {
		return func() {}, true
	}
	return g.reserve(&g.held, bytes, limit, CauseHeld)
}

// reserve adds bytes to a sum, unless it would exceed its limit.
func (g *Guard) reserve(sum *int64, bytes, limit int64, cause string) (func(), bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if *sum+bytes > limit {
		g.refused(cause)
		g.options.OnFull()
		return nil, false
	}
	*sum += bytes
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		*sum -= bytes
	}), true
}

// Reserve reserves memory to parse the body of a request, which must have been read completely. It may wait until
// others have been parsed. The returned function must be called after parsing. An error is a *RefusedError.
func (g *Guard) Reserve(r *http.Request, bytes int64) (func(), error) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		return func() {}, nil
	}
	if !c.enter(serving, waiting) {
		return nil, &RefusedError{}
	}
	if err := g.charge(c, bytes); err != nil {
		return nil, err
	}
	if !c.enter(waiting, serving) {
		g.release(c, bytes)
		return nil, &RefusedError{}
	}
	return func() { g.release(c, bytes) }, nil
}

// charge adds bytes to the budget for a connection. While the budget is full it ends the requests with the least
// progress, this one if it is among them, and waits until they have released theirs.
func (g *Guard) charge(c *conn, bytes int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		limit := g.limits.Load().Memory
		if c.large() {
			limit -= limit / ordinaryShare
		}
		switch {
		case c.phase.Load() == ended:
			return &RefusedError{}
		case g.used+bytes <= limit:
			g.used += bytes
			c.charged += bytes
			return nil
		case g.used-g.leaving+bytes <= limit:
			c.blocked = true
			g.freed.Wait()
			c.blocked = false
			c.lastByte.Store(g.now()) // nothing could be read from it meanwhile
		default:
			slowest := g.slowestRequest(c)
			// If another one is served by now, it is not ended, and the next turn of the loop finds the next one.
			g.end(slowest, CauseMemory)
		}
	}
}

// A part of the budget is reserved for ordinary bodies: requests with more bytes than ordinaryBytes leave one
// ordinaryShare-th of it free.
const (
	ordinaryBytes = 16 << 10
	ordinaryShare = 4
)

// release returns bytes to the budget.
func (g *Guard) release(c *conn, bytes int64) {
	if bytes == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(c, bytes)
}

func (g *Guard) releaseLocked(c *conn, bytes int64) {
	c.charged -= bytes
	g.used -= bytes
	left := min(bytes, c.leaving)
	c.leaving -= left
	g.leaving -= left
	g.freed.Broadcast()
}

// progressUnit is the difference in recent bytes below which the older request counts as the slower one.
const progressUnit = 4 << 10

// slowestRequest returns the request whose end frees memory for c: of the large ones that with the least progress,
// oldest first. If there is none and c is small as well, it returns a small one that stands still. Otherwise it
// returns c. A request of another entry is not ended for one of a client. The caller holds g.mu.
func (g *Guard) slowestRequest(c *conn) *conn {
	slowest := c
	if !c.large() {
		slowest = nil
	}
	for _, p := range g.pools {
		for other := range p.conns {
			if other.charged == 0 || !other.endable() || c.pool.clients && !p.clients || !other.large() && (c.large() || other.recent() > 0) {
				continue
			}
			if slowest == nil || other.slowerThan(slowest) {
				slowest = other
			}
		}
	}
	if slowest == nil {
		return c
	}
	return slowest
}

// end ends the request or closes the connection and reports whether it did: not if the request is being served. The
// caller holds g.mu.
func (g *Guard) end(c *conn, cause string) bool {
	phase := c.phase.Load()
	if phase == serving || phase == ended || !c.enter(phase, ended) {
		return false
	}
	g.leaving += c.charged - c.leaving
	c.leaving = c.charged
	switch phase {
	case body:
		// The handler fails to read on and answers.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	case waiting:
	default:
		_ = c.Conn.Close()
	}
	g.freed.Broadcast()
	g.refused(cause)
	return true
}

// Run ends slow transfers and idle connections until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.sweep()
		}
	}
}

func (g *Guard) sweep() {
	now := g.now()
	l := g.limits.Load()
	headerTimeout, idleTimeout := configured(g.options.HeaderTimeout, defaultHeaderTimeout), configured(g.options.IdleTimeout, defaultIdleTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	paused := now-g.sweptAt > int64(maxSweepGap)
	g.sweptAt = now
	for _, p := range g.pools {
		for c := range p.conns {
			if paused {
				c.restartTimes(now)
				continue
			}
			if cause := c.overdue(now, l, int64(headerTimeout), int64(idleTimeout)); cause != "" {
				if cause == CauseUnread {
					g.refused(cause)
					_ = c.Conn.Close()
					continue
				}
				g.end(c, cause)
			}
			c.earlier, c.latest = c.latest, c.received.Load()
		}
	}
}

// configured returns a limit of the configuration, or the default if it has none.
func configured[T int64 | time.Duration](read func() T, standard T) T {
	if read != nil {
		if value := read(); value > 0 {
			return value
		}
	}
	return standard
}
