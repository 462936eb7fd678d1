package bench

import (
	"context"
	"io"
	"testing"

	"github.com/radishgate/radishgate/load"
)

// Targets for jobs at 70 % load on upstreams whose speeds differ by a factor of four.
// Ratios are response time to ideal response time.
const (
	maxRatioP50      = 1.15
	maxRatioP99      = 1.6
	maxWastedPerTask = 0.05
	maxControlBytes  = 7000 // bytes per second and entry
)

// BenchmarkJobs runs several placements with the same load. It fails if the default
// placement misses a target or if any placement violates a guarantee.
func BenchmarkJobs(b *testing.B) {
	scenario := builtinScenario(b, "jobs")
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

// builtinScenario returns a built-in scenario.
func builtinScenario(b *testing.B, name string) *load.Scenario {
	b.Helper()
	data, err := load.BuiltinScenario(name)
	if err != nil {
		b.Fatal(err)
	}
	scenario, err := load.Parse(name, data)
	if err != nil {
		b.Fatal(err)
	}
	return scenario
}

// checkTargets reports the metrics of all results and compares those of the first, the
// default placement, with the targets.
func checkTargets(b *testing.B, results []Result) {
	b.Helper()
	for _, r := range results {
		b.ReportMetric(r.Report.RatioP50, r.Placement+"-p50-ratio")
		b.ReportMetric(r.Report.RatioP99, r.Placement+"-p99-ratio")
		b.ReportMetric(r.Report.WastedMessages, r.Placement+"-wasted")
		if r.Report.HasViolations() {
			b.Errorf("%s: guarantees violated: %+v", r.Placement, r.Report.Check)
		}
	}
	home := results[0].Report
	for _, check := range []struct {
		name         string
		value, limit float64
	}{
		{"p50 relative to the ideal", home.RatioP50, maxRatioP50},
		{"p99 relative to the ideal", home.RatioP99, maxRatioP99},
		{"wasted messages per task", home.WastedMessages, maxWastedPerTask},
		{"control bytes per second and entry", home.ControlBytesPerSecond, maxControlBytes},
	} {
		if check.value > check.limit {
			b.Errorf("%s is %.3f, the target is %.3f", check.name, check.value, check.limit)
		}
	}
}
