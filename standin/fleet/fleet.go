// Package fleet runs entries, stand-in upstreams and a stand-in platform in one process on loopback, for demos, tests and benchmarks.
package fleet

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/bundle"
	"github.com/radishgate/radishgate/entry"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/rollout"
	"github.com/radishgate/radishgate/settings"
	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
)

// Options configures a fleet.
type Options struct {
	Zones            []string
	EntriesPerZone   int
	UpstreamsPerZone int
	SlotsPerUpstream int
	Speeds           []float64 // assigned to the upstreams in rotation; empty means 1 for all
	BundleText       string    // without [upstream] sections, which New adds
	Store            store.Options
	Log              *slog.Logger
	ChangeSettings   func(*settings.Settings)
}

// Upstream is a stand-in upstream with its listener.
type Upstream struct {
	*runner.Runner
	Name     string
	Zone     string
	Address  string
	Listener *runner.Listener
	server   *http.Server
}

// Node is a running entry of the fleet.
type Node struct {
	*entry.Entry
	VM            string
	Zone          string
	CallerAddress string
	wasReady      atomic.Bool // whether it has ever been ready
	stop          context.CancelFunc
	done          chan struct{}
}

// Stop drains the entry and waits until it has ended.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// Kill aborts the entry without draining and waits until its goroutines have ended.
func (n *Node) Kill() {
	n.Abort()
	<-n.done
}

// Fleet holds the running entries and stand-ins; Stop ends all of them.
type Fleet struct {
	options         Options
	key             ed25519.PrivateKey
	signer          string
	Store           *store.Store
	PlatformAddress string
	platformServer  *http.Server
	platformClient  *platform.Client
	publisher       *rollout.Rollout

	mu        sync.Mutex
	Nodes     []*Node
	removed   []*Node // nodes taken out by RemoveNode; MessageCounts still includes them
	Upstreams []*Upstream
	nodeCount int
	links     blockedLinks
}

