// Package bench runs a scenario with several placement strategies, one after the
// other, and compares the results. It also measures the effect of faults.
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

// upstreamSpeeds are the relative speeds of the upstreams, used in turn. They differ
// by a factor of four, like those of back ends bought over several years.
var upstreamSpeeds = []float64{1, 0.5, 0.25, 0.75}

// Options configures a run. The placements run in order, and the whole sequence is
// repeated Rounds times.
type Options struct {
	Scenario         *load.Scenario
	Placements       []string
	Rounds           int
	Zones            int
	EntriesPerZone   int
	UpstreamsPerZone int
	SlotsPerUpstream int
	Progress         io.Writer
	Faults           fault.Schedule
	FaultTarget      int // index of the entry, upstream or zone that MeasureFaults injects faults into
}

// Result is the result of one run with one placement.
type Result struct {
	Placement  string      `json:"placement"`
	Round      int         `json:"round"`
	CPUSeconds float64     `json:"cpu_seconds"` // of the whole process, including stand-ins and load generator
	Report     load.Report `json:"report"`
}

// Run runs the scenario with all placements. If one fails, it returns the results so
// far and the error.
func Run(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	for round := range max(1, options.Rounds) {
		for _, placement := range options.Placements {
			r, err := runPlacement(ctx, options, placement)
			if err != nil {
				return results, err
			}
			r.Round = round + 1
			results = append(results, r)
		}
	}
	return results, nil
}

// startFleet starts a fleet whose entries use the given placement strategy.
func (o Options) startFleet(ctx context.Context, placement string) (*fleet.Fleet, error) {
	startCtx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	var zones []string
	for i := range o.Zones {
		zones = append(zones, fmt.Sprintf("zone-%c", 'a'+i))
	}
	return fleet.New(startCtx, fleet.Options{
		Zones: zones, EntriesPerZone: o.EntriesPerZone, UpstreamsPerZone: o.UpstreamsPerZone, SlotsPerUpstream: o.SlotsPerUpstream, Speeds: upstreamSpeeds,
		BundleText: strings.Replace(demo.BundleText, "[rules]", "[rules]\nplacement = "+placement, 1),
		Store:      store.Options{AppendRate: 400, SyncTime: 4 * time.Millisecond},
	})
}

func runPlacement(ctx context.Context, options Options, placement string) (Result, error) {
	f, err := options.startFleet(ctx, placement)
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	runtime.GC()
	fmt.Fprintf(options.Progress, "placement %s: %d entries, %d upstreams, %s\n", placement, len(f.Nodes), len(f.Upstreams), options.Scenario.Duration)
	generator := load.New(load.Options{Scenario: options.Scenario, Entries: f.CallerAddresses, IdealResponse: f.IdealResponse})
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var group sync.WaitGroup
	injector := fault.NewInjector(f, func(line string) { fmt.Fprintln(options.Progress, "fault", line) })
	group.Go(func() { injector.Run(faultCtx, options.Faults) })
	startedAt, cpuBefore := time.Now(), usage.CPUTime()
	generator.Run(ctx)
	stopFaults()
	group.Wait()
	r := Result{Placement: placement, CPUSeconds: (usage.CPUTime() - cpuBefore).Seconds(), Report: generator.Report(f.StartedTasks())}
	messageCounts, peerBytes := f.MessageCounts()
	r.Report.SetTraffic(messageCounts, peerBytes, len(f.LiveNodes()), startedAt)
	return r, nil
}

// WriteTables prints a table with one row for each result and flow, followed by the
// message counts and the calls that did not complete.
func WriteTables(w io.Writer, results []Result) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "placement\tflow\tcalls\tcomplete\tp50 ms\tp99 ms\tp50/ideal\tp99/ideal\twasted/task\tcpu s\tbroken\t")
	for _, r := range results {
		for _, row := range r.Report.Flows {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f\t%.4f\t%.1f\t%v\t\n", r.Placement, row.Flow, row.Calls,
				row.Complete, row.P50, row.P99, row.RatioP50, row.RatioP99, r.Report.WastedMessages, r.CPUSeconds, r.Report.HasViolations())
		}
	}
	_ = table.Flush()
	for _, r := range results {
		fmt.Fprintf(w, "  %s messages: %v\n", r.Placement, r.Report.MessageCounts)
		for _, row := range r.Report.Flows {
			for outcome, count := range row.OtherOutcomes {
				fmt.Fprintf(w, "  %s %s: %d calls ended %s\n", r.Placement, row.Flow, count, outcome)
			}
		}
	}
}

// WriteTimeline prints the calls and response times of each second of a run.
func WriteTimeline(w io.Writer, r Result) {
	for _, s := range r.Report.PerSecond {
		fmt.Fprintf(w, "  %s second %2d: %4d calls, %d complete, p50 %.1f ms, p99 %.1f ms\n", r.Placement, s.Begin, s.Calls, s.Complete, s.P50, s.P99)
	}
}

// PlotRatios draws the ratio of response time to ideal response time of all results as
// bars, p50 and p99 side by side. The extension of the file name selects the format.
func PlotRatios(name string, results []Result) error {
	p := plot.New()
	p.Title.Text = "response against the ideal"
	p.Y.Label.Text = "ratio"
	var p50s, p99s plotter.Values
	var names []string
	for _, r := range results {
		p50s = append(p50s, r.Report.RatioP50)
		p99s = append(p99s, r.Report.RatioP99)
		names = append(names, fmt.Sprintf("%s %d", r.Placement, r.Round))
	}
	width := vg.Points(14)
	p50Bars, err := plotter.NewBarChart(p50s, width)
	if err != nil {
		return err
	}
	p99Bars, err := plotter.NewBarChart(p99s, width)
	if err != nil {
		return err
	}
	p50Bars.Offset, p99Bars.Offset = -width/2, width/2
	p99Bars.Color = p99Color
	p.Add(p50Bars, p99Bars)
	p.Legend.Add("p50", p50Bars)
	p.Legend.Add("p99", p99Bars)
	p.Legend.Top = true
	p.NominalX(names...)
	return p.Save(vg.Length(len(results)+3)*vg.Inch, 4*vg.Inch, name)
}
