package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Target is the size towards which the system is built, as the users gave it.
type Target struct {
	Workers      int
	Accelerators int
	Starts       float64 // a second at the peak
	Tasks        int     // of the largest job
	Teams        int
	Regions      int
	Zones        int
	Changes      float64 // a day
	Force        float64 // seconds until a change is in force
	Core         float64 // share of a core for control
	Memory       float64 // bytes for control
	Bytes        float64 // a second for control
	Failures     int     // VMs a day
	Replaced     int     // VMs a day
}

// Goal is that size.
var Goal = Target{
	Workers: 3800, Accelerators: 7300, Starts: 140_000, Tasks: 660, Teams: 62, Regions: 5, Zones: 16,
	Changes: 15_000, Force: 5, Core: 0.011, Memory: 128 << 20, Bytes: 7000, Failures: 49, Replaced: 970,
}

// Assumptions of the extrapolation that are not the users'.
const (
	cores      = 4.0 // of an entry VM
	busy       = 0.6 // share of its cores at the peak
	beat       = 0.6 // seconds between heartbeats
	demandTurn = 16  // heartbeats between two that carry demands
	day        = 86_400.0
	remember   = 600.0 // seconds for which a key is remembered
	partShare  = 0.1   // of the jobs under chosen keys
	appends    = 300.0 // a second of the log, as "several hundred"
	vmBytes    = 130.0 // of one VM in the list
	pollBytes  = 350.0 // of one poll without changes, HTTP counted
)

// Markdown gives the tables: slopes, then what they come to at the goal.
func (r Result) Markdown() string {
	var w strings.Builder
	w.WriteString("### Slopes\n\n| series | role | grows with | cost | measured at | base | slope | ± | worst point |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Series {
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%g: %s", p.Size, short(p.Cost)))
		}
		fmt.Fprintf(&w, "| %s | %s | %s | %s | %s | %s | %s | %s | %.0f %% |\n", s.Name, s.Role, s.Size, s.Cost,
			strings.Join(sizes, ", "), short(s.Fit.Base), short(s.Fit.Slope), short(s.Fit.Error), 100*s.Fit.Worst)
	}
	fmt.Fprintf(&w, "\nHTTP around one message between entries and its answer: %.0f bytes.\n\n", r.Overhead)
	w.WriteString("### At the target size\n\n| role | what | comes to | bound | met |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range r.rows() {
		met := "yes"
		switch {
		case row.bound == 0:
			met = "—"
		case row.value > row.bound:
			met = fmt.Sprintf("**no, %.1f times**", row.value/row.bound)
		}
		bound := "—"
		if row.bound > 0 {
			bound = short(row.bound) + " " + row.unit
		}
		fmt.Fprintf(&w, "| %s | %s | %s %s | %s | %s |\n", row.role, row.what, short(row.value), row.unit, bound, met)
	}
	return w.String()
}

