package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/estimate"
	"github.com/radishgate/radishgate/idempotency"
	"github.com/radishgate/radishgate/internal/gateway/peerclock"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/peer/wire"
)

// Timeouts and keep-alive of connections to other entries.
const (
	dialTimeout       = 500 * time.Millisecond
	replyTimeout      = 2 * time.Second // on top of the wait in the request
	idleConnTimeout   = 30 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// TLSFileError reports a TLS file that cannot be used.
type TLSFileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *TLSFileError) Error() string { return fmt.Sprintf("peer TLS file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *TLSFileError) Unwrap() error { return e.Cause }

// NewTLSConfig makes the configuration of mutual TLS from PEM files: both ends
// must present a certificate signed by the CA in caFile. Host names
// are not verified, since entries connect by IP address and the CA signs
// certificates of entries only.
func NewTLSConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, &TLSFileError{File: certFile, Cause: err}
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, &TLSFileError{File: caFile, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &TLSFileError{File: caFile, Cause: errNoCertificate}
	}
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{pair},
		ClientCAs:             pool,
		RootCAs:               pool,
		ClientAuth:            tls.RequireAndVerifyClientCert,
		InsecureSkipVerify:    true, // host names are not verified; VerifyPeerCertificate checks the chain
		VerifyPeerCertificate: verifyChain(pool),
	}, nil
}

var errNoCertificate = &noCertificateError{}

// noCertificateError reports a CA file or a TLS handshake without a
// certificate.
type noCertificateError struct{}

// Error implements error.
func (*noCertificateError) Error() string { return "no certificate found" }

// verifyChain returns a check that the leaf certificate is signed by a CA of
// the pool.
func verifyChain(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return errNoCertificate
		}
		leaf, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return err
		}
		options := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		_, err = leaf.Verify(options)
		return err
	}
}

// Client sends messages to other entries by address. It is safe for concurrent
// use.
type Client struct {
	scheme       string
	newTransport func() *http.Transport
	wrap         func(http.RoundTripper) http.RoundTripper
	clocks       peerclock.Table

	mu    sync.Mutex
	peers map[string]*connectedPeer
}

// connectedPeer is the RPC client of one address, with connections of its own.
type connectedPeer struct {
	wire.Peer
	transport *http.Transport
}

// NewClient makes a client. Without a tlsConfig it uses plain TCP. counter counts
// the bytes of all connections and must not be nil. If wrap is not nil, it is applied
// to the transport of each address.
func NewClient(tlsConfig *tls.Config, counter *counted.Counter, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext: counter.WrapDialer(dialer), TLSClientConfig: tlsConfig,
			MaxIdleConnsPerHost: 8, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		}
	}
	if wrap == nil {
		wrap = func(inner http.RoundTripper) http.RoundTripper { return inner }
	}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	return &Client{scheme: scheme, newTransport: newTransport, wrap: wrap, peers: map[string]*connectedPeer{}}
}

// peerTransport sends requests to one address. It omits the User-Agent header: heartbeats are
// small and frequent, and the control traffic of an entry is limited.
type peerTransport struct {
	inner     http.RoundTripper
	closeIdle func()
}

// RoundTrip sends the request without a User-Agent. After a request without an answer it closes the
// idle connections, since what broke its connection, or made it silent, has most likely broken
// them too. A request that was cancelled says nothing about them.
func (t *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", "")
	response, err := t.inner.RoundTrip(r)
	if err != nil && !errors.Is(r.Context().Err(), context.Canceled) {
		t.closeIdle()
	}
	return response, err
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle()
}

// closeIdle is Close with c.mu held.
func (c *Client) closeIdle() {
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}

// maxPeers bounds the number of cached RPC clients, one for each address.
const maxPeers = 4096

// peer returns the cached RPC client of an address.
func (c *Client) peer(address string) wire.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		if len(c.peers) >= maxPeers {
			c.closeIdle()
			clear(c.peers)
		}
		transport := c.newTransport()
		client := &http.Client{Transport: &peerTransport{inner: c.wrap(transport), closeIdle: transport.CloseIdleConnections}}
		p = &connectedPeer{Peer: wire.NewPeerProtobufClient(c.scheme+address, client), transport: transport}
		c.peers[address] = p
	}
	return p
}

// IsConnectionRefused reports whether an error means that nothing listens at
// the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// SendHeartbeat sends a heartbeat and returns the one in reply.
func (c *Client) SendHeartbeat(ctx context.Context, address string, heartbeat *wire.Beat) (*wire.Beat, error) {
	return c.peer(address).Gossip(ctx, heartbeat)
}

