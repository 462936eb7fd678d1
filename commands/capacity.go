package commands

import (
	"context"
	"io"
	"os"

	"github.com/radishgate/radishgate/capacity"
	"github.com/radishgate/radishgate/common/page"
	"github.com/radishgate/radishgate/platform"
)

type capacityCommand struct {
	Page string `arg:"--page" help:"page whose measured part is written anew, such as docs/CAPACITY.md"`
	JSON bool   `arg:"--json"`
	// Sweep names a file with output of the users' benchmark. Its figures go into a
	// separate part of the page.
	Sweep string `arg:"--sweep" help:"file with the output of a sweep over sizes; nothing is measured then"`
}

func (c *capacityCommand) run(_ context.Context, stdout, stderr io.Writer) error {
	if c.Sweep != "" {
		return c.writeSweep(stdout)
	}
	result, err := capacity.Run(stderr)
	if err != nil {
		return err
	}
	return c.writeReport(stdout, "radishgate capacity", result.Markdown(), result)
}

// writeSweep writes the figures of a sweep without measuring anything.
func (c *capacityCommand) writeSweep(out io.Writer) error {
	file, err := os.Open(c.Sweep)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	defer file.Close()
	s, err := platform.ParseSweep(file)
	if err != nil {
		return &UsageError{Reason: c.Sweep + ": " + err.Error()}
	}
	return c.writeReport(out, "radishgate capacity --sweep", capacity.SweepMarkdown(s), s)
}

// writeReport replaces the measured part of the page by text if a page is given, and
// prints the text, or the figures as JSON.
func (c *capacityCommand) writeReport(out io.Writer, command, text string, figures any) error {
	if c.Page != "" {
		if err := page.Update(c.Page, command, text); err != nil {
			return &UsageError{Reason: err.Error()}
		}
	}
	if c.JSON {
		return printJSON(out, figures)
	}
	_, err := io.WriteString(out, text)
	return err
}
