// Package soak runs entries as processes of their own and spoils what is between them, by a seed.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
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
	seeds = flag.Int("seeds", 1, "number of seeds")
	first = flag.Uint64("first", 1, "first seed")
	span  = flag.Duration("span", 4*time.Second, "time with faults, for each seed")
	logs  = flag.String("logs", "", "folder that keeps the entries' logs")
	older = flag.String("older", "", "binary of an earlier build that one entry of each zone runs")
)

// regressions are the seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

const (
	entries   = 4 // in two zones
	workers   = 10
	clients   = 12
	rest      = 3 * time.Second // without faults, after which jobs have to be served
	lastJobs  = 40
	resend    = 1300 * time.Millisecond
	patience  = 6 * time.Second
	zoneCount = 2
)

// entry is one process with the proxies in front of what it serves and uses.
type entry struct {
	index   int
	binary  string
	command *exec.Cmd
	log     *os.File
	address string // of clients
	peers   *proxy.Proxy
	store   *proxy.Proxy
	ended   chan struct{} // closed once the process is gone
	down    bool
}

// soak is one run.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	binary  string
	dir     string
	store   *ledger.Ledger
	watch   *worker.Watch
	entries []*entry
	workers []*proxy.Proxy

	mu     sync.Mutex
	events []string
	bad    []string
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "radishgate")
	if out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	run := func(seed uint64, cause string) {
		t.Run(fmt.Sprintf("seed %d %s", seed, cause), func(t *testing.T) { newSoak(t, binary, seed).run() })
	}
	for _, r := range regressions {
		run(r.seed, r.cause)
	}
	for i := range *seeds {
		run(*first+uint64(i), "")
	}
}

func newSoak(t *testing.T, binary string, seed uint64) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), binary: binary, dir: t.TempDir(),
		store: ledger.New(), watch: &worker.Watch{},
	}
	if *logs != "" {
		s.dir = filepath.Join(*logs, fmt.Sprint(seed))
		if err := os.MkdirAll(s.dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	store := httptest.NewServer(s.store)
	t.Cleanup(store.Close)
	s.store.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"hold","host":"hold.example","path-prefix":"/hold/","slo-ms":60,"backend":"listing","max-attempts":3,"slack-factor":1.6}],"services":[{"name":"listing"}]}`))
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%d", i), zone(i), seed+uint64(i))
	}
	var ports []string
	for range entries * 4 {
		ports = append(ports, free(t))
	}
	for i := range entries {
		s.entries = append(s.entries, &entry{
			index: i, binary: s.binaryOf(i, seed), address: ports[4*i], peers: s.proxy(ports[4*i+1]), store: s.proxy(strings.TrimPrefix(store.URL, "http://")),
		})
	}
	for i, e := range s.entries {
		s.configure(e, ports[4*i:4*i+4])
		s.start(e)
	}
	t.Cleanup(func() {
		for _, e := range s.entries {
			s.kill(e)
		}
	})
	return s
}

// binaryOf returns the build that an entry runs. Odd seeds swap the builds of a
// zone's two entries.
func (s *soak) binaryOf(entry int, seed uint64) string {
	if *older != "" && (uint64(entry/zoneCount)+seed)%2 == 0 {
		return *older
	}
	return s.binary
}

func zone(i int) string { return string(rune('a' + i%zoneCount)) }

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *soak) proxy(target string) *proxy.Proxy {
	p, err := proxy.New(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	return p
}

func (s *soak) addWorker(id, zone string, seed uint64) {
	fates := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	draw := func() (float64, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return fates.Float64(), time.Duration(20+fates.IntN(180)) * time.Millisecond
	}
	server := httptest.NewServer(worker.New(worker.Options{
		ID: id, Room: 2, Watch: s.watch,
		Fate: func(string) (string, time.Duration) {
			chance, span := draw()
			if chance < 0.02 {
				return "failed", span / 4
			}
			return "done", span
		},
		Late: func(path string) time.Duration {
			if chance, span := draw(); path != "/hold" && chance < 0.01 {
				return 5 * span
			}
			return 0
		},
	}))
	s.t.Cleanup(server.Close)
	p := s.proxy(strings.TrimPrefix(server.URL, "http://"))
	s.workers = append(s.workers, p)
	s.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"backend":"listing","address":%q,"zone":%q,"state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"seq":1}`,
		p.Address(), zone))
}

