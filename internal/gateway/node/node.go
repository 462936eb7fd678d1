// Package node assembles an entry, the process that serves jobs, from its parts.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/internal/gateway/cancellation"
	"github.com/radishgate/radishgate/internal/gateway/evacuation"
	"github.com/radishgate/radishgate/internal/gateway/feed"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/gateway/isolation"
	"github.com/radishgate/radishgate/internal/gateway/occupancy"
	"github.com/radishgate/radishgate/internal/gateway/routes"
	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/internal/gateway/silence"
	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/placement/remote"
	"github.com/radishgate/radishgate/internal/worker/registry"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/platform"
)

// Options configure a node. Listeners are optional: those that are nil are opened from
// the settings. Tests pass their own to know the ports. Run closes all of them. The other
// options are required.
type Options struct {
	Settings        *settings.Settings
	Log             *slog.Logger
	DroppedLogLines func() int64 // number of log lines that were dropped
	Clients         net.Listener
	Peers           net.Listener
	Ready           net.Listener
	Metrics         net.Listener
}

// Node is one entry.
type Node struct {
	settings    *settings.Settings
	log         *slog.Logger
	incarnation uint64
	startedAt   time.Time

	listeners
	store       *platform.Store
	workers     *platform.WorkerClient
	client      *peer.Client
	members     *member.Table
	claims      *election.ClaimTable
	routes      *routes.Table
	registry    *registry.Registry
	tracker     *submission.Tracker
	instruments *instruments
	ingress     *ingress.Guard
	outbox      *outbox
	cancels     *cancellation.Exchange
	explainer   *explainer

	draining       atomic.Bool
	grace          atomic.Int64    // grace period of a stop, in nanoseconds
	answering      context.Context // ends shortly before the end of a drain, when all clients must get their answers
	endAnswers     context.CancelFunc
	isolation      isolation.Detector
	silence        silence.Monitor
	pauseDetector  pauseDetector
	registryState  registryState
	contacts       contacts
	candidateCache candidateCache

	evacuations      *evacuation.Set
	operatorPosition operatorPosition

	freeSlots      freeSlotsTable
	startedReports startedReports
	rosters        rosters
	remoteJobs     remote.Jobs
	occupancy      occupancy.Table[heldGroup]
	crowded        chan struct{} // holds a value after a client has found no room

	// syncMutex is held while the list of workers is applied to the holders, so that no older list
	// replaces a newer one. It is locked before mu.
	syncMutex sync.Mutex

	mu      sync.Mutex
	holders map[string]*holder.Holder // by group
	// registryReadAt is when the registry was first read; firstReadFailed reports
	// whether an attempt before that failed, registryOutdated whether the last attempt did.
	registryReadAt   time.Time
	firstReadFailed  bool
	registryOutdated bool
	// workersConfirmed reports whether an entry with a complete list of workers has had the same
	// one as this entry since it began to read the registry.
	workersConfirmed bool
	// doubtedGroups are the groups for which the list of workers lacks one that may be alive.
	doubtedGroups doubtedGroups
	// storeAwayAt is when reads of the store last failed or worked again, storeAwayBefore its value
	// when the registry was first read.
	storeAwayAt, storeAwayBefore time.Time

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// New returns a node with its listeners open. Run starts it.
func New(options Options) (*Node, error) {
	s := options.Settings
	n := &Node{
		settings: s, log: options.Log, incarnation: rand.Uint64() | 1, startedAt: time.Now(),
		store: platform.NewStore(s.Store), workers: platform.NewWorkerClient(),
		client: peer.NewClient(nil, &counted.Counter{}, nil),
		routes: routes.New(), registry: registry.New(), holders: map[string]*holder.Holder{},
		contacts:      newContacts(options.Log),
		registryState: registryState{changed: make(chan struct{}, 1)},
		crowded:       make(chan struct{}, 1),
		pauseDetector: pauseDetector{threshold: suspectHeartbeats * s.HeartbeatInterval},
		doubtedGroups: doubtedGroups{},
		freeSlots:     freeSlotsTable{groups: map[string]groupFreeSlots{}},
		evacuations:   evacuation.New(s.Zones),
	}
	n.freeSlots.excluded = n.inEvacuatedZone
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.grace.Store(int64(s.Grace))
	n.answering, n.endAnswers = context.WithCancel(n.ctx)
	if err := n.listen(options); err != nil {
		return nil, err
	}
	n.members = member.New(member.Options{
		Self: member.Record{ID: s.VM, Zone: s.Zone, PeerAddress: s.AdvertisedAddress, Incarnation: n.incarnation, Weight: s.Processors},
		// Jobs move to another entry once a member counts as dead. Declaring a live entry
		// dead causes a needless change of holder; detecting a death late costs a second
		// of service.
		SuspectAfter: suspectHeartbeats * s.HeartbeatInterval, DeadAfter: deadHeartbeats * s.HeartbeatInterval, Fanout: heartbeatFanout, MaxRelayed: heartbeatRelay,
	})
	n.claims = election.New(election.Options{
		Self:          election.Candidate{ID: s.VM, Incarnation: n.incarnation, Zone: s.Zone, Weight: s.Processors},
		TakeoverDelay: takeoverDelay,
		Known:         func(id string) bool { _, _, known := n.members.Find(id); return known },
		MayHavePeers:  n.othersMayRun,
	})
	n.instruments = newInstruments(n, options.DroppedLogLines)
	n.ingress = newGuard(n)
	n.outbox = newOutbox(n)
	n.explainer = newExplainer()
	n.cancels = n.newCancels()
	n.tracker = submission.New(submission.Options{
		Cancelled: n.cancels.Cancelled,
		Self:      s.VM, GroupOf: n.groupOfJob, FindHolder: n.currentHolder, Detour: n.detour, Redirect: n.redirect, Place: n.placeAt, Await: n.awaitAt, Withdraw: n.withdrawAt, Refuse: n.refuseAt,
		OnEnd: n.jobEnded, Log: n.log, Isolated: func() bool { return n.isolation.Isolated(time.Now()) }, ResultsLost: n.isolation.ResultsLost,
	})
	n.contacts.add(s.Seeds...)
	return n, nil
}

// Membership settings, see member.Options, and the delay before an entry without peers
// takes over a group.
const (
	suspectHeartbeats = 4                       // heartbeat intervals without news until a member is suspected
	deadHeartbeats    = 6                       // heartbeat intervals without news until a member counts as dead
	heartbeatFanout   = 3                       // receivers of each heartbeat in the local zone
	heartbeatRelay    = 8                       // records of other members in each heartbeat
	takeoverDelay     = 2500 * time.Millisecond // an entry without peers may itself be the one cut off
)

// groupName returns the name of the group of workers with the given index in a zone.
func groupName(zone string, index int) string {
	return zone + "/" + strconv.Itoa(index)
}

// groupOfWorker returns the group that a worker belongs to.
func (n *Node) groupOfWorker(r platform.Registration) string {
	return groupName(r.Zone, int(xxhash.Sum64String(r.ID)%uint64(n.settings.Groups)))
}

// followers returns the readers of the configuration and of the worker registrations.
func (n *Node) followers() []*feed.Follower {
	return []*feed.Follower{
		{
			Name: "configuration", Feed: n.store.OperatorFeed(), Wait: n.operatorPollTimeout(), Relist: true, Log: n.log,
			OnPosition: n.operatorPosition.set,
			Reset: func(records []platform.KeyedRecord) {
				n.resetEvacuations(records)
				n.applyConfiguration(records)
			},
			Apply: func(records []platform.KeyedRecord) {
				n.applyEvacuations(records)
				n.applyConfiguration(records)
			},
			OnUnavailable: func() { n.onConfigurationAvailable(false) },
			OnAvailable:   func() { n.onConfigurationAvailable(true) },
		},
		{
			Name: "workers", Feed: n.store.WorkerFeed(), ReadDelay: workersReadDelay, Log: n.log,
			Enabled: n.registryState.isNeeded, EnabledChanged: n.registryState.changed, OnDisabled: n.clearRegistry,
			Reset: func(records []platform.KeyedRecord) {
				n.applyWorkerChanges(n.registry.Reset(records, time.Now()))
				n.registryState.setLoaded()
				n.onRegistryRead()
				n.reconcileGroups(n.ctx)
			},
			Apply:         func(records []platform.KeyedRecord) { n.applyWorkerChanges(n.registry.Apply(records, time.Now())) },
			OnUnavailable: n.onRegistryUnavailable,
			OnAvailable:   n.onRegistryAvailable,
		},
	}
}

// Intervals of reading. A new configuration must be in force within two seconds, even
// if the connection of the current read has gone silent. A draining worker must get no
// new tasks after two seconds.
const (
	configurationPollTimeout = 800 * time.Millisecond
	workersReadDelay         = 800 * time.Millisecond
)

// applyWorkerChanges logs changes of the registry and passes them to the holders.
func (n *Node) applyWorkerChanges(changes []registry.Change) {
	for _, c := range changes {
		if c.Err != nil {
			n.log.Warn(c.Event, "worker", c.ID, "error", c.Err)
			continue
		}
		n.log.Info(c.Event, "worker", c.ID)
	}
	n.syncWorkers()
}

// syncWorkers adds the registered workers to the holders of this entry and removes those
// whose registrations have expired or belong to another group.
func (n *Node) syncWorkers() {
	n.syncMutex.Lock()
	defer n.syncMutex.Unlock()
	gone := n.registry.Expire(n.workerAnswers, time.Now())
	live := n.registry.Live()
	n.rosters.setListed(live)
	holders := n.currentHolders()
	for _, r := range gone {
		group := n.groupOfWorker(r)
		if _, held := holders[group]; !held {
			n.doubtWorkers(group, r.ID)
		}
		for _, h := range holders {
			h.RemoveWorker(r.ID, "its registration has gone")
		}
	}
	for _, r := range live {
		own := n.groupOfWorker(r)
		for group, h := range holders {
			if group != own {
				h.RemoveWorker(r.ID, "it is registered in another group")
				continue
			}
			h.AddWorker(r)
		}
	}
	n.settleFirstLists()
}

// workerAnswers reports whether a worker has recently answered a holder of this entry.
func (n *Node) workerAnswers(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.holders {
		if h.Answering(id) {
			return true
		}
	}
	return false
}

// registryExpiryLoop expires missing registrations every second, also while the
// registry is not being read.
func (n *Node) registryExpiryLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.syncWorkers()
		}
	}
}
