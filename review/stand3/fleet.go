package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/radishgate/radishgate/standin/ledger"
)

// The names of the operator's configuration.
const (
	service = "listing"
	host    = "hold.example"
	prefix  = "/hold/"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	return &record{file: file, startedAt: time.Now()}, err
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// options size a fleet.
type options struct {
	binary     string
	zones      []string
	entries    int // in each zone
	runners    int // in each zone
	milliCores int
	memoryMB   int // of an entry's machine
	share      float64
}

// fleet is a small deployment: a store, runners and entries, which are processes of their own.
type fleet struct {
	options
	dir     string
	record  *record
	monitor *monitor
	store   *ledger.TopicStore
	runners []*machine
	entries []*entry
	seq     atomic.Int64 // of the registrations

	orderLock    sync.Mutex
	withheldTask string // whose starts get no answer
	withheld     chan<- withheldOrder
	stop         chan struct{}
}

// machine is a place for a runner: its address stays.
type machine struct {
	fleet   *fleet
	id      string
	zone    string
	address string

	mu     sync.Mutex
	runner *runner // nil while it is down
}

// ServeHTTP implements http.Handler.
func (m *machine) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	present := m.runner
	m.mu.Unlock()
	if present == nil {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if m.fleet.leavesUnanswered(r, body, m) {
		<-r.Context().Done() // the caller has given up
		panic(http.ErrAbortHandler)
	}
	present.ServeHTTP(out, r)
}

// withheldOrder is an order that got no answer.
type withheldOrder struct {
	at   *machine
	path string
	body []byte
}

// withhold leaves the starts of a task unanswered and passes them on; "" ends that.
func (f *fleet) withhold(task string, orders chan<- withheldOrder) {
	f.orderLock.Lock()
	defer f.orderLock.Unlock()
	f.withheldTask, f.withheld = task, orders
}

// leavesUnanswered reports whether an order is withheld.
func (f *fleet) leavesUnanswered(r *http.Request, body []byte, at *machine) bool {
	f.orderLock.Lock()
	defer f.orderLock.Unlock()
	var o order
	if f.withheldTask == "" || r.URL.Path != "/run-start" || json.Unmarshal(body, &o) != nil || o.Task != f.withheldTask {
		return false
	}
	select {
	case f.withheld <- withheldOrder{at, r.URL.Path, body}:
	default: // one of many copies
	}
	return true
}

// execute carries out the order, at whatever runner the machine has now.
func (o withheldOrder) execute() {
	o.at.mu.Lock()
	present := o.at.runner
	o.at.mu.Unlock()
	if present == nil {
		return
	}
	request := httptest.NewRequest(http.MethodPost, o.path, bytes.NewReader(o.body))
	request.Header.Set("Expect-Instance", o.at.id)
	recorder := httptest.NewRecorder()
	present.ServeHTTP(recorder, request)
	o.at.fleet.record.printf("%s answers to nobody: %d %s", o.at.id, recorder.Code, recorder.Body)
}

// crash ends the runner of the machine.
func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner != nil {
		m.runner.crash()
		m.runner = nil
	}
}

// comeBack starts the next runner of the machine, under the same ID.
func (m *machine) comeBack() {
	m.mu.Lock()
	m.runner = newRunner(m.id, m.zone, m.fleet.monitor)
	m.mu.Unlock()
	m.register()
}

func (m *machine) register() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner == nil {
		return
	}
	m.fleet.store.Put("keyed.servers", m.id, fmt.Appendf(nil,
		`{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-left-ms":0,"seq":%d,"born":%d,"capacity":{"cpu":%d,"mem-mb":131072,"gpu":0},"labels":["a","r-%s"]}`,
		service, m.address, m.zone, m.fleet.seq.Add(1), m.runner.born.UnixMilli(), m.fleet.milliCores, m.zone))
}

// entry is a process of the system under test.
type entry struct {
	fleet   *fleet
	id      string
	zone    string
	clients string
	metrics string
	ready   string
	file    string
	command *exec.Cmd
	ended   chan struct{}
	status  string
}

func serveOn(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// freeAddresses returns loopback addresses at which nothing listens, with ports that the system gives to nobody.
func freeAddresses(count int) ([]string, error) {
	found := map[string]bool{}
	var all []string
	for range 10000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+os.Getpid()%20*1000+rand.IntN(1000)))
		if err != nil {
			continue
		}
		_ = l.Close()
		if a := l.Addr().String(); !found[a] {
			found[a] = true
			all = append(all, a)
		}
		if len(all) == count {
			return all, nil
		}
	}
	return nil, fmt.Errorf("only %d of %d free ports", len(all), count)
}

// newFleet starts the stand-ins and writes the settings. The entries are started with start.
func newFleet(o options, dir string, r *record) (*fleet, error) {
	f := &fleet{options: o, dir: dir, record: r, monitor: &monitor{record: r}, store: ledger.New(), stop: make(chan struct{})}
	store, err := serveOn(f.store)
	if err != nil {
		return nil, err
	}
	f.configure(1, 0)
	for _, zone := range o.zones {
		for i := range o.runners {
			m := &machine{fleet: f, id: fmt.Sprintf("run-%s-%d", zone, i), zone: zone}
			if m.address, err = serveOn(m); err != nil {
				return nil, err
			}
			m.runner = newRunner(m.id, zone, f.monitor)
			m.register()
			f.runners = append(f.runners, m)
		}
	}
	go f.beat()
	return f, f.writeSettings(store)
}

