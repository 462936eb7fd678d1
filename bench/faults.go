package bench

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/fault"
	"github.com/radishgate/radishgate/load"
	"github.com/radishgate/radishgate/standin/fleet"
)

// Phase holds the figures of one phase of a run with a fault.
type Phase struct {
	load.IntervalStats
	WastedPerTask float64 `json:"wasted_messages_per_task"`
}

// FaultEffect describes calls before, during and after a fault of one kind.
type FaultEffect struct {
	Kind   string      `json:"fault"`
	Phases [3]Phase    `json:"phases"` // before, during, after
	Report load.Report `json:"report"`
}

// phaseBounds are the bounds of the phases in seconds since the start of the run. The
// first second is left out for warm-up.
var phaseBounds = [4]int{1, 4, 8, 12}

// faultRunDuration is the duration of a run with a fault.
const faultRunDuration = 12 * time.Second

// MeasureFaults runs the scenario once for each kind of fault, each time on a new fleet.
func MeasureFaults(ctx context.Context, options Options, kinds []string) ([]FaultEffect, error) {
	var effects []FaultEffect
	for _, kind := range kinds {
		fmt.Fprintf(options.Progress, "fault %s: %s\n", kind, fault.Describe(kind))
		effect, err := measureFault(ctx, options, kind)
		if err != nil {
			return effects, err
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

func measureFault(ctx context.Context, options Options, kind string) (FaultEffect, error) {
	f, err := options.startFleet(ctx, options.Placements[0])
	if err != nil {
		return FaultEffect{}, err
	}
	defer f.Stop()
	scenario := *options.Scenario
	scenario.Duration = faultRunDuration
	generator := load.New(load.Options{Scenario: &scenario, Entries: f.CallerAddresses, IdealResponse: f.IdealResponse})
	samples := &messageSamples{fleet: f}
	schedule := fault.Schedule{{
		Kind: kind, Place: options.FaultTarget, Begin: time.Duration(phaseBounds[1]) * time.Second, End: time.Duration(phaseBounds[2]) * time.Second,
	}}
	runCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { samples.sampleAtBounds(runCtx) })
	group.Go(func() { fault.NewInjector(f, nil).Run(runCtx, schedule) })
	generator.Run(ctx)
	stop()
	group.Wait()
	effect := FaultEffect{Kind: kind, Report: generator.Report(f.StartedTasks())}
	for i := range effect.Phases {
		effect.Phases[i] = Phase{IntervalStats: generator.StatsBetween(phaseBounds[i], phaseBounds[i+1]), WastedPerTask: samples.wastedPerTask(i)}
	}
	return effect, nil
}

// messageSamples holds the message counts of a fleet at the bounds of the phases.
type messageSamples struct {
	fleet  *fleet.Fleet
	counts []map[string]float64
}

// sampleAtBounds adds a sample at each bound. The run may end shortly before the last
// bound; the last sample is then taken at that time.
func (m *messageSamples) sampleAtBounds(ctx context.Context) {
	startedAt := time.Now()
	for _, bound := range phaseBounds {
		wait.For(ctx, time.Until(startedAt.Add(time.Duration(bound)*time.Second)))
		counts, _ := m.fleet.MessageCounts()
		m.counts = append(m.counts, counts)
	}
}

// wastedPerTask returns the messages of a phase beyond one dispatch and one answer for
// each task answered in it, per such task.
func (m *messageSamples) wastedPerTask(phase int) float64 {
	counts := map[string]float64{}
	for kind, count := range m.counts[phase+1] {
		counts[kind] = count - m.counts[phase][kind]
	}
	return load.WastedPerTask(counts, int64(counts["answer"]))
}

// WriteFaultTable writes the effects as a Markdown table.
func WriteFaultTable(w io.Writer, effects []FaultEffect) {
	fmt.Fprintln(w, "| fault for 4 s | what happens | complete, of calls | p50/ideal | p99/ideal | wasted messages a task |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, e := range effects {
		var complete, p50s, p99s, wasted []string
		for _, p := range e.Phases {
			complete = append(complete, fmt.Sprintf("%d/%d", p.Complete, p.Calls))
			p50s = append(p50s, fmt.Sprintf("%.2f", p.RatioP50))
			p99s = append(p99s, fmt.Sprintf("%.2f", p.RatioP99))
			wasted = append(wasted, fmt.Sprintf("%.3f", p.WastedPerTask))
		}
		fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %s |\n", e.Kind, fault.Describe(e.Kind),
			strings.Join(complete, ", "), strings.Join(p50s, ", "), strings.Join(p99s, ", "), strings.Join(wasted, ", "))
	}
}
