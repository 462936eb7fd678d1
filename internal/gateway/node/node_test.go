package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/standin/ledger"
	"github.com/radishgate/radishgate/standin/worker"
)

// fleet is one zone of entries and workers, with stand-ins for the store and the workers.
type fleet struct {
	t         *testing.T
	store     *ledger.TopicStore
	watch     *worker.RunMonitor
	nodes     []*Node
	stops     []context.CancelFunc
	stopped   []chan struct{}
	address   string // of the store
	submitted int    // number of jobs that submitLoad has sent
}

const configuration = `{"version":%d,"routes":[{"name":"hold","host":"hold.example","path-prefix":"/hold/","slo-ms":60,"backend":"listing","max-attempts":3,"slack-factor":1.6}],"services":[{"name":"listing"}]}`

// fleetHeartbeat is the heartbeat interval of a fleet, the default of the settings. With a
// shorter one, entries that wait for a busy processor count as dead.
const fleetHeartbeat = 150 * time.Millisecond

// fleetGrace exceeds jobTimeout, so that the speed of the machine does not decide which
// jobs are cut off by a graceful stop.
const fleetGrace = jobTimeout + 5*time.Second

// jobTimeout is the deadline that clients set for a job.
const jobTimeout = 15 * time.Second

// newFleet starts a store, workers and entries, and stops them when the test ends.
func newFleet(t *testing.T, entries, workers int, options worker.Options) *fleet {
	f := &fleet{t: t, store: ledger.New(), watch: &worker.RunMonitor{}}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, 1))
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i), options)
	}
	listeners := make([]net.Listener, entries)
	var seeds []string
	for i := range listeners {
		listeners[i] = listen(t)
		seeds = append(seeds, listeners[i].Addr().String())
	}
	for i := range entries {
		f.addNode(fmt.Sprintf("e%d", i), 1, listeners[i], seeds)
	}
	t.Cleanup(f.close)
	return f
}

// listen opens a listener on a free port.
func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// addWorker starts a worker and registers it in the store.
func (f *fleet) addWorker(id string, options worker.Options) {
	options.ID, options.Monitor, options.Slots = id, f.watch, 2
	server := httptest.NewServer(worker.New(options))
	f.t.Cleanup(server.Close)
	f.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"backend":"listing","address":%q,"zone":"a","state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"seq":1}`,
		strings.TrimPrefix(server.URL, "http://")))
}

// addNode starts an entry.
func (f *fleet) addNode(id string, processors float64, peers net.Listener, seeds []string) {
	n := newNode(f.t, f.t.Output(), peers, settings.Settings{VM: id, Zones: []string{"a"}, Processors: processors, Seeds: seeds, Store: f.address})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.nodes, f.stops, f.stopped = append(f.nodes, n), append(f.stops, stop), append(f.stopped, done)
}

// newNode returns an entry with the given settings, completed by those that are the same for all. Its
// zone is a unless the settings name one. Its log goes to out.
func newNode(t testing.TB, out io.Writer, peers net.Listener, s settings.Settings) *Node {
	if s.Zone == "" {
		s.Zone = "a"
	}
	s.Memory, s.Groups, s.Lease, s.Grace, s.HeartbeatInterval = 256, 1, time.Second, fleetGrace, fleetHeartbeat
	s.Peers, s.AdvertisedAddress = peers.Addr().String(), peers.Addr().String()
	n, err := New(Options{
		Settings: &s, Log: slog.New(slog.NewTextHandler(out, nil)), DroppedLogLines: func() int64 { return 0 },
		Clients: listen(t), Peers: peers, Ready: listen(t),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// close ends all entries at once and waits for them.
func (f *fleet) close() {
	for i := range f.nodes {
		f.nodes[i].Abort()
	}
	for i := range f.stops {
		f.stops[i]()
		<-f.stopped[i]
	}
}

// waitReady waits until every node is ready and all know the same holder.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.waitFor("all know one holder", func() bool {
		for _, n := range f.nodes {
			if !n.Ready() {
				return false
			}
		}
		return f.agreedHolder() != ""
	})
}

// agreedHolder returns the entry that all nodes consider the holder, or "" if they differ.
func (f *fleet) agreedHolder() string {
	known := ""
	for _, n := range f.nodes {
		current, ok := n.currentHolder(groupName("a", 0))
		if !ok || known != "" && current.ID != known {
			return ""
		}
		known = current.ID
	}
	return known
}

// waitFor polls a condition and fails the test if it does not become true in time.
func (f *fleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", what)
}

