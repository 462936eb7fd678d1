package commands

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/radishgate/radishgate/entry"
	"github.com/radishgate/radishgate/settings"
)

type serveCommand struct {
	Settings string `arg:"--settings,required" help:"settings file (INI)"`
}

func (c *serveCommand) run(ctx context.Context, _, stderr io.Writer) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory<<20)))
	e, err := entry.New(entry.Options{Settings: s, Log: newLogger(s, stderr)})
	if err != nil {
		return &UsageError{Reason: fmt.Sprintf("%s: %v", c.Settings, err)}
	}
	return e.Run(ctx)
}

func newLogger(s *settings.Settings, out io.Writer) *slog.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	options := &slog.HandlerOptions{Level: levels[s.LogLevel]}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

type settingsCommand struct {
	Check *settingsCheck `arg:"subcommand:check" help:"check a settings file"`
	Print *settingsPrint `arg:"subcommand:print" help:"print all settings with their defaults"`
}

func (c *settingsCommand) run(context.Context, io.Writer, io.Writer) error {
	return &UsageError{Reason: "settings: missing subcommand: check or print"}
}

type settingsCheck struct {
	File string `arg:"positional,required"`
}

func (c *settingsCheck) run(_ context.Context, stdout, _ io.Writer) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s: settings of VM %s in availability zone %s are good\n", c.File, s.VM, s.Zone)
	return err
}

type settingsPrint struct{}

func (settingsPrint) run(_ context.Context, stdout, _ io.Writer) error {
	_, err := io.WriteString(stdout, settings.DefaultFile())
	return err
}
