package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/measure"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10 // bytes
)

// Run serves until ctx ends, then drains: the entry is no longer ready but keeps
// working for the notice period, then closes callers' connections and lets
// everything in flight finish within the drain timeout. It forwards keys until
// the end. It returns when all its goroutines have ended.
func (e *Entry) Run(ctx context.Context) error {
	var servers, loops sync.WaitGroup
	callerServer := e.newCallerServer()
	peerServer := e.newPeerServer()
	operatorServer := &http.Server{Handler: e.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	for _, s := range []*http.Server{callerServer, peerServer, operatorServer} {
		e.guard.Attach(s)
	}
	serveErrors := make(chan error, 3)
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{
		{callerServer, e.guard.Clients(e.callerListener)},
		{peerServer, e.guard.Entries(e.peerBytes.WrapListener(e.peerListener))},
		{operatorServer, e.guard.Operators(e.operatorListener)},
	} {
		servers.Go(func() { e.serve(s.server, s.listener, serveErrors) })
	}
	borrowerCtx, stopBorrower := context.WithCancel(e.baseCtx)
	defer stopBorrower()
	for _, loop := range []func(context.Context){e.rollout.Run, e.heartbeatLoop, e.partitionLoop, e.vmListLoop, e.guard.Run} {
		loops.Go(func() { loop(e.baseCtx) })
	}
	loops.Go(func() { e.borrower.Run(borrowerCtx) })
	e.log.Info("entry serves", "vm", e.settings.VM, "zone", e.settings.Zone, "callers", e.callerListener.Addr().String())
	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-serveErrors:
	case <-e.baseCtx.Done():
	}
	if e.baseCtx.Err() == nil {
		e.drain(callerServer)
	} else {
		closeNow(callerServer, peerServer, operatorServer)
	}
	stopBorrower()
	e.cancel()
	loops.Wait()
	shutdownServers(callerServer, peerServer, operatorServer)
	servers.Wait()
	e.dispatcher.WaitIdle()
	e.closeClients()
	e.log.Info("entry stopped", "vm", e.settings.VM)
	return serveErr
}

// newGuard returns the guard of the servers. Limits that are 0, as in tests, follow from the process.
func newGuard(e *Entry) *ingress.Guard {
	limits := e.settings.Ingress
	if limits == (ingress.Limits{}) {
		limits = ingress.DefaultLimits(ingress.ProcessMemory(), ingress.DescriptorLimit())
	}
	return ingress.New(ingress.Options{
		Limits: limits, Log: e.log, OnRefuse: func(cause string) { e.metrics.LimitRefusals.WithLabelValues(cause).Inc() },
		HeaderTimeout: func() time.Duration { return headerTimeout },
	})
}

// shutdownTimeout bounds the writing of responses to forwarded keys that are still
// in flight when the last job ends.
const shutdownTimeout = time.Second

// closeNow closes all connections of the servers at once.
func closeNow(servers ...*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// shutdownServers lets each server finish writing its responses, then closes it.
func shutdownServers(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
}

// Abort ends the entry at once, as killing the process would: connections are
// closed and neither callers nor peers are notified.
func (e *Entry) Abort() { e.cancel() }

// serve runs a server until it is closed and sends any other error to errs.
func (e *Entry) serve(server *http.Server, listener net.Listener, errs chan<- error) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		errs <- err
	}
}

