// Package crowd runs entries as separate processes among many clients that exceed the limits of requests.
package crowd

import (
	"encoding/json"
	"errors"
	"flag"
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
	"testing"
	"time"

	"github.com/radishgate/radishgate/standin/ledger"
	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
	"github.com/radishgate/radishgate/standin/worker"
)

var crowds = flag.Bool("crowds", false, "run the crowds, which need a machine without other load")

// The crowd and the bounds. maxResidentMB lies on the line through the bounds of the requirements, 110 MB of 144 and
// 200 MB of 284.
const (
	memoryMB       = 96 // [entry] memory, or GOMEMLIMIT of serve
	maxResidentMB  = 79
	connections    = 900
	maxDescriptors = 700
	writeTimeout   = 5 * time.Second  // of one client of the crowd
	answerTimeout  = 30 * time.Second // of an ordinary client with its repeats
	pieces         = 8
	pieceDelay     = 20 * time.Millisecond
	returnDelay    = 3 * time.Second // within which a client of the crowd waits for an answer
)

const configuration = `{"version":1,"routes":[{"name":"hold","host":"hold.example","path-prefix":"/hold/","slo-ms":60,"backend":"listing","max-attempts":3,"slack-factor":1.6}],
"services":[{"name":"listing"}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// entry is the process under test.
type entry struct {
	t        *testing.T
	command  *exec.Cmd
	ended    chan struct{} // closed once the process has exited
	clients  string        // addresses of its listeners
	metrics  string
	ordinary func() (*http.Request, error) // returns a request of an ordinary client
}

// start starts a process and waits until it answers an ordinary client. maxOpen limits its descriptors.
func start(t *testing.T, e *entry, maxOpen int, binary string, args ...string) *entry {
	t.Helper()
	line := fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", maxOpen)
	e.t, e.ended = t, make(chan struct{})
	e.command = exec.Command("sh", append([]string{"-c", line, binary}, args...)...)
	e.command.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB))
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = e.command.Wait() // the exit status does not matter
		close(e.ended)
	}()
	t.Cleanup(func() {
		_ = e.command.Process.Kill()
		<-e.ended
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the entry's log: %s", data[max(0, len(data)-2000):])
		}
	})
	e.expectAnswer("before the crowd")
	return e
}

// startDispatch starts one entry of radishgate dispatch.
func startDispatch(t *testing.T, binary string, maxOpen int) *entry {
	return startZone(t, binary, maxOpen, 1, "")[0]
}

// startZone starts entries of radishgate dispatch in one zone, with further settings, and with a store and workers in this
// process.
func startZone(t *testing.T, binary string, maxOpen, count int, settings string) []*entry {
	topics := ledger.New()
	address := serveHandler(t, topics)
	topics.Put("keyed.op", "config", []byte(configuration))
	for i := range 4 {
		id := fmt.Sprintf("w%d", i)
		w := serveHandler(t, worker.New(worker.Options{ID: id, Slots: 1000, Monitor: &worker.RunMonitor{}}))
		topics.Put("keyed.servers", id, fmt.Appendf(nil,
			`{"backend":"listing","address":%q,"zone":"a","state":"ready","capacity":{"cpu":48000,"mem-mb":64000},"seq":1}`, w))
	}
	var entries []*entry
	peers := freeAddresses(t, count)
	next := 0
	for i := range count {
		a := freeAddresses(t, 3)
		file := write(t, fmt.Sprintf("[entry]\nvm = e%d\nzone = a\nzones = a\nmemory = %d\nlisten = %s\npeers = %s\nready = %s\nmetrics = %s\nseeds = %s\n[platform]\nstore = %s\n%s",
			i, memoryMB, a[0], peers[i], a[1], a[2], strings.Join(peers, ", "), address, settings))
		ordinary := func() (*http.Request, error) {
			next++
			r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/hold/%016x", a[0], 1<<40+next), strings.NewReader(smallJob))
			if err == nil {
				r.Host = "hold.example"
			}
			return r, err
		}
		entries = append(entries, start(t, &entry{clients: a[0], metrics: a[2], ordinary: ordinary}, maxOpen, binary, "dispatch", "--settings", file))
	}
	return entries
}

// holdsGroup reports whether the entry holds a group: only then its metrics count workers.
func (e *entry) holdsGroup() bool {
	response, err := http.Get("http://" + e.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), "radishgate_dispatch_workers{")
}

// startServe starts radishgate serve. It has no bundle, since bodies are read before a service is looked up.
func startServe(t *testing.T, binary string, maxOpen int) *entry {
	return startServeAt(t, binary, maxOpen, serveHandler(t, store.New(store.Options{}).Handler()), "MCowBQYDK2VwAyEAGb9ECWmEzf6FQbrBZ9w7lshQhqowtrbLDFw4rXAxZuE=")
}

// startServeAt starts radishgate serve with a store and a public key of an operator.
func startServeAt(t *testing.T, binary string, maxOpen int, platform, signer string) *entry {
	a := freeAddresses(t, 3)
	file := write(t, fmt.Sprintf("[entry]\nvm = e0\nzone = a\nlisten = %s\npeers = %s\noperators = %s\n[platform]\naddress = %s\n[keys]\nsigners = %s\n[limits]\nbeat = 100ms\n",
		a[0], a[1], a[2], platform, signer))
	ordinary := func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+a[0]+"/v1/origin", nil)
	}
	return start(t, &entry{clients: a[0], metrics: a[2], ordinary: ordinary}, maxOpen, binary, "serve", "--settings", file)
}

// startServeWithBundle starts radishgate serve with a bundle in force, and with an upstream in this process.
func startServeWithBundle(t *testing.T, binary string, maxOpen int) *entry {
	directory := t.TempDir()
	call := func(args ...string) []byte {
		command := exec.Command(binary, args...)
		command.Dir = directory
		out, err := command.CombinedOutput()
		if err != nil {
			t.Fatalf("%v failed: %v: %s", args, err, out)
		}
		return out
	}
	var key struct{ Signer string }
	if err := json.Unmarshal(call("keys", "new", "operator.key", "--json"), &key); err != nil {
		t.Fatal(err)
	}
	services := fmt.Sprintf("[tenant shop]\n[service hold]\npath = /hold\n[service recall]\npath = /recall\nrepeatable = true\n[upstream u0]\nzone = a\naddress = %s\nslots = 200\nconnections = 200\n",
		serveHandler(t, runner.New(runner.Options{Name: "u0", Slots: 200}).Handler()))
	if err := os.WriteFile(filepath.Join(directory, "bundle.ini"), []byte(services), 0o600); err != nil {
		t.Fatal(err)
	}
	platform := serveHandler(t, store.New(store.Options{}).Handler())
	e := startServeAt(t, binary, maxOpen, platform, key.Signer)
	call("bundle", "sign", "bundle.ini", "--key", "operator.key", "--signer", key.Signer, "--platform", platform, "--out", "v1.json")
	call("bundle", "publish", "v1.json", "--signer", key.Signer, "--platform", platform, "--operators", e.metrics)
	e.ordinary = func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+e.clients+"/v1/requests/recall", strings.NewReader(`{"run":"20ms"}`))
		if err == nil {
			r.Header.Set("Radishgate-Tenant", "shop")
		}
		return r, err
	}
	e.expectAnswer("before the crowd")
	return e
}

func serveHandler(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func write(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// freeAddresses returns addresses at which nothing listens. Their ports are below those that the system gives to
// connections, which may take a port before the entry listens at it.
func freeAddresses(t *testing.T, count int) []string {
	const firstPort, portCount, maxTries = 15000, 17000, 1000
	var addresses []string
	for range maxTries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue // the port is taken
		}
		defer l.Close()
		if addresses = append(addresses, l.Addr().String()); len(addresses) == count {
			return addresses
		}
	}
	t.Fatalf("only %d of %d free ports found", len(addresses), count)
	return nil
}

// expectAnswer sends an ordinary request, repeated as a client would, until it is answered with 200.
func (e *entry) expectAnswer(when string) {
	e.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "none sent"
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		request, err := e.ordinary()
		if err != nil {
			e.t.Fatal(err)
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
			last = response.Status
			continue
		}
		last = err.Error()
	}
	e.t.Errorf("an ordinary request got no answer %s; last result: %s", when, last)
}

// check checks that the process lives and stays within its bounds.
func (e *entry) check(when string) {
	e.t.Helper()
	select {
	case <-e.ended:
		e.t.Fatalf("the process has ended %s: %v", when, e.command.ProcessState)
	default:
	}
	directory := fmt.Sprintf("/proc/%d", e.command.Process.Pid)
	status, err := os.ReadFile(directory + "/status")
	if err != nil {
		e.t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
	if err != nil {
		e.t.Fatal(err)
	}
	open, err := os.ReadDir(directory + "/fd")
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Logf("%s: resident %d MB at most, %d descriptors", when, kilobytes>>10, len(open))
	if kilobytes>>10 > maxResidentMB {
		e.t.Errorf("resident memory has reached %d MB %s, want %d at most", kilobytes>>10, when, maxResidentMB)
	}
	if len(open) > maxDescriptors {
		e.t.Errorf("%d descriptors are open %s, want %d at most", len(open), when, maxDescriptors)
	}
}

// gather sends a request over each of many connections and returns those that are still open. A client of the crowd
// whose connection is refused or closed does nothing more, unless clients of its kind return.
func gather(address string, k kind, requestOf func(number int) []byte, inPieces bool) []net.Conn {
	var mu sync.Mutex
	var open []net.Conn
	var clients sync.WaitGroup
	for i := range k.count {
		clients.Go(func() {
			for try := 0; try <= k.returns; try++ {
				c := send(address, requestOf(i+try*k.count), inPieces)
				if c == nil {
					continue
				}
				if k.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
					continue
				}
				if try < k.returns && isRefused(c) {
					_ = c.Close()
					continue
				}
				mu.Lock()
				open = append(open, c)
				mu.Unlock()
				return
			}
		})
	}
	clients.Wait()
	return open
}

// send sends a request, or as much of it as the entry takes, over a connection of its own. It returns nil if there is
// no connection.
func send(address string, request []byte, inPieces bool) net.Conn {
	c, err := net.DialTimeout("tcp", address, writeTimeout)
	if err != nil {
		return nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	parts := 1
	if inPieces {
		parts = pieces
	}
	for p := range parts {
		if _, err = c.Write(request[p*len(request)/parts : (p+1)*len(request)/parts]); err != nil {
			break
		}
		if inPieces {
			time.Sleep(pieceDelay)
		}
	}
	return c
}

// isRefused reports whether a connection is closed, or brings an answer other than 2xx, within returnDelay.
func isRefused(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(returnDelay))
	status := make([]byte, len("HTTP/1.1 2"))
	_, err := io.ReadFull(c, status)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return err != nil || status[len(status)-1] != '2'
}
