// Package upstream sends tasks to one upstream and tells what is known when that fails.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the contract with upstreams, described in docs/operating/upstreams.md.
const (
	HeaderTask     = "Radishgate-Task"
	HeaderDeadline = "Radishgate-Deadline"
	HeaderNotRun   = "Radishgate-Not-Run"
	HeaderLeaving  = "Radishgate-Leaving"
)

// Spans of connection handling.
const (
	dialSpan      = time.Second
	keepAliveIdle = 2 * time.Second
	keepAliveStep = time.Second
	keepAliveTry  = 3
	laneIdle      = 30 * time.Second
)

// Known says what a failure leaves known about the task.
type Known int

// The three states of knowledge, and an answer cut off after a start.
const (
	NotRun  Known = iota + 1 // proved: the task did not start
	Failed                   // the upstream answered that it failed
	Unknown                  // it may have started
	Corrupt                  // it started, but its answer is not whole
)

// Failure is a task that brought no answer.
type Failure struct {
	Upstream string
	Known    Known
	Status   int
	Cause    error
}

// Error names the upstream and the cause.
func (f *Failure) Error() string {
	known := [...]string{"", "not run", "failed", "unknown", "answer not whole"}[f.Known]
	if f.Cause != nil {
		return fmt.Sprintf("upstream %s: %v (%s)", f.Upstream, f.Cause, known)
	}
	return fmt.Sprintf("upstream %s: status %d (%s)", f.Upstream, f.Status, known)
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Call is one task for an upstream. Limit bounds the answer in bytes.
type Call struct {
	Path       string
	Task       string
	Type       string // content type of the body
	Body       []byte
	Deadline   time.Time
	Repeatable bool
	Limit      int64
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// TooLargeError is an answer over its limit.
type TooLargeError struct{ Limit int64 }

// Error names the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer is over %d bytes", e.Limit) }

// SilentError is a connection that answered nothing to Expect: 100-continue.
type SilentError struct{ Waited time.Duration }

// Error tells how long it was waited for.
func (e *SilentError) Error() string {
	return fmt.Sprintf("connection stayed silent for %s before the body was sent", e.Waited)
}

// Options of a client. A connection idle for longer than Proof has to answer
// Expect: 100-continue within Silence before a body goes out that must not be
// sent twice.
type Options struct {
	Name        string
	Address     string
	Connections int
	Proof       time.Duration
	Silence     time.Duration
	Now         func() time.Time
}

// lane is one connection with its transport, so that its idle time is known
// and it can be retired alone.
type lane struct {
	transport *http.Transport
	used      time.Time
}

// Client holds the connections to one upstream, at most Connections at a time.
type Client struct {
	options Options
	leaving atomic.Bool
	retired atomic.Int64

	mu    sync.Mutex
	lanes []*lane // idle ones, the last used at the end
	slots chan struct{}
}

// New makes a client without connecting.
func New(options Options) *Client {
	if options.Connections == 0 {
		options.Connections = 60
	}
	if options.Proof == 0 {
		options.Proof = time.Second
	}
	if options.Silence == 0 {
		options.Silence = 250 * time.Millisecond
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Client{options: options, slots: make(chan struct{}, options.Connections)}
}

// Address is where the upstream listens.
func (c *Client) Address() string { return c.options.Address }

// Leaving tells whether the upstream has said that it leaves.
func (c *Client) Leaving() bool { return c.leaving.Load() }

// Retired counts the connections given up as silent.
func (c *Client) Retired() int64 { return c.retired.Load() }

// Close drops the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.lanes {
		l.transport.CloseIdleConnections()
	}
	c.lanes = nil
}

func newLane(now time.Time) *lane {
	dialer := &net.Dialer{
		Timeout: dialSpan,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveStep, Count: keepAliveTry,
		},
	}
	return &lane{used: now, transport: &http.Transport{
		DialContext:           dialer.DialContext,
		MaxConnsPerHost:       1,
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       laneIdle,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Hour, // silence is bounded by Options.Silence, without sending the body
	}}
}

// take gives the lane used last, or a new one.
func (c *Client) take(fresh bool) (*lane, time.Duration) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if fresh || len(c.lanes) == 0 {
		return newLane(now), 0
	}
	last := len(c.lanes) - 1
	l := c.lanes[last]
	c.lanes = c.lanes[:last]
	return l, now.Sub(l.used)
}

