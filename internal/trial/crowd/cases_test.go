package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const smallJob = `{"best-effort":true,"steps":[{"count":2,"cpu":1000,"est-runtime-ms":20}]}`

// paddedJob returns a job of a size in bytes.
func paddedJob(size int) string {
	const begin, end = `{"best-effort":true,"x":"`, `","steps":[{"count":1,"cpu":1000,"est-runtime-ms":20}]}`
	return begin + strings.Repeat("a", size-len(begin)-len(end)) + end
}

// post returns a request with a body, chunked if chunk is above 0. It fits both listeners.
func post(path, body string, chunk int) []byte {
	var b bytes.Buffer
	method := "POST"
	if strings.HasPrefix(path, "/v1/jobs/") {
		method = "PUT"
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: hold.example\r\nRadishgate-Tenant: shop\r\nDeadline-Ms: 1500\r\n", method, path)
	if chunk == 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return b.Bytes()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(chunk, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// postAll returns the requests of one client of a crowd, each with a number of its own.
func postAll(client, count int, request func(number int) []byte) []byte {
	var all []byte
	for i := range count {
		all = append(all, request(client*count+i)...)
	}
	return all
}

// withBody returns requests with the same body, each for a job of its own.
func withBody(body string, chunk int) func(e *entry, number int) (string, []byte) {
	return func(e *entry, number int) (string, []byte) { return e.clients, post(path(number), body, chunk) }
}

func path(number int) string { return fmt.Sprintf("/hold/%016x", number) }

// kind is a kind of crowd.
type kind struct {
	name     string
	start    func(t *testing.T, binary string, maxOpen int) *entry // startDispatch if nil
	count    int                                                   // of clients
	maxOpen  int                                                   // descriptors of the process, 0 for many
	reset    bool                                                  // clients reset their connections
	returns  int                                                   // times that a refused client comes back
	complete int                                                   // each complete-th client of a crowd that stops short sends its whole request; 0 for none
	request  func(e *entry, number int) (string, []byte)           // returns an address and a whole request
}

var kinds = []kind{
	{name: "length", count: connections, request: withBody(paddedJob(250_000), 0)},
	{name: "large chunks", count: connections, request: withBody(paddedJob(250_000), 64<<10)},
	{name: "small chunks", count: connections, request: withBody(paddedJob(60_000), 16)},
	{name: "many steps", count: connections, request: withBody(`{"best-effort":true,"steps":[`+strings.Repeat(`{"count":1},`, 13_000)+`{"count":1}]}`, 0)},
	{name: "deep job", count: 100, request: withBody(`{"best-effort":true,"steps":[{"count":1},{"count":1,"after":[`+strings.Repeat(`0,`, 120_000)+`0]}]}`, 0)},
	{name: "wide job", count: 20, request: withBody(`{"best-effort":true,"steps":[{"count":100000,"cpu":1000}]}`, 0)},
	{name: "headers", count: connections, request: func(e *entry, number int) (string, []byte) {
		line := "X: " + strings.Repeat("h", 1000) + "\r\n"
		return e.clients, []byte("GET " + path(number) + " HTTP/1.1\r\nHost: hold.example\r\n" + strings.Repeat(line, 60) + "\r\n")
	}},
	{name: "unread answers", count: connections, request: func(e *entry, _ int) (string, []byte) {
		return e.metrics, []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 1000))
	}},
	{name: "pipelined", count: connections, request: func(e *entry, number int) (string, []byte) {
		return e.clients, bytes.Repeat(post(path(number), smallJob, 0), 200)
	}},
	{name: "reset", count: connections, reset: true, request: withBody(paddedJob(250_000), 0)},
	{name: "few descriptors", count: connections, maxOpen: 200, request: withBody(paddedJob(1000), 0)},
	{name: "serve", start: startServe, count: connections, request: func(e *entry, number int) (string, []byte) {
		return e.clients, post(fmt.Sprintf("/v1/jobs/k%d", number), paddedJob(250_000), 64<<10)
	}},
	{name: "single bytes", count: connections, request: withBody(paddedJob(60_000), 1)},
	{name: "mixed", count: connections, complete: 6, request: func(e *entry, number int) (string, []byte) {
		forms := []struct{ size, chunk int }{{250_000, 0}, {250_000, 64 << 10}, {60_000, 16}, {60_000, 1}}
		f := forms[number%len(forms)]
		return e.clients, post(path(number), paddedJob(f.size), f.chunk)
	}},
	{name: "long labels", count: connections, returns: 5, request: withBody(jobWithLabel(240_000), 0)},
	{name: "long lists", count: 100, returns: 20, request: withBody(longList, 0)},
	{name: "several groups", start: startWith("[workers]\ngroups = 8\n"), count: 8, returns: 40, reset: true, request: withBody(`{"best-effort":true,"steps":[{"count":20000,"required-label":"none"}]}`, 0)},
	{name: "jobs that wait", count: connections, request: func(e *entry, number int) (string, []byte) {
		request := post(path(number), `{"best-effort":true,"steps":[{"count":1,"required-label":"none"}]}`, 0)
		return e.clients, bytes.Replace(request, []byte("Deadline-Ms: 1500"), []byte("Deadline-Ms: 3600000"), 1)
	}},
	{name: "long spec", count: connections, returns: 5, request: withBody(`{"best-effort":true,"spec":"`+strings.Repeat("s", 4000)+`","steps":[{"count":1,"required-label":"none"}]}`, 0)},
	{name: "refused jobs", start: startWith("[ingress]\nheld = 1\n"), count: connections, request: func(e *entry, number int) (string, []byte) {
		return e.clients, postAll(number, 200, func(n int) []byte { return post(path(n), smallJob, 0) })
	}},
	{name: "accepted small jobs", start: startServeWithBundle, count: connections, request: func(e *entry, number int) (string, []byte) {
		return e.clients, postAll(number, 200, func(n int) []byte {
			return post(fmt.Sprintf("/v1/jobs/k%d", n), `{"service":"hold","tasks":[{"body":{"run":"1ms"}}]}`, 0)
		})
	}},
	{name: "accepted jobs", start: startServeWithBundle, count: connections, returns: 5, request: func(e *entry, number int) (string, []byte) {
		return e.clients, post(fmt.Sprintf("/v1/jobs/k%d", number), callerJob(250_000), 0)
	}},
	{name: "large answers", start: startServeWithBundle, count: connections, returns: 60, request: func(e *entry, number int) (string, []byte) {
		return e.clients, post(fmt.Sprintf("/v1/jobs/k%d", number), `{"service":"hold","tasks":[{"body":{"run":"1ms","tag":"`+strings.Repeat("a", 250_000)+`"}}]}`, 0)
	}},
	{name: "requests", start: startServeWithBundle, count: connections, request: func(e *entry, _ int) (string, []byte) {
		return e.clients, post("/v1/requests/recall", taskBody(250_000), 64<<10)
	}},
}

// startWith returns a function that starts an entry of radishgate dispatch with further settings.
func startWith(settings string) func(t *testing.T, binary string, maxOpen int) *entry {
	return func(t *testing.T, binary string, maxOpen int) *entry {
		return startZone(t, binary, maxOpen, 1, settings)[0]
	}
}

// jobWithLabel returns a job for workers with a label of a length in bytes, which no worker has.
func jobWithLabel(length int) string {
	return `{"best-effort":true,"steps":[{"count":1,"cpu":1000,"required-label":"` + strings.Repeat("l", length) + `"}]}`
}

// taskBody returns the body of a task that runs for two seconds, of a size in bytes.
func taskBody(size int) string {
	const begin, end = `{"run":"2s","x":"`, `"}`
	return begin + strings.Repeat("a", size-len(begin)-len(end)) + end
}

// callerJob returns a job for radishgate serve of a size in bytes.
func callerJob(size int) string {
	const begin, end = `{"service":"hold","tasks":[{"body":`, `}]}`
	return begin + taskBody(size-len(begin)-len(end)) + end
}

// callerJobOf returns a job for radishgate serve with a number of tasks, each of a size in bytes.
func callerJobOf(tasks, size int) string {
	task := `{"body":` + taskBody(size) + `}`
	return `{"service":"hold","tasks":[` + strings.Repeat(task+",", tasks-1) + task + `]}`
}

// longList is a job with a step that names the one before it many times.
var longList = `{"best-effort":true,"steps":[{"count":1},{"count":1,"after":[` + strings.Repeat(`0,`, 120_000) + `0]}]}`

// TestCrowds guards against an entry that ends, hangs or takes more than its memory or descriptors because of clients
// that send many large, slow or endless requests, or do not read their answers.
func TestCrowds(t *testing.T) {
	if !*crowds {
		t.Skip("run with -crowds")
	}
	binary := build(t)
	for _, k := range kinds {
		for _, course := range []struct {
			name     string
			missing  int // bytes of the request that are never sent
			inPieces bool
		}{{"whole at once", 0, false}, {"whole in pieces", 0, true}, {"short at once", 3, false}, {"short in pieces", 3, true}} {
			t.Run(k.name+" "+course.name, func(t *testing.T) {
				maxOpen := k.maxOpen
				if maxOpen == 0 {
					maxOpen = 4096
				}
				startEntry := k.start
				if startEntry == nil {
					startEntry = startDispatch
				}
				e := startEntry(t, binary, maxOpen)
				address, _ := k.request(e, 0)
				crowd := gather(address, k, func(number int) []byte {
					_, request := k.request(e, number)
					if k.complete > 0 && number%k.complete == 0 {
						return request
					}
					return request[:len(request)-course.missing]
				}, course.inPieces)
				e.check("while the crowd is connected")
				e.expectAnswer("while the crowd is connected")
				for _, c := range crowd {
					_ = c.Close()
				}
				e.expectAnswer("after the crowd has gone")
				e.check("after the crowd has gone")
			})
		}
	}
}

// TestCrowdsAtTakeover guards against entries that end or exceed their memory because the holder of their zone is lost while
// crowds are connected to all of them. A new holder admits jobs that may have been started before.
func TestCrowdsAtTakeover(t *testing.T) {
	if !*crowds {
		t.Skip("run with -crowds")
	}
	binary := build(t)
	for _, k := range kinds {
		if k.start != nil || k.maxOpen > 0 {
			continue
		}
		t.Run(k.name, func(t *testing.T) {
			entries := startZone(t, binary, 4096, 3, "")
			lost := slices.IndexFunc(entries, (*entry).holdsGroup)
			if lost < 0 {
				t.Fatal("no entry holds the group of the zone")
			}
			var mu sync.Mutex
			var crowd []net.Conn
			var crowds sync.WaitGroup
			for i, e := range entries {
				address, _ := k.request(e, 0)
				crowds.Go(func() {
					open := gather(address, k, func(number int) []byte {
						_, request := k.request(e, i<<32+number)
						return request
					}, true)
					mu.Lock()
					defer mu.Unlock()
					crowd = append(crowd, open...)
				})
			}
			time.Sleep(pieces * pieceDelay / 2)
			_ = entries[lost].command.Process.Kill()
			crowds.Wait()
			rest := slices.Delete(slices.Clone(entries), lost, lost+1)
			for _, e := range rest {
				e.check("while the crowd is connected")
				e.expectAnswer("while the crowd is connected")
			}
			for _, c := range crowd {
				_ = c.Close()
			}
			for _, e := range rest {
				e.expectAnswer("after the crowd has gone")
				e.check("after the crowd has gone")
			}
		})
	}
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "radishgate")
	if out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("building the program failed: %v: %s", err, out)
	}
	return binary
}

