// Package demo runs the workloads of two example firms on a fleet in one process and
// checks the dispatcher's guarantees.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/radishgate/radishgate/fault"
	"github.com/radishgate/radishgate/load"
	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/store"
)

// BundleText is the bundle of the demo: the services, tenants and rules of both firms.
const BundleText = `
[rules]
tasks = 1000

[tenant lullaby]
weight = 2

[tenant vakuumtrak]
weight = 1

[class counter]
weight = 4

[class finder]
weight = 1

[service recall]
path = /recall
class = counter
repeatable = true
limit = 5s
hint = 40ms

[service quote]
path = /quote
class = counter
repeatable = true
limit = 5s
hint = 60ms

[service hold]
path = /hold
class = counter
limit = 5s
hint = 30ms

[service fit]
path = /fit
class = finder
limit = 20s
hint = 80ms
`

// ScenarioTemplate is a format string for the scenario with the flows of both firms. Its
// only argument is the duration.
const ScenarioTemplate = `
[load]
span = %s
seed = 7

[flow recall]
tenant = lullaby
service = recall
rate = 40
run = 40ms
spread = 0.3
repeatable = true

[flow quote]
tenant = lullaby
service = quote
rate = 30
run = 60ms
spread = 0.3
repeatable = true

[flow hold]
tenant = lullaby
service = hold
rate = 20
run = 30ms
spread = 0.3
key = origin
resubmit = 0.3

[flow hold-chosen]
tenant = lullaby
service = hold
rate = 10
run = 30ms
spread = 0.3
key = chosen
resubmit = 0.3

[flow fit-check]
tenant = vakuumtrak
service = fit
kind = job
rate = 0.8
run = 80ms
spread = 0.5
hint = 0.3
tasks = 660
key = origin
resubmit = 0.5

[flow fit-small]
tenant = vakuumtrak
service = fit
kind = job
rate = 3
run = 80ms
spread = 0.5
hint = 0.3
tasks = 5-40
key = chosen
resubmit = 0.3
cancel = 0.05
`

// Options configures a demo.
type Options struct {
	Duration       time.Duration
	EntriesPerZone int
	InjectFaults   bool
	Out            io.Writer // receives the progress and the results; nil discards them
	Log            *slog.Logger
}

// ViolationError is returned for a run in which a guarantee was violated.
type ViolationError struct{ Report load.Report }

// Error returns the number of violations of each guarantee.
func (e *ViolationError) Error() string {
	c := e.Report.Check
	return fmt.Sprintf("guarantees violated: duplicate starts %d, partial answers %d, answered without a start %d, reported as not run but started %d", c.DuplicateStarts, c.PartialAnswers, c.AnsweredWithoutStart, c.StartedDespiteNotRun)
}

// Run runs the demo and returns its report, with a *ViolationError if a guarantee
// was violated.
func Run(ctx context.Context, options Options) (load.Report, error) {
	if options.Out == nil {
		options.Out = io.Discard
	}
	startCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	f, err := fleet.New(startCtx, fleet.Options{
		Zones: []string{"tpe-a", "tpe-b", "tpe-c"}, EntriesPerZone: options.EntriesPerZone, UpstreamsPerZone: 6, SlotsPerUpstream: 8,
		Speeds: []float64{1, 0.5, 0.25, 1, 0.5, 0.75}, BundleText: BundleText, Log: options.Log,
		Store: store.Options{AppendRate: 400, SyncTime: 4 * time.Millisecond, VMListLag: 500 * time.Millisecond},
	})
	if err != nil {
		return load.Report{}, err
	}
	defer f.Stop()
	fmt.Fprintf(options.Out, "fleet: %d entries and %d upstreams in 3 availability zones, bundle %d in force everywhere\n", len(f.Nodes), len(f.Upstreams), f.BundleVersion())
	report, err := runLoad(ctx, f, options)
	if err != nil {
		return report, err
	}
	report.Write(options.Out)
	if report.HasViolations() {
		return report, &ViolationError{Report: report}
	}
	return report, nil
}

func runLoad(ctx context.Context, f *fleet.Fleet, options Options) (load.Report, error) {
	scenario, err := load.Parse("demo", fmt.Appendf(nil, ScenarioTemplate, options.Duration))
	if err != nil {
		return load.Report{}, err
	}
	generator := load.New(load.Options{
		Scenario: scenario, Entries: f.CallerAddresses, IdealResponse: f.IdealResponse, OnProgress: progressPrinter(options.Out),
	})
	faultCtx, stopFaults := context.WithCancel(ctx)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		if options.InjectFaults {
			logFault := func(line string) { fmt.Fprintf(options.Out, "\n  fault %s\n", line) }
			fault.NewInjector(f, logFault).Run(faultCtx, faultSchedule(options.Duration))
		}
	}()
	startedAt := time.Now()
	generator.Run(ctx)
	stopFaults()
	<-faultsDone
	report := generator.Report(f.StartedTasks())
	messageCounts, peerBytes := f.MessageCounts()
	report.SetTraffic(messageCounts, peerBytes, len(f.LiveNodes()), startedAt)
	fmt.Fprintln(options.Out)
	return report, nil
}

// progressPrinter returns a function that prints the progress whenever the number of
// calls is a multiple of 25, always on the same line of the terminal.
func progressPrinter(out io.Writer) func(calls, tasks int64) {
	startedAt := time.Now()
	return func(calls, tasks int64) {
		if calls%25 == 0 {
			fmt.Fprintf(out, "\r%6.1fs  %d calls, %d tasks", time.Since(startedAt).Seconds(), calls, tasks)
		}
	}
}

// faultSchedule returns the faults of demo --faults. They begin one after the other:
// connections to two upstreams go silent, an upstream leaves, the platform is down,
// an entry dies, and replies of the log are lost.
func faultSchedule(duration time.Duration) fault.Schedule {
	step := duration / 6
	return fault.Schedule{
		{Kind: "mute", Place: 0, Begin: step, End: step},
		{Kind: "mute", Place: 7, Begin: step, End: step},
		{Kind: "leave", Place: 3, Begin: 2 * step, End: duration},
		{Kind: "logdown", Begin: 3 * step, End: 5 * step},
		{Kind: "kill", Begin: 4 * step, End: duration},
		{Kind: "loglost", Begin: 5 * step, End: duration},
	}
}
