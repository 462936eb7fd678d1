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
	dialTimeout           = time.Second
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 3
	idleConnectionTimeout = 30 * time.Second
)

// Outcome says what a failure leaves known about the task.
type Outcome int

// The three states of knowledge, and an answer cut off after a start.
const (
	NotRun  Outcome = iota + 1 // proved: the task did not start
	Failed                     // the upstream answered that it failed
	Unknown                    // it may have started
	Corrupt                    // it started, but its answer is not whole
)

// Failure is a task that brought no answer.
type Failure struct {
	Upstream string
	Outcome  Outcome
	Status   int
	Cause    error
}

// Error names the upstream and the cause.
func (f *Failure) Error() string {
	outcome := [...]string{"", "not run", "failed", "unknown", "answer not whole"}[f.Outcome]
	if f.Cause != nil {
		return fmt.Sprintf("upstream %s: %v (%s)", f.Upstream, f.Cause, outcome)
	}
	return fmt.Sprintf("upstream %s: status %d (%s)", f.Upstream, f.Status, outcome)
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Call is one task for an upstream. Limit bounds the answer in bytes.
type Call struct {
	Path           string
	TaskID         string
	ContentType    string // content type of the body
	Body           []byte
	Deadline       time.Time
	Repeatable     bool
	MaxAnswerBytes int64
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// TooLargeError is an answer over its limit.
type TooLargeError struct{ MaxBytes int64 }

// Error names the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer is over %d bytes", e.MaxBytes) }

// ContinueTimeoutError is a connection that answered nothing to Expect: 100-continue.
type ContinueTimeoutError struct{ Timeout time.Duration }

// Error tells how long it was waited for.
func (e *ContinueTimeoutError) Error() string {
	return fmt.Sprintf("connection stayed silent for %s before the body was sent", e.Timeout)
}

// Options of a client. A connection idle for longer than Proof has to answer
// Expect: 100-continue within Silence before a body goes out that must not be
// sent twice.
type Options struct {
	Name                  string
	Address               string
	MaxConnections        int
	ExpectContinueAfter   time.Duration
	ExpectContinueTimeout time.Duration
	Now                   func() time.Time
}

// connection is one connection with its transport, so that its idle time is known
// and it can be retired alone.
type connection struct {
	transport *http.Transport
	lastUsed  time.Time
}

// Client holds the connections to one upstream, at most Connections at a time.
type Client struct {
	options Options
	leaving atomic.Bool
	retired atomic.Int64

	mu        sync.Mutex
	idle      []*connection // idle ones, the last used at the end
	semaphore chan struct{}
}

// New makes a client without connecting.
func New(options Options) *Client {
	if options.MaxConnections == 0 {
		options.MaxConnections = 60
	}
	if options.ExpectContinueAfter == 0 {
		options.ExpectContinueAfter = time.Second
	}
	if options.ExpectContinueTimeout == 0 {
		options.ExpectContinueTimeout = 250 * time.Millisecond
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Client{options: options, semaphore: make(chan struct{}, options.MaxConnections)}
}

// Address is where the upstream listens.
func (c *Client) Address() string { return c.options.Address }

// IsLeaving tells whether the upstream has said that it leaves.
func (c *Client) IsLeaving() bool { return c.leaving.Load() }

// RetiredConnections counts the connections given up as silent.
func (c *Client) RetiredConnections() int64 { return c.retired.Load() }

// Close drops the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.transport.CloseIdleConnections()
	}
	c.idle = nil
}

func newConnection(now time.Time) *connection {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	return &connection{lastUsed: now, transport: &http.Transport{
		DialContext:           dialer.DialContext,
		MaxConnsPerHost:       1,
		MaxIdleConnsPerHost:   1,
		IdleConnTimeout:       idleConnectionTimeout,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Hour, // silence is bounded by Options.Silence, without sending the body
	}}
}

// takeConnection gives the lane used last, or a new one.
func (c *Client) takeConnection(forceNew bool) (*connection, time.Duration) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if forceNew || len(c.idle) == 0 {
		return newConnection(now), 0
	}
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn, now.Sub(conn.lastUsed)
}

func (c *Client) returnConnection(conn *connection) {
	conn.lastUsed = c.options.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	var expired []*connection
	for len(c.idle) > 0 && conn.lastUsed.Sub(c.idle[0].lastUsed) > idleConnectionTimeout {
		expired = append(expired, c.idle[0])
		c.idle = c.idle[1:]
	}
	c.mu.Unlock()
	for _, old := range expired {
		old.transport.CloseIdleConnections()
	}
}

