// Package soak runs entries as separate processes and injects random faults into
// them and their network connections, determined by a seed.
package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishgate/radishgate/standin/ledger"
	"github.com/radishgate/radishgate/standin/proxy"
	"github.com/radishgate/radishgate/standin/worker"
)

var (
	seedCount     = flag.Int("seeds", 1, "number of seeds")
	firstSeed     = flag.Uint64("first", 1, "first seed")
	faultDuration = flag.Duration("span", 4*time.Second, "how long faults are injected, per seed")
	logDir        = flag.String("logs", "", "directory in which to keep the logs of the entries")
	olderBinary   = flag.String("older", "", "binary of an earlier build that one entry of each availability zone runs")
)

// regressions lists seeds that failed in the past, with the cause of each failure.
var regressions = []struct {
	seed  uint64
	cause string
}{}

const (
	entryCount    = 4 // in two availability zones
	workerCount   = 10
	clientCount   = 12
	recoveryTime  = 3 * time.Second // time after the last fault until jobs must be served again
	finalJobs     = 40              // submitted after recoveryTime; at least 90 % must be served
	finalPrefix   = "ffffffff"      // of the IDs of these jobs
	resendAfter   = 1300 * time.Millisecond
	clientTimeout = 6 * time.Second
	zoneCount     = 2
)

// entry is an entry's process, with proxies in front of its listener for peers and
// the platform's store.
type entry struct {
	index         int
	binary        string
	command       *exec.Cmd
	log           *os.File
	callerAddress string
	peerProxy     *proxy.Proxy
	storeProxy    *proxy.Proxy
	ended         chan struct{} // closed once the process has exited
	down          bool
	faults        faultHistory
}

// soak is the state of the run with one seed.
type soak struct {
	t             *testing.T
	random        *rand.Rand
	binary        string
	dir           string
	store         *ledger.TopicStore
	monitor       *worker.RunMonitor
	entries       []*entry
	workerProxies []*proxy.Proxy
	planWorker    func(seed uint64) worker.Options // behaviour of a worker
	restarts      sync.WaitGroup                   // of lost entries
	processes     sync.Mutex                       // held while entries are lost or start again

	mu         sync.Mutex
	events     []string
	violations []string
}

// TestSoak submits jobs to entry processes while these are killed, paused or
// stopped and their connections to workers, peers and the platform's store fail. It
// guards against two concurrent runs of a task, overloaded workers, refused jobs
// that have started, jobs wrongly reported as completed, and entries that no longer
// serve jobs after the faults.
func TestSoak(t *testing.T) {
	binary := buildProgram(t)
	run := func(seed uint64, cause string) {
		t.Run(fmt.Sprintf("seed %d %s", seed, cause), func(t *testing.T) { newSoak(t, binary, seed).run() })
	}
	for _, r := range regressions {
		run(r.seed, r.cause)
	}
	for i := range *seedCount {
		run(*firstSeed+uint64(i), "")
	}
}

// buildProgram builds the program and returns the path of its binary.
func buildProgram(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "radishgate")
	if out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("building the program failed: %v: %s", err, out)
	}
	return binary
}

func newSoak(t *testing.T, binary string, seed uint64) *soak {
	return newSoakOf(t, binary, seed, drawnBehaviour)
}

// newSoakOf starts entries and workers that behave as planned.
func newSoakOf(t *testing.T, binary string, seed uint64, planWorker func(seed uint64) worker.Options) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), binary: binary, dir: t.TempDir(),
		store: ledger.New(), monitor: &worker.RunMonitor{}, planWorker: planWorker,
	}
	if *logDir != "" {
		s.dir = filepath.Join(*logDir, t.Name())
		if err := os.MkdirAll(s.dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	store := httptest.NewServer(s.store)
	t.Cleanup(store.Close)
	s.store.Put("keyed.op", "config", []byte(configuration(1)))
	for i := range workerCount {
		s.addWorker(fmt.Sprintf("w%d", i), zoneName(i), seed+uint64(i))
	}
	ports := freeAddresses(t, entryCount*4)
	for i := range entryCount {
		s.entries = append(s.entries, &entry{
			index: i, binary: s.binaryFor(i, seed), callerAddress: ports[4*i], peerProxy: s.newProxy(ports[4*i+1]), storeProxy: s.newProxy(strings.TrimPrefix(store.URL, "http://")),
		})
	}
	for i, e := range s.entries {
		s.writeSettings(e, ports[4*i:4*i+4])
		s.start(e)
	}
	t.Cleanup(func() {
		for _, e := range s.entries {
			s.kill(e)
		}
	})
	return s
}

// binaryFor returns the binary that an entry runs. With -older, one entry of each
// availability zone runs the earlier build; which one depends on whether the seed
// is odd.
func (s *soak) binaryFor(index int, seed uint64) string {
	if *olderBinary != "" && (uint64(index/zoneCount)+seed)%2 == 0 {
		return *olderBinary
	}
	return s.binary
}

func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }

