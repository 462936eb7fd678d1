// Package entry puts the parts together into the process that stands between callers and upstreams.
package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/dispatch"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/exchange"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/keeper"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/measure"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/outlier"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/quota"
	"github.com/radishgate/radishgate/rollout"
	"github.com/radishgate/radishgate/settings"
	"github.com/radishgate/radishgate/shelf"
	"github.com/radishgate/radishgate/upstream"
	"github.com/radishgate/radishgate/window"
)

// windowSlots divides the key window.
const windowSlots = 60

// Options of an entry. The listeners may be given, so that a test knows their
// ports; else they are opened at the addresses of the settings.
type Options struct {
	Settings  *settings.Settings
	Log       *slog.Logger
	Platform  *platform.Client
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
	// Wrap is put around the transport to other entries; tests cut it.
	Wrap func(http.RoundTripper) http.RoundTripper
}

// Entry is one process of the system.
type Entry struct {
	settings    *settings.Settings
	log         *slog.Logger
	platform    *platform.Client
	keys        *tls.Config
	incarnation uint64
	life        context.Context
	end         context.CancelFunc
	began       time.Time

	callers, peers, operators net.Listener

	measures   *measure.Measures
	rollout    *rollout.Rollout
	members    *member.Table
	ledger     *loan.Ledger
	estimator  *estimate.Estimator
	board      *outlier.Board
	dispatcher *dispatch.Dispatcher
	exchange   *exchange.Exchange
	window     *window.Window[*job.Job]
	keeper     *keeper.Keeper
	quota      *quota.Quota
	server     *caller.Server
	client     *peer.Client
	bytes      *counted.Counter

	settled  atomic.Bool
	learning atomic.Bool
	seen     atomic.Bool // the list of VMs has been read
	draining atomic.Bool
	closing  atomic.Bool
	running  sync.WaitGroup // keyed jobs

	// The VM list belongs to listLoop alone.
	vms    map[string]platform.VM
	listed int64 // version

	mu         sync.Mutex
	upstreams  map[string]*upstream.Client
	leaving    map[string]bool
	leases     map[string]time.Time
	partitions map[int]*claim.Partition[*job.Job]
	demands    map[string]heardDemand // by member of the own zone
	zones      map[string]zoneDemand  // by other zone
	homes      map[string]int         // slots at home here, by upstream
	placed     uint64                 // generation of members that homes follow
	placedBy   int64                  // bundle version that homes follow
}

