package commands

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/outcomes"
)

type outcomesCommand struct {
	Logs   []string      `arg:"positional" placeholder:"LOG" help:"files with log lines of entries; standard input without any"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of the windows in which jobs are counted by their arrival"`
	JSON   bool          `arg:"--json"`
}

func (c *outcomesCommand) run(_ context.Context, stdout, _ io.Writer) error {
	if c.Window <= 0 {
		return &UsageError{Reason: "--window must be positive"}
	}
	account := outcomes.New(c.Window)
	if len(c.Logs) == 0 {
		if err := account.Read(os.Stdin); err != nil {
			return &UsageError{Reason: "standard input: " + err.Error()}
		}
	}
	for _, name := range c.Logs {
		if err := readLog(account, name); err != nil {
			return &UsageError{Reason: name + ": " + err.Error()}
		}
	}
	if c.JSON {
		return printJSON(stdout, account)
	}
	return account.WriteText(stdout)
}

func readLog(account *outcomes.Account, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return account.Read(file)
}