// submit sends a job to a node and returns status and body of the response, or 0 for none.
func (f *fleet) submit(n *Node, id string, tasks int) (int, string) {
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem-mb":10,"est-runtime-ms":20}],"best-effort":true}`, tasks)
	request, err := http.NewRequest(http.MethodPost, "http://"+n.listeners.clients.Addr().String()+"/hold/"+id, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "hold.example"
	request.Header.Set("Deadline-Ms", strconv.FormatInt(jobTimeout.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// holderIndex returns the index of the node that holds the group, or -1.
func (f *fleet) holderIndex() int {
	for i, n := range f.nodes {
		if _, held := n.holder(groupName("a", 0)); held && n.ctx.Err() == nil {
			return i
		}
	}
	return -1
}

// checkWorkers fails the test if a task ever ran twice at once or a worker ran more than it
// has slots for.
func (f *fleet) checkWorkers() {
	f.t.Helper()
	twice, over := f.watch.Violations()
	if len(twice) > 0 || len(over) > 0 {
		f.t.Fatalf("tasks run twice at once: %v; workers over capacity: %v", twice, over)
	}
}

// submitLoad sends jobs to the nodes in turn and calls midway after half of them. It returns
// the responses other than a completed job.
func (f *fleet) submitLoad(jobs int, nodes []*Node, midway func()) []string {
	var group sync.WaitGroup
	var mu sync.Mutex
	var bad []string
	first := f.submitted + 1
	f.submitted += jobs
	for i := range jobs {
		group.Go(func() {
			id := fmt.Sprintf("%016x", first+i)
			status, body := f.submit(nodes[i%len(nodes)], id, 1+i%3)
			if status != http.StatusOK || !strings.Contains(body, "completed") {
				mu.Lock()
				bad = append(bad, fmt.Sprintf("%s: %d %s", id, status, body))
				mu.Unlock()
			}
		})
		if i == jobs/2 {
			midway()
		}
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	return bad
}

// TestJobsAreServedThroughAnyEntry sends jobs to entries that hold the group and to entries
// that must pass them on. A malformed job ID must not be found.
func TestJobsAreServedThroughAnyEntry(t *testing.T) {
	f := newFleet(t, 3, 6, worker.Options{})
	f.waitReady()
	if bad := f.submitLoad(90, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.checkWorkers()
	if status, _ := f.submit(f.nodes[0], "nothexadecimal00", 1); status != http.StatusNotFound {
		t.Fatalf("status %d for a malformed job ID", status)
	}
}

// TestJobsCompleteWhenHolderIsKilled kills the holder while jobs wait at other entries. Each
// job must complete, and no task may run twice at once.
func TestJobsCompleteWhenHolderIsKilled(t *testing.T) {
	f := newFleet(t, 3, 6, worker.Options{PlanRun: func(string) (string, time.Duration) { return "done", 60 * time.Millisecond }})
	f.waitReady()
	var others []*Node
	victim := f.holderIndex()
	for i, n := range f.nodes {
		if i != victim {
			others = append(others, n)
		}
	}
	if bad := f.submitLoad(120, others, f.nodes[victim].Abort); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.checkWorkers()
}

// TestGroupMovesToLargerEntryUnderLoad starts a large entry after a small one has claimed
// the group. The large entry must get the group, and every job must complete.
func TestGroupMovesToLargerEntryUnderLoad(t *testing.T) {
	f := newFleet(t, 2, 6, worker.Options{PlanRun: func(string) (string, time.Duration) { return "done", 60 * time.Millisecond }})
	f.waitReady()
	small := append([]*Node(nil), f.nodes...)
	f.addNode("large", 4, listen(t), []string{f.nodes[0].settings.Peers, f.nodes[1].settings.Peers})
	stop := make(chan struct{})
	bad := make(chan []string)
	go func() {
		var all []string
		for {
			select {
			case <-stop:
				bad <- all
				return
			default:
				all = append(all, f.submitLoad(60, small, func() {})...)
			}
		}
	}()
	f.waitFor("the large entry holds the group", func() bool {
		_, held := f.nodes[2].holder(groupName("a", 0))
		return held
	})
	close(stop)
	if all := <-bad; len(all) > 0 {
		t.Fatal(all)
	}
	f.checkWorkers()
	// On a busy machine the large entry may count as dead and lose the group for a while.
	// It must get it back.
	f.waitFor("all know the large entry as the holder", func() bool { return f.agreedHolder() == "large" })
}

// TestNoJobFailsWhenHolderDrains sends jobs to all entries, including the holder, while the
// holder stops gracefully.
func TestNoJobFailsWhenHolderDrains(t *testing.T) {
	f := newFleet(t, 3, 6, worker.Options{PlanRun: func(string) (string, time.Duration) { return "done", 60 * time.Millisecond }})
	f.waitReady()
	holder := f.holderIndex()
	if bad := f.submitLoad(120, f.nodes, f.stops[holder]); len(bad) > 0 {
		t.Fatal(bad)
	}
	<-f.stopped[holder]
	f.checkWorkers()
}

// TestLateStartsDoNotRunTasksTwice delays one start in twenty for longer than the holder
// waits and loses its answer. The late start must not add a second run of the task.
func TestLateStartsDoNotRunTasksTwice(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, 2, 6, worker.Options{DelayOrder: func(path string) time.Duration {
		if path == "/run-start" && count.Add(1)%20 == 0 {
			return 1200 * time.Millisecond
		}
		return 0
	}})
	f.waitReady()
	if bad := f.submitLoad(120, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.checkWorkers()
}

// TestFailedTasksRunOnOtherWorkers has one worker fail every task that it starts. The tasks
// must complete on other workers.
func TestFailedTasksRunOnOtherWorkers(t *testing.T) {
	f := newFleet(t, 2, 5, worker.Options{})
	f.addWorker("bad", worker.Options{PlanRun: func(string) (string, time.Duration) { return "failed", time.Millisecond }})
	f.waitReady()
	if bad := f.submitLoad(120, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.checkWorkers()
}

// TestJobsAreServedDuringStoreOutage guards against a failure to serve while the store is
// down, and against a configuration that is missed because it was written during the outage
// and the history of its log was lost.
func TestJobsAreServedDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 2, 4, worker.Options{})
	f.waitReady()
	f.store.Down.Store(true)
	if bad := f.submitLoad(60, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, 5))
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, 4))
	f.store.Compact("keyed.op")
	f.store.Down.Store(false)
	f.waitFor("the newest configuration", func() bool {
		return f.nodes[0].routes.Version() == 4 || f.nodes[0].routes.Version() == 5
	})
	f.checkWorkers()
}

// TestMessageUnderAnotherClaimIsRejected sends a holder messages under an earlier and a later
// claim than its own.
func TestMessageUnderAnotherClaimIsRejected(t *testing.T) {
	f := newFleet(t, 1, 2, worker.Options{})
	f.waitReady()
	n := f.nodes[0]
	current, _ := n.currentHolder(groupName("a", 0))
	b := &batch.Batch{ID: "00000000000000aa", WaitingEntry: "e0", Steps: []batch.Step{{Count: 1}}, ExpiresAt: time.Now().Add(time.Minute)}
	if n.onPlace(current.Group, current.Epoch-1, b, nil) || n.onPlace(current.Group, current.Epoch+1, b, nil) {
		t.Fatal("a job under another claim was accepted")
	}
	if _, _, held := n.onAwait(current.Group, current.Epoch+1, []string{b.ID}, time.Now()); held {
		t.Fatal("a poll under another claim was answered")
	}
	if !n.onPlace(current.Group, current.Epoch, b, nil) {
		t.Fatal("a job under the holder's own claim was rejected")
	}
}

// TestWorkersAreIncompleteAfterStoreOutage starts one entry while the store answers and one
// during an outage. For the second, the registry must count as incomplete for a while, since
// registrations of live workers may have lapsed.
func TestWorkersAreIncompleteAfterStoreOutage(t *testing.T) {
	f := newFleet(t, 1, 1, worker.Options{})
	f.waitReady()
	incomplete := func(n *Node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.firstListIncompleteUntil().After(time.Now())
	}
	first := f.nodes[0]
	claim, _ := first.claims.Holder(groupName("a", 0))
	first.mu.Lock()
	until := first.workersIncompleteFor(claim)
	first.mu.Unlock()
	if until.After(time.Now()) {
		t.Fatal("the first holder waits for workers although the store answered")
	}
	f.store.Down.Store(true)
	f.addNode("late", 1, listen(t), nil)
	late := f.nodes[1]
	f.waitFor("the entry notices that the store is down", func() bool { return incomplete(late) })
	f.store.Down.Store(false)
	f.waitFor("the registry is read", func() bool {
		late.mu.Lock()
		defer late.mu.Unlock()
		return !late.registryReadAt.IsZero()
	})
	if !incomplete(late) {
		t.Fatal("the registry counts as complete right after the outage")
	}
}
