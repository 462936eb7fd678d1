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
	"github.com/radishgate/radishgate/measure"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
)

// Bounds of the servers towards callers.
const (
	headerSpan = 10 * time.Second
	idleSpan   = 2 * time.Minute
	maxHeader  = 64 << 10 // bytes
)

// Run serves until ctx ends, then drains: the entry is no longer ready, works
// on for the notice, hands connections back, lets everything in flight end
// within the drain span, and forwards keys until the end. It returns when all
// its goroutines have ended.
func (e *Entry) Run(ctx context.Context) error {
	var servers, loops sync.WaitGroup
	callers := e.serveCallers()
	peers := e.servePeers()
	operators := &http.Server{Handler: e.operatorsRoutes(), ReadHeaderTimeout: headerSpan}
	failures := make(chan error, 3)
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{callers, e.callers}, {peers, e.bytes.WrapListener(e.peers)}, {operators, e.operators}} {
		servers.Go(func() { e.serve(s.server, s.listener, failures) })
	}
	exchanging, stopExchange := context.WithCancel(e.life)
	defer stopExchange()
	for _, loop := range []func(context.Context){e.rollout.Run, e.beatLoop, e.ownLoop, e.listLoop} {
		loops.Go(func() { loop(e.life) })
	}
	loops.Go(func() { e.exchange.Run(exchanging) })
	e.log.Info("entry serves", "vm", e.settings.VM, "zone", e.settings.Zone, "callers", e.callers.Addr().String())
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	case <-e.life.Done():
	}
	if e.life.Err() == nil {
		e.drain(callers)
	} else {
		cut(callers, peers, operators)
	}
	stopExchange()
	e.end()
	loops.Wait()
	closeServers(callers, peers, operators)
	servers.Wait()
	e.dispatcher.Idle()
	e.close()
	e.log.Info("entry stopped", "vm", e.settings.VM)
	return failure
}

// lastSpan is the time for answers to forwarded keys that are being written when
// the last job ends.
const lastSpan = time.Second

// cut closes all connections at once.
func cut(servers ...*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}

// closeServers lets answers that are being written leave, then closes all.
func closeServers(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastSpan)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
}

// Abort ends the entry at once, as a kill of the process would: connections
// are cut and nothing is told to anybody.
func (e *Entry) Abort() { e.end() }

func (e *Entry) serve(server *http.Server, listener net.Listener, failures chan<- error) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}

func (e *Entry) serveCallers() *http.Server {
	return &http.Server{Handler: e.server, ReadHeaderTimeout: headerSpan, IdleTimeout: idleSpan, MaxHeaderBytes: maxHeader}
}

func (e *Entry) servePeers() *http.Server {
	handler := (&peer.Server{
		OnBeat: e.heard, OnBorrow: e.lend, OnSubmit: e.keeper.Submit, OnLook: e.keeper.Look, Chain: e.chain, Lesson: e.estimator.Lesson,
	}).Handler()
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerSpan, TLSConfig: e.keys}
}

// drain is the graceful stop.
func (e *Entry) drain(callers *http.Server) {
	deadline := time.Now().Add(e.settings.CloseDelay + e.settings.DrainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e.draining.Store(true)
	e.measures.Changes.WithLabelValues("draining").Inc()
	e.log.Info("entry drains", "vm", e.settings.VM, "until", deadline)
	e.leave(ctx)
	wait.For(ctx, e.settings.CloseDelay)
	e.closing.Store(true)
	_ = callers.Shutdown(ctx)
	idle := make(chan struct{})
	go func() {
		e.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		e.log.Warn("entry gives up what still runs", "vm", e.settings.VM, "backlog", e.dispatcher.Backlog())
	}
}

// leave tells every member of the own zone, and the usual ones elsewhere, that
// this entry is no home any more.
func (e *Entry) leave(ctx context.Context) {
	e.members.Update(func(r *member.Record) { r.Leaving, r.Ready = true, false })
	records, targets := e.members.Beat()
	targets = append(targets, e.members.Live(e.settings.Zone)...)
	beat := e.compose(records, false)
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() { e.gossip(ctx, target, beat) })
	}
	group.Wait()
	e.replace()
	e.dispatcher.Kick()
}

func (e *Entry) close() {
	e.client.Close()
	e.platform.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.upstreams {
		c.Close()
	}
}

// Status is what an entry tells its operators.
type Status struct {
	VM        string            `json:"vm"`
	Zone      string            `json:"zone"`
	Ready     bool              `json:"ready"`
	Draining  bool              `json:"draining"`
	Version   int64             `json:"version"`
	Bundle    string            `json:"bundle"`
	Log       bool              `json:"log"` // the last read of the log worked
	Backlog   int               `json:"backlog"`
	Home      int               `json:"home"`
	Lent      int               `json:"lent"`
	Borrowed  int               `json:"borrowed"`
	Keys      int               `json:"keys"`
	Aside     []string          `json:"aside"`
	Leaving   []string          `json:"leaving"`
	Members   map[string]string `json:"members"`
	Partition []int             `json:"partitions"`
}

// Status gives the present state.
func (e *Entry) Status() Status {
	s := Status{
		VM: e.settings.VM, Zone: e.settings.Zone, Ready: e.Ready(), Draining: e.draining.Load(),
		Version: e.version(), Bundle: e.rollout.ID(), Log: e.rollout.LogReadable(), Backlog: e.dispatcher.Backlog(),
		Keys: e.window.Len(), Aside: e.board.Names(), Members: map[string]string{},
	}
	s.Home, s.Lent, s.Borrowed = e.ledger.Totals()
	states := [...]string{"alive", "suspect", "dead"}
	for id, state := range e.members.Known() {
		s.Members[id] = states[state]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.leaving {
		s.Leaving = append(s.Leaving, name)
	}
	for index, p := range e.partitions {
		if p.Owned() {
			s.Partition = append(s.Partition, index)
		}
	}
	return s
}

// operatorsRoutes serves status, metrics, probes and, where switched on, profiles.
func (e *Entry) operatorsRoutes() http.Handler {
	routes := echo.New()
	routes.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Status()) })
	all := prometheus.Gatherers{e.measures.Registry, measure.Process()}
	routes.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(all, promhttp.HandlerOpts{})))
	routes.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	routes.GET("/ready", func(c echo.Context) error {
		if e.Ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	})
	if e.settings.Pprof {
		routes.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
		routes.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	}
	return routes
}
