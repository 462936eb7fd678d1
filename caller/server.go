// Package caller serves the HTTP interface of callers, which docs/openapi.json
// describes.
package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/radishgate/radishgate/idempotency"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
	"github.com/radishgate/radishgate/job"
	"github.com/radishgate/radishgate/origin"
	"github.com/radishgate/radishgate/refusal"
)

// Headers of requests and answers.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTenant  = "Radishgate-Tenant"
	HeaderTimeout = "Radishgate-Limit" // longest time to the answer, such as 800ms
	HeaderOrigin  = "Radishgate-Origin"
)

// maxHeaderBytes limits the total size of the header names and values of a call.
const maxHeaderBytes = 16 << 10

// problemTypeBase is the prefix of the type URI of every problem.
const problemTypeBase = "https://radishgate.example/problems/"

// Options configures a Server. MaxBodyBytes, TransferTimeout and Now have defaults;
// all other fields are required.
type Options struct {
	Router          *idempotency.Router
	OnRefusal       func(*refusal.Refusal) // called with each refusal sent
	IsStopping      func() bool            // if true, connections are closed after their answer
	IsReady         func() bool            // answer of the readiness check
	MaxBodyBytes    int64                  // largest body of a request or job
	TransferTimeout time.Duration          // time for a caller to send its body, or to receive its answer
	Now             func() time.Time
	// Reserve reserves memory for the parsing of a job's body, and ReserveJob for a job while a caller waits. Both
	// return a function that releases it. Nil means that there is always memory.
	Reserve    func(r *http.Request, bytes int64) (func(), error)
	ReserveJob func(bytes int64) (func(), bool)
}

// Server is an http.Handler that serves the interface of callers.
type Server struct {
	*echo.Echo
	options Options
}

// New returns a server with all its routes.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.TransferTimeout == 0 {
		options.TransferTimeout = 10 * time.Second
	}
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = 16 << 20
	}
	if options.Reserve == nil {
		options.Reserve = func(*http.Request, int64) (func(), error) { return func() {}, nil }
	}
	if options.ReserveJob == nil {
		options.ReserveJob = func(int64) (func(), bool) { return func() {}, true }
	}
	s := &Server{Echo: echo.New(), options: options}
	s.HTTPErrorHandler = s.handleError
	s.Use(s.middleware)
	s.POST("/v1/requests/:service", s.handleRequest)
	s.PUT("/v1/jobs/:key", s.handleSubmit)
	s.GET("/v1/jobs/:key", s.handleQuery)
	s.DELETE("/v1/jobs/:key", s.handleCancel)
	s.GET("/v1/origin", s.handleOrigin)
	s.GET("/ready", s.handleReady)
	s.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	return s
}

// middleware sets the origin token on every answer, asks clients to close their
// connections while the entry stops, and refuses calls with too large headers.
func (s *Server) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(HeaderOrigin, s.options.Router.Token())
		if s.options.IsStopping() {
			c.Response().Header().Set("Connection", "close")
		}
		size := 0
		for name, values := range c.Request().Header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
		if size > maxHeaderBytes {
			return refusal.New(refusal.HeaderTooLarge, refusal.NotRun, "headers are over %d bytes", maxHeaderBytes)
		}
		return next(c)
	}
}

// problem is the JSON body of a refusal, as in RFC 9457.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Outcome refusal.Outcome `json:"outcome"`
	RetryAt string          `json:"retryat,omitempty"`
}

// handleError answers with a refusal or an error of the HTTP router as
// application/problem+json.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = routerRefusal(err)
	}
	s.options.OnRefusal(r)
	body := problem{
		Type: problemTypeBase + string(r.Kind), Title: string(r.Kind), Status: r.Status(),
		Detail: r.Detail, Outcome: r.Outcome,
	}
	if !r.RetryAt.IsZero() {
		body.RetryAt = r.RetryAt.UTC().Format(time.RFC3339Nano)
		seconds := max(1, int(r.RetryAt.Sub(s.options.Now()).Seconds()+0.999))
		c.Response().Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	data, _ := json.Marshal(body)
	s.setWriteDeadline(c)
	_ = c.Blob(r.Status(), "application/problem+json", data)
}

// routerRefusal converts an error of the HTTP router to a refusal.
func routerRefusal(err error) *refusal.Refusal {
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && (httpErr.Code == http.StatusNotFound || httpErr.Code == http.StatusMethodNotAllowed) {
		return refusal.New(refusal.NoSuchRoute, refusal.NotRun, "no such path or method")
	}
	return refusal.New(refusal.BadBody, refusal.NotRun, "%v", err)
}

// setWriteDeadline limits the time that the caller may take to receive its answer.
func (s *Server) setWriteDeadline(c echo.Context) {
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetWriteDeadline(s.options.Now().Add(s.options.TransferTimeout))
}