// addressesInUse holds the addresses of the tests under way, since an entry that is down leaves its port free.
var addressesInUse sync.Map

// freeAddresses returns addresses at which nothing listens. Their ports are below the range that the
// system gives to connections and to listeners without a port, so that nothing takes the
// port of an entry that has not started yet, or is down.
func freeAddresses(t *testing.T, count int) []string {
	const firstPort, portCount, maxTries = 15000, 17000, 1000
	found := map[string]bool{}
	for range maxTries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue // the port is taken
		}
		_ = l.Close() // nothing was accepted
		address := l.Addr().String()
		if _, used := addressesInUse.LoadOrStore(address, true); used {
			continue
		}
		t.Cleanup(func() { addressesInUse.Delete(address) })
		found[address] = true
		if len(found) == count {
			return slices.Collect(maps.Keys(found))
		}
	}
	t.Fatalf("only %d of %d free ports found", len(found), count)
	return nil
}

func (s *soak) newProxy(target string) *proxy.Proxy {
	p, err := proxy.New(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	return p
}

func (s *soak) addWorker(id, zone string, seed uint64) {
	options := s.planWorker(seed)
	options.ID, options.Slots, options.Monitor = id, 2, s.monitor
	server := httptest.NewServer(worker.New(options))
	s.t.Cleanup(server.Close)
	p := s.newProxy(strings.TrimPrefix(server.URL, "http://"))
	s.workerProxies = append(s.workerProxies, p)
	s.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"backend":"listing","address":%q,"zone":%q,"state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"seq":1}`,
		p.Address(), zone))
}

// drawnBehaviour returns the options of a worker that draws its run times, some failures and some
// late executions of orders from a seed.
func drawnBehaviour(seed uint64) worker.Options {
	random := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	draw := func() (float64, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64(), time.Duration(20+random.IntN(180)) * time.Millisecond
	}
	return worker.Options{
		PlanRun: func(string) (string, time.Duration) {
			chance, runtime := draw()
			if chance < 0.02 {
				return "failed", runtime / 4
			}
			return "done", runtime
		},
		DelayOrder: func(path string) time.Duration {
			if chance, runtime := draw(); path != "/hold" && chance < 0.01 {
				return 5 * runtime
			}
			return 0
		},
	}
}

func (s *soak) writeSettings(e *entry, ports []string) {
	var peerAddresses []string
	for _, other := range s.entries {
		peerAddresses = append(peerAddresses, other.peerProxy.Address())
	}
	text := fmt.Sprintf("[entry]\nvm = e%d\nzone = %s\nzones = a,b\nlisten = %s\npeers = %s\nready = %s\nmetrics = %s\nreach = %s\nseeds = %s\n[platform]\nstore = %s\ngrace = 4s\n",
		e.index, zoneName(e.index), ports[0], ports[1], ports[2], ports[3], e.peerProxy.Address(), strings.Join(peerAddresses, ","), e.storeProxy.Address())
	if err := os.WriteFile(s.settingsPath(e), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) settingsPath(e *entry) string {
	return filepath.Join(s.dir, fmt.Sprintf("e%d.ini", e.index))
}

func (s *soak) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("e%d.log", e.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	e.log = log
	e.command = exec.Command(e.binary, "dispatch", "--settings", s.settingsPath(e))
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	ended, command := make(chan struct{}), e.command
	e.ended, e.down = ended, false
	go func() {
		_ = command.Wait() // the exit status does not matter
		close(ended)
	}()
}

func (s *soak) kill(e *entry) {
	if e.down {
		return
	}
	_ = e.command.Process.Kill() // an error means that it has already exited
	<-e.ended
	_ = e.log.Close()
	e.down = true
}

func (s *soak) recordEvent(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(format, values...))
}

func (s *soak) recordViolation(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, values...))
}

