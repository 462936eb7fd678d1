package capacity

import (
	"math"
	"strings"
	"testing"
)

func TestLine(t *testing.T) {
	f := Line([]Point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Base-3) > 1e-9 || f.Error > 1e-6 || f.Worst > 1e-9 {
		t.Fatalf("%+v", f)
	}
	if bent := Line([]Point{{1, 1}, {2, 4}, {3, 9}, {4, 16}}); bent.Worst < 0.1 {
		t.Fatalf("a curve passes for a line: %+v", bent)
	}
}

// TestPageSaysWhatMissesItsBound uses a made-up cost over the bound.
func TestPageSaysWhatMissesItsBound(t *testing.T) {
	var r Result
	for _, name := range []string{"task-cpu", "send-cpu"} {
		r.Series = append(r.Series, Series{Name: name, Fit: Fit{Base: 100}})
	}
	r.Series = append(r.Series, Series{Name: "beat-bytes", Fit: Fit{Base: 100_000}})
	if text := r.Markdown(); !strings.Contains(text, "**no, ") {
		t.Fatalf("a bound that is missed does not show:\n%s", text)
	}
}

// TestControlTrafficIsCounted holds counts that do not depend on the machine
// to the users' bound at the target size: bytes of control.
func TestControlTrafficIsCounted(t *testing.T) {
	var r Result
	around, err := overhead()
	if err != nil {
		t.Fatal(err)
	}
	r.Overhead = around
	var bytes []Point
	for _, n := range []int{8, 16, 32} {
		b, _, _ := beats(n)
		bytes = append(bytes, Point{float64(n), b})
	}
	r.Series = append(r.Series, Series{Name: "beat-bytes", Fit: Line(bytes)})
	r.Series = append(r.Series, measure("demand-bytes", "", "", "", []int{8, 31, 62}, demandBytes))
	r.Series = append(r.Series, measure("change-bytes", "", "", "", []int{1, 2, 4}, recordBytes))
	for _, name := range []string{"task-cpu", "send-cpu"} {
		r.Series = append(r.Series, Series{Name: name, Fit: Fit{Base: 150}})
	}
	for _, row := range r.rows() {
		if row.what == "control bytes together" && row.value > row.bound {
			t.Errorf("control traffic at the target size is %.0f of %.0f B/s", row.value, row.bound)
		}
	}
}