// readBody reads the whole body within the size and time limits. A body that announces a size beyond the limit is refused
// before it is read.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	if c.Request().ContentLength > s.options.MaxBodyBytes {
		return nil, s.bodyTooLarge() // net/http closes the connection if much is left to read
	}
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(s.options.Now().Add(s.options.TransferTimeout))
	body := http.MaxBytesReader(c.Response().Writer, c.Request().Body, s.options.MaxBodyBytes)
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	var refused *ingress.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, s.busy(c)
	case errors.As(err, &tooLarge):
		return nil, s.bodyTooLarge()
	case isTimeout(err):
		return nil, refusal.New(refusal.CallerTooSlow, refusal.NotRun, "body did not arrive within %s", s.options.TransferTimeout)
	case err != nil:
		return nil, refusal.New(refusal.BadBody, refusal.NotRun, "body is cut off: %v", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

func (s *Server) bodyTooLarge() error {
	return refusal.New(refusal.BodyTooLarge, refusal.NotRun, "body is over %d bytes", s.options.MaxBodyBytes)
}

// busy returns the refusal of a call that exceeds the limits of clients, and closes its connection after the answer.
func (s *Server) busy(c echo.Context) error {
	c.Response().Header().Set("Connection", "close")
	r := refusal.New(refusal.Overloaded, refusal.NotRun, "the entry has no memory for the call")
	r.RetryAt = s.options.Now().Add(ingress.RetryDelay)
	return r
}

// parsedTaskBytes is an estimate of the memory that parsing takes for each object of a job's body, of which each may be a
// task. Slices grow by copying.
const parsedTaskBytes = 300

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// newSubmission returns a submission with the fields that requests and jobs share:
// key, tenant and deadline.
func (s *Server) newSubmission(c echo.Context, key string) (idempotency.Submission, error) {
	submission := idempotency.Submission{Key: key, Tenant: c.Request().Header.Get(HeaderTenant)}
	if submission.Tenant == "" {
		return submission, refusal.New(refusal.BadHeader, refusal.NotRun, "header %s is missing", HeaderTenant)
	}
	if key != "" {
		if err := origin.Validate(key); err != nil {
			return submission, refusal.New(refusal.BadKey, refusal.NotRun, "%v", err)
		}
	}
	deadline, err := s.parseDeadline(c.Request().Header.Get(HeaderTimeout), HeaderTimeout)
	submission.Deadline = deadline
	return submission, err
}

// parseDeadline converts a duration to a deadline; an empty text yields the zero
// time. Name is the header, field or parameter that a refusal mentions.
func (s *Server) parseDeadline(text, name string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 {
		return time.Time{}, refusal.New(refusal.BadHeader, refusal.NotRun, "%s %q is not a length of time", name, text)
	}
	return s.options.Now().Add(duration), nil
}

// digest identifies the content of a submission: the same key with another digest
// is a conflict.
func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// maxRequestWait limits how long a request waits for its answer. In practice its
// deadline ends it sooner.
const maxRequestWait = time.Hour

func (s *Server) handleRequest(c echo.Context) error {
	submission, err := s.newSubmission(c, c.Request().Header.Get(HeaderKey))
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	submission.Service = c.Param("service")
	submission.IsRequest = true
	submission.Digest = digest([]byte(submission.Tenant), []byte(submission.Service), body)
	contentType := c.Request().Header.Get("Content-Type")
	submission.Tasks = []job.Task{{Body: body, ContentType: contentType}}
	submission.WaitUntil = s.options.Now().Add(maxRequestWait)
	result := s.options.Router.Submit(c.Request().Context(), submission)
	if result.Refusal != nil {
		return result.Refusal
	}
	if result.State != job.Complete {
		return refusal.New(refusal.Cancelled, refusal.Unknown, "the caller stopped waiting")
	}
	s.setWriteDeadline(c)
	answer := result.Answers[0]
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// Body is the JSON body that submits a job. Its name and that of BodyTask appear in the
// error texts sent to callers whose body has a wrong type, so they must not change.
type Body struct {
	Service string     `json:"service"`
	Timeout string     `json:"limit,omitempty"`
	Tasks   []BodyTask `json:"tasks"`
}

// BodyTask is one task of a job: any JSON value, and optionally the run time that
// the caller expects, as a duration such as 5ms. Its name appears in the error texts
// sent to callers.
type BodyTask struct {
	Body        json.RawMessage `json:"body"`
	RuntimeHint string          `json:"hint,omitempty"`
}

// State is the JSON answer to the submission, query or cancellation of a job. Answers
// are present once the job is complete. Its name and that of StateAnswer appear in the
// error texts that the commands print for an answer of a wrong type, so they must not
// change.
type State struct {
	Key            string        `json:"key"`
	State          job.State     `json:"state"`
	CompletedTasks int           `json:"done"`
	Tasks          int           `json:"tasks"`
	Answers        []StateAnswer `json:"answers,omitempty"`
}

// StateAnswer is the result of one task: the HTTP status and JSON body that the
// upstream returned. Its name appears in the error texts that the commands print.
type StateAnswer struct {
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body"`
}

func (s *Server) handleSubmit(c echo.Context) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil {
		return refusal.New(refusal.BadKey, refusal.NotRun, "key is badly escaped")
	}
	submission, err := s.newSubmission(c, key)
	if err != nil {
		return err
	}
	data, err := s.readBody(c)
	if err != nil {
		return err
	}
	release, err := s.options.Reserve(c.Request(), int64(len(data)+bytes.Count(data, []byte{'{'})*parsedTaskBytes))
	if err != nil {
		return s.busy(c)
	}
	err = s.parseJob(data, &submission)
	release()
	_ = c.Request().Body.Close() // it releases the memory of the body
	if err != nil {
		return err
	}
	releaseJob, ok := s.options.ReserveJob(int64(len(data) + len(submission.Tasks)*job.TaskOverhead))
	if !ok {
		return s.busy(c)
	}
	defer releaseJob()
	return s.respond(c, key, func(until time.Time) idempotency.Result {
		submission.WaitUntil = until
		return s.options.Router.Submit(c.Request().Context(), submission)
	})
}

// parseJob decodes a job and adds it to the submission. A limit in the body
// overrides that of the header.
func (s *Server) parseJob(data []byte, submission *idempotency.Submission) error {
	var body Body
	if err := json.Unmarshal(data, &body); err != nil {
		return refusal.New(refusal.BadBody, refusal.NotRun, "body is not a job: %v", err)
	}
	if len(body.Tasks) == 0 {
		return refusal.New(refusal.BadBody, refusal.NotRun, "job has no tasks")
	}
	if body.Timeout != "" {
		deadline, err := s.parseDeadline(body.Timeout, "limit")
		if err != nil {
			return err
		}
		submission.Deadline = deadline
	}
	submission.Service = body.Service
	submission.Digest = digest([]byte(submission.Tenant), data)
	for i, t := range body.Tasks {
		task, err := parseTask(i, t)
		if err != nil {
			return err
		}
		submission.Tasks = append(submission.Tasks, task)
	}
	return nil
}

func parseTask(index int, t BodyTask) (job.Task, error) {
	task := job.Task{Body: t.Body, ContentType: echo.MIMEApplicationJSON}
	if len(t.Body) == 0 {
		task.Body = []byte("null")
	}
	if t.RuntimeHint == "" {
		return task, nil
	}
	hint, err := time.ParseDuration(t.RuntimeHint)
	if err != nil || hint < 0 {
		return task, refusal.New(refusal.BadBody, refusal.NotRun, "task %d: hint %q is not a length of time", index, t.RuntimeHint)
	}
	task.RuntimeHint = hint
	return task, nil
}

// respond runs a call that waits as long as the query parameter "wait" asks for
// and answers with the state of the job.
func (s *Server) respond(c echo.Context, key string, call func(until time.Time) idempotency.Result) error {
	until, err := s.parseDeadline(c.QueryParam("wait"), "wait")
	if err != nil {
		return err
	}
	result := call(until)
	if result.Refusal != nil {
		return result.Refusal
	}
	state := State{Key: key, State: result.State, CompletedTasks: result.CompletedTasks, Tasks: result.Tasks}
	status := http.StatusAccepted
	if result.State == job.Complete {
		status = http.StatusOK
		for _, a := range result.Answers {
			state.Answers = append(state.Answers, StateAnswer{Status: a.Status, Body: a.Body})
		}
	}
	// The answer is encoded completely before any byte is sent, so that an
	// upstream's invalid JSON can still become a refusal.
	data, err := json.Marshal(state)
	if err != nil {
		return refusal.New(refusal.AnswerCorrupt, refusal.Unknown, "an upstream's answer is not JSON")
	}
	s.setWriteDeadline(c)
	return c.Blob(status, echo.MIMEApplicationJSON, data)
}

func (s *Server) handleQuery(c echo.Context) error { return s.queryOrCancel(c, false) }

func (s *Server) handleCancel(c echo.Context) error { return s.queryOrCancel(c, true) }

// queryOrCancel queries or cancels a job and answers with its state.
func (s *Server) queryOrCancel(c echo.Context, cancel bool) error {
	key, err := url.PathUnescape(c.Param("key"))
	if err != nil || origin.Validate(key) != nil {
		return refusal.New(refusal.BadKey, refusal.NotRun, "key is badly formed")
	}
	return s.respond(c, key, func(until time.Time) idempotency.Result {
		return s.options.Router.Query(c.Request().Context(), idempotency.Query{Key: key, WaitUntil: until, Cancel: cancel})
	})
}

func (s *Server) handleOrigin(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]string{"token": s.options.Router.Token()})
}

func (s *Server) handleReady(c echo.Context) error {
	if !s.options.IsReady() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
