package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/radishgate/radishgate/load"
)

// TestPlotDrawsAllResults guards against a plot that is empty or lacks a result.
func TestPlotDrawsAllResults(t *testing.T) {
	name := filepath.Join(t.TempDir(), "ratios.svg")
	results := []Result{
		{Placement: "home", Round: 1, Report: load.Report{RatioP50: 1.1, RatioP99: 2}},
		{Placement: "static", Round: 1, Report: load.Report{RatioP50: 1.5, RatioP99: 4}},
	}
	if err := PlotRatios(name, results); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(name)
	if err != nil || !bytes.Contains(data, []byte("<svg")) || !bytes.Contains(data, []byte("static 1")) {
		t.Fatalf("plot of %d bytes, want an SVG image with a bar named \"static 1\"; error: %v", len(data), err)
	}
}
