// Package entry assembles the process of radishgate serve, which accepts jobs from callers and runs their tasks on upstreams.
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

	"github.com/radishgate/radishgate/answercache"
	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/claim"
	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/dispatch"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/exchange"
	"github.com/radishgate/radishgate/idempotency"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/gateway/occupancy"
	"github.com/radishgate/radishgate/job"
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
	"github.com/radishgate/radishgate/upstream"
	"github.com/radishgate/radishgate/window"
)

// windowSlots is the number of time slots into which the key window is divided.
const windowSlots = 60

// Options configures an entry. A listener that is nil is opened at its address
// in the settings; passing one lets a test know its port in advance. Run closes the
// listeners. Settings is required; without Log nothing is logged, and without Platform
// a client for the address in the settings is used.
type Options struct {
	Settings         *settings.Settings
	Log              *slog.Logger
	Platform         *platform.Client
	CallerListener   net.Listener
	PeerListener     net.Listener
	OperatorListener net.Listener
	// WrapTransport, if set, wraps the HTTP transport to other entries. Tests use
	// it to simulate network partitions.
	WrapTransport func(http.RoundTripper) http.RoundTripper
}

// Entry is one process of the dispatcher. It shares upstreams, quotas and keys
// with the other entries, its peers.
type Entry struct {
	settings    *settings.Settings
	log         *slog.Logger
	platform    *platform.Client
	tlsConfig   *tls.Config
	incarnation uint64          // random number of this process start
	baseCtx     context.Context // ends when the entry stops or is aborted
	cancel      context.CancelFunc
	startedAt   time.Time

	callerListener, peerListener, operatorListener net.Listener
	guard                                          *ingress.Guard

	metrics       *measure.Metrics
	rollout       *rollout.Rollout
	members       *member.Table
	ledger        *loan.Ledger
	estimator     *estimate.Estimator
	outliers      *outlier.Detector
	dispatcher    *dispatch.Dispatcher
	borrower      *exchange.Borrower
	keyWindow     *window.Window[*job.Job]
	keyCounts     occupancy.Table[string] // keys of the window and of each partition
	router        *idempotency.Router
	quotaLimiter  *quota.Limiter
	callerHandler *caller.Server
	peerClient    *peer.Client
	peerBytes     *counted.Counter

	wasReady          atomic.Bool // stays true once the entry has been ready
	fetchingEstimates atomic.Bool
	vmListRead        atomic.Bool    // the list has been read at least once
	draining          atomic.Bool    // no longer ready, but still serving
	closing           atomic.Bool    // accepts no new jobs and closes callers' connections
	admittedJobs      sync.WaitGroup // jobs that were admitted and have not ended

	// Only vmListLoop may access the VM list.
	vms           map[string]platform.VM
	vmListVersion int64

	mu                 sync.Mutex
	upstreams          map[string]*upstream.Client
	leaving            map[string]bool                    // upstreams that the platform's list marks as leaving
	leaseEnds          map[string]time.Time               // by upstream
	partitions         map[int]*claim.Partition[*job.Job] // of chosen keys, by number
	memberDemands      map[string]memberDemand            // by other entry of the same zone
	zoneDemands        map[string]zoneDemand              // by name of the other zone
	homeSlots          map[string]int                     // by upstream, the slots whose home is this entry
	homesGeneration    uint64                             // of the member table that homeSlots was computed from
	homesBundleVersion int64                              // of the bundle that homeSlots was computed from
}

