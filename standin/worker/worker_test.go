package worker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestMonitorTellsIncarnationsApart guards against violations that are overlooked, or seen
// where there are none, because two incarnations of a worker share an ID. "old" and "new" are
// such incarnations with one slot, "other" is another worker.
func TestMonitorTellsIncarnationsApart(t *testing.T) {
	tests := []struct {
		name                            string
		steps                           []string
		overlapping, overloaded, unseen []string
	}{
		{"a run ends with its incarnation", []string{"start a 1 old", "crash old", "start a 1 new"}, nil, nil, nil},
		{"a run on the next incarnation is another run", []string{"start a 1 old", "crash old", "start a 1 new", "start a 2 other"}, []string{"a"}, nil, nil},
		{"a crash ends no run of the next incarnation", []string{"start a 1 old", "start a 1 new", "crash old", "start a 2 other"}, []string{"a", "a"}, []string{"w"}, nil},
		{"a run on the old incarnation does not fill the new one", []string{"start a 1 old", "crash old", "start b 1 new"}, nil, nil, nil},
		{"both incarnations have the slots of one worker", []string{"start a 1 old", "start b 1 new"}, nil, []string{"w"}, nil},
		{"a slot is taken on the new incarnation", []string{"start a 1 old", "crash old", "start b 1 new", "start c 1 new"}, nil, []string{"w"}, nil},
		{"an ending is acknowledged after it was listed", []string{"start a 1 old", "stop a 1 old", "hold 0 old", "hold 1 old"}, nil, nil, nil},
		{"an ending is acknowledged unseen", []string{"start a 1 old", "stop a 1 old", "crash old", "start b 1 new", "stop b 1 new", "hold 1 new"}, nil, nil, []string{"b"}},
		{"a crash forgets the endings that it causes", []string{"start a 1 old", "crash old", "hold 9 new"}, nil, nil, nil},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				monitor := &RunMonitor{}
				workers := map[string]*Worker{}
				for _, name := range []string{"old", "new", "other"} {
					id := "w"
					if name == "other" {
						id = "o"
					}
					workers[name] = New(Options{ID: id, Slots: 1, Monitor: monitor, PlanRun: func(string) (string, time.Duration) { return "done", time.Hour }})
					time.Sleep(time.Millisecond) // the incarnations have different start times
				}
				for _, s := range c.steps {
					words := strings.Fields(s)
					w := workers[words[len(words)-1]]
					switch words[0] {
					case "crash":
						w.Crash()
					case "start":
						send(t, w, "/run-start", fmt.Sprintf(`{"task":%q,"run":%s,"deadline-ms":900}`, words[1], words[2]))
					case "stop":
						send(t, w, "/run-stop", fmt.Sprintf(`{"task":%q,"run":%s}`, words[1], words[2]))
					case "hold":
						send(t, w, "/hold", fmt.Sprintf(`{"ack-index":%s}`, words[1]))
					}
				}
				overlapping, overloaded := monitor.Violations()
				if unseen := monitor.Unseen(); !slices.Equal(overlapping, c.overlapping) || !slices.Equal(overloaded, c.overloaded) || !slices.Equal(unseen, c.unseen) {
					t.Fatalf("overlapping %v, overloaded %v, endings forgotten unseen %v; want %v, %v, %v",
						overlapping, overloaded, unseen, c.overlapping, c.overloaded, c.unseen)
				}
			})
		})
	}
}

// TestCrash guards against a crashed worker that answers, and against a next incarnation
// that knows what the one before has seen.
func TestCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := &RunMonitor{}
		old := New(Options{ID: "w", Slots: 1, Monitor: monitor})
		send(t, old, "/run-start", `{"task":"a","run":3,"deadline-ms":900,"fencing-token":7}`)
		aborted := make(chan bool)
		go func() {
			defer func() { aborted <- recover() == http.ErrAbortHandler }()
			old.ServeHTTP(httptest.NewRecorder(), newOrder("/hold", `{"fencing-token":7,"wait-ms":400}`))
		}()
		synctest.Wait()
		crashedAt := time.Now()
		old.Crash()
		if !<-aborted || !time.Now().Equal(crashedAt) {
			t.Fatal("a pending hold is not aborted by the crash")
		}
		if !old.Crashed() || old.Rejects([]byte(`{"task":"a","run":3,"fencing-token":7}`)) || !old.Rejects([]byte(`{"task":"a","run":3,"fencing-token":6}`)) {
			t.Fatal("the crash has changed which orders the worker rejects")
		}
		time.Sleep(time.Millisecond)
		next := New(Options{ID: "w", Slots: 1, Monitor: monitor})
		if next.StartUnixMilli() == old.StartUnixMilli() {
			t.Fatal("both incarnations state the same start")
		}
		if body := send(t, next, "/run-start", `{"task":"a","run":1,"deadline-ms":900,"fencing-token":1}`); !strings.HasPrefix(body, `{"clock-ms":0,`) {
			t.Fatalf("the clock of the next incarnation has not started anew: %s", body)
		}
		time.Sleep(30 * time.Millisecond)
		if body := send(t, next, "/hold", `{"fencing-token":1}`); !strings.Contains(body, `"finished":[[1,"a",1,"done",""]]`) {
			t.Fatalf("the next incarnation lists %s, want its own run with the number 1", body)
		}
	})
}

func newOrder(path, body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Expect-Instance", "w")
	return r
}

// send has a worker execute an order and returns the body of its response.
func send(t *testing.T, w *Worker, path, body string) string {
	t.Helper()
	r, recorder := newOrder(path, body), httptest.NewRecorder()
	r.Header.Set("Expect-Instance", w.options.ID)
	w.ServeHTTP(recorder, r)
	if recorder.Code != http.StatusOK {
		t.Fatalf("%s %s: status %d, %s", path, body, recorder.Code, recorder.Body)
	}
	return recorder.Body.String()
}
