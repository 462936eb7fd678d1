// Package client sends requests and jobs to the entries of radishgate over the
// HTTP interface of callers. A call whose answer is lost can be sent again under
// the same key, to any entry.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/caller"
	"github.com/radishgate/radishgate/refusal"
)

// maxAnswerBytes limits the size of an answer.
const maxAnswerBytes = 256 << 20

// AnswerTooLargeError reports that an entry answered with more bytes than the client accepts.
// The work has been done; a call with a key can be sent again for the answer.
type AnswerTooLargeError struct {
	Entry string
	Limit int64
}

// Error implements error; it names the entry and the limit.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer of entry %s is larger than %d bytes", e.Entry, e.Limit)
}

// RefusedError reports that an entry refused a call. Outcome says what is known
// about the work; RetryAt is the zero time if a retry is of no use.
type RefusedError struct {
	Kind    refusal.Kind
	Outcome refusal.Outcome
	Status  int
	Detail  string
	RetryAt time.Time
}

// Error implements error; it names kind, outcome and detail.
func (r *RefusedError) Error() string { return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Detail) }

// NoAnswerError reports that a call got no usable answer from an entry. The entry
// may nevertheless have received the call.
type NoAnswerError struct {
	Entry string
	Cause error
}

// Error implements error; it names the entry.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("entry %s: %v", e.Entry, e.Cause) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// Client sends calls as one tenant. NextEntry and NewKey use the entries in turn.
// Its methods are safe for concurrent use.
type Client struct {
	Tenant     string
	Entries    []string // IP addresses with port
	HTTPClient *http.Client

	maxAnswerBytes int64

	nextEntry atomic.Uint64
	mu        sync.Mutex
	tokens    map[string]originToken // by address of the entry
}

// originToken is an origin token that an entry has issued.
type originToken struct {
	value     string
	expiresAt time.Time
}

// New returns a client that sends as a tenant to the entries.
func New(tenant string, entries ...string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{Tenant: tenant, Entries: entries, HTTPClient: &http.Client{Transport: transport}, maxAnswerBytes: maxAnswerBytes, tokens: map[string]originToken{}}
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTPClient.CloseIdleConnections() }

// NextEntry returns the address of the next entry in turn.
func (c *Client) NextEntry() string { return c.Entries[c.nextEntry.Add(1)%uint64(len(c.Entries))] }

// Call describes one HTTP call to an entry.
type Call struct {
	Method      string
	Path        string
	Key         string // Idempotency-Key, empty for none
	ContentType string
	Timeout     time.Duration // 0 for that of the service
	Body        []byte
}

// Do sends a call to an entry and returns the HTTP status and body of the answer.
// Errors are *RefusedError or *NoAnswerError.
func (c *Client) Do(ctx context.Context, entry string, call Call) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return 0, nil, &NoAnswerError{Entry: entry, Cause: err}
	}
	request.Header.Set(caller.HeaderTenant, c.Tenant)
	if call.Key != "" {
		request.Header.Set(caller.HeaderKey, call.Key)
		request.GetBody = nil // keeps the transport from resending a call with a key on its own
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Timeout > 0 {
		request.Header.Set(caller.HeaderTimeout, call.Timeout.String())
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return 0, nil, &NoAnswerError{Entry: entry, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswerBytes+1))
	switch {
	case err != nil:
		return 0, nil, &NoAnswerError{Entry: entry, Cause: err}
	case int64(len(data)) > c.maxAnswerBytes:
		return 0, nil, &NoAnswerError{Entry: entry, Cause: &AnswerTooLargeError{Entry: entry, Limit: c.maxAnswerBytes}}
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return response.StatusCode, data, parseRefusal(response.StatusCode, data)
	}
	return response.StatusCode, data, nil
}

// parseRefusal converts the body of a refusal (RFC 9457) to a *RefusedError.
func parseRefusal(status int, data []byte) error {
	var body struct {
		Title   refusal.Kind    `json:"title"`
		Detail  string          `json:"detail"`
		Outcome refusal.Outcome `json:"outcome"`
		RetryAt time.Time       `json:"retryat"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return &RefusedError{Kind: "unreadable", Outcome: refusal.Unknown, Status: status, Detail: err.Error()}
	}
	return &RefusedError{Kind: body.Title, Outcome: body.Outcome, Status: status, Detail: body.Detail, RetryAt: body.RetryAt}
}

// tokenLifetime is the time for which NewKey uses a token before it asks for a new one.
const tokenLifetime = time.Second

// NewKey returns the next entry in turn and an idempotency key whose origin is
// this entry. The key ends with clientPart, which must be unique to the job. The
// address of the entry is returned also with an error.
func (c *Client) NewKey(ctx context.Context, clientPart string) (string, string, error) {
	entry := c.NextEntry()
	c.mu.Lock()
	cached, ok := c.tokens[entry]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return entry, cached.value + "." + clientPart, nil
	}
	token, err := c.OriginToken(ctx, entry)
	if err != nil {
		return entry, "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens == nil {
		c.tokens = map[string]originToken{}
	}
	c.tokens[entry] = originToken{value: token, expiresAt: time.Now().Add(tokenLifetime)}
	return entry, token + "." + clientPart, nil
}

// OriginToken asks an entry for its origin token, the first part of the keys
// whose origin it is.
func (c *Client) OriginToken(ctx context.Context, entry string) (string, error) {
	_, data, err := c.Do(ctx, entry, Call{Method: http.MethodGet, Path: "/v1/origin"})
	if err != nil {
		return "", err
	}
	var body struct {
		Token string `json:"token"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return "", &NoAnswerError{Entry: entry, Cause: err}
	}
	return body.Token, nil
}

// Request sends one request to a service and returns the HTTP status and body of
// the answer. The key may be empty, and a timeout of 0 stands for that of the
// service.
func (c *Client) Request(ctx context.Context, entry, service, key string, timeout time.Duration, body []byte) (int, []byte, error) {
	return c.Do(ctx, entry, Call{
		Method: http.MethodPost, Path: "/v1/requests/" + url.PathEscape(service), Key: key,
		ContentType: "application/json", Timeout: timeout, Body: body,
	})
}

// Submit sends a job and returns its state once it is complete or the wait is over.
func (c *Client) Submit(ctx context.Context, entry, key string, job caller.Body, wait time.Duration) (caller.State, error) {
	data, err := json.Marshal(job)
	if err != nil {
		return caller.State{}, &NoAnswerError{Entry: entry, Cause: err}
	}
	return c.doJob(ctx, entry, Call{Method: http.MethodPut, ContentType: "application/json", Body: data}, key, wait)
}

// Query returns the state of a job once it is complete or the wait is over.
func (c *Client) Query(ctx context.Context, entry, key string, wait time.Duration) (caller.State, error) {
	return c.doJob(ctx, entry, Call{Method: http.MethodGet}, key, wait)
}

// Cancel cancels a job and returns its state.
func (c *Client) Cancel(ctx context.Context, entry, key string) (caller.State, error) {
	return c.doJob(ctx, entry, Call{Method: http.MethodDelete}, key, 0)
}

// doJob sends a call about a job and decodes the state in the answer.
func (c *Client) doJob(ctx context.Context, entry string, call Call, key string, wait time.Duration) (caller.State, error) {
	call.Path = "/v1/jobs/" + url.PathEscape(key)
	if wait > 0 {
		call.Path += "?wait=" + wait.String()
	}
	var state caller.State
	_, data, err := c.Do(ctx, entry, call)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return state, &NoAnswerError{Entry: entry, Cause: err}
	}
	return state, nil
}
