package commands

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/radishgate/radishgate/internal/gateway/journal"
	"github.com/radishgate/radishgate/internal/gateway/node"
	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/platform"
)

type dispatchCommand struct {
	Settings string `arg:"--settings" help:"settings file (INI); default: the one that the platform names"`
}

// heapShare is the part of the VM's memory that the heap may take before the
// collector works harder; the rest is for stacks, buffers and the kernel.
const heapShare = 0.6

func (c *dispatchCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	// From the first moment on: without it a SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	if c.Settings == "" {
		return &UsageError{Reason: "dispatch: --settings is required outside the platform"}
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(heapShare * float64(s.Memory<<20)))
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return &UsageError{Reason: c.Settings + ": [logs] level: " + err.Error()}
	}
	logWriter := journal.New(stdout)
	log := logWriter.Logger(level)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	writerDone := make(chan struct{})
	go func() {
		logWriter.Run(writerCtx)
		close(writerDone)
	}()
	defer func() {
		stopWriter()
		<-writerDone
	}()
	go checkOnHangup(ctx, hangups, c.Settings, log)
	n, err := node.New(node.Options{Settings: s, Log: log, DroppedLogLines: logWriter.Dropped})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// reloads checks the settings again when the platform says that they have
// changed. All that they hold is bound to a start; what has changed is taken
// with the next one.
func checkOnHangup(ctx context.Context, hangups <-chan os.Signal, file string, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			_, err := settings.Load(file)
			log.Info("settings read again", "file", file, "error", err)
		}
	}
}
