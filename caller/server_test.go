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
	"testing/iotest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/radishgate/radishgate/answercache"
	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/idempotency"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/internal/mutate"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
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

// testServer is a server whose jobs end at once, with their bodies as answers.
type testServer struct {
	*Server
	admitted       int // jobs that reached admission
	refuse         *refusal.Refusal
	corruptAnswers bool // answers lack their last byte
	neverFinish    bool // jobs get no answers
	stopping       bool
	now            time.Time
	jobs           []*job.Job
}

func newTestServer(t testing.TB) *testServer {
	b, err := bundle.Parse("test", 1, text)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{now: time.Unix(1_800_000_000, 0)}
	router := idempotency.New(idempotency.Options{
		Self: origin.Key{Zone: "z", VM: "vm", Incarnation: 0xabc}, BaseContext: t.Context(),
		Window:      window.New[*job.Job](window.Options{Now: func() time.Time { return s.now }}),
		AnswerCache: answercache.New(1<<20, time.Minute), Bundle: func() *bundle.Bundle { return b },
		FindMember: func(id string) (member.Record, member.State, bool) {
			return member.Record{ID: id, Zone: "z", Incarnation: 1}, member.Alive, id == "other"
		},
		ForwardSubmit: func(context.Context, member.Record, idempotency.Submission) (idempotency.Result, error) {
			return idempotency.Result{}, context.DeadlineExceeded
		},
		Admit: s.admit, Accepting: func() bool { return !s.stopping },
	})
	s.Server = New(Options{
		Router: router, OnRefusal: func(*refusal.Refusal) {}, IsStopping: func() bool { return s.stopping },
		IsReady: func() bool { return !s.stopping }, MaxBodyBytes: 400,
	})
	return s
}

func (s *testServer) admit(j *job.Job) *refusal.Refusal {
	s.admitted++
	s.jobs = append(s.jobs, j)
	if s.refuse != nil {
		return s.refuse
	}
	for i, task := range j.Tasks {
		body := task.Body
		if s.corruptAnswers {
			body = body[:len(body)-1]
		}
		if !s.neverFinish {
			j.FinishTask(i, job.Answer{Status: 200, ContentType: "application/json", Body: body})
		}
	}
	return nil
}

// TestCalls compares the answers to the calls in testdata/calls. The first line of
// an input is method and path, the next lines up to an empty one are headers, and
// the rest is the body. TOKEN stands for the present origin token, LONG for a
// text that exceeds the size limit.
func TestCalls(t *testing.T) {
	s := newTestServer(t)
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, data *datadriven.TestData) string {
		s.corruptAnswers, s.neverFinish, s.refuse = data.HasArg("broken"), data.HasArg("never"), nil
		s.stopping = data.HasArg("closing")
		if data.HasArg("overloaded") {
			s.refuse = refusal.New(refusal.Overloaded, refusal.NotRun, "too much").WithRetryAt(time.Now().Add(1500 * time.Millisecond))
		}
		if data.HasArg("drop") {
			for _, j := range s.jobs {
				j.Drop()
			}
		}
		for range data.CmdArgs {
			if data.HasArg("later") {
				s.now = s.now.Add(time.Hour)
				break
			}
		}
		return s.call(t, data.Input)
	})
}

func (s *testServer) call(t *testing.T, input string) string {
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
	before := s.admitted
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	out := fmt.Sprintf("%d %s", recorder.Code, recorder.Header().Get("Content-Type"))
	if after := recorder.Header().Get("Retry-After"); after != "" {
		out += " retry after " + after
	}
	if recorder.Header().Get("Connection") == "close" {
		out += " close"
	}
	if s.admitted > before {
		out += " admitted"
	}
	if recorder.Header().Get(HeaderOrigin) == "" {
		out += " without origin"
	}
	return strings.ReplaceAll(out+"\n"+show(recorder.Body.Bytes()), token, "TOKEN")
}

// show formats a body; of a refusal it omits the parts that vary between runs.
func show(body []byte) string {
	var p problem
	if json.Unmarshal(body, &p) == nil && p.Title != "" {
		return fmt.Sprintf("%s (%s): %s\n", p.Title, p.Outcome, p.Detail)
	}
	return strings.TrimSpace(string(body)) + "\n"
}

