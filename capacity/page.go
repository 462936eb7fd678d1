package capacity

import (
	"fmt"
	"math"
	"strings"
)

// SystemSize describes the size of a system, its load and the bounds on its control costs.
type SystemSize struct {
	Workers              int
	Accelerators         int
	StartsPerSecond      float64 // at the peak
	MaxJobTasks          int     // tasks of the largest job
	Tenants              int
	Regions              int
	Zones                int
	ChangesPerDay        float64 // bundle changes
	MaxChangeDelay       float64 // seconds until a bundle change is in force
	MaxControlCores      float64 // cores used for control
	MaxControlMemory     float64 // bytes used for control
	MaxControlBytes      float64 // bytes per second of control traffic
	VMFailuresPerDay     int
	VMReplacementsPerDay int
}

// TargetSize is the size that the system is designed for, with the bounds stated by its
// users.
var TargetSize = SystemSize{
	Workers: 3800, Accelerators: 7300, StartsPerSecond: 140_000, MaxJobTasks: 660, Tenants: 62, Regions: 5, Zones: 16,
	ChangesPerDay: 15_000, MaxChangeDelay: 5, MaxControlCores: 0.011, MaxControlMemory: 128 << 20, MaxControlBytes: 7000, VMFailuresPerDay: 49, VMReplacementsPerDay: 970,
}

// Assumptions of the extrapolation that the users did not state.
const (
	coresPerEntry       = 4.0 // of an entry's VM
	peakUtilization     = 0.6 // share of an entry's cores in use at the peak
	heartbeatInterval   = 0.6 // seconds between heartbeats
	heartbeatsPerDemand = 16  // one heartbeat in this many carries demands
	secondsPerDay       = 86_400.0
	keyRetention        = 600.0 // seconds
	chosenKeyShare      = 0.1   // share of jobs whose key is chosen by the client
	maxAppendRate       = 300.0 // appends per second to one log, stated as "several hundred"
	bytesPerVM          = 130.0 // size of one VM in the VM list
	bytesPerEmptyPoll   = 350.0 // size of a poll without changes, including HTTP
)

// Markdown returns two tables: the slopes, and the costs extrapolated to TargetSize.
func (r Result) Markdown() string {
	var w strings.Builder
	w.WriteString("### Slopes\n\n| series | role | grows with | cost | measured at | base | slope | ± | worst point |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Series {
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%g: %s", p.Size, formatShort(p.Cost)))
		}
		fmt.Fprintf(&w, "| %s | %s | %s | %s | %s | %s | %s | %s | %.0f %% |\n", s.Name, s.Role, s.GrowsWith, s.Measured,
			strings.Join(sizes, ", "), formatShort(s.Fit.Intercept), formatShort(s.Fit.Slope), formatShort(s.Fit.SlopeError), 100*s.Fit.MaxDeviation)
	}
	fmt.Fprintf(&w, "\nHTTP around one message between entries and its answer: %.0f bytes.\n\n", r.HTTPOverhead)
	w.WriteString("### At the target size\n\n| role | what | comes to | bound | met |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range r.targetRows() {
		met := "yes"
		switch {
		case row.bound == 0:
			met = "—"
		case row.value > row.bound:
			met = fmt.Sprintf("**no, %.1f times**", row.value/row.bound)
		}
		bound := "—"
		if row.bound > 0 {
			bound = formatShort(row.bound) + " " + row.unit
		}
		fmt.Fprintf(&w, "| %s | %s | %s %s | %s | %s |\n", row.role, row.quantity, formatShort(row.value), row.unit, bound, met)
	}
	return w.String()
}

