package commands

import (
	"context"
	"io"
	"time"

	"github.com/radishgate/radishgate/demo"
)

type demoCommand struct {
	Duration       time.Duration `arg:"--span" default:"6s" help:"length of the load"`
	EntriesPerZone int           `arg:"--entries" default:"2" help:"entries in each availability zone"`
	InjectFaults   bool          `arg:"--faults" help:"let an entry die, an upstream leave, the log go down, connections go silent"`
	JSON           bool          `arg:"--json" help:"end with one line of JSON and print nothing else"`
}

func (c *demoCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	if c.EntriesPerZone < 1 || c.EntriesPerZone > 20 || c.Duration < time.Second || c.Duration > time.Hour {
		return &UsageError{Reason: "demo: --entries must be 1 to 20 and --span 1s to 1h"}
	}
	options := demo.Options{Duration: c.Duration, EntriesPerZone: c.EntriesPerZone, InjectFaults: c.InjectFaults, Out: stdout}
	if c.JSON {
		options.Out = nil
	}
	report, err := demo.Run(ctx, options)
	if c.JSON && report.Calls > 0 {
		if printErr := printJSON(stdout, report); printErr != nil {
			return printErr
		}
	}
	return err
}