// New starts a fleet, publishes the bundle and waits until all entries are ready.
func New(ctx context.Context, options Options) (*Fleet, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		options: options, key: private, signer: base64.StdEncoding.EncodeToString(public), Store: store.New(options.Store),
	}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.Publish(ctx, f.BundleText()); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.WaitReady(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.PlatformAddress = listener.Addr().String()
	f.platformServer = &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.platformServer.Serve(listener) }()
	f.platformClient = platform.New(f.PlatformAddress)
	f.publisher = rollout.New(rollout.Options{Log: f.platformClient.Log(rollout.Stream), Signers: []string{f.signer}})
	for _, zone := range f.options.Zones {
		for range f.options.UpstreamsPerZone {
			if err := f.addUpstream(zone); err != nil {
				return err
			}
		}
	}
	for _, zone := range f.options.Zones {
		for range f.options.EntriesPerZone {
			if _, err := f.AddNode(zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) addUpstream(zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	speed := 1.0
	if len(f.options.Speeds) > 0 {
		speed = f.options.Speeds[len(f.Upstreams)%len(f.options.Speeds)]
	}
	u := &Upstream{
		Name: fmt.Sprintf("runner-%d", len(f.Upstreams)+1), Zone: zone,
		Address: listener.Addr().String(), Listener: runner.WrapListener(listener),
	}
	u.Runner = runner.New(runner.Options{Name: u.Name, Slots: f.options.SlotsPerUpstream, Speed: speed})
	u.server = &http.Server{Handler: u.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(u.Listener) }()
	f.Upstreams = append(f.Upstreams, u)
	return nil
}

// AddNode starts another entry in an availability zone.
func (f *Fleet) AddNode(zone string) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeCount++
	vm := fmt.Sprintf("entry-%d", f.nodeCount)
	text := fmt.Sprintf(`
[entry]
vm = %s
zone = %s
weight = 4
listen = 127.0.0.1:0
peers = 127.0.0.1:0
operators = 127.0.0.1:0
[platform]
address = %s
poll = 500ms
[keys]
signers = %s
[limits]
notice = 300ms
drain = 10s
beat = 250ms
`, vm, zone, f.PlatformAddress, f.signer)
	s, err := settings.Parse(vm, []byte(text))
	if err != nil {
		return nil, err
	}
	if f.options.ChangeSettings != nil {
		f.options.ChangeSettings(s)
	}
	client := platform.New(f.PlatformAddress)
	client.HTTP.Transport = &linkTransport{inner: client.HTTP.Transport, allows: func(string) bool { return !f.isBlocked(zone, Platform) }}
	e, err := entry.New(entry.Options{
		Settings: s, Log: f.options.Log.With("entry", vm), Platform: client,
		WrapTransport: func(inner http.RoundTripper) http.RoundTripper {
			return &linkTransport{inner: inner, allows: func(address string) bool { return !f.isBlocked(zone, f.zoneOf(address)) }}
		},
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	callers, peers, _ := e.Addresses()
	f.links.setZone(peers, zone)
	n := &Node{Entry: e, VM: vm, Zone: zone, CallerAddress: callers, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		_ = e.Run(ctx)
	}()
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// Signer returns the base64 public key that verifies the fleet's bundles, in the form used in settings files.
func (f *Fleet) Signer() string { return f.signer }

// RemoveNode removes a node that has ended from the fleet and from the platform's VM list.
func (f *Fleet) RemoveNode(n *Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.Nodes {
		if other == n {
			f.Nodes = append(f.Nodes[:i:i], f.Nodes[i+1:]...)
			f.removed = append(f.removed, n)
			break
		}
	}
	f.Store.RemoveVM(n.VM)
}

// LiveNodes returns the nodes that have not been removed.
func (f *Fleet) LiveNodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.Nodes...)
}

// CallerAddresses returns the addresses for callers of all nodes that have ever
// been ready, as the platform's load balancer would use them.
func (f *Fleet) CallerAddresses() []string {
	var addresses []string
	for _, n := range f.LiveNodes() {
		if n.Ready() {
			n.wasReady.Store(true)
		}
		if n.wasReady.Load() {
			addresses = append(addresses, n.CallerAddress)
		}
	}
	return addresses
}

// SigningKey returns the private key that signs the fleet's bundles.
func (f *Fleet) SigningKey() ed25519.PrivateKey { return f.key }

// BundleText returns the bundle text including all upstreams.
func (f *Fleet) BundleText() string {
	var text strings.Builder
	text.WriteString(f.options.BundleText)
	for _, u := range f.Upstreams {
		fmt.Fprintf(&text, "\n[upstream %s]\nzone = %s\naddress = %s\nslots = %d\n", u.Name, u.Zone, u.Address, u.Slots())
	}
	return text.String()
}

// Publish signs and publishes a bundle and waits until its outcome is read back from the log.
func (f *Fleet) Publish(ctx context.Context, text string) error {
	if err := f.publisher.Poll(ctx, 0); err != nil {
		return err
	}
	record := f.publisher.Draft(text)
	if _, err := bundle.Parse("bundle", record.Version, text); err != nil {
		return err
	}
	record.Sign(f.key)
	return f.publisher.Publish(ctx, record)
}

// BundleVersion returns the version of the bundle in force as known to the publisher, or 0.
func (f *Fleet) BundleVersion() int64 {
	if b := f.publisher.Bundle(); b != nil {
		return b.Version
	}
	return 0
}

// WaitReady waits until every entry is ready with the current bundle version or a later one.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		ready := true
		for _, n := range f.LiveNodes() {
			ready = ready && n.Ready() && n.BundleVersion() >= f.BundleVersion()
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Version: f.BundleVersion()}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// NotReadyError is returned when the entries did not become ready in time.
type NotReadyError struct{ Version int64 }

// Error returns a message that contains the bundle version waited for.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("entries did not all become ready with bundle version %d", e.Version)
}

// Stop drains all entries, then closes the stand-ins.
func (f *Fleet) Stop() {
	var group sync.WaitGroup
	for _, n := range f.LiveNodes() {
		group.Go(n.Stop)
	}
	group.Wait()
	if f.platformServer != nil {
		_ = f.platformServer.Close()
		f.platformClient.Close()
	}
	for _, u := range f.Upstreams {
		_ = u.server.Close()
	}
}
