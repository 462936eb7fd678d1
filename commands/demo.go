package commands

import (
	"context"
	"io"
	"time"

	"github.com/radishgate/radishgate/demo"
)

type demoCommand struct {
	Span    time.Duration `arg:"--span" default:"6s" help:"length of the load"`
	Entries int           `arg:"--entries" default:"2" help:"entries in each availability zone"`
	Faults  bool          `arg:"--faults" help:"let an entry die, an upstream leave, the log go down, connections go silent"`
	JSON    bool          `arg:"--json" help:"end with one line of JSON and print nothing else"`
}

func (c *demoCommand) run(ctx context.Context, out, _ io.Writer) error {
	if c.Entries < 1 || c.Entries > 20 || c.Span < time.Second || c.Span > time.Hour {
		return &UsageError{Reason: "demo: --entries is 1 to 20, --span 1s to 1h"}
	}
	options := demo.Options{Span: c.Span, Entries: c.Entries, Faults: c.Faults, Out: out}
	if c.JSON {
		options.Out = nil
	}
	report, err := demo.Run(ctx, options)
	if c.JSON && report.Calls > 0 {
		if failure := printJSON(out, report); failure != nil {
			return failure
		}
	}
	return err
}