func short(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1e6:
		return fmt.Sprintf("%.2f M", v/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.1f k", v/1e3)
	case a >= 100 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

type row struct {
	role, what string
	value      float64
	unit       string
	bound      float64
}

// Entries is the number of entry VMs that the peak needs with one of the zones
// lost, at the cost a task that was measured.
func (r Result) Entries() float64 {
	zone := float64(Goal.Workers) / float64(Goal.Zones)
	micros := r.get("task-cpu").Fit.At(zone) + r.get("send-cpu").Fit.At(zone*8/zoneMembers)
	each := cores * busy * 1e6 / micros
	perZone := math.Ceil(Goal.Starts / float64(Goal.Zones-1) / each)
	return math.Max(2, perZone) * float64(Goal.Zones)
}

func (r Result) rows() []row {
	entries := r.Entries()
	workers := float64(Goal.Workers)
	upstreams := workers // one runner a worker
	inZone := upstreams / float64(Goal.Zones)
	perEntry := Goal.Starts / entries
	changes := Goal.Changes / day
	messages := 2.5 // heartbeats sent a tick; as many arrive
	// A message's bytes count at its sender and at its receiver.
	beatBytes := 2 * (r.get("beat-bytes").Fit.At(entries) + messages*r.Overhead) / beat
	demand := 2 * messages / demandTurn / beat * r.get("demand-bytes").Fit.At(float64(Goal.Teams))
	list := pollBytes + vmBytes*2*float64(Goal.Replaced+Goal.Failures)/day
	bundles := changes * (r.get("change-bytes").Fit.At(1)*4/3 + pollBytes)
	beatCPU := r.get("beat-cpu").Fit.At(entries) / beat
	foldCPU := changes * r.get("change-cpu").Fit.At(upstreams)
	shareCPU := r.get("share-cpu").Fit.At(float64(Goal.Teams)) / beat
	homeCPU := r.get("home-cpu").Fit.At(entries/float64(Goal.Zones)) * inZone * 8 * (changes + 2*float64(Goal.Replaced+Goal.Failures)/day)
	state := r.get("member-state").Fit.At(entries) + 2*r.get("bundle-state").Fit.At(upstreams)
	jobs := perEntry / 100 // jobs of 100 tasks on average
	keyState := r.get("key-state").Fit.Slope * jobs * remember
	claimRate := Goal.Starts / 100 * partShare
	perAppend := r.get("claims").Fit.At(claimRate / float64(Goal.Regions) * 0.005)
	return []row{
		{"entry", "entry VMs of 4 cores at 60 %, one zone lost", entries, "", 0},
		{"entry", "task starts a second each", perEntry, "", 0},
		{"entry", "processor a task, both ends of HTTP counted", 1e6 * cores * busy / math.Max(perEntry, 1), "µs available", 0},
		{"entry", "heartbeats, both directions", beatBytes, "B/s", Goal.Bytes},
		{"zone summary sender", "demands of tenants, both directions", demand, "B/s", Goal.Bytes},
		{"entry", "list of VMs, changes only", list, "B/s", Goal.Bytes},
		{"bundle reader", "bundle changes", bundles, "B/s", Goal.Bytes},
		{"entry", "control bytes together", beatBytes + demand + list + bundles, "B/s", Goal.Bytes},
		{"entry", "heartbeats", beatCPU / 1e6, "of a core", Goal.Core},
		{"bundle reader", "folding of bundle changes", foldCPU / 1e6, "of a core", Goal.Core},
		{"entry", "quota parts", shareCPU / 1e6, "of a core", Goal.Core},
		{"slot home", "homes, found anew after each change, failure and replacement", homeCPU / 1e6, "of a core", Goal.Core},
		{"entry", "control processor together", (beatCPU + foldCPU + shareCPU + homeCPU) / 1e6, "of a core", Goal.Core},
		{"entry", "members and two bundles", state, "B", Goal.Memory},
		{"entry", "keys of 10 minutes, jobs of 100 tasks", keyState, "B", Goal.Memory},
		{"partition owner", "claims a second, a tenth of the jobs chosen", claimRate, "", 0},
		{"partition owner", "claims in an append, one log a region", math.Max(1, perAppend), "", 0},
		{"partition owner", "appends a second, one log a region", claimRate / float64(Goal.Regions) / math.Max(1, perAppend), "/s", appends},
		{"partition owner", "appends a second, one log for all regions", claimRate / math.Max(1, perAppend), "/s", appends},
		{"bundle reader", "one change, from append to in force", (5_000 + r.get("change-cpu").Fit.At(upstreams)) / 1e6, "s", Goal.Force},
		{"operator's command", "appends of bundles a second", changes, "/s", appends},
		{"checkpoint writer", "one checkpoint (64 changes behind one whole)", r.get("change-bytes").Fit.At(1)*64 + 90*upstreams, "B", 0},
	}
}
