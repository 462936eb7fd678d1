package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/platform"
)

// Bounds of the servers.
const (
	headerSpan = 5 * time.Second
	idleSpan   = 2 * time.Minute
)

type listeners struct {
	clients, peers, ready, metrics net.Listener
}

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

// Ready tells whether the entry wants new connections of clients. One that is cut off
// from the holder of its zone leaves them to others.
func (n *Node) Ready() bool { return n.routes.Version() > 0 && !n.closing() }

// closing tells whether clients are to open a new connection, to another entry.
func (n *Node) closing() bool { return n.draining.Load() || n.stranded.is(time.Now()) }

// Run serves until the context ends, then drains.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("entry starts", "vm", n.settings.VM, "zone", n.settings.Zone, "life", n.life, "clients", n.settings.Listen,
		"peers", n.settings.Peers, "store", n.settings.Store, "seeds", n.settings.Seeds)
	clients := &http.Server{Handler: n.clientRoutes(), ReadHeaderTimeout: headerSpan, IdleTimeout: idleSpan}
	failures := make(chan error, 4)
	var servers sync.WaitGroup
	all := []*http.Server{clients}
	servers.Go(func() { serve(clients, n.listeners.clients, failures) })
	for _, s := range []struct {
		handler  http.Handler
		listener net.Listener
	}{{n.peerRoutes(), n.listeners.peers}, {n.readyRoutes(), n.ready}, {n.measures.handler(), n.metrics}} {
		if s.listener == nil {
			continue
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerSpan}
		all = append(all, server)
		servers.Go(func() { serve(server, s.listener, failures) })
	}
	for _, f := range n.followers() {
		n.loops.Go(func() { f.Run(n.ctx) })
	}
	for _, loop := range []func(context.Context){n.beatLoop, n.contactLoop, n.desk.Run, n.workersLoop} {
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
	for _, s := range all {
		_ = s.Close() // nothing is left to lose
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

// Abort ends the node at once, as a kill of the process would: connections are
// cut and nothing is told to anybody.
func (n *Node) Abort() { n.cancel() }

func serve(server *http.Server, listener net.Listener, failures chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}

func (n *Node) clientRoutes() http.Handler {
	ingress := &platform.Ingress{
		Find: n.routes.Find, Submit: n.submit, JobState: n.look, Cancel: n.cancelJob, Backlog: n.backlog,
		CloseConnection: n.closing, MaxBodyBytes: n.routes.MaxBodyBytes,
	}
	e := echo.New()
	e.Any("/*", echo.WrapHandler(ingress))
	return e
}

func (n *Node) peerRoutes() http.Handler {
	return (&peer.Server{OnBeat: n.heard, Pool: peer.Pool{
		OnPlace: n.onPlace, OnAwait: n.onAwait, OnSettle: n.desk.DeliverResults, OnWithdraw: n.onWithdraw,
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

// submit serves one job. Jobs whose end must be kept are refused: they are not
// stored yet.
func (n *Node) submit(ctx context.Context, b *batch.Batch) batch.Result {
	if reason := unserved(b); reason != "" {
		r := batch.Result{ID: b.ID, State: batch.Refused, Reason: reason, RetryAt: time.Now().Add(unservedRetry)}
		n.jobEnded(b, r, 0)
		return r
	}
	return n.desk.Submit(ctx, b)
}

// unservedRetry is when a client may try again a job of a kind that is not served.
const unservedRetry = 30 * time.Second

// unserved says why a job is of a kind that is not served, or nothing.
func unserved(b *batch.Batch) string {
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

func (n *Node) look(_ context.Context, _ batch.QueueSettings, id string) (batch.State, bool) {
	return n.desk.JobState(id)
}

func (n *Node) cancelJob(context.Context, batch.QueueSettings, string) bool { return false }

// backlog is that of the jobs whose acceptance clients have been told of. Those
// served today are accepted with their end.
func (n *Node) backlog(batch.QueueSettings) int { return 0 }

// Spans of a graceful stop, which has to end within the grace that the platform
// gives.
const (
	noticeSpan = 2200 * time.Millisecond // the platform sends new connections for two missed checks
	stopMargin = 600 * time.Millisecond  // before the platform kills the process
)

// drain hands the groups over and lets the requests under way end.
func (n *Node) drain(clients *http.Server) {
	deadline := time.Now().Add(n.settings.Grace - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.draining.Store(true)
	n.log.Info("entry drains", "vm", n.settings.VM, "jobs", n.desk.Len())
	n.members.Update(func(r *member.Record) { r.Leaving, r.Ready = true, false })
	n.announce(ctx)
	wait.For(ctx, min(noticeSpan, n.settings.Grace/2))
	if err := clients.Shutdown(ctx); err != nil {
		n.log.Warn("requests cut off at the end of the grace", "jobs", n.desk.Len(), "error", err)
	}
}
