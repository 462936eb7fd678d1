// Package node puts the parts together into the process that serves the platform's jobs.
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
	"github.com/radishgate/radishgate/internal/gateway/desk"
	"github.com/radishgate/radishgate/internal/gateway/feed"
	"github.com/radishgate/radishgate/internal/gateway/routes"
	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/placement/tenure"
	"github.com/radishgate/radishgate/internal/worker/registry"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/platform"
)

// Options of a node. The listeners may be given, so that a test knows their ports.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Dropped  func() int64 // log lines that were not written
	Clients  net.Listener
	Peers    net.Listener
	Ready    net.Listener
	Metrics  net.Listener
}

// Node is one entry.
type Node struct {
	settings *settings.Settings
	log      *slog.Logger
	life     uint64
	began    time.Time

	listeners
	store    *platform.Store
	workers  *platform.WorkerClient
	client   *peer.Client
	members  *member.Table
	tenure   *tenure.ClaimTable
	routes   *routes.Table
	registry *registry.Registry
	desk     *desk.Tracker
	measures *measures
	outbox   *outbox

	draining atomic.Bool
	stranded stranded
	pause    pause
	prepared preparation
	contacts contacts
	live     roster

	vacancies vacancies

	mu      sync.Mutex
	holders map[string]*holder.Holder // by group
	// workersRead is when the registry was first read, workersLate that an earlier
	// attempt had failed.
	workersRead time.Time
	workersLate bool

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// New makes a node and opens its listeners; Run starts it.
func New(options Options) (*Node, error) {
	s := options.Settings
	n := &Node{
		settings: s, log: options.Log, life: rand.Uint64() | 1, began: time.Now(),
		store: platform.NewStore(s.Store), workers: platform.NewWorkerClient(),
		client: peer.NewClient(nil, &counted.Counter{}, nil),
		routes: routes.New(), registry: registry.New(), holders: map[string]*holder.Holder{},
		contacts:  contacts{addresses: map[string]bool{}},
		prepared:  preparation{changed: make(chan struct{}, 1)},
		pause:     pause{span: suspectBeats * s.HeartbeatInterval},
		vacancies: vacancies{groups: map[string]vacancy{}},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(options); err != nil {
		return nil, err
	}
	n.members = member.New(member.Options{
		Self: member.Record{ID: s.VM, Zone: s.Zone, Peer: s.AdvertisedAddress, Incarnation: n.life, Weight: s.Processors},
		// Work moves to another entry once one is dead. A false death costs a
		// change of holder, a late one a second of service.
		Suspect: suspectBeats * s.HeartbeatInterval, Dead: deadBeats * s.HeartbeatInterval, Fanout: beatFanout, Relay: beatRelay,
	})
	n.tenure = tenure.New(tenure.Options{
		Self:          tenure.Candidate{ID: s.VM, Incarnation: n.life, Zone: s.Zone, Weight: s.Processors},
		TakeoverDelay: alonePatience,
		Known:         func(id string) bool { _, _, known := n.members.Find(id); return known },
	})
	n.measures = newMeasures(n, options.Dropped)
	n.outbox = newOutbox(n)
	n.desk = desk.New(desk.Options{
		Self: s.VM, GroupOf: n.groupOfJob, FindHolder: n.seat, Place: n.placeAt, Await: n.awaitAt, Withdraw: n.withdrawAt,
		OnEnd: n.jobEnded, Log: n.log, NoHolderExpected: func() bool { return n.stranded.is(time.Now()) },
	})
	n.contacts.add(s.Seeds...)
	return n, nil
}

// Bounds of membership, in heartbeats.
const (
	suspectBeats  = 4
	deadBeats     = 6
	beatFanout    = 3
	beatRelay     = 8
	alonePatience = 2500 * time.Millisecond // an entry that hears nobody may be the one cut off
)

// groupName names a group of workers.
func groupName(zone string, index int) string {
	return zone + "/" + strconv.Itoa(index)
}

// groupOfWorker gives the group of a worker.
func (n *Node) groupOfWorker(r platform.Registration) string {
	return groupName(r.Zone, int(xxhash.Sum64String(r.ID)%uint64(n.settings.Groups)))
}

// followers read what the operators and the workers write.
func (n *Node) followers() []*feed.Follower {
	return []*feed.Follower{
		{
			Name: "configuration", Feed: n.store.OperatorFeed(), Wait: configurationWait, Log: n.log,
			Reset: n.takeConfiguration, Apply: n.takeConfiguration,
			OnUnavailable: func() { n.measures.dependency("configuration", false) },
			OnAvailable:   func() { n.measures.dependency("configuration", true) },
		},
		{
			Name: "workers", Feed: n.store.WorkerFeed(), ReadDelay: workersPause, Log: n.log,
			Enabled: n.prepared.wanted, EnabledChanged: n.prepared.changed, OnDisabled: n.forgetWorkers,
			Reset: func(records []platform.KeyedRecord) {
				n.takeWorkers(n.registry.Reset(records, time.Now()))
				n.prepared.know()
				n.govern(n.ctx)
			},
			Apply:         func(records []platform.KeyedRecord) { n.takeWorkers(n.registry.Apply(records, time.Now())) },
			OnUnavailable: n.workersLost,
			OnAvailable:   n.workersBack,
		},
	}
}

// Spans of reading. A configuration has to be in force within two seconds, also
// when the connection of the read under way has fallen silent; a worker that
// drains must get nothing after two seconds.
const (
	configurationWait = 800 * time.Millisecond
	workersPause      = 800 * time.Millisecond
)

func (n *Node) takeConfiguration(records []platform.KeyedRecord) {
	for _, k := range records {
		if k.Key != platform.KeyConfiguration || len(k.Value) == 0 {
			continue
		}
		c, err := platform.ParseConfiguration(k.Value)
		if err != nil {
			n.log.Error("configuration refused", "offset", k.Offset, "error", err)
			continue
		}
		before := n.routes.Version()
		if n.routes.Apply(c) {
			n.log.Info("configuration in force", "version", c.Version, "before", before, "queues", len(c.Queues), "offset", k.Offset)
		}
	}
}

func (n *Node) takeWorkers(changes []registry.Change) {
	for _, c := range changes {
		if c.Err != nil {
			n.log.Warn(c.Event, "worker", c.ID, "error", c.Err)
			continue
		}
		n.log.Info(c.Event, "worker", c.ID)
	}
	n.enlist()
}

// enlist tells the holders of this entry which workers there are.
func (n *Node) enlist() {
	gone := n.registry.Expire(n.answering, time.Now())
	live := n.registry.Live()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.holders {
		for _, id := range gone {
			h.RemoveWorker(id, "its registration has gone")
		}
	}
	for _, r := range live {
		if h, own := n.holders[n.groupOfWorker(r)]; own {
			h.AddWorker(r)
		}
	}
}

func (n *Node) answering(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.holders {
		if h.Answering(id) {
			return true
		}
	}
	return false
}

// workersLoop lets registrations that are missing run out also while nothing is
// read.
func (n *Node) workersLoop(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.enlist()
		}
	}
}
