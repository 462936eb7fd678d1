package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/internal/mutate"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/keeper"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
	"github.com/radishgate/radishgate/shelf"
	"github.com/radishgate/radishgate/window"
)

const text = `
[rules]
tasks = 3
[tenant shop]
[service recall]
path = /recall
repeatable = true
body = 64
[service hold]
path = /hold
`

// desk is a server whose jobs are answered at once by echoing their bodies.
type desk struct {
	*Server
	admitted int
	refuse   *refusal.Refusal
	broken   bool
	never    bool
	closing  bool
	now      time.Time
	kept     []*job.Job
}

func newDesk(t testing.TB) *desk {
	b, err := bundle.Parse("test", 1, text)
	if err != nil {
		t.Fatal(err)
	}
	d := &desk{now: time.Unix(1_800_000_000, 0)}
	k := keeper.New(keeper.Options{
		Self: origin.Key{Zone: "z", VM: "vm", Incarnation: 0xabc}, Life: t.Context(),
		Window: window.New[*job.Job](window.Options{Now: func() time.Time { return d.now }}),
		Shelf:  shelf.New(1<<20, time.Minute), Bundle: func() *bundle.Bundle { return b },
		Find: func(id string) (member.Record, member.State, bool) {
			return member.Record{ID: id, Zone: "z", Incarnation: 1}, member.Alive, id == "other"
		},
		Submit: func(context.Context, member.Record, keeper.Submission) (keeper.Result, error) {
			return keeper.Result{}, context.DeadlineExceeded
		},
		Admit: d.admit, Accepting: func() bool { return !d.closing },
	})
	d.Server = New(Options{
		Keeper: k, Refused: func(*refusal.Refusal) {}, Closing: func() bool { return d.closing },
		Ready: func() bool { return !d.closing }, Body: 400,
	})
	return d
}

func (d *desk) admit(j *job.Job) *refusal.Refusal {
	d.admitted++
	d.kept = append(d.kept, j)
	if d.refuse != nil {
		return d.refuse
	}
	for i, task := range j.Tasks {
		body := task.Body
		if d.broken {
			body = body[:len(body)-1]
		}
		if !d.never {
			j.Finish(i, job.Answer{Status: 200, Type: "application/json", Body: body})
		}
	}
	return nil
}

// TestCalls runs testdata/calls. The first line of the input is method and
// path, further lines are headers up to an empty one, and the rest is the body.
// TOKEN stands for the present origin token.
func TestCalls(t *testing.T) {
	d := newDesk(t)
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, data *datadriven.TestData) string {
		d.broken, d.never, d.refuse = data.HasArg("broken"), data.HasArg("never"), nil
		d.closing = data.HasArg("closing")
		if data.HasArg("overloaded") {
			d.refuse = refusal.New(refusal.Overloaded, refusal.NotRun, "too much").Later(time.Now().Add(1500 * time.Millisecond))
		}
		if data.HasArg("drop") {
			for _, j := range d.kept {
				j.Drop()
			}
		}
		for range data.CmdArgs {
			if data.HasArg("later") {
				d.now = d.now.Add(time.Hour)
				break
			}
		}
		return d.call(t, data.Input)
	})
}

