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

// fleet is a zone of entries over workers, with stand-ins for all else.
type fleet struct {
	t         *testing.T
	store     *ledger.Ledger
	watch     *worker.Watch
	nodes     []*Node
	stops     []context.CancelFunc
	stopped   []chan struct{}
	address   string // of the store
	submitted int    // jobs that load has handed in
}

const configuration = `{"version":%d,"routes":[{"name":"hold","host":"hold.example","path-prefix":"/hold/","slo-ms":60,"backend":"listing","max-attempts":3,"slack-factor":1.6}],"services":[{"name":"listing"}]}`

// fleetHeartbeat is the heartbeat of a fleet, that of the settings' default: with a
// shorter one, entries that wait for a busy processor pass for dead.
const fleetHeartbeat = 150 * time.Millisecond

// fleetGrace is longer than the time that a client gives a job, so that how fast
// the machine is does not settle which jobs are cut off.
const fleetGrace = jobTimeout + 5*time.Second

// jobTimeout is the time that a client gives a job.
const jobTimeout = 15 * time.Second

func newFleet(t *testing.T, entries, workers int, options worker.Options) *fleet {
	f := &fleet{t: t, store: ledger.New(), watch: &worker.Watch{}}
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

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (f *fleet) addWorker(id string, options worker.Options) {
	options.ID, options.Watch, options.Room = id, f.watch, 2
	server := httptest.NewServer(worker.New(options))
	f.t.Cleanup(server.Close)
	f.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"backend":"listing","address":%q,"zone":"a","state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"seq":1}`,
		strings.TrimPrefix(server.URL, "http://")))
}

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

