package commands

import (
	"context"
	"io"
	"strings"

	"github.com/radishgate/radishgate/bench"
	"github.com/radishgate/radishgate/common/page"
	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/fault"
	"github.com/radishgate/radishgate/load"
)

type faultsCommand struct {
	Scenario  string `arg:"--scenario" default:"mixed" help:"one that ships"`
	Kinds     string `arg:"--kinds" help:"separated by commas; without it all"`
	Place     int    `arg:"--place" help:"which entry, upstream or zone is hit"`
	Zones     int    `arg:"--zones" default:"3"`
	Entries   int    `arg:"--entries" default:"3" help:"a zone"`
	Upstreams int    `arg:"--upstreams" default:"17" help:"a zone"`
	Slots     int    `arg:"--slots" default:"8"`
	Page      string `arg:"--page" help:"page whose measured part is written anew, such as docs/operating/faults.md"`
	JSON      bool   `arg:"--json"`
}

func (c *faultsCommand) run(ctx context.Context, out, problems io.Writer) error {
	kinds, err := c.kinds()
	if err != nil {
		return err
	}
	data, err := load.BuiltinScenario(c.Scenario)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	scenario, err := load.Parse(c.Scenario, data)
	if err != nil {
		return err
	}
	effects, err := bench.Effects(ctx, bench.Options{
		Scenario: scenario, Placements: []string{"home"}, Zones: c.Zones, Entries: c.Entries, Upstreams: c.Upstreams,
		Slots: c.Slots, Place: c.Place, Progress: problems,
	}, kinds)
	if err != nil {
		return err
	}
	if err := c.write(out, effects); err != nil {
		return err
	}
	for _, e := range effects {
		if e.Report.HasViolations() {
			return &demo.BrokenError{Report: e.Report}
		}
	}
	return nil
}

func (c *faultsCommand) kinds() ([]string, error) {
	if c.Kinds == "" {
		return fault.Kinds(), nil
	}
	kinds := strings.Split(c.Kinds, ",")
	for _, kind := range kinds {
		if _, err := fault.Parse(kind + "/0@0s-1s"); err != nil {
			return nil, &UsageError{Reason: err.Error()}
		}
	}
	return kinds, nil
}

func (c *faultsCommand) write(out io.Writer, effects []bench.Effect) error {
	if c.JSON {
		return printJSON(out, effects)
	}
	var table strings.Builder
	bench.EffectsTable(&table, effects)
	if c.Page != "" {
		if err := page.Update(c.Page, "radishgate faults", table.String()); err != nil {
			return &UsageError{Reason: err.Error()}
		}
	}
	_, err := io.WriteString(out, table.String())
	return err
}