func (d *desk) call(t *testing.T, input string) string {
	t.Helper()
	token := origin.Key{Zone: "z", VM: "vm", Incarnation: 0xabc}.Token()
	input = strings.ReplaceAll(input, "TOKEN", token)
	head, body, _ := strings.Cut(input, "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	head = strings.ReplaceAll(head, "LONG", strings.Repeat("x", 20_000))
	lines = strings.Split(head, "\n")
	body = strings.ReplaceAll(body, "LONG", strings.Repeat("x", 500))
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	before := d.admitted
	recorder := httptest.NewRecorder()
	d.ServeHTTP(recorder, request)
	out := fmt.Sprintf("%d %s", recorder.Code, recorder.Header().Get("Content-Type"))
	if after := recorder.Header().Get("Retry-After"); after != "" {
		out += " retry after " + after
	}
	if recorder.Header().Get("Connection") == "close" {
		out += " close"
	}
	if d.admitted > before {
		out += " admitted"
	}
	if recorder.Header().Get(HeaderOrigin) == "" {
		out += " without origin"
	}
	return strings.ReplaceAll(out+"\n"+show(recorder.Body.Bytes()), token, "TOKEN")
}

// show leaves out what changes from run to run.
func show(body []byte) string {
	var p problem
	if json.Unmarshal(body, &p) == nil && p.Title != "" {
		return fmt.Sprintf("%s (%s): %s\n", p.Title, p.Outcome, p.Detail)
	}
	return strings.TrimSpace(string(body)) + "\n"
}

// TestRoutesAreDescribed holds docs/openapi.json against the routes.
func TestRoutesAreDescribed(t *testing.T) {
	data, err := os.ReadFile("../docs/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	var document struct {
		Paths map[string]map[string]json.RawMessage `json:"paths"`
	}
	if err := json.Unmarshal(data, &document); err != nil {
		t.Fatal(err)
	}
	var described, served []string
	for path, methods := range document.Paths {
		for method := range methods {
			described = append(described, strings.ToUpper(method)+" "+path)
		}
	}
	for _, r := range newDesk(t).Routes() {
		path := r.Path
		for _, name := range []string{"service", "key"} {
			path = strings.ReplaceAll(path, ":"+name, "{"+name+"}")
		}
		served = append(served, r.Method+" "+path)
	}
	sort.Strings(described)
	sort.Strings(served)
	if fmt.Sprint(described) != fmt.Sprint(served) {
		t.Errorf("described %v\nserved %v", described, served)
	}
}

// TestErrorsAreDescribed holds the operators' page and the OpenAPI file against
// the kinds of refusals.
func TestErrorsAreDescribed(t *testing.T) {
	page, err := os.ReadFile("../docs/operating/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	api, err := os.ReadFile("../docs/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range refusal.Kinds() {
		if !strings.Contains(string(page), "| `"+string(kind)+"` |") {
			t.Errorf("docs/operating/errors.md lacks %s", kind)
		}
		if !strings.Contains(string(api), `"`+string(kind)+`"`) {
			t.Errorf("docs/openapi.json lacks %s", kind)
		}
	}
}

// TestSlowCaller sends half a body and then nothing.
func TestSlowCaller(t *testing.T) {
	d := newDesk(t)
	d.options.Patience = 30 * time.Millisecond
	server := httptest.NewServer(d)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/requests/recall HTTP/1.1\r\nHost: x\r\nRadishgate-Tenant: shop\r\nContent-Length: 10\r\n\r\nhalf")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(body), string(refusal.SlowCaller)) || d.admitted != 0 {
		t.Errorf("%d %s, %d admitted", response.StatusCode, body, d.admitted)
	}
}

func FuzzSubmit(f *testing.F) {
	f.Add(`{"service":"hold","tasks":[{"body":1,"hint":"5ms"}]}`, "chosen")
	const key = "o1~z~vm~0000000000000abc~0.x"
	f.Add(`{"service":"hold","tasks":[{}]}`, key)
	for _, body := range mutate.Variants(`{"service":"hold","limit":"5s","tasks":[{"body":1,"hint":"5ms"}]}`, 500) {
		f.Add(body, key)
	}
	for _, text := range mutate.Variants(key, 200) {
		f.Add(`{"service":"hold","tasks":[{}]}`, text)
	}
	d := newDesk(f)
	f.Fuzz(func(t *testing.T, body, key string) {
		if !strings.HasPrefix(key, "o1~") {
			return
		}
		request := httptest.NewRequest(http.MethodPut, "/v1/jobs/x?wait=1ms", strings.NewReader(body))
		request.URL.Path = "/v1/jobs/" + key
		request.Header.Set(HeaderTenant, "shop")
		recorder := httptest.NewRecorder()
		d.ServeHTTP(recorder, request)
		if recorder.Code == 0 || recorder.Code == 500 {
			t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
		}
	})
}
