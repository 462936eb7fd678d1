package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/platform"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// listeners are the listeners of the servers of a node; those of unused servers are nil.
type listeners struct {
	clients, peers, ready, metrics net.Listener
}

// listen opens the listeners that the options do not provide.
func (n *Node) listen(o Options) error {
	n.listeners = listeners{o.Clients, o.Peers, o.Ready, o.Metrics}
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&n.listeners.clients, n.settings.Listen}, {&n.listeners.peers, n.settings.Peers}, {&n.ready, n.settings.Ready}, {&n.metrics, n.settings.Metrics}} {
		if *l.listener != nil || l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		*l.listener = listener
	}
	return nil
}

// Ready reports whether the entry accepts new client connections. An entry that is cut
// off from the holder of its zone leaves them to others.
func (n *Node) Ready() bool { return n.routes.Version() > 0 && !n.closesConnections() }

// closesConnections reports whether clients should open a new connection, to another entry.
func (n *Node) closesConnections() bool { return n.draining.Load() || n.isolation.Isolated(time.Now()) }

// Run serves until the context ends, then drains. It returns the error of a server that
// failed, and nil after draining or Abort. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("entry starts", "vm", n.settings.VM, "zone", n.settings.Zone, "life", n.incarnation, "clients", n.settings.Listen,
		"peers", n.settings.Peers, "store", n.settings.Store, "seeds", n.settings.Seeds)
	clients := &http.Server{Handler: n.clientRoutes(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	failures := make(chan error, 4)
	var servers sync.WaitGroup
	httpServers := []*http.Server{clients}
	n.ingress.Attach(clients)
	servers.Go(func() { serve(clients, n.ingress.Clients(n.listeners.clients), failures) })
	for _, s := range []struct {
		handler  http.Handler
		listener net.Listener
		guard    func(net.Listener) net.Listener
	}{
		{n.peerRoutes(), n.listeners.peers, n.ingress.Entries},
		{n.readyRoutes(), n.ready, n.ingress.Operators},
		{n.operatorRoutes(), n.metrics, n.ingress.Operators},
	} {
		if s.listener == nil {
			continue
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
		n.ingress.Attach(server)
		httpServers = append(httpServers, server)
		servers.Go(func() { serve(server, s.guard(s.listener), failures) })
	}
	for _, f := range n.followers() {
		n.loops.Go(func() { f.Run(n.ctx) })
	}
	for _, loop := range []func(context.Context){n.heartbeatLoop, n.contactLoop, n.rosterLoop, n.tracker.Run, n.registryExpiryLoop, n.ingress.Run, n.crowdLoop} {
		n.loops.Go(func() { loop(n.ctx) })
	}
	var failure error
	select {
	case <-ctx.Done():
		n.drain(clients)
	case <-n.ctx.Done():
	case failure = <-failures:
		n.log.Error("server failed", "error", failure)
	}
	n.cancel()
	for _, s := range httpServers {
		_ = s.Close() // the error does not matter, requests have ended or were cut off
	}
	servers.Wait()
	n.waitHolders()
	n.loops.Wait()
	n.workers.Close()
	n.store.Close()
	n.client.Close()
	n.log.Info("entry stopped", "vm", n.settings.VM)
	return failure
}

// Abort ends the node at once, as if the process were killed: connections are cut and no
// other entry is notified.
func (n *Node) Abort() { n.cancel() }

// serve runs a server and reports why it failed, unless it was closed.
func serve(server *http.Server, listener net.Listener, failures chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}

func (n *Node) clientRoutes() http.Handler {
	ingress := &platform.Ingress{
		Find: n.routes.Find, Submit: n.submit, JobState: n.jobState, Cancel: n.cancelBeforeStop, Backlog: n.backlog,
		CloseConnection: n.closesConnections, MaxBodyBytes: n.maxBodyBytes,
		Reserve: n.ingress.Reserve, ReserveJob: n.ingress.ReserveJob,
	}
	e := echo.New()
	e.Any("/*", echo.WrapHandler(ingress))
	return e
}

// maxBodyBytes returns the limit of the configuration for a request's body, or what the memory has room for if that is
// less; 0 for the default.
func (n *Node) maxBodyBytes() int64 {
	limits := n.ingress.Limits()
	return min(n.routes.MaxBodyBytes(), limits.MaxBodyBytes())
}

func (n *Node) peerRoutes() http.Handler {
	return (&peer.Server{OnHeartbeat: n.onHeartbeat, JobHandlers: peer.JobHandlers{
		OnPlace: n.onPlace, OnAwait: n.onAwait, OnResults: n.tracker.DeliverResults, OnWithdraw: n.onWithdraw, OnCancel: n.onCancel, OnRefuse: n.onRefuse,
	}}).Handler()
}

func (n *Node) readyRoutes() http.Handler {
	e := echo.New()
	e.GET(platform.ReadyPath, func(c echo.Context) error {
		if n.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

// newGuard returns the guard of the servers. Limits that are 0, as in tests, follow from the memory and the process.
func newGuard(n *Node) *ingress.Guard {
	limits := n.settings.Ingress
	if limits == (ingress.Limits{}) {
		limits = ingress.DefaultLimits(n.settings.Memory<<20, ingress.DescriptorLimit())
	}
	return ingress.New(ingress.Options{
		Limits: limits, Log: n.log, OnRefuse: n.instruments.countRefused, OnFull: n.noteCrowd,
		HeaderBytes:   func() int64 { bytes, _, _ := n.routes.Limits(); return bytes },
		HeaderTimeout: func() time.Duration { _, timeout, _ := n.routes.Limits(); return timeout },
		IdleTimeout:   func() time.Duration { _, _, timeout := n.routes.Limits(); return timeout },
	})
}

// submit serves one job. Jobs whose result must be kept are refused, because results
// are not stored yet.
func (n *Node) submit(ctx context.Context, b *batch.Batch) batch.Result {
	if reason := unsupportedReason(b); reason != "" {
		r := batch.Result{ID: b.ID, State: batch.Refused, Reason: reason, RetryAt: time.Now().Add(unsupportedRetryDelay)}
		n.jobEnded(b, r, 0)
		return r
	}
	return n.tracker.Submit(ctx, b)
}

// unsupportedRetryDelay is the time after which a client may retry a job of an
// unsupported kind.
const unsupportedRetryDelay = 30 * time.Second

// unsupportedReason returns why a job is of an unsupported kind, or "" if it is supported.
func unsupportedReason(b *batch.Batch) string {
	if b.Durable || b.Occurrences > 0 {
		return "jobs that must be kept are not served"
	}
	for _, s := range b.Steps {
		if s.LongRunning || s.Backfill || s.Gang || s.SameRack {
			return "a step asks for what is not served"
		}
	}
	return ""
}

// jobState returns the state of a job, and false if it is not known.
func (n *Node) jobState(_ context.Context, _ batch.QueueSettings, id string) (batch.State, bool) {
	return n.tracker.JobState(id)
}

// backlog returns the number of jobs that were reported to clients as accepted but have not
// started any task. It is 0, because clients learn of acceptance only together with the
// result.
func (n *Node) backlog(batch.QueueSettings) int { return 0 }