// A route is added or removed and docs/openapi.json is not updated.
func TestOpenAPIDescribesEveryRoute(t *testing.T) {
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
	for _, r := range newTestServer(t).Routes() {
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

// A kind of refusal is added, and the operators' page of errors or
// docs/openapi.json is not updated.
func TestDocsDescribeEveryRefusalKind(t *testing.T) {
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

// A caller sends half its body and then nothing. Without a read deadline it would
// hold the connection forever.
func TestIncompleteBodyTimesOut(t *testing.T) {
	s := newTestServer(t)
	s.options.TransferTimeout = 30 * time.Millisecond
	server := httptest.NewServer(s)
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
	if response.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(body), string(refusal.CallerTooSlow)) || s.admitted != 0 {
		t.Errorf("%d %s, %d admitted", response.StatusCode, body, s.admitted)
	}
}

// TestJobErrorTexts guards against a rename of a Go type whose name encoding/json puts into
// the texts that callers get for a job with fields of a wrong type. The texts are compared
// with those for types of the same names declared here, because another release of Go may
// word them differently.
func TestJobErrorTexts(t *testing.T) {
	requireTypeName(t, Body{}, "caller.Body") // a rename of the package changes the types below too
	reference := func(body string) error {
		type BodyTask struct {
			Body        json.RawMessage `json:"body"`
			RuntimeHint string          `json:"hint,omitempty"`
		}
		type Body struct {
			Service string     `json:"service"`
			Timeout string     `json:"limit,omitempty"`
			Tasks   []BodyTask `json:"tasks"`
		}
		return json.Unmarshal([]byte(body), new(Body))
	}
	s := newTestServer(t)
	for _, body := range []string{
		`5`,
		`[]`,
		`{"service":1}`,
		`{"limit":1}`,
		`{"tasks":{}}`,
		`{"tasks":[1]}`,
		`{"tasks":[{"hint":1}]}`,
	} {
		err := reference(body)
		if err == nil {
			t.Errorf("%s is decoded", body)
			continue
		}
		got := s.call(t, "PUT /v1/jobs/TOKEN.wrong\nRadishgate-Tenant: shop\n\n"+body)
		want := "400 application/problem+json\nbad-body (not-run): body is not a job: " + err.Error() + "\n"
		if got != want {
			t.Errorf("%s\ngot:  %s\nwant: %s", body, got, want)
		}
	}
}

// TestStateErrorTexts guards against a rename of a Go type whose name encoding/json puts
// into the texts that the commands print for a state with fields of a wrong type. The texts
// are compared with those for types of the same names declared here, because another release
// of Go may word them differently.
func TestStateErrorTexts(t *testing.T) {
	requireTypeName(t, State{}, "caller.State")
	requireTypeName(t, State{}.State, "job.State") // of another package, so not declared below
	decode := func(body string) error { return json.Unmarshal([]byte(body), new(State)) }
	reference := func(body string) error {
		type StateAnswer struct {
			Status int             `json:"status"`
			Body   json.RawMessage `json:"body"`
		}
		type State struct {
			Key            string        `json:"key"`
			State          job.State     `json:"state"`
			CompletedTasks int           `json:"done"`
			Tasks          int           `json:"tasks"`
			Answers        []StateAnswer `json:"answers,omitempty"`
		}
		return json.Unmarshal([]byte(body), new(State))
	}
	for _, body := range []string{
		`[]`,
		`{"state":1}`,
		`{"answers":1}`,
		`{"answers":[1]}`,
		`{"answers":[{"status":""}]}`,
	} {
		got, want := decode(body), reference(body)
		if got == nil || want == nil || got.Error() != want.Error() {
			t.Errorf("%s\ngot:  %v\nwant: %v", body, got, want)
		}
	}
}

// requireTypeName fails the test unless the type of the value has the name, with its package.
func requireTypeName(t *testing.T, value any, want string) {
	t.Helper()
	if got := fmt.Sprintf("%T", value); got != want {
		t.Errorf("type is %s, want %s", got, want)
	}
}

// FuzzSubmit guards against bodies and keys of a job that are answered with status 500
// instead of a refusal.
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
	s := newTestServer(f)
	f.Fuzz(func(t *testing.T, body, key string) {
		if !strings.HasPrefix(key, "o1~") {
			return
		}
		request := httptest.NewRequest(http.MethodPut, "/v1/jobs/x?wait=1ms", strings.NewReader(body))
		request.URL.Path = "/v1/jobs/" + key
		request.Header.Set(HeaderTenant, "shop")
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, request)
		if recorder.Code == 0 || recorder.Code == 500 {
			t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
		}
	})
}

// TestAnnouncedSizeIsRefusedUnread guards against a caller that sends a whole body for nothing, or is told to come back with
// it.
func TestAnnouncedSizeIsRefusedUnread(t *testing.T) {
	s := newTestServer(t)
	r := httptest.NewRequest(http.MethodPut, "/v1/jobs/k1", iotest.ErrReader(&ingress.RefusedError{}))
	r.Header.Set(HeaderTenant, "shop")
	r.ContentLength = s.options.MaxBodyBytes + 1
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusRequestEntityTooLarge || w.Header().Get("Retry-After") != "" || s.admitted != 0 {
		t.Errorf("status %d, header %v, %d admitted; want 413 without Retry-After, and none", w.Code, w.Header(), s.admitted)
	}
}

// TestCallBeyondMemory guards against a job that is admitted although its caller was told that it was not run, and against an
// answer other than 503.
func TestCallBeyondMemory(t *testing.T) {
	const body = `{"service":"hold","tasks":[{"body":1}]}`
	noParsing := func(*http.Request, int64) (func(), error) { return nil, &ingress.RefusedError{} }
	noJob := func(int64) (func(), bool) { return nil, false }
	tests := []struct {
		name   string
		body   io.Reader
		change func(*Options)
	}{
		{"body", iotest.ErrReader(&ingress.RefusedError{}), func(*Options) {}},
		{"parsing", strings.NewReader(body), func(o *Options) { o.Reserve = noParsing }},
		{"job", strings.NewReader(body), func(o *Options) { o.ReserveJob = noJob }},
	}
	for _, c := range tests {
		s := newTestServer(t)
		c.change(&s.options)
		r := httptest.NewRequest(http.MethodPut, "/v1/jobs/k1", c.body)
		r.Header.Set(HeaderTenant, "shop")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), `"not-run"`) || s.admitted != 0 {
			t.Errorf("no memory for the %s: status %d, %d admitted, %s; want 503, none and not-run", c.name, w.Code, s.admitted, w.Body)
		}
	}
}
