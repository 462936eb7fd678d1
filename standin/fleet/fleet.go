// Package fleet starts entries, stand-in upstreams and a stand-in platform in one process on loopback, for demos, tests and measurements.
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

// Options of a fleet.
type Options struct {
	Zones     []string
	Entries   int       // a zone
	Upstreams int       // a zone
	Slots     int       // an upstream
	Speeds    []float64 // taken in turn
	Bundle    string    // text without upstreams; they are added
	Store     store.Options
	Log       *slog.Logger
	Change    func(*settings.Settings)
}

// Upstream is one stand-in upstream with its listener.
type Upstream struct {
	*runner.Runner
	Name     string
	Zone     string
	Address  string
	Listener *runner.Listener
	server   *http.Server
}

// Node is one entry of the fleet.
type Node struct {
	*entry.Entry
	VM      string
	Zone    string
	Callers string
	joined  atomic.Bool // has been ready
	stop    context.CancelFunc
	done    chan struct{}
}

// Stop drains the entry and waits for its end.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// Kill ends the entry at once and waits until its goroutines have ended.
func (n *Node) Kill() {
	n.Abort()
	<-n.done
}

// Fleet is everything that was started. Stop ends all of it.
type Fleet struct {
	options Options
	key     ed25519.PrivateKey
	signer  string
	Store   *store.Store
	Address string // of the platform
	server  *http.Server
	client  *platform.Client
	writer  *rollout.Rollout

	mu        sync.Mutex
	Nodes     []*Node
	gone      []*Node // forgotten ones, whose messages still count
	Upstreams []*Upstream
	count     int
	cuts      cuts
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
	if err := f.Publish(ctx, f.Text()); err != nil {
		f.Stop()
		return nil, err
	}
	if err := f.Ready(ctx); err != nil {
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
	f.Address = listener.Addr().String()
	f.server = &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }()
	f.client = platform.New(f.Address)
	f.writer = rollout.New(rollout.Options{Log: f.client.Log(rollout.Stream), Signers: []string{f.signer}})
	for _, zone := range f.options.Zones {
		for range f.options.Upstreams {
			if err := f.addUpstream(zone); err != nil {
				return err
			}
		}
	}
	for _, zone := range f.options.Zones {
		for range f.options.Entries {
			if _, err := f.Add(zone); err != nil {
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
		Address: listener.Addr().String(), Listener: runner.Wrap(listener),
	}
	u.Runner = runner.New(runner.Options{Name: u.Name, Slots: f.options.Slots, Speed: speed})
	u.server = &http.Server{Handler: u.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(u.Listener) }()
	f.Upstreams = append(f.Upstreams, u)
	return nil
}

// Add starts one more entry in a zone.
func (f *Fleet) Add(zone string) (*Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	vm := fmt.Sprintf("entry-%d", f.count)
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
`, vm, zone, f.Address, f.signer)
	s, err := settings.Parse(vm, []byte(text))
	if err != nil {
		return nil, err
	}
	if f.options.Change != nil {
		f.options.Change(s)
	}
	client := platform.New(f.Address)
	client.HTTP.Transport = &gate{inner: client.HTTP.Transport, open: func(string) bool { return !f.isCut(zone, Platform) }}
	e, err := entry.New(entry.Options{
		Settings: s, Log: f.options.Log.With("entry", vm), Platform: client,
		WrapTransport: func(inner http.RoundTripper) http.RoundTripper {
			return &gate{inner: inner, open: func(address string) bool { return !f.isCut(zone, f.zoneOf(address)) }}
		},
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	callers, peers, _ := e.Addresses()
	f.cuts.place(peers, zone)
	n := &Node{Entry: e, VM: vm, Zone: zone, Callers: callers, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		_ = e.Run(ctx)
	}()
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// Signer is the public key of the fleet's bundles, as settings have it.
func (f *Fleet) Signer() string { return f.signer }

// Forget takes a node that has ended out of the list, and out of the
// platform's list of VMs.
func (f *Fleet) Forget(n *Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.Nodes {
		if other == n {
			f.Nodes = append(f.Nodes[:i:i], f.Nodes[i+1:]...)
			f.gone = append(f.gone, n)
			break
		}
	}
	f.Store.Remove(n.VM)
}

// Live lists the nodes at present.
func (f *Fleet) Live() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.Nodes...)
}

// Callers lists the callers' addresses of the nodes that have been ready, as the
// platform's balancer would.
func (f *Fleet) Callers() []string {
	var addresses []string
	for _, n := range f.Live() {
		if n.Ready() {
			n.joined.Store(true)
		}
		if n.joined.Load() {
			addresses = append(addresses, n.Callers)
		}
	}
	return addresses
}

// Key signs bundles.
func (f *Fleet) Key() ed25519.PrivateKey { return f.key }

// Text is the bundle with all upstreams.
func (f *Fleet) Text() string {
	var text strings.Builder
	text.WriteString(f.options.Bundle)
	for _, u := range f.Upstreams {
		fmt.Fprintf(&text, "\n[upstream %s]\nzone = %s\naddress = %s\nslots = %d\n", u.Name, u.Zone, u.Address, u.Slots())
	}
	return text.String()
}

// Publish signs and publishes a bundle text and waits until the log has decided.
func (f *Fleet) Publish(ctx context.Context, text string) error {
	if err := f.writer.Poll(ctx, 0); err != nil {
		return err
	}
	record := f.writer.Draft(text)
	if _, err := bundle.Parse("bundle", record.Version, text); err != nil {
		return err
	}
	record.Sign(f.key)
	return f.writer.Publish(ctx, record)
}

// Version is the version that the writer knows to be in force.
func (f *Fleet) Version() int64 {
	if b := f.writer.Bundle(); b != nil {
		return b.Version
	}
	return 0
}

// Ready waits until every entry is ready with the present version.
func (f *Fleet) Ready(ctx context.Context) error {
	for {
		ready := true
		for _, n := range f.Live() {
			ready = ready && n.Ready() && n.BundleVersion() >= f.Version()
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Version: f.Version()}
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// NotReadyError is a fleet that did not become ready in time.
type NotReadyError struct{ Version int64 }

// Error names the version waited for.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("entries did not all become ready with bundle version %d", e.Version)
}

// Stop ends all entries, then the stand-ins.
func (f *Fleet) Stop() {
	var group sync.WaitGroup
	for _, n := range f.Live() {
		group.Go(n.Stop)
	}
	group.Wait()
	if f.server != nil {
		_ = f.server.Close()
		f.client.Close()
	}
	for _, u := range f.Upstreams {
		_ = u.server.Close()
	}
}
