package bench

import (
	"context"
	"io"
	"testing"

	"github.com/radishgate/radishgate/load"
)

// Targets of jobs at 70 % load on upstreams whose speeds differ fourfold.
const (
	ratioHalf   = 1.15
	ratioMost   = 1.6
	wastedMost  = 0.05
	controlMost = 7000 // bytes a second and node
)

// BenchmarkJobs runs the placements on the same load in one run and holds the
// default one to the targets.
func BenchmarkJobs(b *testing.B) {
	scenario := shipped(b, "jobs")
	for range b.N {
		results, err := Run(context.Background(), Options{
			Scenario: scenario, Placements: []string{"home", "static", "least"}, Zones: 3, Entries: 3, Upstreams: 17, Slots: 8, Progress: io.Discard,
		})
		if err != nil {
			b.Fatal(err)
		}
		judge(b, results)
	}
}

// shipped reads a scenario that ships with the program.
func shipped(b *testing.B, name string) *load.Scenario {
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

func judge(b *testing.B, results []Result) {
	b.Helper()
	for _, r := range results {
		b.ReportMetric(r.Report.RatioP50, r.Placement+"-p50-ratio")
		b.ReportMetric(r.Report.RatioP99, r.Placement+"-p99-ratio")
		b.ReportMetric(r.Report.WastedMessages, r.Placement+"-wasted")
		if r.Report.HasViolations() {
			b.Errorf("%s: promises broken: %+v", r.Placement, r.Report.Check)
		}
	}
	home := results[0].Report
	for _, check := range []struct {
		what        string
		value, most float64
	}{
		{"p50 against the ideal", home.RatioP50, ratioHalf},
		{"p99 against the ideal", home.RatioP99, ratioMost},
		{"wasted messages a task", home.WastedMessages, wastedMost},
		{"control bytes a second and node", home.ControlBytesPerSecond, controlMost},
	} {
		if check.value > check.most {
			b.Errorf("%s is %.3f, the target is %.3f", check.what, check.value, check.most)
		}
	}
}
