package upstream

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/radishgate/radishgate/standin/runner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startUpstream starts a simulated upstream and returns it with its listener and a
// client for it.
func startUpstream(t *testing.T, options Options) (*runner.Runner, *runner.Listener, *Client) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := runner.WrapListener(inner)
	r := runner.New(runner.Options{Name: "r", Slots: 8, DefaultRuntime: time.Millisecond})
	server := &http.Server{Handler: r.Handler()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	options.Name, options.Address = "r", inner.Addr().String()
	c := New(options)
	t.Cleanup(func() {
		c.Close()
		_ = server.Close()
		<-done
	})
	return r, listener, c
}

func newCall(task string, repeatable bool) Call {
	return Call{
		Path: "/x", TaskID: task, ContentType: "application/json", Body: []byte(`{"tag":"t"}`),
		Deadline: time.Now().Add(20 * time.Second), Repeatable: repeatable, MaxAnswerBytes: 1 << 16,
	}
}

func outcomeOf(t *testing.T, err error) Outcome {
	t.Helper()
	var failure *Failure
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not a *Failure", err)
	}
	return failure.Outcome
}

// TestFailureOutcomes checks the outcome reported for each kind of failure against
// whether the upstream started the task.
func TestFailureOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		modes   runner.Modes
		outcome Outcome
		starts  int
	}{
		{"refused by the upstream", runner.Modes{Refuse: true}, NotRun, 0},
		{"leaving", runner.Modes{Leaving: true}, NotRun, 0},
		{"failed", runner.Modes{Fail: true}, Failed, 1},
		{"cut off", runner.Modes{Truncate: true}, Corrupt, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _, c := startUpstream(t, Options{})
			r.SetModes(test.modes)
			_, err := c.Do(t.Context(), newCall("k/0", false))
			if got := outcomeOf(t, err); got != test.outcome || len(r.Starts()) != test.starts {
				t.Fatalf("outcome %v with %d starts: %v", got, len(r.Starts()), err)
			}
			if c.IsLeaving() != test.modes.Leaving {
				t.Fatalf("IsLeaving returns %v", c.IsLeaving())
			}
		})
	}
}

// TestRefusedConnectionIsNotRun guards against the outcome unknown for a task that was
// never sent because nothing listens at the upstream's address.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	address := l.Addr().String()
	_ = l.Close()
	c := New(Options{Name: "gone", Address: address})
	defer c.Close()
	if _, err := c.Do(t.Context(), newCall("k/0", false)); outcomeOf(t, err) != NotRun {
		t.Fatal(err)
	}
}

// TestUnansweredTaskIsUnknownAtDeadline guards against a task that is waited for beyond
// its deadline, or reported as not run, after the upstream started it without an answer.
func TestUnansweredTaskIsUnknownAtDeadline(t *testing.T) {
	r, _, c := startUpstream(t, Options{})
	r.SetModes(runner.Modes{Silent: true})
	call := newCall("k/0", false)
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	if _, err := c.Do(t.Context(), call); outcomeOf(t, err) != Unknown {
		t.Fatal(err)
	}
}

// TestUnresponsiveIdleConnectionIsReplaced guards against losing a task that must not
// run twice to an idle connection that has gone silent: the task is answered over a
// new connection and starts once.
func TestUnresponsiveIdleConnectionIsReplaced(t *testing.T) {
	r, listener, c := startUpstream(t, Options{ExpectContinueAfter: time.Nanosecond, ExpectContinueTimeout: 30 * time.Millisecond})
	if _, err := c.Do(t.Context(), newCall("first/0", false)); err != nil {
		t.Fatal(err)
	}
	if listener.Freeze() != 1 {
		t.Fatal("no connection is idle")
	}
	if _, err := c.Do(t.Context(), newCall("second/0", false)); err != nil {
		t.Fatal(err)
	}
	starts := r.Starts()
	if len(starts) != 2 || starts[1].Task != "second/0" || c.RetiredConnections() != 1 {
		t.Fatalf("starts %v, %d connections retired", starts, c.RetiredConnections())
	}
}

// TestTooLargeAnswerIsRejected guards against an answer above the limit that is passed on,
// whole or truncated.
func TestTooLargeAnswerIsRejected(t *testing.T) {
	_, _, c := startUpstream(t, Options{})
	call := newCall("k/0", false)
	call.MaxAnswerBytes = 5
	_, err := c.Do(t.Context(), call)
	var large *TooLargeError
	if outcomeOf(t, err) != Corrupt || !errors.As(err, &large) {
		t.Fatal(err)
	}
}

// TestConnectionsAreBounded guards against more concurrent tasks than MaxConnections: of
// six calls at once only two may run at the same time.
func TestConnectionsAreBounded(t *testing.T) {
	r, _, c := startUpstream(t, Options{MaxConnections: 2})
	done := make(chan error, 6)
	for range 6 {
		go func() {
			_, err := c.Do(t.Context(), newCall("k/0", true))
			done <- err
		}()
	}
	for range 6 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if r.PeakTasks() > 2 {
		t.Fatalf("%d tasks were sent at once over 2 connections", r.PeakTasks())
	}
}

// TestFailureNamesTheUpstream guards against an error that does not say which upstream
// failed.
func TestFailureNamesTheUpstream(t *testing.T) {
	f := &Failure{Upstream: "press-7", Outcome: Failed, Status: 500}
	if !strings.Contains(f.Error(), "press-7") {
		t.Fatal(f.Error())
	}
}