// formatShort formats a value with few digits and a suffix for thousands and millions.
func formatShort(v float64) string {
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

// targetRow is one line of the table of extrapolated costs. A bound of 0 means none.
type targetRow struct {
	role, quantity string
	value          float64
	unit           string
	bound          float64
}

// EntriesNeeded returns the number of entry VMs needed to carry the peak load after the
// loss of one zone, at the measured CPU cost of a task.
func (r Result) EntriesNeeded() float64 {
	workersPerZone := float64(TargetSize.Workers) / float64(TargetSize.Zones)
	microsPerTask := r.findSeries("task-cpu").Fit.At(workersPerZone) + r.findSeries("send-cpu").Fit.At(workersPerZone*8/entriesPerZone)
	startsPerEntry := coresPerEntry * peakUtilization * 1e6 / microsPerTask
	perZone := math.Ceil(TargetSize.StartsPerSecond / float64(TargetSize.Zones-1) / startsPerEntry)
	return math.Max(2, perZone) * float64(TargetSize.Zones)
}

// targetRows extrapolates the fitted lines to TargetSize.
func (r Result) targetRows() []targetRow {
	entries := r.EntriesNeeded()
	workers := float64(TargetSize.Workers)
	upstreams := workers // one upstream per worker
	upstreamsPerZone := upstreams / float64(TargetSize.Zones)
	startsPerEntry := TargetSize.StartsPerSecond / entries
	changesPerSecond := TargetSize.ChangesPerDay / secondsPerDay
	heartbeatsSent := 2.5 // per heartbeat interval on average; as many arrive
	// The bytes of a message count at both its sender and its receiver.
	heartbeatRate := 2 * (r.findSeries("beat-bytes").Fit.At(entries) + heartbeatsSent*r.HTTPOverhead) / heartbeatInterval
	demandRate := 2 * heartbeatsSent / heartbeatsPerDemand / heartbeatInterval * r.findSeries("demand-bytes").Fit.At(float64(TargetSize.Tenants))
	vmListRate := bytesPerEmptyPoll + bytesPerVM*2*float64(TargetSize.VMReplacementsPerDay+TargetSize.VMFailuresPerDay)/secondsPerDay
	bundleRate := changesPerSecond * (r.findSeries("change-bytes").Fit.At(1)*4/3 + bytesPerEmptyPoll)
	heartbeatCPU := r.findSeries("beat-cpu").Fit.At(entries) / heartbeatInterval
	foldCPU := changesPerSecond * r.findSeries("change-cpu").Fit.At(upstreams)
	shareCPU := r.findSeries("share-cpu").Fit.At(float64(TargetSize.Tenants)) / heartbeatInterval
	homeCPU := r.findSeries("home-cpu").Fit.At(entries/float64(TargetSize.Zones)) * upstreamsPerZone * 8 * (changesPerSecond + 2*float64(TargetSize.VMReplacementsPerDay+TargetSize.VMFailuresPerDay)/secondsPerDay)
	stateBytes := r.findSeries("member-state").Fit.At(entries) + 2*r.findSeries("bundle-state").Fit.At(upstreams)
	jobsPerSecond := startsPerEntry / 100 // 100 tasks per job on average
	keyBytes := r.findSeries("key-state").Fit.Slope * jobsPerSecond * keyRetention
	claimRate := TargetSize.StartsPerSecond / 100 * chosenKeyShare
	claimsPerAppend := r.findSeries("claims").Fit.At(claimRate / float64(TargetSize.Regions) * 0.005)
	return []targetRow{
		{"entry", "entry VMs of 4 cores at 60 %, one zone lost", entries, "", 0},
		{"entry", "task starts a second each", startsPerEntry, "", 0},
		{"entry", "processor a task, both ends of HTTP counted", 1e6 * coresPerEntry * peakUtilization / math.Max(startsPerEntry, 1), "µs available", 0},
		{"entry", "heartbeats, both directions", heartbeatRate, "B/s", TargetSize.MaxControlBytes},
		{"zone summary sender", "demands of tenants, both directions", demandRate, "B/s", TargetSize.MaxControlBytes},
		{"entry", "list of VMs, changes only", vmListRate, "B/s", TargetSize.MaxControlBytes},
		{"bundle reader", "bundle changes", bundleRate, "B/s", TargetSize.MaxControlBytes},
		{"entry", "control bytes together", heartbeatRate + demandRate + vmListRate + bundleRate, "B/s", TargetSize.MaxControlBytes},
		{"entry", "heartbeats", heartbeatCPU / 1e6, "of a core", TargetSize.MaxControlCores},
		{"bundle reader", "folding of bundle changes", foldCPU / 1e6, "of a core", TargetSize.MaxControlCores},
		{"entry", "quota parts", shareCPU / 1e6, "of a core", TargetSize.MaxControlCores},
		{"slot home", "homes, found anew after each change, failure and replacement", homeCPU / 1e6, "of a core", TargetSize.MaxControlCores},
		{"entry", "control processor together", (heartbeatCPU + foldCPU + shareCPU + homeCPU) / 1e6, "of a core", TargetSize.MaxControlCores},
		{"entry", "members and two bundles", stateBytes, "B", TargetSize.MaxControlMemory},
		{"entry", "keys of 10 minutes, jobs of 100 tasks", keyBytes, "B", TargetSize.MaxControlMemory},
		{"partition owner", "claims a second, a tenth of the jobs chosen", claimRate, "", 0},
		{"partition owner", "claims in an append, one log a region", math.Max(1, claimsPerAppend), "", 0},
		{"partition owner", "appends a second, one log a region", claimRate / float64(TargetSize.Regions) / math.Max(1, claimsPerAppend), "/s", maxAppendRate},
		{"partition owner", "appends a second, one log for all regions", claimRate / math.Max(1, claimsPerAppend), "/s", maxAppendRate},
		{"bundle reader", "one change, from append to in force", (5_000 + r.findSeries("change-cpu").Fit.At(upstreams)) / 1e6, "s", TargetSize.MaxChangeDelay},
		{"operator's command", "appends of bundles a second", changesPerSecond, "/s", maxAppendRate},
		{"checkpoint writer", "one checkpoint (64 changes behind one whole)", r.findSeries("change-bytes").Fit.At(1)*64 + 90*upstreams, "B", 0},
	}
}