// run submits jobs while faults are injected, then clears the faults and checks that
// jobs are served again and that the workers saw no violation.
func (s *soak) run() {
	time.Sleep(time.Second)
	ctx, stop := context.WithTimeout(context.Background(), *faultDuration)
	defer stop()
	var group sync.WaitGroup
	for c := range clientCount {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 3))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.submitJob(fmt.Sprintf("%08x%08x", c+1, n), random)
			}
		})
	}
	s.injectFaults(ctx)
	group.Wait()
	s.clearFaults()
	time.Sleep(recoveryTime)
	served := 0
	for n := range finalJobs {
		if s.submitJob(fmt.Sprintf(finalPrefix+"%08x", n), s.random) {
			served++
		}
	}
	if served < finalJobs*9/10 {
		s.recordViolation("only %d of %d jobs served %s after the last fault, want at least 90%%", served, finalJobs, recoveryTime)
	}
	overlapping, overloaded := s.monitor.Violations()
	if len(overlapping)+len(overloaded) > 0 {
		s.recordViolation("tasks with concurrent runs: %v; overloaded workers: %v; want none", overlapping, overloaded)
	}
	s.report()
}

// report fails the test if there were violations, and logs the events then.
func (s *soak) report() {
	for _, line := range s.violations {
		s.t.Error(line)
	}
	if s.t.Failed() {
		s.t.Log(strings.Join(s.events, "\n"))
	}
}

// injectFaults injects random faults, which may overlap, until the context ends.
func (s *soak) injectFaults(ctx context.Context) {
	startedAt := time.Now()
	for ctx.Err() == nil {
		e := s.entries[s.random.IntN(entryCount)]
		duration := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
		elapsed := time.Since(startedAt).Round(time.Millisecond)
		switch s.random.IntN(8) {
		case 0, 1:
			s.recordEvent("%s entry %d killed", elapsed, e.index)
			s.kill(e)
		case 2:
			s.recordEvent("%s entry %d paused for %s", elapsed, e.index, duration)
			s.pause(e, duration)
		case 3:
			s.recordEvent("%s entry %d gets SIGTERM", elapsed, e.index)
			s.signal(e, syscall.SIGTERM)
		case 4:
			s.injectProxyFault(s.workerProxies[s.random.IntN(workerCount)], "worker", elapsed, duration)
		case 5:
			s.injectProxyFault(e.peerProxy, fmt.Sprintf("peers of entry %d", e.index), elapsed, duration)
		case 6:
			s.injectProxyFault(e.storeProxy, fmt.Sprintf("store of entry %d", e.index), elapsed, duration)
		case 7:
			s.recordEvent("%s store down for %s", elapsed, duration)
			s.store.Down.Store(true)
			time.AfterFunc(duration, func() { s.store.Down.Store(false) })
		}
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
		s.restartEnded()
	}
}

// restartEnded restarts each entry whose process has ended, with a probability of 1/2.
func (s *soak) restartEnded() {
	for _, e := range s.entries {
		select {
		case <-e.ended:
			s.kill(e)
		default:
		}
		if e.down && s.random.IntN(2) == 0 {
			s.start(e)
		}
	}
}

func (s *soak) signal(e *entry, signal syscall.Signal) {
	if !e.down {
		_ = e.command.Process.Signal(signal) // an error means that it has already exited
	}
}

func (s *soak) pause(e *entry, duration time.Duration) {
	process := e.command.Process
	s.signal(e, syscall.SIGSTOP)
	time.AfterFunc(duration, func() { _ = process.Signal(syscall.SIGCONT) })
}

func (s *soak) injectProxyFault(p *proxy.Proxy, target string, elapsed, duration time.Duration) {
	f := proxy.Fault(1 + s.random.IntN(int(proxy.FaultCount)-1))
	s.recordEvent("%s %s: fault %d for %s", elapsed, target, f, duration)
	p.SetFault(f)
	time.AfterFunc(duration, func() { p.SetFault(proxy.NoFault) })
}

// clearFaults ends all faults and restarts all entries.
func (s *soak) clearFaults() {
	time.Sleep(2 * time.Second) // duration of the longest fault
	s.store.Down.Store(false)
	for _, p := range s.workerProxies {
		p.SetFault(proxy.NoFault)
	}
	for _, e := range s.entries {
		e.peerProxy.SetFault(proxy.NoFault)
		e.storeProxy.SetFault(proxy.NoFault)
		s.signal(e, syscall.SIGCONT)
		s.signal(e, syscall.SIGKILL)
		s.kill(e)
		s.start(e)
	}
}