// New creates an entry and opens its listeners; Run starts it. It fails if an
// address cannot be listened on or the TLS files for peers cannot be loaded.
func New(options Options) (*Entry, error) {
	s := options.Settings
	e := &Entry{
		settings: s, log: options.Log, platform: options.Platform, incarnation: rand.Uint64() | 1,
		callerListener: options.CallerListener, peerListener: options.PeerListener, operatorListener: options.OperatorListener,
		metrics: measure.New(), peerBytes: &counted.Counter{}, startedAt: time.Now(),
		upstreams: map[string]*upstream.Client{}, leaving: map[string]bool{}, leaseEnds: map[string]time.Time{},
		partitions:    map[int]*claim.Partition[*job.Job]{},
		memberDemands: map[string]memberDemand{}, zoneDemands: map[string]zoneDemand{}, homeSlots: map[string]int{}, vms: map[string]platform.VM{},
	}
	if e.log == nil {
		e.log = slog.New(slog.DiscardHandler)
	}
	if e.platform == nil {
		e.platform = platform.New(s.PlatformAddress)
	}
	if s.TLSCertFile != "" {
		tlsConfig, err := peer.NewTLSConfig(s.TLSCertFile, s.TLSKeyFile, s.TLSCAFile)
		if err != nil {
			return nil, err
		}
		e.tlsConfig = tlsConfig
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.baseCtx, e.cancel = context.WithCancel(context.Background())
	e.build(options.WrapTransport)
	return e, nil
}

// listen opens the listeners that were not passed in the options.
func (e *Entry) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&e.callerListener, e.settings.CallerAddress}, {&e.peerListener, e.settings.PeerAddress}, {&e.operatorListener, e.settings.OperatorAddress}} {
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

// Heartbeats without news of a member after which it is suspected and counts as dead, and those
// in which the members agree about it: until its death, and two more for the news of it to spread.
const (
	suspectHeartbeats = 4
	deadHeartbeats    = 6
	settleHeartbeats  = deadHeartbeats - suspectHeartbeats + 2
)

// build creates the components in the order of their dependencies.
func (e *Entry) build(wrapTransport func(http.RoundTripper) http.RoundTripper) {
	s := e.settings
	e.guard = newGuard(e)
	e.peerClient = peer.NewClient(e.tlsConfig, e.peerBytes, wrapTransport)
	e.members = member.New(member.Options{
		SuspectAfter: suspectHeartbeats * s.HeartbeatInterval, DeadAfter: deadHeartbeats * s.HeartbeatInterval,
		Self: member.Record{
			ID: s.VM, Zone: s.Zone, PeerAddress: e.peerListener.Addr().String(), Incarnation: e.incarnation, Weight: s.Weight,
		},
	})
	e.rollout = rollout.New(rollout.Options{
		Log: e.platform.Log(rollout.Stream), Signers: s.Signers, CheckpointAfter: s.CheckpointAfter, OnChange: e.applyBundle,
	})
	e.ledger = loan.New(loan.Options{LoanDuration: s.LoanDuration})
	e.estimator = estimate.New(time.Now)
	e.outliers = outlier.New(outlier.Options{})
	e.quotaLimiter = quota.New(time.Now)
	e.buildDispatcher()
	e.keyWindow = window.New[*job.Job](window.Options{
		SlotWidth: s.KeyRetention / windowSlots, Slots: windowSlots, KeyRoom: e.keyRoom("window"),
	})
	e.buildRouter()
	// A larger body would be refused for lack of memory each time that its caller sends it.
	limits := e.guard.Limits()
	e.callerHandler = caller.New(caller.Options{
		Router: e.router, OnRefusal: e.countRefusal, IsStopping: e.closing.Load, IsReady: e.Ready,
		MaxBodyBytes: min(s.MaxBodyBytes, limits.MaxBodyBytes()), TransferTimeout: s.TransferTimeout, Reserve: e.guard.Reserve, ReserveJob: e.guard.ReserveJob,
	})
	e.registerGauges()
}

func (e *Entry) buildDispatcher() {
	e.dispatcher = dispatch.New(dispatch.Options{
		Zone: e.settings.Zone, Ledger: e.ledger, Estimator: e.estimator, Outliers: e.outliers,
		Send: e.sendToUpstream, IsLeaving: e.isLeaving, LeaseEnd: e.leaseEnd, OnOutcome: e.metrics.RecordOutcome,
		OnSlotShortage: func() { e.borrower.Wake() }, OnNewWorkQueued: func() { e.borrower.NewWork() },
	})
	e.borrower = exchange.New(exchange.Options{
		Ledger: e.ledger, Self: e.settings.VM, SendRequest: e.borrow, ZonePeers: e.zonePeers, RemotePeers: e.remotePeers,
		Demand: e.dispatcher.Demand, OnBorrowed: e.dispatcher.Schedule,
		CountMessage: func(kind string) { e.metrics.Messages.WithLabelValues(kind).Inc() },
	})
}

func (e *Entry) buildRouter() {
	e.router = idempotency.New(idempotency.Options{
		Self:        origin.Key{Zone: e.settings.Zone, VM: e.settings.VM, Incarnation: e.incarnation},
		BaseContext: e.baseCtx, MaxAnswerBytes: e.settings.AnswerCacheBytes, Window: e.keyWindow, AnswerCache: answercache.New(e.settings.AnswerCacheBytes, e.settings.KeyRetention),
		Partition: e.partition, PartitionOwner: e.partitionOwner, FindMember: e.members.Find, Bundle: e.rollout.Bundle,
		Admit: e.admit, SettleTime: settleHeartbeats * e.settings.HeartbeatInterval,
		ForwardSubmit: func(ctx context.Context, to member.Record, s idempotency.Submission) (idempotency.Result, error) {
			e.metrics.Messages.WithLabelValues("forward").Inc()
			return e.peerClient.Submit(ctx, to.PeerAddress, s)
		},
		ForwardQuery: func(ctx context.Context, to member.Record, q idempotency.Query) (idempotency.Result, error) {
			e.metrics.Messages.WithLabelValues("forward").Inc()
			return e.peerClient.Query(ctx, to.PeerAddress, q)
		},
		Accepting: func() bool { return !e.closing.Load() },
	})
}

func (e *Entry) registerGauges() {
	m := e.metrics
	m.RegisterGauge("backlog_tasks", "Tasks that wait.", func() float64 { return float64(e.dispatcher.Backlog()) })
	m.RegisterGauge("keys", "Keys in the window.", func() float64 { return float64(e.keyWindow.Len()) })
	m.RegisterGauge("bundle_version", "Version in force.", func() float64 { return float64(e.bundleVersion()) })
	m.RegisterGauge("ready", "1 when ready for callers.", func() float64 {
		if e.Ready() {
			return 1
		}
		return 0
	})
	m.RegisterGauge("upstreams_aside", "Upstreams put aside as outliers.", func() float64 { return float64(len(e.outliers.EjectedNames())) })
	m.RegisterGauge("control_read_bytes", "Bytes read from other entries.", func() float64 { return float64(e.peerBytes.BytesRead.Load()) })
	m.RegisterGauge("control_written_bytes", "Bytes written to other entries.", func() float64 { return float64(e.peerBytes.BytesWritten.Load()) })
	m.RegisterGauge("slots_home", "Slots that have their home here.", func() float64 { h, _, _ := e.ledger.Totals(); return float64(h) })
	m.RegisterGauge("slots_lent", "Slots lent to other entries.", func() float64 { _, l, _ := e.ledger.Totals(); return float64(l) })
	m.RegisterGauge("slots_borrowed", "Slots borrowed from other entries.", func() float64 { _, _, b := e.ledger.Totals(); return float64(b) })
}

// Addresses returns the addresses of the listeners for callers, peers and operators.
func (e *Entry) Addresses() (string, string, string) {
	return e.callerListener.Addr().String(), e.peerListener.Addr().String(), e.operatorListener.Addr().String()
}

// Ready reports whether callers should be routed to this entry: a bundle is in
// force and the slots that have their home here can be used. An entry that has
// been ready stays ready until it drains.
func (e *Entry) Ready() bool {
	if e.draining.Load() || e.rollout.Bundle() == nil {
		return false
	}
	if e.wasReady.Load() {
		return true
	}
	age := time.Since(e.startedAt)
	if age < readyAfterHeartbeats*e.settings.HeartbeatInterval || !e.ledger.MostlyActive() {
		return false
	}
	if !e.vmListRead.Load() && age < 2*readyAfterHeartbeats*e.settings.HeartbeatInterval {
		return false // the wait is bounded because the platform may be unreachable
	}
	e.wasReady.Store(true)
	return true
}

// readyAfterHeartbeats is the number of heartbeats after which this entry's weight
// has reached its full value, so that it may become ready.
const readyAfterHeartbeats = rampSteps + 2

func (e *Entry) bundleVersion() int64 {
	if b := e.rollout.Bundle(); b != nil {
		return b.Version
	}
	return 0
}

// Metrics returns the metrics of this entry, for tests and reports.
func (e *Entry) Metrics() *measure.Metrics { return e.metrics }

// PeerBytes returns the number of bytes read from and written to other entries.
func (e *Entry) PeerBytes() (int64, int64) {
	return e.peerBytes.BytesRead.Load(), e.peerBytes.BytesWritten.Load()
}

// BundleVersion returns the version of the bundle in force, or 0 if there is none.
func (e *Entry) BundleVersion() int64 { return e.bundleVersion() }

// applyBundle puts a new bundle in force.
func (e *Entry) applyBundle(b *bundle.Bundle) {
	quotas := map[string]float64{}
	for name, t := range b.Tenants {
		quotas[name] = t.Quota
	}
	e.quotaLimiter.SetLimits(quotas, len(b.Zones()))
	e.updateUpstreams(b)
	e.assignHomes(b)
	e.dispatcher.Apply(b)
	e.members.UpdateSelf(func(r *member.Record) { r.BundleVersion = b.Version })
	e.metrics.StateChanges.WithLabelValues("bundle").Inc()
	e.log.Info("bundle in force", "version", b.Version, "upstreams", len(b.Upstreams), "services", len(b.Services))
}

// updateUpstreams creates a client for each upstream that is new or whose address
// changed, and closes the clients of upstreams that left the bundle.
func (e *Entry) updateUpstreams(b *bundle.Bundle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, u := range b.Upstreams {
		if old, ok := e.upstreams[name]; ok && old.Address() == u.Address {
			continue
		}
		e.upstreams[name] = upstream.New(upstream.Options{Name: name, Address: u.Address, MaxConnections: u.MaxConnections})
	}
	for name, c := range e.upstreams {
		if _, ok := b.Upstreams[name]; !ok {
			c.Close()
			delete(e.upstreams, name)
			e.ledger.RemoveUpstream(name)
			delete(e.homeSlots, name)
		}
	}
}

// sendToUpstream runs a call on the named upstream. If the upstream is no longer
// in the bundle, the failure says that the task was not run.
func (e *Entry) sendToUpstream(ctx context.Context, name string, call upstream.Call) (upstream.Answer, error) {
	e.mu.Lock()
	c, ok := e.upstreams[name]
	e.mu.Unlock()
	if !ok {
		return upstream.Answer{}, &upstream.Failure{Upstream: name, Outcome: upstream.NotRun, Cause: &UpstreamRemovedError{Upstream: name}}
	}
	return c.Do(ctx, call)
}

// UpstreamRemovedError reports a call to an upstream that is no longer in the bundle.
type UpstreamRemovedError struct{ Upstream string }

// Error implements error.
func (e *UpstreamRemovedError) Error() string {
	return "upstream " + e.Upstream + " is no longer in the bundle"
}

// isLeaving reports whether an upstream is about to stop, according to the
// platform's list or to the upstream itself.
func (e *Entry) isLeaving(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.upstreams[name]
	return e.leaving[name] || (ok && c.IsLeaving())
}

// leaseEnd returns when the platform's lease of an upstream ends, if it has one.
func (e *Entry) leaseEnd(name string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	end, ok := e.leaseEnds[name]
	return end, ok
}

// keyRoom returns a function that records how many keys an owner holds, and returns how many the other owners leave to it.
func (e *Entry) keyRoom(owner string) func(held int) int {
	return func(held int) int {
		e.keyCounts.Set(owner, int64(held))
		return int(max(0, e.keyCounts.Room(owner, int64(e.settings.MaxKeys))))
	}
}

// partition returns the partition of chosen keys with this index and creates it
// on first use. The index is part of the name of its log stream.
func (e *Entry) partition(index int) *claim.Partition[*job.Job] {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.partitions[index]
	if !ok {
		name := "claims-" + strconv.Itoa(index)
		p = claim.New[*job.Job](claim.Options{
			Log:          e.platform.Log(name),
			Owner:        e.settings.VM + "~" + strconv.FormatUint(e.incarnation, 16),
			KeyRetention: e.settings.KeyRetention, KeyRoom: e.keyRoom(name), Nonce: rand.Uint64,
		})
		e.partitions[index] = p
	}
	return p
}