// New makes an entry; Run starts it. Errors are those of listening and of the
// peers' keys.
func New(options Options) (*Entry, error) {
	s := options.Settings
	e := &Entry{
		settings: s, log: options.Log, platform: options.Platform, incarnation: rand.Uint64() | 1,
		callers: options.Callers, peers: options.Peers, operators: options.Operators,
		measures: measure.New(), bytes: &counted.Counter{}, began: time.Now(),
		upstreams: map[string]*upstream.Client{}, leaving: map[string]bool{}, leases: map[string]time.Time{},
		partitions: map[int]*claim.Partition[*job.Job]{},
		demands:    map[string]heardDemand{}, zones: map[string]zoneDemand{}, homes: map[string]int{}, vms: map[string]platform.VM{},
	}
	if e.log == nil {
		e.log = slog.New(slog.DiscardHandler)
	}
	if e.platform == nil {
		e.platform = platform.New(s.PlatformAddress)
	}
	if s.TLSCertFile != "" {
		keys, err := peer.TLS(s.TLSCertFile, s.TLSKeyFile, s.TLSCAFile)
		if err != nil {
			return nil, err
		}
		e.keys = keys
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.life, e.end = context.WithCancel(context.Background())
	e.build(options.Wrap)
	return e, nil
}

func (e *Entry) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&e.callers, e.settings.CallerAddress}, {&e.peers, e.settings.PeerAddress}, {&e.operators, e.settings.OperatorAddress}} {
		if *l.listener != nil {
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

// build makes the parts in the order in which they need each other.
func (e *Entry) build(wrap func(http.RoundTripper) http.RoundTripper) {
	s := e.settings
	e.client = peer.NewClient(e.keys, e.bytes, wrap)
	e.members = member.New(member.Options{
		Suspect: 4 * s.HeartbeatInterval, Dead: 6 * s.HeartbeatInterval,
		Self: member.Record{
			ID: s.VM, Zone: s.Zone, Peer: e.peers.Addr().String(), Incarnation: e.incarnation, Weight: s.Weight,
		},
	})
	e.rollout = rollout.New(rollout.Options{
		Log: e.platform.Log(rollout.Stream), Signers: s.Signers, CheckpointAfter: s.CheckpointAfter, OnChange: e.apply,
	})
	e.ledger = loan.New(loan.Options{Life: s.LoanDuration})
	e.estimator = estimate.New(time.Now)
	e.board = outlier.New(outlier.Options{})
	e.quota = quota.New(time.Now)
	e.buildDispatch()
	e.window = window.New[*job.Job](window.Options{
		Width: s.KeyRetention / windowSlots, Slots: windowSlots, Entries: s.MaxKeys,
	})
	e.buildKeeper()
	e.server = caller.New(caller.Options{
		Router: e.keeper, OnRefusal: e.refused, IsStopping: e.closing.Load, IsReady: e.Ready,
		MaxBodyBytes: s.MaxBodyBytes, TransferTimeout: s.TransferTimeout,
	})
	e.gauges()
}

func (e *Entry) buildDispatch() {
	e.dispatcher = dispatch.New(dispatch.Options{
		Zone: e.settings.Zone, Ledger: e.ledger, Estimator: e.estimator, Board: e.board,
		Send: e.send, Leaving: e.isLeaving, Lease: e.lease, Seen: e.measures.Start,
		Wake: func() { e.exchange.Wake() }, Fresh: func() { e.exchange.Fresh() },
	})
	e.exchange = exchange.New(exchange.Options{
		Ledger: e.ledger, Self: e.settings.VM, Ask: e.ask, Peers: e.nearPeers, Far: e.farPeers,
		Need: e.dispatcher.Need, Got: e.dispatcher.Kick,
		Count: func(kind string) { e.measures.Messages.WithLabelValues(kind).Inc() },
	})
}

func (e *Entry) buildKeeper() {
	e.keeper = keeper.New(keeper.Options{
		Self: origin.Key{Zone: e.settings.Zone, VM: e.settings.VM, Incarnation: e.incarnation},
		Life: e.life, Room: e.settings.AnswerCacheBytes, Window: e.window, Shelf: shelf.New(e.settings.AnswerCacheBytes, e.settings.KeyRetention),
		Partition: e.partition, Owner: e.owner, Find: e.members.Find, Bundle: e.rollout.Bundle,
		Admit: e.admit,
		Submit: func(ctx context.Context, to member.Record, s keeper.Submission) (keeper.Result, error) {
			e.measures.Messages.WithLabelValues("forward").Inc()
			return e.client.Submit(ctx, to.Peer, s)
		},
		Look: func(ctx context.Context, to member.Record, l keeper.Look) (keeper.Result, error) {
			e.measures.Messages.WithLabelValues("forward").Inc()
			return e.client.Look(ctx, to.Peer, l)
		},
		Accepting: func() bool { return !e.closing.Load() },
	})
}

func (e *Entry) gauges() {
	m := e.measures
	m.Gauge("backlog_tasks", "Tasks that wait.", func() float64 { return float64(e.dispatcher.Backlog()) })
	m.Gauge("keys", "Keys in the window.", func() float64 { return float64(e.window.Len()) })
	m.Gauge("bundle_version", "Version in force.", func() float64 { return float64(e.version()) })
	m.Gauge("ready", "1 when ready for callers.", func() float64 {
		if e.Ready() {
			return 1
		}
		return 0
	})
	m.Gauge("upstreams_aside", "Upstreams put aside as outliers.", func() float64 { return float64(len(e.board.Names())) })
	m.Gauge("control_read_bytes", "Bytes read from other entries.", func() float64 { return float64(e.bytes.BytesRead.Load()) })
	m.Gauge("control_written_bytes", "Bytes written to other entries.", func() float64 { return float64(e.bytes.BytesWritten.Load()) })
	m.Gauge("slots_home", "Slots that have their home here.", func() float64 { h, _, _ := e.ledger.Totals(); return float64(h) })
	m.Gauge("slots_lent", "Slots lent to other entries.", func() float64 { _, l, _ := e.ledger.Totals(); return float64(l) })
	m.Gauge("slots_borrowed", "Slots borrowed from other entries.", func() float64 { _, _, b := e.ledger.Totals(); return float64(b) })
}

// Addresses of the listeners: callers, peers, operators.
func (e *Entry) Addresses() (string, string, string) {
	return e.callers.Addr().String(), e.peers.Addr().String(), e.operators.Addr().String()
}

// Ready tells whether callers should be sent here: a bundle is in force and the
// slots that have their home here can be used. An entry that has been ready
// stays so until it drains.
func (e *Entry) Ready() bool {
	if e.draining.Load() || e.rollout.Bundle() == nil {
		return false
	}
	if e.settled.Load() {
		return true
	}
	age := time.Since(e.began)
	if age < settleBeats*e.settings.HeartbeatInterval || !e.ledger.Settled() {
		return false
	}
	if !e.seen.Load() && age < 2*settleBeats*e.settings.HeartbeatInterval {
		return false // the platform may be cut off, so this is not waited for without end
	}
	e.settled.Store(true)
	return true
}

// settleBeats is the number of heartbeats after which the ramp of the own
// weight is over.
const settleBeats = rampSteps + 2

func (e *Entry) version() int64 {
	if b := e.rollout.Bundle(); b != nil {
		return b.Version
	}
	return 0
}

// Measures gives the counters, for tests and reports.
func (e *Entry) Measures() *measure.Measures { return e.measures }

// Bytes gives the bytes read from and written to other entries.
func (e *Entry) Bytes() (int64, int64) { return e.bytes.BytesRead.Load(), e.bytes.BytesWritten.Load() }

// Version gives the bundle version in force, 0 for none.
func (e *Entry) Version() int64 { return e.version() }

// apply puts a new bundle in force.
func (e *Entry) apply(b *bundle.Bundle) {
	limits := map[string]float64{}
	for name, t := range b.Tenants {
		limits[name] = t.Quota
	}
	e.quota.Set(limits, len(b.Zones()))
	e.connect(b)
	e.place(b)
	e.dispatcher.Apply(b)
	e.members.Update(func(r *member.Record) { r.Version = b.Version })
	e.measures.Changes.WithLabelValues("bundle").Inc()
	e.log.Info("bundle in force", "version", b.Version, "upstreams", len(b.Upstreams), "services", len(b.Services))
}

// connect keeps one client for each upstream address.
func (e *Entry) connect(b *bundle.Bundle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, u := range b.Upstreams {
		if old, ok := e.upstreams[name]; ok && old.Address() == u.Address {
			continue
		}
		e.upstreams[name] = upstream.New(upstream.Options{Name: name, Address: u.Address, Connections: u.MaxConnections})
	}
	for name, c := range e.upstreams {
		if _, ok := b.Upstreams[name]; !ok {
			c.Close()
			delete(e.upstreams, name)
			e.ledger.Forget(name)
			delete(e.homes, name)
		}
	}
}

func (e *Entry) send(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error) {
	e.mu.Lock()
	c, ok := e.upstreams[name]
	e.mu.Unlock()
	if !ok {
		return upstream.Answer{}, &upstream.Failure{Upstream: name, Known: upstream.NotRun, Cause: &GoneError{Upstream: name}}
	}
	return c.Do(ctx, call)
}

// GoneError is an upstream that has left the bundle.
type GoneError struct{ Upstream string }

// Error names the upstream.
func (e *GoneError) Error() string { return "upstream " + e.Upstream + " is no longer in the bundle" }

func (e *Entry) isLeaving(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.upstreams[name]
	return e.leaving[name] || (ok && c.Leaving())
}

func (e *Entry) lease(name string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	end, ok := e.leases[name]
	return end, ok
}

// partition gives one partition of chosen keys; its stream carries its number.
func (e *Entry) partition(index int) *claim.Partition[*job.Job] {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.partitions[index]
	if !ok {
		p = claim.New[*job.Job](claim.Options{
			Log:    e.platform.Log("claims-" + strconv.Itoa(index)),
			Owner:  e.settings.VM + "~" + strconv.FormatUint(e.incarnation, 16),
			Window: e.settings.KeyRetention, Keys: e.settings.MaxKeys, Nonce: rand.Uint64,
		})
		e.partitions[index] = p
	}
	return p
}
