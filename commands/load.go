package commands

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/radishgate/radishgate/bench"
	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/fault"
	"github.com/radishgate/radishgate/load"
)

type loadCommand struct {
	Scenario  string        `arg:"positional,required" help:"scenario file (INI), or the name of one that ships: lullaby, vakuumtrak, mixed, jobs"`
	Targets   string        `arg:"--targets" help:"callers' addresses of running entries, separated by commas; without it a fleet is started in this process"`
	Zones     int           `arg:"--zones" default:"3"`
	Entries   int           `arg:"--entries" default:"3" help:"a zone"`
	Upstreams int           `arg:"--upstreams" default:"17" help:"a zone"`
	Slots     int           `arg:"--slots" default:"8"`
	Placement string        `arg:"--placement" default:"home" help:"home, static, random, robin, least or two"`
	Baseline  string        `arg:"--baseline" help:"placements to run as well, in turn, separated by commas"`
	Rounds    int           `arg:"--rounds" default:"1"`
	Span      time.Duration `arg:"--span" help:"overrides the scenario's"`
	Faults    string        `arg:"--faults" help:"faults while it runs, such as 'kill/0@2s-4s logdown/0@3s-6s'; the course is printed then"`
	JSON      bool          `arg:"--json"`
	Plot      string        `arg:"--plot" help:"file for a plot (.svg or .png) of the ratios"`
}

func (c *loadCommand) run(ctx context.Context, out, problems io.Writer) error {
	scenario, err := c.scenario()
	if err != nil {
		return err
	}
	placements := []string{c.Placement}
	if c.Baseline != "" {
		placements = append(placements, strings.Split(c.Baseline, ",")...)
	}
	if c.Targets != "" {
		return c.external(ctx, scenario, out)
	}
	options := bench.Options{
		Scenario: scenario, Placements: placements, Rounds: c.Rounds, Zones: c.Zones, Entries: c.Entries,
		Upstreams: c.Upstreams, Slots: c.Slots, Progress: problems,
	}
	if options.Faults, err = fault.Parse(c.Faults); err != nil {
		return &UsageError{Reason: err.Error()}
	}
	results, err := bench.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := bench.Plot(c.Plot, results); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(out, results)
	}
	bench.Write(out, results)
	for _, r := range results {
		if c.Faults != "" {
			bench.WriteCourse(out, r)
		}
	}
	return broken(results)
}

func broken(results []bench.Result) error {
	for _, r := range results {
		if r.Report.HasViolations() {
			return &demo.BrokenError{Report: r.Report}
		}
	}
	return nil
}

func (c *loadCommand) scenario() (*load.Scenario, error) {
	data, err := load.BuiltinScenario(c.Scenario)
	if err != nil {
		data, err = input(c.Scenario)
	}
	if err != nil {
		return nil, err
	}
	scenario, err := load.Parse(c.Scenario, data)
	if err == nil && c.Span > 0 {
		scenario.Duration = c.Span
	}
	return scenario, err
}

// external sends to entries that run already. Neither the ideal nor the
// upstreams' record is known then, so only answers are checked.
func (c *loadCommand) external(ctx context.Context, scenario *load.Scenario, out io.Writer) error {
	entries := strings.Split(c.Targets, ",")
	run := load.New(load.Options{Scenario: scenario, Entries: func() []string { return entries }})
	run.Run(ctx)
	report := run.ReportAnswersOnly()
	if c.JSON {
		return printJSON(out, report)
	}
	report.Write(out)
	fmt.Fprintln(out, "starts were not checked: the upstreams' record is not known here")
	return nil
}
