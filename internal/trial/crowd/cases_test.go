package crowd

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
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
	if strings.HasPrefix(path, "/v1/") {
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

// withBody returns requests with the same body, each for a job of its own.
func withBody(body string, chunk int) func(e *entry, number int) (string, []byte) {
	return func(e *entry, number int) (string, []byte) { return e.clients, post(path(number), body, chunk) }
}

func path(number int) string { return fmt.Sprintf("/hold/%016x", number) }

// kinds are the kinds of requests of a crowd. The function returns an address and a whole request.
var kinds = []struct {
	name    string
	serve   bool // against radishgate serve
	count   int  // of clients
	maxOpen int  // descriptors of the process, 0 for many
	reset   bool // clients reset their connections
	request func(e *entry, number int) (string, []byte)
}{
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
	{name: "serve", serve: true, count: connections, request: func(e *entry, number int) (string, []byte) {
		return e.clients, post(fmt.Sprintf("/v1/jobs/k%d", number), paddedJob(250_000), 64<<10)
	}},
}

// TestCrowds guards against an entry that ends, hangs or takes more than its memory or descriptors because of clients
// that send many large, slow or endless requests, or do not read their answers.
func TestCrowds(t *testing.T) {
	if !*crowds {
		t.Skip("run with -crowds")
	}
	binary := filepath.Join(t.TempDir(), "radishgate")
	if out, err := exec.Command("go", "build", "-o", binary, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("building the program failed: %v: %s", err, out)
	}
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
				startEntry := startDispatch
				if k.serve {
					startEntry = startServe
				}
				e := startEntry(t, binary, maxOpen)
				address, _ := k.request(e, 0)
				crowd := gather(address, k.count, func(number int) []byte {
					_, request := k.request(e, number)
					return request[:len(request)-course.missing]
				}, course.inPieces, k.reset)
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
