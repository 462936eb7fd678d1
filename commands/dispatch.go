package commands

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/radishgate/radishgate/internal/gateway/logging"
	"github.com/radishgate/radishgate/internal/gateway/node"
	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/platform"
)

type dispatchCommand struct {
	Settings string `arg:"--settings" help:"settings file (INI); default: the one that the platform names"`
}

// memoryLimitShare is the fraction of the VM's memory that is set as Go's soft memory limit,
// beyond which garbage is collected more often. The rest is left for stacks, buffers
// and the kernel.
const memoryLimitShare = 0.6

func (c *dispatchCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	// This comes first, because an unhandled SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	// A second SIGTERM changes nothing: commands.Main restores its default action, which ends the process, after the
	// first one, unless the signal is caught here as well.
	terminations := make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM)
	defer signal.Stop(terminations)
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
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory<<20)))
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return &UsageError{Reason: c.Settings + ": [logs] level: " + err.Error()}
	}
	logWriter := logging.New(stdout)
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

// checkOnHangup reads and checks the settings file on each SIGHUP, by which the platform
// signals that it has changed, and logs the result. New settings are applied at the next
// start of the process only.
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
