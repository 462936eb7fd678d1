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
	"github.com/radishgate/radishgate/internal/gateway/reload"
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
	var level slog.LevelVar
	level.Set(s.LogLevel)
	logWriter := logging.New(stdout)
	log := logWriter.Logger(&level)
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
	n, err := node.New(node.Options{Settings: s, Log: log, DroppedLogLines: logWriter.Dropped})
	if err != nil {
		return err
	}
	go (&reload.Watcher{File: c.Settings, InForce: s, Keys: append(n.ReloadKeys(), levelKey(&level)), Log: log}).Run(ctx, hangups)
	return n.Run(ctx)
}

// levelKey returns the setting of the log level, which may change while the process runs.
func levelKey(level *slog.LevelVar) reload.Key {
	return reload.Key{
		Name: "[logs] level", Value: func(s *settings.Settings) any { return s.LogLevel },
		Apply: func(s *settings.Settings) { level.Set(s.LogLevel) },
	}
}
