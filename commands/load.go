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
	Scenario         string        `arg:"positional,required" help:"scenario file (INI), or the name of one that ships: lullaby, vakuumtrak, mixed, jobs"`
	Targets          string        `arg:"--targets" help:"callers' addresses of running entries, separated by commas; without it a fleet is started in this process"`
	Zones            int           `arg:"--zones" default:"3"`
	EntriesPerZone   int           `arg:"--entries" default:"3" help:"a zone"`
	UpstreamsPerZone int           `arg:"--upstreams" default:"17" help:"a zone"`
	SlotsPerUpstream int           `arg:"--slots" default:"8"`
	Placement        string        `arg:"--placement" default:"home" help:"home, static, random, robin, least or two"`
	Baseline         string        `arg:"--baseline" help:"placements to run as well, in turn, separated by commas"`
	Rounds           int           `arg:"--rounds" default:"1"`
	Duration         time.Duration `arg:"--span" help:"overrides the scenario's"`
	Faults           string        `arg:"--faults" help:"faults while it runs, such as 'kill/0@2s-4s logdown/0@3s-6s'; the course is printed then"`
	JSON             bool          `arg:"--json"`
	Plot             string        `arg:"--plot" help:"file for a plot (.svg or .png) of the ratios"`
}

func (c *loadCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	scenario, err := c.readScenario()
	if err != nil {
		return err
	}
	placements := []string{c.Placement}
	if c.Baseline != "" {
		placements = append(placements, strings.Split(c.Baseline, ",")...)
	}
	if c.Targets != "" {
		return c.runExternal(ctx, scenario, stdout)
	}
	options := bench.Options{
		Scenario: scenario, Placements: placements, Rounds: c.Rounds, Zones: c.Zones, EntriesPerZone: c.EntriesPerZone,
		UpstreamsPerZone: c.UpstreamsPerZone, SlotsPerUpstream: c.SlotsPerUpstream, Progress: stderr,
	}
	if options.Faults, err = fault.Parse(c.Faults); err != nil {
		return &UsageError{Reason: err.Error()}
	}
	results, err := bench.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := bench.PlotRatios(c.Plot, results); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(stdout, results)
	}
	bench.WriteTables(stdout, results)
	for _, r := range results {
		if c.Faults != "" {
			bench.WriteTimeline(stdout, r)
		}
	}
	return checkResults(results)
}

// checkResults returns a *demo.ViolationError for the first run that violated a guarantee.
func checkResults(results []bench.Result) error {
	for _, r := range results {
		if r.Report.HasViolations() {
			return &demo.ViolationError{Report: r.Report}
		}
	}
	return nil
}

func (c *loadCommand) readScenario() (*load.Scenario, error) {
	data, err := load.BuiltinScenario(c.Scenario)
	if err != nil {
		data, err = readInput(c.Scenario)
	}
	if err != nil {
		return nil, err
	}
	scenario, err := load.Parse(c.Scenario, data)
	if err == nil && c.Duration > 0 {
		scenario.Duration = c.Duration
	}
	return scenario, err
}

// runExternal sends the scenario to entries that are already running. Neither the ideal
// response times nor the upstreams' records of started tasks are available then, so only
// the answers are checked.
func (c *loadCommand) runExternal(ctx context.Context, scenario *load.Scenario, out io.Writer) error {
	entries := strings.Split(c.Targets, ",")
	generator := load.New(load.Options{Scenario: scenario, Entries: func() []string { return entries }})
	generator.Run(ctx)
	report := generator.ReportAnswersOnly()
	if c.JSON {
		return printJSON(out, report)
	}
	report.Write(out)
	fmt.Fprintln(out, "starts were not checked: the upstreams' records of started tasks are not available")
	return nil
}