// Borrow sends a request for slots to the entry that is their home. It returns
// the grant and the number of free slots left there.
func (c *Client) Borrow(ctx context.Context, address string, loanRequest loan.Request, service string) (loan.Grant, int, error) {
	request := &wire.BorrowRequest{
		Holder: loanRequest.Borrower, Want: uint32(loanRequest.Wanted), Backlog: uint32(loanRequest.Backlog), Held: uint32(loanRequest.HeldSlots),
		Returned: loanRequest.ReturnIDs, Renew: loanRequest.RenewIDs, Service: service, Speed: float32(loanRequest.MinSpeed),
		Far: loanRequest.CrossZone,
	}
	if !loanRequest.WaitUntil.IsZero() {
		request.WaitMs = uint32(max(0, time.Until(loanRequest.WaitUntil).Milliseconds()))
	}
	reply, err := c.peer(address).Borrow(ctx, request)
	if err != nil {
		return loan.Grant{}, 0, err
	}
	grant := loan.Grant{
		Renewed: reply.Renewed, Recalled: reply.Recalled, Returned: reply.Returned,
		Duration: time.Duration(reply.LifeMs) * time.Millisecond,
	}
	for _, l := range reply.Loans {
		grant.Loans = append(grant.Loans, loan.Loan{ID: l.Id, Upstream: l.Upstream})
	}
	return grant, int(reply.Free), nil
}

// Submit forwards a job to the entry that is responsible for its key.
func (c *Client) Submit(ctx context.Context, address string, s idempotency.Submission) (idempotency.Result, error) {
	request := &wire.SubmitRequest{
		Key: s.Key, Tenant: s.Tenant, Service: s.Service, Digest: s.Digest, Request: s.IsRequest,
		WaitMs: millisUntil(s.WaitUntil),
	}
	if !s.Deadline.IsZero() {
		request.LimitMs = uint32(max(1, time.Until(s.Deadline).Milliseconds()))
	}
	for _, t := range s.Tasks {
		request.Tasks = append(request.Tasks, &wire.Task{Body: t.Body, Type: t.ContentType, HintMs: uint32(t.RuntimeHint.Milliseconds())})
	}
	ctx, cancel := withReplyTimeout(ctx, s.WaitUntil)
	defer cancel()
	reply, err := c.peer(address).Submit(ctx, request)
	if err != nil {
		return idempotency.Result{}, err
	}
	return unpackResult(reply), nil
}

// millisUntil returns the time left in milliseconds, or 0 if it has passed.
func millisUntil(until time.Time) uint32 {
	return uint32(max(0, time.Until(until).Milliseconds()))
}

// withReplyTimeout bounds a call by its wait plus replyTimeout.
func withReplyTimeout(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
	now := time.Now()
	if until.Before(now) {
		until = now
	}
	return context.WithDeadline(ctx, until.Add(replyTimeout))
}

// Query forwards a query about a job, which may wait for its result or cancel
// it.
func (c *Client) Query(ctx context.Context, address string, query idempotency.Query) (idempotency.Result, error) {
	request := &wire.LookRequest{Key: query.Key, Cancel: query.Cancel, WaitMs: millisUntil(query.WaitUntil)}
	ctx, cancel := withReplyTimeout(ctx, query.WaitUntil)
	defer cancel()
	reply, err := c.peer(address).Look(ctx, request)
	if err != nil {
		return idempotency.Result{}, err
	}
	return unpackResult(reply), nil
}

// FetchEstimates fetches what the estimator of another entry has learned.
func (c *Client) FetchEstimates(ctx context.Context, address string) (estimate.Snapshot, error) {
	reply, err := c.peer(address).Fetch(ctx, &wire.FetchRequest{Version: math.MaxInt64, Lesson: true})
	if err != nil {
		return estimate.Snapshot{}, err
	}
	return estimate.Snapshot{LogRuntimes: reply.Services, LogHintFactors: reply.Hints, LogSpeeds: reply.Speeds}, nil
}

// FetchBundle fetches the signed records of the bundle that another entry uses,
// if its version is higher than the given one. It returns nil if not.
func (c *Client) FetchBundle(ctx context.Context, address string, version int64) ([]bundle.Record, error) {
	reply, err := c.peer(address).Fetch(ctx, &wire.FetchRequest{Version: version})
	if err != nil || len(reply.Chain) == 0 {
		return nil, err
	}
	var chain []bundle.Record
	if err := json.Unmarshal(reply.Chain, &chain); err != nil {
		return nil, err
	}
	return chain, nil
}
