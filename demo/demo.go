// Package demo runs both firms' examples on a fleet in one process and checks the promises.
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

// Bundle holds the services, tenants and rules of both firms.
const Bundle = `
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

// Scenario is the mix of both firms.
const Scenario = `
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

// Options of a demo.
type Options struct {
	Span    time.Duration
	Entries int // a zone
	Faults  bool
	Out     io.Writer // progress and table, nil for none
	Log     *slog.Logger
}

// BrokenError is a demo that saw a promise broken.
type BrokenError struct{ Report load.Report }

// Error gives the counts.
func (e *BrokenError) Error() string {
	c := e.Report.Check
	return fmt.Sprintf("promises broken: doubled %d, partial %d, unstarted %d, wrongly refused %d", c.Doubled, c.Partial, c.Unstarted, c.FalseNotRun)
}

// Run runs the demo and gives its report, with a *BrokenError if a promise was
// broken.
func Run(ctx context.Context, options Options) (load.Report, error) {
	if options.Out == nil {
		options.Out = io.Discard
	}
	starting, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	f, err := fleet.New(starting, fleet.Options{
		Zones: []string{"tpe-a", "tpe-b", "tpe-c"}, EntriesPerZone: options.Entries, UpstreamsPerZone: 6, SlotsPerUpstream: 8,
		Speeds: []float64{1, 0.5, 0.25, 1, 0.5, 0.75}, BundleText: Bundle, Log: options.Log,
		Store: store.Options{AppendRate: 400, SyncTime: 4 * time.Millisecond, VMListLag: 500 * time.Millisecond},
	})
	if err != nil {
		return load.Report{}, err
	}
	defer f.Stop()
	fmt.Fprintf(options.Out, "fleet: %d entries and %d upstreams in 3 availability zones, bundle %d in force everywhere\n", len(f.Nodes), len(f.Upstreams), f.BundleVersion())
	report, err := drive(ctx, f, options)
	if err != nil {
		return report, err
	}
	report.Write(options.Out)
	if report.Broken() {
		return report, &BrokenError{Report: report}
	}
	return report, nil
}

func drive(ctx context.Context, f *fleet.Fleet, options Options) (load.Report, error) {
	scenario, err := load.Parse("demo", fmt.Appendf(nil, Scenario, options.Span))
	if err != nil {
		return load.Report{}, err
	}
	run := load.New(load.Options{
		Scenario: scenario, Entries: f.CallerAddresses, Ideal: f.IdealResponse, Progress: progress(options.Out),
	})
	faulting, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if options.Faults {
			note := func(line string) { fmt.Fprintf(options.Out, "\n  fault %s\n", line) }
			fault.NewRun(f, note).Do(faulting, faults(options.Span))
		}
	}()
	began := time.Now()
	run.Do(ctx)
	stop()
	<-done
	report := run.Report(f.StartedTasks())
	counts, written := f.MessageCounts()
	report.Traffic(counts, written, len(f.LiveNodes()), began)
	fmt.Fprintln(options.Out)
	return report, nil
}

// progress prints one line that is written over.
func progress(out io.Writer) func(calls, tasks int64) {
	began := time.Now()
	return func(calls, tasks int64) {
		if calls%25 == 0 {
			fmt.Fprintf(out, "\r%6.1fs  %d calls, %d tasks", time.Since(began).Seconds(), calls, tasks)
		}
	}
}

// faults is the schedule of demo --faults: connections to two upstreams go
// silent, an upstream leaves, the platform is down, an entry dies, and replies
// of the log are lost, one after the other.
func faults(span time.Duration) fault.Schedule {
	step := span / 6
	return fault.Schedule{
		{Kind: "mute", Place: 0, Begin: step, End: step},
		{Kind: "mute", Place: 7, Begin: step, End: step},
		{Kind: "leave", Place: 3, Begin: 2 * step, End: span},
		{Kind: "logdown", Begin: 3 * step, End: 5 * step},
		{Kind: "kill", Begin: 4 * step, End: span},
		{Kind: "loglost", Begin: 5 * step, End: span},
	}
}
