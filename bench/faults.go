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

// Phase is the figures of one part of a run with a fault.
type Phase struct {
	load.Span
	Wasted float64 `json:"wasted_messages_per_task"`
}

// Effect is what one kind of fault did to calls before, while and after it lasted.
type Effect struct {
	Kind   string      `json:"fault"`
	Phases [3]Phase    `json:"phases"` // before, during, after
	Report load.Report `json:"report"`
}

// The bounds of the phases in seconds of the run. The first second warms up.
var phases = [4]int{1, 4, 8, 12}

// effectSpan is the length of a run with a fault.
const effectSpan = 12 * time.Second

// Effects runs the scenario once for each kind, on a fleet of its own.
func Effects(ctx context.Context, options Options, kinds []string) ([]Effect, error) {
	var effects []Effect
	for _, kind := range kinds {
		fmt.Fprintf(options.Progress, "fault %s: %s\n", kind, fault.What(kind))
		effect, err := effectOf(ctx, options, kind)
		if err != nil {
			return effects, err
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

func effectOf(ctx context.Context, options Options, kind string) (Effect, error) {
	f, err := options.fleet(ctx, options.Placements[0])
	if err != nil {
		return Effect{}, err
	}
	defer f.Stop()
	scenario := *options.Scenario
	scenario.Span = effectSpan
	run := load.New(load.Options{Scenario: &scenario, Entries: f.CallerAddresses, Ideal: f.IdealResponse})
	marks := &marks{fleet: f}
	schedule := fault.Schedule{{
		Kind: kind, Place: options.Place, Begin: time.Duration(phases[1]) * time.Second, End: time.Duration(phases[2]) * time.Second,
	}}
	during, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { marks.take(during) })
	group.Go(func() { fault.NewRun(f, nil).Do(during, schedule) })
	run.Do(ctx)
	stop()
	group.Wait()
	effect := Effect{Kind: kind, Report: run.Report(f.StartedTasks())}
	for i := range effect.Phases {
		effect.Phases[i] = Phase{Span: run.Between(phases[i], phases[i+1]), Wasted: marks.wasted(i)}
	}
	return effect, nil
}

// marks are the message counts of a fleet at the bounds of the phases.
type marks struct {
	fleet  *fleet.Fleet
	counts []map[string]float64
}

// take counts at each bound; the end of the run may come just before the last.
func (m *marks) take(ctx context.Context) {
	began := time.Now()
	for _, bound := range phases {
		wait.For(ctx, time.Until(began.Add(time.Duration(bound)*time.Second)))
		counts, _ := m.fleet.MessageCounts()
		m.counts = append(m.counts, counts)
	}
}

// wasted is the messages of a phase beyond one dispatch and one answer for each
// task answered in it.
func (m *marks) wasted(phase int) float64 {
	counts := map[string]float64{}
	for kind, count := range m.counts[phase+1] {
		counts[kind] = count - m.counts[phase][kind]
	}
	return load.Waste(counts, int64(counts["answer"]))
}

// EffectsTable writes the effects as a Markdown table.
func EffectsTable(w io.Writer, effects []Effect) {
	fmt.Fprintln(w, "| fault for 4 s | what happens | complete, of calls | p50/ideal | p99/ideal | wasted messages a task |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, e := range effects {
		var complete, half, most, wasted []string
		for _, p := range e.Phases {
			complete = append(complete, fmt.Sprintf("%d/%d", p.Complete, p.Calls))
			half = append(half, fmt.Sprintf("%.2f", p.RatioP50))
			most = append(most, fmt.Sprintf("%.2f", p.RatioP99))
			wasted = append(wasted, fmt.Sprintf("%.3f", p.Wasted))
		}
		fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %s |\n", e.Kind, fault.What(e.Kind),
			strings.Join(complete, ", "), strings.Join(half, ", "), strings.Join(most, ", "), strings.Join(wasted, ", "))
	}
}