// newNode makes an entry of zone a, with the settings that are given and those that
// are the same for all. Its log goes to out.
func newNode(t testing.TB, out io.Writer, peers net.Listener, s settings.Settings) *Node {
	s.Zone, s.Memory, s.Groups, s.Lease, s.Grace, s.Beat = "a", 256, 1, time.Second, fleetGrace, fleetHeartbeat
	s.Peers, s.Reach = peers.Addr().String(), peers.Addr().String()
	n, err := New(Options{
		Settings: &s, Log: slog.New(slog.NewTextHandler(out, nil)), DroppedLogLines: func() int64 { return 0 },
		Clients: listen(t), Peers: peers, Ready: listen(t),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (f *fleet) close() {
	for i := range f.nodes {
		f.nodes[i].Abort()
	}
	for i := range f.stops {
		f.stops[i]()
		<-f.stopped[i]
	}
}

// waitReady waits until every node has a configuration and all know the same holder.
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

// agreedHolder gives the entry that all nodes take for the holder, or nothing.
func (f *fleet) agreedHolder() string {
	known := ""
	for _, n := range f.nodes {
		seat, ok := n.currentHolder(groupName("a", 0))
		if !ok || known != "" && seat.Holder != known {
			return ""
		}
		known = seat.Holder
	}
	return known
}

func (f *fleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("%s: never", what)
}

// submit hands a job in at a node and gives status and body, 0 for none.
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

func (f *fleet) holderIndex() int {
	for i, n := range f.nodes {
		if _, held := n.holder(groupName("a", 0)); held && n.ctx.Err() == nil {
			return i
		}
	}
	return -1
}

func (f *fleet) checkWorkers() {
	f.t.Helper()
	twice, over := f.watch.Broken()
	if len(twice) > 0 || len(over) > 0 {
		f.t.Fatalf("two runs at once: %v; more than the room: %v", twice, over)
	}
}

// submitLoad hands jobs in at the nodes in turn, while something happens, and gives
// the answers that were not a completed job.
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

func TestJobsAreServedThroughAnyEntry(t *testing.T) {
	f := newFleet(t, 3, 6, worker.Options{})
	f.waitReady()
	if bad := f.submitLoad(90, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.checkWorkers()
	if status, _ := f.submit(f.nodes[0], "nothexadecimal00", 1); status != http.StatusNotFound {
		t.Fatalf("status %d for a name that is none", status)
	}
}

// TestJobsCompleteWhenHolderIsKilled kills the entry that places the tasks while jobs wait at
// the others: each is answered, and no task runs twice at once.
func TestJobsCompleteWhenHolderIsKilled(t *testing.T) {
	f := newFleet(t, 3, 6, worker.Options{Fate: func(string) (string, time.Duration) { return "done", 60 * time.Millisecond }})
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

// TestGroupMovesToLargerEntryUnderLoad starts a large entry after a small one has taken the
// group: it gets the group, under load, and every job is answered.
func TestGroupMovesToLargerEntryUnderLoad(t *testing.T) {
	f := newFleet(t, 2, 6, worker.Options{Fate: func(string) (string, time.Duration) { return "done", 60 * time.Millisecond }})
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
	// Where entries wait for a busy processor, the large one may pass for dead and
	// lose the group for a while: it gets it again.
	f.waitFor("all know the large entry as the holder", func() bool { return f.agreedHolder() == "large" })
}

// TestNoJobFailsWhenHolderDrains sends jobs to the holder itself while it drains.
func TestNoJobFailsWhenHolderDrains(t *testing.T) {
	f := newFleet(t, 3, 6, worker.Options{Fate: func(string) (string, time.Duration) { return "done", 60 * time.Millisecond }})
	f.waitReady()
	holder := f.holderIndex()
	if bad := f.submitLoad(120, f.nodes, f.stops[holder]); len(bad) > 0 {
		t.Fatal(bad)
	}
	<-f.stopped[holder]
	f.checkWorkers()
}

// TestLateStartsDoNotRunTasksTwice delays one start in twenty past its answer.
func TestLateStartsDoNotRunTasksTwice(t *testing.T) {
	var count atomic.Int64
	f := newFleet(t, 2, 6, worker.Options{Late: func(path string) time.Duration {
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

// TestFailedTasksRunOnOtherWorkers has one worker fail all that it starts.
func TestFailedTasksRunOnOtherWorkers(t *testing.T) {
	f := newFleet(t, 2, 5, worker.Options{})
	f.addWorker("bad", worker.Options{Fate: func(string) (string, time.Duration) { return "failed", time.Millisecond }})
	f.waitReady()
	if bad := f.submitLoad(120, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.checkWorkers()
}

// TestJobsAreServedDuringStoreOutage serves on while the store is away, and takes a configuration
// and the loss of the history when it is back.
func TestJobsAreServedDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 2, 4, worker.Options{})
	f.waitReady()
	f.store.Down.Store(true)
	if bad := f.submitLoad(60, f.nodes, func() {}); len(bad) > 0 {
		t.Fatal(bad)
	}
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, 5))
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, configuration, 4))
	f.store.Forget("keyed.op")
	f.store.Down.Store(false)
	f.waitFor("the newest configuration", func() bool {
		return f.nodes[0].routes.Version() == 4 || f.nodes[0].routes.Version() == 5
	})
	f.checkWorkers()
}

// TestMessageUnderAnotherClaimIsRejected sends a holder a job under a claim that
// is not the one it goes by.
func TestMessageUnderAnotherClaimIsRejected(t *testing.T) {
	f := newFleet(t, 1, 2, worker.Options{})
	f.waitReady()
	n := f.nodes[0]
	seat, _ := n.currentHolder(groupName("a", 0))
	b := &batch.Batch{ID: "00000000000000aa", From: "e0", Steps: []batch.Step{{Count: 1}}, Expires: time.Now().Add(time.Minute)}
	if n.onPlace(seat.Group, seat.Epoch-1, b, nil) || n.onPlace(seat.Group, seat.Epoch+1, b, nil) {
		t.Fatal("a job of another claim is taken")
	}
	if _, _, held := n.onAwait(seat.Group, seat.Epoch+1, []string{b.ID}); held {
		t.Fatal("a question of another claim is answered")
	}
	if !n.onPlace(seat.Group, seat.Epoch, b, nil) {
		t.Fatal("a job of the holder's own claim is not taken")
	}
}

// TestRegistryIsPartialAfterStoreOutage starts an entry while the store is
// away, and one while it answers.
func TestRegistryIsPartialAfterStoreOutage(t *testing.T) {
	f := newFleet(t, 1, 1, worker.Options{})
	f.waitReady()
	partial := func(n *Node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.registryPartialUntil().After(time.Now())
	}
	if partial(f.nodes[0]) {
		t.Fatal("the registry counts as partial though the store answered")
	}
	f.store.Down.Store(true)
	f.addNode("late", 1, listen(t), nil)
	late := f.nodes[1]
	f.waitFor("the entry notices that the store is away", func() bool { return partial(late) })
	f.store.Down.Store(false)
	f.waitFor("the registry is read", func() bool {
		late.mu.Lock()
		defer late.mu.Unlock()
		return !late.registryReadAt.IsZero()
	})
	if !partial(late) {
		t.Fatal("the registry counts as whole right after the outage")
	}
}