// configure stores a version of the operator's configuration with a number of further routes.
func (f *fleet) configure(version, routes int) {
	all := []map[string]any{{"name": "hold", "host": host, "path-prefix": prefix, "backend": service, "slo-ms": 60, "max-attempts": 3, "slack-factor": 1.6, "priority": 0, "timeout-ms": 0}}
	for i := range routes {
		all = append(all, map[string]any{"name": fmt.Sprintf("r%d", i), "host": host, "path-prefix": fmt.Sprintf("/r%d/", i), "backend": service, "slo-ms": 60, "max-attempts": 3, "slack-factor": 1.6})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": all, "services": []map[string]any{{"name": service, "admission-check": false}},
		"limits": map[string]any{"max-body-bytes": 262144, "max-header-bytes": 16384, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err == nil {
		f.store.Put("keyed.op", "config", data)
	}
}

// beat has each runner register about every heartbeat-ms.
func (f *fleet) beat() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
		for _, m := range f.runners {
			m.register()
		}
	}
}

func (f *fleet) writeSettings(store string) error {
	count := len(f.zones) * f.options.entries
	addresses, err := freeAddresses(4 * count)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range count {
		a := addresses[4*i : 4*i+4]
		zone := f.zones[i%len(f.zones)]
		e := &entry{fleet: f, id: fmt.Sprintf("front-%s-%d", zone, i/len(f.zones)), zone: zone, clients: a[0], ready: a[1], metrics: a[3]}
		f.entries = append(f.entries, e)
		seeds = append(seeds, a[2])
		e.file = filepath.Join(f.dir, e.id+".ini")
		text := fmt.Sprintf("[entry]\nvm = %s\nzone = %s\nzones = %s\ncores = 1\nshare = %g\nmemory = %d\ndescriptors = 4100\nlisten = %s\nready = %s\npeers = %s\nmetrics = %s\nseeds = SEEDS\n[platform]\nstore = %s\nlease = 1000ms\ngrace = 6s\nresend = 1300ms\n[logs]\nlevel = info\n",
			e.id, zone, strings.Join(f.zones, ","), f.share, f.options.memoryMB, a[0], a[1], a[2], a[3], store)
		if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		text, err := os.ReadFile(e.file)
		if err != nil {
			return err
		}
		text = []byte(strings.Replace(string(text), "SEEDS", strings.Join(seeds[:min(3, len(seeds))], ", "), 1))
		if err := os.WriteFile(e.file, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process, with the command of the deploy file.
func (e *entry) start() error {
	log, err := os.OpenFile(filepath.Join(e.fleet.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.command = exec.Command(e.fleet.binary, "dispatch")
	e.command.Env = append(os.Environ(), "RADISHGATE_BOOT="+e.file)
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	command, ended := e.command, e.ended
	go func() {
		_ = command.Wait() // the state is read below
		e.status = command.ProcessState.String()
		close(ended)
	}()
	e.fleet.record.printf("entry %s starts, process %d", e.id, e.command.Process.Pid)
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.fleet.record.printf("entry %s gets %s", e.id, s)
	_ = e.command.Process.Signal(s) // it may have ended
}

// alive reports whether the process runs.
func (e *entry) alive() bool {
	if e.command == nil {
		return false
	}
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// residentMB returns the largest resident memory of the process so far.
func (e *entry) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes >> 10
}

// isReady reports what the platform's check of the entry gets.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// holds reports whether the entry holds a group of runners, by its metrics.
func (e *entry) holds() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), "radishgate_dispatch_workers{")
}

// startAll starts all entries and waits until they are ready.
func (f *fleet) startAll() error {
	for _, e := range f.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(15 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range f.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s is not ready", e.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end ends all processes that the fleet has started.
func (f *fleet) end() {
	close(f.stop)
	for _, e := range f.entries {
		if e.alive() {
			_ = e.command.Process.Signal(syscall.SIGCONT)
			_ = e.command.Process.Kill()
			<-e.ended
		}
	}
}

// reply is how a request ended.
type reply struct {
	status int // 0 for no response
	state  string
	err    error
	took   time.Duration
}

// job is the body of a request that submits a job.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best-effort"`
}

type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu,omitempty"`
	Memory    int    `json:"mem-mb,omitempty"`
	Estimate  int    `json:"est-runtime-ms,omitempty"`
	After     []int  `json:"after,omitempty"`
	PerServer int    `json:"max-per-server,omitempty"`
	Label     string `json:"required-label,omitempty"`
}

// call sends a request to an entry over a connection of its own.
func call(method, address, id string, body []byte, deadline time.Duration) reply {
	request, err := http.NewRequest(method, "http://"+address+prefix+id, strings.NewReader(string(body)))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(sentAt)}
	}
	defer response.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err, took: time.Since(sentAt)}
	}
	_ = json.Unmarshal(data, &answer)
	return reply{status: response.StatusCode, state: answer.State, took: time.Since(sentAt)}
}

// submit sends a job once.
func (e *entry) submit(id string, j job, deadline time.Duration) reply {
	j.BestEffort = true
	body, err := json.Marshal(j)
	if err != nil {
		return reply{err: err}
	}
	r := call(http.MethodPost, e.clients, id, body, deadline)
	e.fleet.record.printf("POST %s to %s: %d %s after %d ms, %v", id, e.id, r.status, r.state, r.took.Milliseconds(), r.err)
	return r
}
