// Package bench runs a scenario under several placements in one run and compares them.
package bench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/radishgate/radishgate/common/usage"
	"github.com/radishgate/radishgate/demo"
	"github.com/radishgate/radishgate/fault"
	"github.com/radishgate/radishgate/load"
	"github.com/radishgate/radishgate/standin/fleet"
	"github.com/radishgate/radishgate/standin/store"
)

// speeds differ fourfold between upstreams, as back ends bought over the years do.
var speeds = []float64{1, 0.5, 0.25, 0.75}

// Options of a run. The placements take turns, Rounds times.
type Options struct {
	Scenario   *load.Scenario
	Placements []string
	Rounds     int
	Zones      int
	Entries    int // a zone
	Upstreams  int // a zone
	Slots      int
	Progress   io.Writer
	Faults     fault.Schedule
	Place      int // of the fault, where each kind is tried
}

// Result is one run of one placement.
type Result struct {
	Placement string      `json:"placement"`
	Round     int         `json:"round"`
	Processor float64     `json:"cpu_seconds"` // of the whole process, stand-ins and load counted
	Report    load.Report `json:"report"`
}

// Run runs all placements.
func Run(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	for round := range max(1, options.Rounds) {
		for _, placement := range options.Placements {
			r, err := one(ctx, options, placement)
			if err != nil {
				return results, err
			}
			r.Round = round + 1
			results = append(results, r)
		}
	}
	return results, nil
}

// fleet starts the stand-ins and the entries.
func (o Options) fleet(ctx context.Context, placement string) (*fleet.Fleet, error) {
	starting, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	var zones []string
	for i := range o.Zones {
		zones = append(zones, fmt.Sprintf("zone-%c", 'a'+i))
	}
	return fleet.New(starting, fleet.Options{
		Zones: zones, EntriesPerZone: o.Entries, UpstreamsPerZone: o.Upstreams, SlotsPerUpstream: o.Slots, Speeds: speeds,
		BundleText: strings.Replace(demo.Bundle, "[rules]", "[rules]\nplacement = "+placement, 1),
		Store:      store.Options{AppendRate: 400, SyncTime: 4 * time.Millisecond},
	})
}

func one(ctx context.Context, options Options, placement string) (Result, error) {
	f, err := options.fleet(ctx, placement)
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	runtime.GC()
	fmt.Fprintf(options.Progress, "placement %s: %d entries, %d upstreams, %s\n", placement, len(f.Nodes), len(f.Upstreams), options.Scenario.Span)
	run := load.New(load.Options{Scenario: options.Scenario, Entries: f.CallerAddresses, Ideal: f.IdealResponse})
	faulting, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	faults := fault.NewRun(f, func(line string) { fmt.Fprintln(options.Progress, "fault", line) })
	group.Go(func() { faults.Do(faulting, options.Faults) })
	began, used := time.Now(), usage.Processor()
	run.Do(ctx)
	stop()
	group.Wait()
	r := Result{Placement: placement, Processor: (usage.Processor() - used).Seconds(), Report: run.Report(f.StartedTasks())}
	counts, written := f.MessageCounts()
	r.Report.Traffic(counts, written, len(f.LiveNodes()), began)
	return r, nil
}

// Write prints all results as tables, flow by flow.
func Write(w io.Writer, results []Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "placement\tflow\tcalls\tcomplete\tp50 ms\tp99 ms\tp50/ideal\tp99/ideal\twasted/task\tcpu s\tbroken\t")
	for _, r := range results {
		for _, row := range r.Report.Rows {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f\t%.4f\t%.1f\t%v\t\n", r.Placement, row.Flow, row.Calls,
				row.Complete, row.P50, row.P99, row.RatioP50, row.RatioP99, r.Report.Messages, r.Processor, r.Report.Broken())
		}
	}
	_ = table.Flush()
	for _, r := range results {
		fmt.Fprintf(w, "  %s messages: %v\n", r.Placement, r.Report.Counts)
		for _, row := range r.Report.Rows {
			for outcome, count := range row.Others {
				fmt.Fprintf(w, "  %s %s: %d calls ended %s\n", r.Placement, row.Flow, count, outcome)
			}
		}
	}
}

// WriteCourse prints the responses second by second.
func WriteCourse(w io.Writer, r Result) {
	for _, s := range r.Report.Course {
		fmt.Fprintf(w, "  %s second %2d: %4d calls, %d complete, p50 %.1f ms, p99 %.1f ms\n", r.Placement, s.Begin, s.Calls, s.Complete, s.P50, s.P99)
	}
}

// Plot draws the ratios of all results as bars, p50 and p99 side by side.
func Plot(name string, results []Result) error {
	p := plot.New()
	p.Title.Text = "response against the ideal"
	p.Y.Label.Text = "ratio"
	var half, most plotter.Values
	var names []string
	for _, r := range results {
		half = append(half, r.Report.RatioP50)
		most = append(most, r.Report.RatioP99)
		names = append(names, fmt.Sprintf("%s %d", r.Placement, r.Round))
	}
	width := vg.Points(14)
	first, err := plotter.NewBarChart(half, width)
	if err != nil {
		return err
	}
	second, err := plotter.NewBarChart(most, width)
	if err != nil {
		return err
	}
	first.Offset, second.Offset = -width/2, width/2
	second.Color = plotColor
	p.Add(first, second)
	p.Legend.Add("p50", first)
	p.Legend.Add("p99", second)
	p.Legend.Top = true
	p.NominalX(names...)
	return p.Save(vg.Length(len(results)+3)*vg.Inch, 4*vg.Inch, name)
}
