package capacity

import (
	"math"
	"strings"
	"testing"
)

// TestFitLineRecoversLineAndReportsCurvature guards against a curve that is taken for a
// line: MaxDeviation must show that the points do not lie on one.
func TestFitLineRecoversLineAndReportsCurvature(t *testing.T) {
	f := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.SlopeError > 1e-6 || f.MaxDeviation > 1e-9 {
		t.Fatalf("fit of points on 3 + 2x: %+v", f)
	}
	if bent := FitLine([]Point{{1, 1}, {2, 4}, {3, 9}, {4, 16}}); bent.MaxDeviation < 0.1 {
		t.Fatalf("a curve is reported as a line: %+v", bent)
	}
}

// TestMarkdownMarksMissedBound guards against a table that hides a missed bound. It sets
// a cost far above the bound.
func TestMarkdownMarksMissedBound(t *testing.T) {
	var r Result
	for _, name := range []string{"task-cpu", "send-cpu"} {
		r.Series = append(r.Series, Series{Name: name, Fit: Fit{Intercept: 100}})
	}
	r.Series = append(r.Series, Series{Name: "beat-bytes", Fit: Fit{Intercept: 100_000}})
	if text := r.Markdown(); !strings.Contains(text, "**no, ") {
		t.Fatalf("the table does not mark a missed bound:\n%s", text)
	}
}

// TestControlTrafficStaysWithinBound fails if a change to the heartbeats, demands or
// bundle changes pushes the control traffic at the target size over the users' bound.
// Message sizes do not depend on the speed of the machine; the CPU costs, which only
// determine the number of entries, are fixed here.
func TestControlTrafficStaysWithinBound(t *testing.T) {
	var r Result
	overhead, err := measureHTTPOverhead()
	if err != nil {
		t.Fatal(err)
	}
	r.HTTPOverhead = overhead
	var bytes []Point
	for _, n := range []int{8, 16, 32} {
		b, _, _ := heartbeatCosts(n)
		bytes = append(bytes, Point{float64(n), b})
	}
	r.Series = append(r.Series, Series{Name: "beat-bytes", Fit: FitLine(bytes)})
	r.Series = append(r.Series, measureSeries("demand-bytes", "", "", "", []int{8, 31, 62}, demandMessageBytes))
	r.Series = append(r.Series, measureSeries("change-bytes", "", "", "", []int{1, 2, 4}, changeRecordBytes))
	for _, name := range []string{"task-cpu", "send-cpu"} {
		r.Series = append(r.Series, Series{Name: name, Fit: Fit{Intercept: 150}})
	}
	for _, row := range r.targetRows() {
		if row.quantity == "control bytes together" && row.value > row.bound {
			t.Errorf("control traffic at the target size is %.0f B/s, bound %.0f B/s", row.value, row.bound)
		}
	}
}
