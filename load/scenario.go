// Package load sends a scenario's requests and jobs to entries, compares responses with the ideal, and checks the promises.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
)

// Kinds of keys that a flow uses.
const (
	KeyNone   = "none"
	KeyOrigin = "origin"
	KeyChosen = "chosen"
)

// Flow is one kind of call. With Workers it is a closed loop, else an open one
// at Rate calls a second.
type Flow struct {
	Name          string
	Tenant        string
	Service       string
	Job           bool
	Rate          float64
	Workers       int
	MinTasks      int // tasks
	MaxTasks      int
	MedianRunTime time.Duration // median run time at speed 1
	RunTimeSigma  float64       // sigma of the logarithm of run times
	HintSigma     float64       // sigma of the error of hints, below 0 for no hints
	KeyKind       string
	ResubmitShare float64 // share sent again through another entry meanwhile
	CancelShare   float64 // share cancelled meanwhile
	Timeout       time.Duration
	BurstSize     int // calls at once in the middle of the run
	// Repeatable tells that the service may run a request more than once.
	Repeatable bool
}

// Scenario is a mix of flows.
type Scenario struct {
	Duration time.Duration
	Seed     uint64
	Flows    []Flow
}

// Parse reads a scenario; name is used in errors, which are *inifile.Error.
func Parse(name string, data []byte) (*Scenario, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	f.Know("load")
	s := &Scenario{
		Duration: f.Span("load", "span", 5*time.Second, 100*time.Millisecond, time.Hour),
		Seed:     uint64(f.Int("load", "seed", 1, 0, 1<<62)),
	}
	for _, section := range f.Sections() {
		if kind, flow, ok := strings.Cut(section, " "); ok && kind == "flow" {
			s.Flows = append(s.Flows, readFlow(f, section, flow))
		}
	}
	if len(s.Flows) == 0 {
		f.Fail("flow", "", "a scenario needs at least one flow")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readFlow(f *inifile.File, section, name string) Flow {
	flow := Flow{
		Name: name, Tenant: f.Must(section, "tenant"), Service: f.Must(section, "service"),
		Job: f.String(section, "kind", "request") == "job", Rate: f.Float(section, "rate", 0, 0, 1e6),
		Workers:       int(f.Int(section, "workers", 0, 0, 100_000)),
		MedianRunTime: f.Span(section, "run", 50*time.Millisecond, 0, time.Minute), RunTimeSigma: f.Float(section, "spread", 0, 0, 3),
		HintSigma: f.Float(section, "hint", -1, -1, 3), KeyKind: f.String(section, "key", KeyNone),
		ResubmitShare: f.Float(section, "resubmit", 0, 0, 1), CancelShare: f.Float(section, "cancel", 0, 0, 1),
		Timeout:    f.Span(section, "limit", 0, 0, time.Hour),
		BurstSize:  int(f.Int(section, "burst", 0, 0, 100_000)),
		Repeatable: f.Bool(section, "repeatable", false),
	}
	flow.MinTasks, flow.MaxTasks = readTasks(f, section)
	switch flow.KeyKind {
	case KeyNone, KeyOrigin, KeyChosen:
	default:
		f.Fail(section, "key", "is none of none, origin, chosen")
	}
	if flow.Rate == 0 && flow.Workers == 0 && flow.BurstSize == 0 {
		f.Fail(section, "rate", "rate, workers or burst is required")
	}
	if flow.Job && flow.KeyKind == KeyNone {
		f.Fail(section, "key", "a job needs an origin or chosen key")
	}
	return flow
}

// readTasks reads a number of tasks or a range such as 10-40.
func readTasks(f *inifile.File, section string) (int, int) {
	text := f.String(section, "tasks", "1")
	low, high, ranged := strings.Cut(text, "-")
	if !ranged {
		high = low
	}
	least, err := strconv.Atoi(low)
	most, failed := strconv.Atoi(high)
	if err != nil || failed != nil || least < 1 || most < least || most > 100_000 {
		f.Fail(section, "tasks", "is neither a number of tasks nor a range such as 10-40")
		return 1, 1
	}
	return least, most
}
