package lookahead

import (
	"slices"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func cores(n int64) resources.Resources { return resources.Resources{MilliCores: 1000 * n} }

// TestReserve guards against reservations that help nobody: on a worker that ends the task later than
// another one or after its objective, on one that is reserved already, or for a gap that is worth more
// than the task.
func TestReserve(t *testing.T) {
	soon := Worker{ID: "soon", Free: cores(4), Runs: []Run{{after(90), cores(20)}, {after(20), cores(8)}}, Runtime: 100 * time.Millisecond}
	late := Worker{ID: "late", Free: cores(4), Runs: []Run{{after(60), cores(28)}}, Runtime: 100 * time.Millisecond}
	idle := Worker{ID: "idle", Free: cores(23), Runs: []Run{{after(400), cores(9)}}, Runtime: 100 * time.Millisecond}
	tests := []struct {
		name      string
		need      int64
		objective int
		workers   []Worker
		worker    string
		due       int
	}{
		{"earliest end", 12, 200, []Worker{late, soon}, "soon", 20},
		{"two runs have to end", 24, 200, []Worker{soon, late}, "late", 60},
		{"after the objective", 24, 150, []Worker{soon, late}, "", 0},
		{"gap worth more than the task", 24, 900, []Worker{idle}, "", 0},
		{"never fits", 40, 900, []Worker{soon, late}, "", 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			p.Reset()
			p.Reserve("a", cores(c.need), slices.Values(c.workers), after(c.objective), start)
			r, reserved := p.On(c.worker)
			if reserved != (c.worker != "") || reserved && (r.Task != "a" || !r.Due.Equal(after(c.due))) || p.MayReserve("a") {
				t.Fatalf("%+v %v", r, reserved)
			}
			p.Reserve("b", cores(c.need), slices.Values(c.workers), after(c.objective), start)
			if r, _ := p.On(c.worker); reserved && r.Task != "a" {
				t.Fatalf("%+v, want the reservation of the first task", r)
			}
			p.Release("a")
			if _, reserved := p.On(c.worker); reserved {
				t.Fatal("still reserved after the release")
			}
		})
	}
}

// TestAllows guards against tasks that use a gap and delay the task for which the worker is reserved.
func TestAllows(t *testing.T) {
	r := Reservation{Task: "a", Due: after(50), Resources: cores(20)}
	w := Worker{Free: cores(16), Runs: []Run{{after(50), cores(8)}, {after(90), cores(8)}}}
	tests := []struct {
		need    int64
		runtime int
		allowed bool
	}{{16, 50, true}, {16, 51, false}, {4, 500, true}, {5, 500, false}}
	for _, c := range tests {
		w.Runtime = time.Duration(c.runtime) * time.Millisecond
		if r.Allows(w, cores(c.need), start) != c.allowed {
			t.Errorf("%d cores for %d ms: want %v", c.need, c.runtime, c.allowed)
		}
	}
}

// TestFill guards against a choice that leaves more cores unused than another one, or that changes the
// order for a gain of a few hundredths.
func TestFill(t *testing.T) {
	tests := []struct {
		free          int64
		candidates    []Candidate
		first, second int
	}{
		{32, nil, -1, -1},
		{32, []Candidate{{20, false}, {13, false}, {18, false}}, 1, 2},
		{32, []Candidate{{16, true}, {19, false}, {13, false}}, 0, 0},
		{32, []Candidate{{13, false}, {24, false}}, 1, -1},
		{100, []Candidate{{95, false}, {96, false}}, 0, -1},
	}
	for i, c := range tests {
		if first, second := Fill(c.free, c.candidates); first != c.first || second != c.second {
			t.Errorf("case %d: %d, %d, want %d, %d", i, first, second, c.first, c.second)
		}
	}
}