func (e *Entry) newCallerServer() *http.Server {
	return &http.Server{Handler: e.callerHandler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (e *Entry) newPeerServer() *http.Server {
	handler := (&peer.Server{
		OnHeartbeat: e.answerHeartbeat, OnBorrow: e.lend, OnSubmit: e.router.Submit, OnQuery: e.router.Query, BundleRecords: e.bundleChainAbove, EstimatorSnapshot: e.estimator.Snapshot,
	}).Handler()
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, TLSConfig: e.tlsConfig}
}

// drain stops the entry gracefully. It returns when all admitted jobs have ended,
// at the latest after the notice period and the drain timeout.
func (e *Entry) drain(callerServer *http.Server) {
	deadline := time.Now().Add(e.settings.CloseDelay + e.settings.DrainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e.draining.Store(true)
	e.metrics.StateChanges.WithLabelValues("draining").Inc()
	e.log.Info("entry drains", "vm", e.settings.VM, "until", deadline)
	e.announceLeaving(ctx)
	wait.For(ctx, e.settings.CloseDelay)
	e.closing.Store(true)
	_ = callerServer.Shutdown(ctx)
	jobsDone := make(chan struct{})
	go func() {
		e.admittedJobs.Wait()
		close(jobsDone)
	}()
	select {
	case <-jobsDone:
	case <-ctx.Done():
		e.log.Warn("drain timed out, entry abandons unfinished jobs", "vm", e.settings.VM, "backlog", e.dispatcher.Backlog())
	}
}

// announceLeaving sends a heartbeat to every member of the zone, and to the regular
// targets in other zones, saying that this entry is no longer a home of slots.
func (e *Entry) announceLeaving(ctx context.Context) {
	e.members.UpdateSelf(func(r *member.Record) { r.Leaving, r.Ready = true, false })
	records, targets := e.members.NextHeartbeat()
	targets = append(targets, e.members.Live(e.settings.Zone)...)
	heartbeat := e.buildHeartbeat(records, false)
	var sends sync.WaitGroup
	for _, target := range targets {
		sends.Go(func() { e.exchangeHeartbeat(ctx, target, heartbeat) })
	}
	sends.Wait()
	e.updateHomes()
	e.dispatcher.Schedule()
}

// closeClients closes the connections to peers, the platform and upstreams.
func (e *Entry) closeClients() {
	e.peerClient.Close()
	e.platform.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.upstreams {
		c.Close()
	}
}

// Status is the state of an entry as operators see it at /v1/status.
type Status struct {
	VM               string            `json:"vm"`
	Zone             string            `json:"zone"`
	Ready            bool              `json:"ready"`
	Draining         bool              `json:"draining"`
	BundleVersion    int64             `json:"version"`
	BundleID         string            `json:"bundle"`
	LogReadable      bool              `json:"log"` // the last read of the bundle log succeeded
	Backlog          int               `json:"backlog"`
	HomeSlots        int               `json:"home"`
	LentSlots        int               `json:"lent"`
	BorrowedSlots    int               `json:"borrowed"`
	Keys             int               `json:"keys"`
	EjectedUpstreams []string          `json:"aside"`
	LeavingUpstreams []string          `json:"leaving"`
	Members          map[string]string `json:"members"`
	OwnedPartitions  []int             `json:"partitions"`
}

// Status returns the current state.
func (e *Entry) Status() Status {
	s := Status{
		VM: e.settings.VM, Zone: e.settings.Zone, Ready: e.Ready(), Draining: e.draining.Load(),
		BundleVersion: e.bundleVersion(), BundleID: e.rollout.ID(), LogReadable: e.rollout.LogReadable(), Backlog: e.dispatcher.Backlog(),
		Keys: e.keyWindow.Len(), EjectedUpstreams: e.outliers.EjectedNames(), Members: map[string]string{},
	}
	s.HomeSlots, s.LentSlots, s.BorrowedSlots = e.ledger.Totals()
	states := [...]string{"alive", "suspect", "dead"}
	for id, state := range e.members.States() {
		s.Members[id] = states[state]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.leaving {
		s.LeavingUpstreams = append(s.LeavingUpstreams, name)
	}
	for index, p := range e.partitions {
		if p.Owned() {
			s.OwnedPartitions = append(s.OwnedPartitions, index)
		}
	}
	return s
}

// operatorHandler serves status, metrics, health probes and, if enabled in the
// settings, pprof profiles.
func (e *Entry) operatorHandler() http.Handler {
	router := echo.New()
	router.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Status()) })
	gatherers := prometheus.Gatherers{e.metrics.Registry, measure.ProcessGatherer()}
	router.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(gatherers, promhttp.HandlerOpts{})))
	router.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	router.GET("/ready", func(c echo.Context) error {
		if e.Ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	})
	if e.settings.Pprof {
		router.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
		router.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	}
	return router
}
