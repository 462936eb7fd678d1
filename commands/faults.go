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
	Scenario         string `arg:"--scenario" default:"mixed" help:"one that ships"`
	Kinds            string `arg:"--kinds" help:"separated by commas; without it all"`
	FaultTarget      int    `arg:"--place" help:"which entry, upstream or zone is hit"`
	Zones            int    `arg:"--zones" default:"3"`
	EntriesPerZone   int    `arg:"--entries" default:"3" help:"a zone"`
	UpstreamsPerZone int    `arg:"--upstreams" default:"17" help:"a zone"`
	SlotsPerUpstream int    `arg:"--slots" default:"8"`
	Page             string `arg:"--page" help:"page whose measured part is written anew, such as docs/operating/faults.md"`
	JSON             bool   `arg:"--json"`
}

func (c *faultsCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	kinds, err := c.parseKinds()
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
	effects, err := bench.MeasureFaults(ctx, bench.Options{
		Scenario: scenario, Placements: []string{"home"}, Zones: c.Zones, EntriesPerZone: c.EntriesPerZone, UpstreamsPerZone: c.UpstreamsPerZone,
		SlotsPerUpstream: c.SlotsPerUpstream, FaultTarget: c.FaultTarget, Progress: stderr,
	}, kinds)
	if err != nil {
		return err
	}
	if err := c.writeReport(stdout, effects); err != nil {
		return err
	}
	for _, e := range effects {
		if e.Report.HasViolations() {
			return &demo.ViolationError{Report: e.Report}
		}
	}
	return nil
}

func (c *faultsCommand) parseKinds() ([]string, error) {
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

func (c *faultsCommand) writeReport(out io.Writer, effects []bench.FaultEffect) error {
	if c.JSON {
		return printJSON(out, effects)
	}
	var table strings.Builder
	bench.WriteFaultTable(&table, effects)
	if c.Page != "" {
		if err := page.Update(c.Page, "radishgate faults", table.String()); err != nil {
			return &UsageError{Reason: err.Error()}
		}
	}
	_, err := io.WriteString(out, table.String())
	return err
}