func (c *Client) retireConnection(conn *connection) {
	c.retired.Add(1)
	conn.transport.CloseIdleConnections()
}

// Do sends a task and waits for its whole answer. The error is a *Failure. A
// connection that proves dead before the body left is replaced once.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	select {
	case c.semaphore <- struct{}{}:
		defer func() { <-c.semaphore }()
	case <-ctx.Done():
		return Answer{}, c.newFailure(NotRun, 0, ctx.Err())
	}
	conn, idle := c.takeConnection(false)
	answer, err := c.send(ctx, conn, call, idle)
	var failure *Failure
	if idle > 0 && ctx.Err() == nil && errors.As(err, &failure) && failure.Outcome == NotRun && failure.Status == 0 {
		conn, _ = c.takeConnection(true)
		return c.send(ctx, conn, call, 0)
	}
	return answer, err
}

func (c *Client) newFailure(outcome Outcome, status int, cause error) *Failure {
	return &Failure{Upstream: c.options.Name, Outcome: outcome, Status: status, Cause: cause}
}

// trackedBody counts as sent as soon as the transport has read any of it.
type trackedBody struct {
	*bytes.Reader
	started atomic.Bool
}

// Read marks the body as read.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	return b.Reader.Read(p)
}

// WriteTo marks the body as read.
func (b *trackedBody) WriteTo(w io.Writer) (int64, error) {
	b.started.Store(true)
	return b.Reader.WriteTo(w)
}

// Close has nothing to release.
func (b *trackedBody) Close() error { return nil }

func (c *Client) send(ctx context.Context, conn *connection, call Call, idle time.Duration) (Answer, error) {
	body := &trackedBody{Reader: bytes.NewReader(call.Body)}
	expectContinue := !call.Repeatable && idle > c.options.ExpectContinueAfter
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if expectContinue {
		var stop func()
		ctx, stop = c.awaitContinue(ctx, cancel)
		defer stop()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.options.Address+call.Path, body)
	if err != nil {
		return Answer{}, c.newFailure(NotRun, 0, err)
	}
	request.ContentLength = int64(len(call.Body))
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set(HeaderTask, call.TaskID)
	request.Header.Set(HeaderDeadline, call.Deadline.UTC().Format(time.RFC3339Nano))
	if expectContinue {
		request.Header.Set("Expect", "100-continue")
	}
	response, err := conn.transport.RoundTrip(request)
	if err != nil {
		c.retireConnection(conn)
		return Answer{}, c.transportFailure(ctx, body, len(call.Body), err)
	}
	return c.readAnswer(ctx, conn, call, response)
}

// awaitContinue cancels the call when no 100 Continue comes in time. The body
// has not been read then, which proves that the task did not start.
func (c *Client) awaitContinue(ctx context.Context, cancel context.CancelCauseFunc) (context.Context, func()) {
	timer := time.AfterFunc(c.options.ExpectContinueTimeout, func() { cancel(&ContinueTimeoutError{Timeout: c.options.ExpectContinueTimeout}) })
	trace := &httptrace.ClientTrace{
		Got100Continue:       func() { timer.Stop() },
		GotFirstResponseByte: func() { timer.Stop() },
	}
	return httptrace.WithClientTrace(ctx, trace), func() { timer.Stop() }
}

// transportFailure judges a call that brought no response.
func (c *Client) transportFailure(ctx context.Context, body *trackedBody, size int, err error) *Failure {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	var opError *net.OpError
	dialFailed := errors.As(err, &opError) && opError.Op == "dial"
	if dialFailed || (size > 0 && !body.started.Load()) {
		return c.newFailure(NotRun, 0, err)
	}
	return c.newFailure(Unknown, 0, err)
}

func (c *Client) readAnswer(ctx context.Context, conn *connection, call Call, response *http.Response) (Answer, error) {
	defer response.Body.Close()
	if response.Header.Get(HeaderLeaving) == "true" {
		c.leaving.Store(true)
	}
	data, err := readBody(response, call.MaxAnswerBytes)
	if err != nil {
		c.retireConnection(conn)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return Answer{}, c.newFailure(Corrupt, response.StatusCode, err)
	}
	c.returnConnection(conn)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true" {
		return Answer{}, c.newFailure(NotRun, response.StatusCode, nil)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return Answer{}, c.newFailure(Failed, response.StatusCode, nil)
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: data}, nil
}

func readBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, &TooLargeError{MaxBytes: limit}
	}
	if response.ContentLength >= 0 {
		data := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, data)
		return data, err
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &TooLargeError{MaxBytes: limit}
	}
	return data, err
}