// TestLargeRequestAlone guards against limits for crowds that refuse a single request of legal size.
func TestLargeRequestAlone(t *testing.T) {
	if !*crowds {
		t.Skip("run with -crowds")
	}
	const largest = 262_144 // max-body-bytes of the configuration
	binary := build(t)
	for _, single := range []struct {
		name  string
		start func(t *testing.T, binary string, maxOpen int) *entry
		path  string
		body  string
		chunk int
	}{
		{"length", startDispatch, path(0), paddedJob(largest), 0},
		{"large chunks", startDispatch, path(0), paddedJob(largest), 64 << 10},
		{"small chunks", startDispatch, path(0), paddedJob(largest), 16},
		{"single bytes", startDispatch, path(0), paddedJob(largest), 1},
		{"many steps", startDispatch, path(0), `{"best-effort":true,"steps":[` + strings.Repeat(`{"count":1},`, 999) + `{"count":1}]}`, 0},
		{"long list", startDispatch, path(0), longList, 0},
		{"request", startServeWithBundle, "/v1/requests/recall", taskBody(1 << 20), 0},
		{"accepted job", startServeWithBundle, "/v1/jobs/k0", callerJob(1 << 20), 16},
		{"largest job", startServeWithBundle, "/v1/jobs/k0", callerJobOf(2, 1<<20), 0},
	} {
		for _, inPieces := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s in pieces %v", single.name, inPieces), func(t *testing.T) {
				e := single.start(t, binary, 4096)
				c := send(e.clients, post(single.path, single.body, single.chunk), inPieces)
				if c == nil {
					t.Fatal("no connection")
				}
				defer c.Close()
				_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || response.StatusCode/100 != 2 {
					t.Errorf("answer %v and error %v, want a status of 2xx", response, err)
				}
				e.expectAnswer("afterwards")
				e.check("afterwards")
			})
		}
	}
}
