// Package upstream sends tasks to an upstream over HTTP and, when that fails, reports whether the task may have run.
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

// HTTP headers of the protocol with upstreams, described in docs/operating/upstreams.md.
const (
	HeaderTask     = "Radishgate-Task"     // ID of the task
	HeaderDeadline = "Radishgate-Deadline" // deadline of the task, in the format of RFC 3339
	HeaderNotRun   = "Radishgate-Not-Run"  // "true" with status 503: the task did not start
	HeaderLeaving  = "Radishgate-Leaving"  // "true": the upstream is shutting down
)

// Timeouts and TCP keep-alive parameters of connections.
const (
	dialTimeout           = time.Second
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 3
	idleConnectionTimeout = 30 * time.Second
)

// Outcome says what is known about a task after a failure.
type Outcome int

// The outcomes of a task that brought no usable answer.
const (
	NotRun  Outcome = iota + 1 // the task certainly did not start
	Failed                     // the upstream answered with a status of 500 or above
	Unknown                    // the task may have started
	Corrupt                    // the task started, but its answer is incomplete or unusable
)

// Failure is the error of a task that brought no usable answer. Status is the HTTP
// status of the response, 0 if there was none.
type Failure struct {
	Upstream string
	Outcome  Outcome
	Status   int
	Cause    error
}

// Error returns the upstream, the cause or HTTP status, and the outcome.
func (f *Failure) Error() string {
	outcome := [...]string{"", "not run", "failed", "unknown", "answer not whole"}[f.Outcome]
	if f.Cause != nil {
		return fmt.Sprintf("upstream %s: %v (%s)", f.Upstream, f.Cause, outcome)
	}
	return fmt.Sprintf("upstream %s: status %d (%s)", f.Upstream, f.Status, outcome)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Call is the request of one task. Repeatable means that the task may run more than
// once. Deadline and MaxAnswerBytes are required: without a deadline the task is not
// sent, and with a limit of 0 any answer with a body is too large.
type Call struct {
	Path           string
	TaskID         string
	ContentType    string
	Body           []byte
	Deadline       time.Time
	Repeatable     bool
	MaxAnswerBytes int64
}

// Answer is a completely received response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// TooLargeError reports an answer that is larger than Call.MaxAnswerBytes.
type TooLargeError struct{ MaxBytes int64 }

// Error returns a message with the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer is over %d bytes", e.MaxBytes) }

// ContinueTimeoutError reports a connection on which no answer to Expect:
// 100-continue came in time.
type ContinueTimeoutError struct{ Timeout time.Duration }

// Error returns a message with the timeout.
func (e *ContinueTimeoutError) Error() string {
	return fmt.Sprintf("connection stayed silent for %s before the body was sent", e.Timeout)
}

// Options configure a Client. Before a task that is not repeatable is sent on a
// connection that has been idle for longer than ExpectContinueAfter (1 s by
// default), the upstream must answer Expect: 100-continue within
// ExpectContinueTimeout (250 ms by default). MaxConnections is 60 by default.
type Options struct {
	Name                  string
	Address               string
	MaxConnections        int
	ExpectContinueAfter   time.Duration
	ExpectContinueTimeout time.Duration
	Now                   func() time.Time
}

// connection is an HTTP transport limited to one connection, so that its idle time
// is known and it can be closed separately.
type connection struct {
	transport *http.Transport
	lastUsed  time.Time
}

// Client sends tasks to one upstream over at most MaxConnections connections at the
// same time. It is safe for concurrent use.
type Client struct {
	options Options
	leaving atomic.Bool
	retired atomic.Int64

	mu        sync.Mutex
	idle      []*connection // most recently used last
	semaphore chan struct{}
}

// New returns a client. It does not connect yet.
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

// Address returns the address of the upstream.
func (c *Client) Address() string { return c.options.Address }

// IsLeaving reports whether the upstream has announced that it is shutting down.
func (c *Client) IsLeaving() bool { return c.leaving.Load() }

// RetiredConnections returns the number of connections closed after a failed call.
func (c *Client) RetiredConnections() int64 { return c.retired.Load() }

// Close closes the idle connections. Those in use finish their calls and are closed
// after 30 s without another one.
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
		ExpectContinueTimeout: time.Hour, // net/http would send the body after it; see awaitContinue
	}}
}

// takeConnection returns the idle connection used last and its idle time. It returns
// a new connection if there is none or if forceNew is set.
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

// returnConnection makes a connection available again and closes those that have
// been idle for longer than idleConnectionTimeout.
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

// retireConnection closes a connection after a failed call.
func (c *Client) retireConnection(conn *connection) {
	c.retired.Add(1)
	conn.transport.CloseIdleConnections()
}

// Do sends a task and waits for its complete answer. The error is a *Failure. If a
// reused connection fails before any of the body was sent, Do sends the task once
// more over a new connection.
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

// trackedBody is a request body that counts as sent as soon as the transport has read
// any of it.
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

// Close does nothing.
func (b *trackedBody) Close() error { return nil }

// send sends a task over one connection, which has been idle for the given time.
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

// awaitContinue cancels the call if no 100 Continue arrives within
// ExpectContinueTimeout. The body has not been read then, which proves that the
// task did not start.
func (c *Client) awaitContinue(ctx context.Context, cancel context.CancelCauseFunc) (context.Context, func()) {
	timer := time.AfterFunc(c.options.ExpectContinueTimeout, func() { cancel(&ContinueTimeoutError{Timeout: c.options.ExpectContinueTimeout}) })
	trace := &httptrace.ClientTrace{
		Got100Continue:       func() { timer.Stop() },
		GotFirstResponseByte: func() { timer.Stop() },
	}
	return httptrace.WithClientTrace(ctx, trace), func() { timer.Stop() }
}

// transportFailure classifies a call without a response: the task did not run if
// dialing failed or if no byte of a non-empty body was read, and its outcome is
// unknown otherwise.
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

// readAnswer reads a response and returns or retires its connection.
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

// readBody reads the body of a response. It returns a *TooLargeError if the body is
// larger than limit.
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
