package bench

import (
	"context"
	"io"
	"testing"

	"github.com/radishgate/radishgate/load"
)

// Targets of jobs at 70 % load on upstreams whose speeds differ fourfold.
const (
	maxRatioP50      = 1.15
	maxRatioP99      = 1.6
	maxWastedPerTask = 0.05
	maxControlBytes  = 7000 // bytes a second and node
)

// BenchmarkJobs runs the placements on the same load in one run and holds the
// default one to the targets.
func BenchmarkJobs(b *testing.B) {
	scenario := shippedScenario(b, "jobs")
	for range b.N {
		results, err := Run(context.Background(), Options{
			Scenario: scenario, Placements: []string{"home", "static", "least"}, Zones: 3, EntriesPerZone: 3, UpstreamsPerZone: 17, SlotsPerUpstream: 8, Progress: io.Discard,
		})
		if err != nil {
			b.Fatal(err)
		}
		checkTargets(b, results)
	}
}

// shipped reads a scenario that ships with the program.
func shippedScenario(b *testing.B, name string) *load.Scenario {
	b.Helper()
	data, err := load.Shipped(name)
	if err != nil {
		b.Fatal(err)
	}
	scenario, err := load.Parse(name, data)
	if err != nil {
		b.Fatal(err)
	}
	return scenario
}

func checkTargets(b *testing.B, results []Result) {
	b.Helper()
	for _, r := range results {
		b.ReportMetric(r.Report.RatioP50, r.Placement+"-p50-ratio")
		b.ReportMetric(r.Report.RatioP99, r.Placement+"-p99-ratio")
		b.ReportMetric(r.Report.Messages, r.Placement+"-wasted")
		if r.Report.Broken() {
			b.Errorf("%s: promises broken: %+v", r.Placement, r.Report.Check)
		}
	}
	home := results[0].Report
	for _, check := range []struct {
		name         string
		value, limit float64
	}{
		{"p50 against the ideal", home.RatioP50, maxRatioP50},
		{"p99 against the ideal", home.RatioP99, maxRatioP99},
		{"wasted messages a task", home.Messages, maxWastedPerTask},
		{"control bytes a second and node", home.Control, maxControlBytes},
	} {
		if check.value > check.limit {
			b.Errorf("%s is %.3f, the target is %.3f", check.name, check.value, check.limit)
		}
	}
}
