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
	return &UsageError{Reason: "standin: platform or upstream"}
}

type standinPlatform struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:8070"`
	Retention time.Duration `arg:"--retention" default:"0s" help:"records older than this go; 0 keeps all"`
	Rate      float64       `arg:"--rate" default:"400" help:"appends a second"`
	Sync      time.Duration `arg:"--sync" default:"4ms" help:"time of one append"`
	Lag       time.Duration `arg:"--lag" default:"1s" help:"age of the VM list"`
}

func (c *standinPlatform) run(ctx context.Context, out, _ io.Writer) error {
	s := store.New(store.Options{Retention: c.Retention, AppendRate: c.Rate, SyncTime: c.Sync, VMListLag: c.Lag})
	return serveStandin(ctx, out, "platform", c.Listen, s.Handler(), nil)
}

type standinUpstream struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:8090"`
	Name   string        `arg:"--name" default:"runner"`
	Slots  int           `arg:"--slots" default:"8"`
	Speed  float64       `arg:"--speed" default:"1"`
	Run    time.Duration `arg:"--run" default:"20ms" help:"run time of bodies that name none"`
}

func (c *standinUpstream) run(ctx context.Context, out, _ io.Writer) error {
	if c.Slots < 1 || c.Speed <= 0 {
		return &UsageError{Reason: "standin upstream: --slots is 1 or more, --speed above 0"}
	}
	r := runner.New(runner.Options{Name: c.Name, Slots: c.Slots, Speed: c.Speed, DefaultRunTime: c.Run})
	return serveStandin(ctx, out, "upstream "+c.Name, c.Listen, r.Handler(), runner.WrapListener)
}

// serveStandin serves until the context ends. With a wrapper, PUT
// /standin/freeze makes all open connections silent.
func serveStandin(ctx context.Context, out io.Writer, name, address string, handler http.Handler, wrap func(net.Listener) *runner.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	if wrap != nil {
		frozen := wrap(listener)
		mux := http.NewServeMux()
		mux.Handle("/", handler)
		mux.HandleFunc("PUT /standin/freeze", func(http.ResponseWriter, *http.Request) { frozen.Freeze() })
		handler, listener = mux, frozen
	}
	fmt.Fprintf(out, "stand-in %s listens at %s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
