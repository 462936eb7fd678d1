package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/radishgate/radishgate/standin/runner"
	"github.com/radishgate/radishgate/standin/store"
)

type standinCommand struct {
	Platform *standinPlatform `arg:"subcommand:platform" help:"log, VM list and leases in memory"`
	Upstream *standinUpstream `arg:"subcommand:upstream" help:"slots, run times and switchable failures"`
}

func (c *standinCommand) run(context.Context, io.Writer, io.Writer) error {
	return &UsageError{Reason: "standin: missing subcommand: platform or upstream"}
}

type standinPlatform struct {
	Listen     string        `arg:"--listen" default:"127.0.0.1:8070"`
	Retention  time.Duration `arg:"--retention" default:"0s" help:"records older than this go; 0 keeps all"`
	AppendRate float64       `arg:"--rate" default:"400" help:"appends a second"`
	SyncTime   time.Duration `arg:"--sync" default:"4ms" help:"time of one append"`
	VMListLag  time.Duration `arg:"--lag" default:"1s" help:"age of the VM list"`
}

func (c *standinPlatform) run(ctx context.Context, stdout, _ io.Writer) error {
	s := store.New(store.Options{Retention: c.Retention, AppendRate: c.AppendRate, SyncTime: c.SyncTime, VMListLag: c.VMListLag})
	return serveStandin(ctx, stdout, "platform", c.Listen, s.Handler(), nil)
}

type standinUpstream struct {
	Listen         string        `arg:"--listen" default:"127.0.0.1:8090"`
	Name           string        `arg:"--name" default:"runner"`
	Slots          int           `arg:"--slots" default:"8"`
	Speed          float64       `arg:"--speed" default:"1"`
	DefaultRuntime time.Duration `arg:"--run" default:"20ms" help:"run time of bodies that name none"`
}

func (c *standinUpstream) run(ctx context.Context, stdout, _ io.Writer) error {
	if c.Slots < 1 || c.Speed <= 0 {
		return &UsageError{Reason: "standin upstream: --slots must be at least 1 and --speed above 0"}
	}
	r := runner.New(runner.Options{Name: c.Name, Slots: c.Slots, Speed: c.Speed, DefaultRuntime: c.DefaultRuntime})
	return serveStandin(ctx, stdout, "upstream "+c.Name, c.Listen, r.Handler(), runner.WrapListener)
}

// serveStandin serves a stand-in until the context ends. If wrap is given, a PUT request
// to /standin/freeze makes all connections that are open at that time silent.
func serveStandin(ctx context.Context, out io.Writer, name, address string, handler http.Handler, wrap func(net.Listener) *runner.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	if wrap != nil {
		freezable := wrap(listener)
		mux := http.NewServeMux()
		mux.Handle("/", handler)
		mux.HandleFunc("PUT /standin/freeze", func(http.ResponseWriter, *http.Request) { freezable.Freeze() })
		handler, listener = mux, freezable
	}
	fmt.Fprintf(out, "stand-in %s listens at %s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