func (s *soak) configure(e *entry, ports []string) {
	var reach []string
	for _, other := range s.entries {
		reach = append(reach, other.peers.Address())
	}
	text := fmt.Sprintf("[entry]\nvm = e%d\nzone = %s\nzones = a,b\nlisten = %s\npeers = %s\nready = %s\nmetrics = %s\nreach = %s\nseeds = %s\n[platform]\nstore = %s\ngrace = 4s\n",
		e.index, zone(e.index), ports[0], ports[1], ports[2], ports[3], e.peers.Address(), strings.Join(reach, ","), e.store.Address())
	if err := os.WriteFile(s.settings(e), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) settings(e *entry) string {
	return filepath.Join(s.dir, fmt.Sprintf("e%d.ini", e.index))
}

func (s *soak) start(e *entry) {
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("e%d.log", e.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	e.log = log
	e.command = exec.Command(e.binary, "dispatch", "--settings", s.settings(e))
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	ended, command := make(chan struct{}), e.command
	e.ended, e.down = ended, false
	go func() {
		_ = command.Wait() // however it ends
		close(ended)
	}()
}

func (s *soak) kill(e *entry) {
	if e.down {
		return
	}
	_ = e.command.Process.Kill() // by its own id; it may have ended already
	<-e.ended
	_ = e.log.Close()
	e.down = true
}

func (s *soak) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(format, values...))
}

func (s *soak) fail(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad = append(s.bad, fmt.Sprintf(format, values...))
}

// run loads the entries while faults come, then lets them rest and checks.
func (s *soak) run() {
	time.Sleep(time.Second)
	ctx, stop := context.WithTimeout(context.Background(), *span)
	defer stop()
	var group sync.WaitGroup
	for c := range clients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), 3))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.job(fmt.Sprintf("%08x%08x", c+1, n), random)
			}
		})
	}
	s.spoil(ctx)
	group.Wait()
	s.mend()
	time.Sleep(rest)
	served := 0
	for n := range lastJobs {
		if s.job(fmt.Sprintf("ffffffff%08x", n), s.random) {
			served++
		}
	}
	if served < lastJobs*9/10 {
		s.fail("%d of %d jobs served %s after the last fault", served, lastJobs, rest)
	}
	twice, over := s.watch.Broken()
	if len(twice)+len(over) > 0 {
		s.fail("two runs at once: %v; more than the room: %v", twice, over)
	}
	for _, line := range s.bad {
		s.t.Error(line)
	}
	if s.t.Failed() {
		s.t.Log(strings.Join(s.events, "\n"))
	}
}

// spoil brings one fault after the other, some while others last.
func (s *soak) spoil(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		e := s.entries[s.random.IntN(entries)]
		lasts := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
		at := time.Since(began).Round(time.Millisecond)
		switch s.random.IntN(8) {
		case 0, 1:
			s.note("%s entry %d killed", at, e.index)
			s.kill(e)
		case 2:
			s.note("%s entry %d paused for %s", at, e.index, lasts)
			s.pause(e, lasts)
		case 3:
			s.note("%s entry %d stops", at, e.index)
			s.signal(e, syscall.SIGTERM)
		case 4:
			s.strike(s.workers[s.random.IntN(workers)], "worker", at, lasts)
		case 5:
			s.strike(e.peers, fmt.Sprintf("peers of entry %d", e.index), at, lasts)
		case 6:
			s.strike(e.store, fmt.Sprintf("store of entry %d", e.index), at, lasts)
		case 7:
			s.note("%s store down for %s", at, lasts)
			s.store.Down.Store(true)
			time.AfterFunc(lasts, func() { s.store.Down.Store(false) })
		}
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
		s.revive()
	}
}

// revive starts again what has ended.
func (s *soak) revive() {
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
		_ = e.command.Process.Signal(signal) // it may have ended
	}
}

func (s *soak) pause(e *entry, lasts time.Duration) {
	process := e.command.Process
	s.signal(e, syscall.SIGSTOP)
	time.AfterFunc(lasts, func() { _ = process.Signal(syscall.SIGCONT) })
}

func (s *soak) strike(p *proxy.Proxy, what string, at, lasts time.Duration) {
	f := proxy.Fault(1 + s.random.IntN(int(proxy.Faults)-1))
	s.note("%s %s: fault %d for %s", at, what, f, lasts)
	p.Set(f)
	time.AfterFunc(lasts, func() { p.Set(proxy.None) })
}

// mend ends all faults.
func (s *soak) mend() {
	time.Sleep(2 * time.Second) // the longest fault
	s.store.Down.Store(false)
	for _, p := range s.workers {
		p.Set(proxy.None)
	}
	for _, e := range s.entries {
		e.peers.Set(proxy.None)
		e.store.Set(proxy.None)
		s.signal(e, syscall.SIGCONT)
		s.signal(e, syscall.SIGKILL)
		s.kill(e)
		s.start(e)
	}
}
