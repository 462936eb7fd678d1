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

// serve starts a stand-in and a client for it.
func serve(t *testing.T, options Options) (*runner.Runner, *runner.Listener, *Client) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := runner.WrapListener(inner)
	r := runner.New(runner.Options{Name: "r", Slots: 8, DefaultRunTime: time.Millisecond})
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

func work(task string, repeatable bool) Call {
	return Call{
		Path: "/x", Task: task, Type: "application/json", Body: []byte(`{"tag":"t"}`),
		Deadline: time.Now().Add(20 * time.Second), Repeatable: repeatable, Limit: 1 << 16,
	}
}

func known(t *testing.T, err error) Known {
	t.Helper()
	var failure *Failure
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is no *Failure", err)
	}
	return failure.Known
}

func TestWhatEachFailureLeavesKnown(t *testing.T) {
	tests := []struct {
		name   string
		modes  runner.Modes
		known  Known
		starts int
	}{
		{"refused by the upstream", runner.Modes{Refuse: true}, NotRun, 0},
		{"leaving", runner.Modes{Leaving: true}, NotRun, 0},
		{"failed", runner.Modes{Fail: true}, Failed, 1},
		{"cut off", runner.Modes{Truncate: true}, Corrupt, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _, c := serve(t, Options{})
			r.SetModes(test.modes)
			_, err := c.Do(t.Context(), work("k/0", false))
			if got := known(t, err); got != test.known || len(r.Starts()) != test.starts {
				t.Fatalf("known %v with %d starts: %v", got, len(r.Starts()), err)
			}
			if c.Leaving() != test.modes.Leaving {
				t.Fatalf("leaving is %v", c.Leaving())
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	address := l.Addr().String()
	_ = l.Close()
	c := New(Options{Name: "gone", Address: address})
	defer c.Close()
	if _, err := c.Do(t.Context(), work("k/0", false)); known(t, err) != NotRun {
		t.Fatal(err)
	}
}

func TestSilentUpstreamIsUnknownAtTheDeadline(t *testing.T) {
	r, _, c := serve(t, Options{})
	r.SetModes(runner.Modes{Silent: true})
	call := work("k/0", false)
	call.Deadline = time.Now().Add(50 * time.Millisecond)
	if _, err := c.Do(t.Context(), call); known(t, err) != Unknown {
		t.Fatal(err)
	}
}

// TestSilentIdleConnectionIsReplaced makes an idle connection silent. The next
// task that must not run twice is answered all the same, and starts once.
func TestSilentIdleConnectionIsReplaced(t *testing.T) {
	r, listener, c := serve(t, Options{Proof: time.Nanosecond, Silence: 30 * time.Millisecond})
	if _, err := c.Do(t.Context(), work("first/0", false)); err != nil {
		t.Fatal(err)
	}
	if listener.Freeze() != 1 {
		t.Fatal("no connection is idle")
	}
	if _, err := c.Do(t.Context(), work("second/0", false)); err != nil {
		t.Fatal(err)
	}
	starts := r.Starts()
	if len(starts) != 2 || starts[1].Task != "second/0" || c.Retired() != 1 {
		t.Fatalf("starts %v, retired %d", starts, c.Retired())
	}
}

func TestTooLargeAnswerIsNotPassedOn(t *testing.T) {
	_, _, c := serve(t, Options{})
	call := work("k/0", false)
	call.Limit = 5
	_, err := c.Do(t.Context(), call)
	var large *TooLargeError
	if known(t, err) != Corrupt || !errors.As(err, &large) {
		t.Fatal(err)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	r, _, c := serve(t, Options{Connections: 2})
	done := make(chan error, 6)
	for range 6 {
		go func() {
			_, err := c.Do(t.Context(), work("k/0", true))
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

func TestFailureNamesTheUpstream(t *testing.T) {
	f := &Failure{Upstream: "press-7", Known: Failed, Status: 500}
	if !strings.Contains(f.Error(), "press-7") {
		t.Fatal(f.Error())
	}
}