func (c *Client) give(l *lane) {
	l.used = c.options.Now()
	c.mu.Lock()
	c.lanes = append(c.lanes, l)
	var old []*lane
	for len(c.lanes) > 0 && l.used.Sub(c.lanes[0].used) > laneIdle {
		old = append(old, c.lanes[0])
		c.lanes = c.lanes[1:]
	}
	c.mu.Unlock()
	for _, o := range old {
		o.transport.CloseIdleConnections()
	}
}

func (c *Client) retire(l *lane) {
	c.retired.Add(1)
	l.transport.CloseIdleConnections()
}

// Do sends a task and waits for its whole answer. The error is a *Failure. A
// connection that proves dead before the body left is replaced once.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return Answer{}, c.failure(NotRun, 0, ctx.Err())
	}
	l, idle := c.take(false)
	answer, err := c.try(ctx, l, call, idle)
	var failure *Failure
	if idle > 0 && ctx.Err() == nil && errors.As(err, &failure) && failure.Known == NotRun && failure.Status == 0 {
		l, _ = c.take(true)
		return c.try(ctx, l, call, 0)
	}
	return answer, err
}

func (c *Client) failure(known Known, status int, cause error) *Failure {
	return &Failure{Upstream: c.options.Name, Known: known, Status: status, Cause: cause}
}

// body counts as sent as soon as the transport has read any of it.
type body struct {
	*bytes.Reader
	read atomic.Bool
}

// Read marks the body as read.
func (b *body) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

// WriteTo marks the body as read.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	b.read.Store(true)
	return b.Reader.WriteTo(w)
}

// Close has nothing to release.
func (b *body) Close() error { return nil }

func (c *Client) try(ctx context.Context, l *lane, call Call, idle time.Duration) (Answer, error) {
	sent := &body{Reader: bytes.NewReader(call.Body)}
	proof := !call.Repeatable && idle > c.options.Proof
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if proof {
		var stop func()
		ctx, stop = c.awaitContinue(ctx, cancel)
		defer stop()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.options.Address+call.Path, sent)
	if err != nil {
		return Answer{}, c.failure(NotRun, 0, err)
	}
	request.ContentLength = int64(len(call.Body))
	request.Header.Set("Content-Type", call.Type)
	request.Header.Set(HeaderTask, call.Task)
	request.Header.Set(HeaderDeadline, call.Deadline.UTC().Format(time.RFC3339Nano))
	if proof {
		request.Header.Set("Expect", "100-continue")
	}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		c.retire(l)
		return Answer{}, c.lost(ctx, sent, len(call.Body), err)
	}
	return c.receive(ctx, l, call, response)
}

// awaitContinue cancels the call when no 100 Continue comes in time. The body
// has not been read then, which proves that the task did not start.
func (c *Client) awaitContinue(ctx context.Context, cancel context.CancelCauseFunc) (context.Context, func()) {
	timer := time.AfterFunc(c.options.Silence, func() { cancel(&SilentError{Waited: c.options.Silence}) })
	trace := &httptrace.ClientTrace{
		Got100Continue:       func() { timer.Stop() },
		GotFirstResponseByte: func() { timer.Stop() },
	}
	return httptrace.WithClientTrace(ctx, trace), func() { timer.Stop() }
}

// lost judges a call that brought no response.
func (c *Client) lost(ctx context.Context, sent *body, size int, err error) *Failure {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	var dial *net.OpError
	refused := errors.As(err, &dial) && dial.Op == "dial"
	if refused || (size > 0 && !sent.read.Load()) {
		return c.failure(NotRun, 0, err)
	}
	return c.failure(Unknown, 0, err)
}

func (c *Client) receive(ctx context.Context, l *lane, call Call, response *http.Response) (Answer, error) {
	defer response.Body.Close()
	if response.Header.Get(HeaderLeaving) == "true" {
		c.leaving.Store(true)
	}
	data, err := readAll(response, call.Limit)
	if err != nil {
		c.retire(l)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return Answer{}, c.failure(Corrupt, response.StatusCode, err)
	}
	c.give(l)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true" {
		return Answer{}, c.failure(NotRun, response.StatusCode, nil)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return Answer{}, c.failure(Failed, response.StatusCode, nil)
	}
	return Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: data}, nil
}

func readAll(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	if response.ContentLength >= 0 {
		data := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &TooLargeError{Limit: limit}
	}
	return data, err
}
