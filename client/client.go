// Package client is the callers' library: it sends requests and jobs to any entry and resubmits under the same key.
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

// maxAnswer bounds an answer in bytes.
const maxAnswerBytes = 256 << 20

// RefusedError is a refusal by an entry.
type RefusedError struct {
	Kind    refusal.Kind
	Outcome refusal.Outcome
	Status  int
	Detail  string
	RetryAt time.Time
}

// Error gives kind, outcome and detail.
func (r *RefusedError) Error() string { return fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Detail) }

// NoAnswerError is a call that brought no answer from an entry.
type NoAnswerError struct {
	Entry string
	Cause error
}

// Error names the entry.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("entry %s: %v", e.Entry, e.Cause) }

// Unwrap gives the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// Client sends as one tenant to a list of entries, one after the other.
type Client struct {
	Tenant     string
	Entries    []string // addresses of IP number and port
	HTTPClient *http.Client

	nextEntry atomic.Uint64
	mu        sync.Mutex
	tokens    map[string]originToken // by entry
}

// token is an origin token that an entry has given out.
type originToken struct {
	value     string
	expiresAt time.Time
}

// New makes a client.
func New(tenant string, entries ...string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Client{Tenant: tenant, Entries: entries, HTTPClient: &http.Client{Transport: transport}, tokens: map[string]originToken{}}
}

// Close drops idle connections.
func (c *Client) Close() { c.HTTPClient.CloseIdleConnections() }

// NextEntry gives the next entry in turn.
func (c *Client) NextEntry() string { return c.Entries[c.nextEntry.Add(1)%uint64(len(c.Entries))] }

// Call is one HTTP call to an entry.
type Call struct {
	Method      string
	Path        string
	Key         string // Idempotency-Key, empty for none
	ContentType string
	Timeout     time.Duration // 0 for the service's own
	Body        []byte
}

// Do sends a call to one entry. Errors are *Refused and *LostError.
func (c *Client) Do(ctx context.Context, entry string, call Call) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return 0, nil, &NoAnswerError{Entry: entry, Cause: err}
	}
	request.Header.Set(caller.HeaderTenant, c.Tenant)
	if call.Key != "" {
		request.Header.Set(caller.HeaderKey, call.Key)
		request.GetBody = nil // the transport must not repeat a keyed call on its own
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Timeout > 0 {
		request.Header.Set(caller.HeaderLimit, call.Timeout.String())
	}
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return 0, nil, &NoAnswerError{Entry: entry, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, &NoAnswerError{Entry: entry, Cause: err}
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		return response.StatusCode, data, parseRefusal(response.StatusCode, data)
	}
	return response.StatusCode, data, nil
}

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

// tokenSpan is how long a token is used before a new one is taken.
const tokenLifetime = time.Second

// NewKey gives the next entry in turn and a key of which it is the origin.
func (c *Client) NewKey(ctx context.Context, clientPart string) (string, string, error) {
	entry := c.NextEntry()
	c.mu.Lock()
	known, ok := c.tokens[entry]
	c.mu.Unlock()
	if ok && time.Now().Before(known.expiresAt) {
		return entry, known.value + "." + clientPart, nil
	}
	text, err := c.OriginToken(ctx, entry)
	if err != nil {
		return entry, "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tokens == nil {
		c.tokens = map[string]originToken{}
	}
	c.tokens[entry] = originToken{value: text, expiresAt: time.Now().Add(tokenLifetime)}
	return entry, text + "." + clientPart, nil
}

// OriginToken asks an entry for its present origin token.
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

// Request sends one request.
func (c *Client) Request(ctx context.Context, entry, service, key string, timeout time.Duration, body []byte) (int, []byte, error) {
	return c.Do(ctx, entry, Call{
		Method: http.MethodPost, Path: "/v1/requests/" + url.PathEscape(service), Key: key,
		ContentType: "application/json", Timeout: timeout, Body: body,
	})
}

// Submit sends a job and waits for it for so long.
func (c *Client) Submit(ctx context.Context, entry, key string, job caller.JobRequest, wait time.Duration) (caller.JobState, error) {
	data, err := json.Marshal(job)
	if err != nil {
		return caller.JobState{}, &NoAnswerError{Entry: entry, Cause: err}
	}
	return c.doJob(ctx, entry, Call{Method: http.MethodPut, ContentType: "application/json", Body: data}, key, wait)
}

// Query asks for a job and waits for it for so long.
func (c *Client) Query(ctx context.Context, entry, key string, wait time.Duration) (caller.JobState, error) {
	return c.doJob(ctx, entry, Call{Method: http.MethodGet}, key, wait)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, entry, key string) (caller.JobState, error) {
	return c.doJob(ctx, entry, Call{Method: http.MethodDelete}, key, 0)
}

func (c *Client) doJob(ctx context.Context, entry string, call Call, key string, wait time.Duration) (caller.JobState, error) {
	call.Path = "/v1/jobs/" + url.PathEscape(key)
	if wait > 0 {
		call.Path += "?wait=" + wait.String()
	}
	var state caller.JobState
	_, data, err := c.Do(ctx, entry, call)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return state, &NoAnswerError{Entry: entry, Cause: err}
	}
	return state, nil
}
