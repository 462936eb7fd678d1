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
	"github.com/radishgate/radishgate/keeper"
	"github.com/radishgate/radishgate/loan"
	"github.com/radishgate/radishgate/peer/wire"
)

// Spans of messages between entries.
const (
	dialSpan   = 500 * time.Millisecond
	replySpan  = 2 * time.Second // beyond the wait that was asked for
	idleSpan   = 30 * time.Second
	aliveIdle  = 2 * time.Second
	aliveStep  = time.Second
	aliveTries = 3
)

// KeysError is a TLS file that cannot be used.
type KeysError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *KeysError) Error() string { return fmt.Sprintf("peers' keys: %s: %v", e.File, e.Cause) }

// Unwrap gives the cause.
func (e *KeysError) Unwrap() error { return e.Cause }

// TLS makes the configuration of mutual TLS from PEM files: both ends must show
// a certificate of the authority. Names are not compared, since entries meet by
// IP number; the authority signs entries and nothing else.
func TLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, &KeysError{File: certificate, Cause: err}
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return nil, &KeysError{File: authority, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &KeysError{File: authority, Cause: errNoCertificate}
	}
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{pair},
		ClientCAs:             pool,
		RootCAs:               pool,
		ClientAuth:            tls.RequireAndVerifyClientCert,
		InsecureSkipVerify:    true, // the name is not compared; VerifyPeerCertificate checks the chain
		VerifyPeerCertificate: verify(pool),
	}, nil
}

var errNoCertificate = &emptyError{}

type emptyError struct{}

// Error tells what is missing.
func (*emptyError) Error() string { return "holds no certificate" }

func verify(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
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

// Client sends messages to any entry by its address.
type Client struct {
	scheme string
	http   *http.Client
	idle   func()

	mu    sync.Mutex
	peers map[string]wire.Peer
}

// NewClient makes a client; keys is nil for plain TCP, and wrap, where given, is
// put around the transport.
func NewClient(keys *tls.Config, counter *counted.Counter, wrap func(http.RoundTripper) http.RoundTripper) *Client {
	dialer := &net.Dialer{Timeout: dialSpan, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: aliveIdle, Interval: aliveStep, Count: aliveTries,
	}}
	transport := &http.Transport{
		DialContext: counter.WrapDialer(dialer), TLSClientConfig: keys,
		MaxIdleConnsPerHost: 8, IdleConnTimeout: idleSpan, DisableCompression: true,
	}
	var trip http.RoundTripper = transport
	if wrap != nil {
		trip = wrap(transport)
	}
	trip = &plain{inner: trip}
	scheme := "http://"
	if keys != nil {
		scheme = "https://"
	}
	return &Client{scheme: scheme, http: &http.Client{Transport: trip}, idle: transport.CloseIdleConnections, peers: map[string]wire.Peer{}}
}

// plain leaves out the header that names the program: heartbeats are small and
// their bytes are bounded.
type plain struct{ inner http.RoundTripper }

// RoundTrip sends the request without a User-Agent.
func (p *plain) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", "")
	return p.inner.RoundTrip(r)
}

// Close drops the idle connections.
func (c *Client) Close() { c.idle() }

// maxPeers bounds the table of clients by address.
const maxPeers = 4096

func (c *Client) peer(address string) wire.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		if len(c.peers) >= maxPeers {
			clear(c.peers)
		}
		p = wire.NewPeerProtobufClient(c.scheme+address, c.http)
		c.peers[address] = p
	}
	return p
}

// Refused tells whether an error means that nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Gossip sends a heartbeat.
func (c *Client) Gossip(ctx context.Context, address string, beat *wire.Beat) (*wire.Beat, error) {
	return c.peer(address).Gossip(ctx, beat)
}

// Borrow sends an ask and gives the grant and the free slots left at the home.
func (c *Client) Borrow(ctx context.Context, address string, ask loan.Ask, service string) (loan.Grant, int, error) {
	request := &wire.BorrowRequest{
		Holder: ask.Holder, Want: uint32(ask.Want), Backlog: uint32(ask.Backlog), Held: uint32(ask.Held),
		Returned: ask.Return, Renew: ask.Renew, Service: service, Speed: float32(ask.Speed),
		Far: ask.Far,
	}
	if !ask.Until.IsZero() {
		request.WaitMs = uint32(max(0, time.Until(ask.Until).Milliseconds()))
	}
	reply, err := c.peer(address).Borrow(ctx, request)
	if err != nil {
		return loan.Grant{}, 0, err
	}
	grant := loan.Grant{
		Renewed: reply.Renewed, Recalled: reply.Recalled, Returned: reply.Returned,
		Life: time.Duration(reply.LifeMs) * time.Millisecond,
	}
	for _, l := range reply.Loans {
		grant.Loans = append(grant.Loans, loan.Loan{ID: l.Id, Upstream: l.Upstream})
	}
	return grant, int(reply.Free), nil
}

// Submit forwards a job.
func (c *Client) Submit(ctx context.Context, address string, s keeper.Submission) (keeper.Result, error) {
	request := &wire.SubmitRequest{
		Key: s.Key, Tenant: s.Tenant, Service: s.Service, Digest: s.Digest, Request: s.Request,
		WaitMs: waitMs(s.WaitUntil),
	}
	if !s.Deadline.IsZero() {
		request.LimitMs = uint32(max(1, time.Until(s.Deadline).Milliseconds()))
	}
	for _, t := range s.Tasks {
		request.Tasks = append(request.Tasks, &wire.Task{Body: t.Body, Type: t.Type, HintMs: uint32(t.Hint.Milliseconds())})
	}
	ctx, cancel := withReply(ctx, s.WaitUntil)
	defer cancel()
	reply, err := c.peer(address).Submit(ctx, request)
	if err != nil {
		return keeper.Result{}, err
	}
	return unpack(reply), nil
}

// waitMs is what is left of a wait, 0 for none.
func waitMs(until time.Time) uint32 {
	return uint32(max(0, time.Until(until).Milliseconds()))
}

// withReply bounds a call by its wait and the time of a reply.
func withReply(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
	now := time.Now()
	if until.Before(now) {
		until = now
	}
	return context.WithDeadline(ctx, until.Add(replySpan))
}

// Look forwards a question about a job.
func (c *Client) Look(ctx context.Context, address string, l keeper.Look) (keeper.Result, error) {
	request := &wire.LookRequest{Key: l.Key, Cancel: l.Cancel, WaitMs: waitMs(l.WaitUntil)}
	ctx, cancel := withReply(ctx, l.WaitUntil)
	defer cancel()
	reply, err := c.peer(address).Look(ctx, request)
	if err != nil {
		return keeper.Result{}, err
	}
	return unpack(reply), nil
}

// Lesson asks a peer for what its estimator has learned.
func (c *Client) Lesson(ctx context.Context, address string) (estimate.Lesson, error) {
	reply, err := c.peer(address).Fetch(ctx, &wire.FetchRequest{Version: math.MaxInt64, Lesson: true})
	if err != nil {
		return estimate.Lesson{}, err
	}
	return estimate.Lesson{Services: reply.Services, Hints: reply.Hints, Speeds: reply.Speeds}, nil
}

// Fetch asks a peer for a bundle above a version.
func (c *Client) Fetch(ctx context.Context, address string, version int64) ([]bundle.Record, error) {
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
