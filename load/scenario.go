// Package load generates load: it sends the requests and jobs of a scenario to entries,
// compares response times with the ideal and checks the dispatcher's guarantees.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/radishgate/radishgate/common/inifile"
)

// Kinds of idempotency keys that a flow can use.
const (
	KeyNone   = "none"   // no key
	KeyOrigin = "origin" // made with the origin token of an entry, which gets the call
	KeyChosen = "chosen" // chosen by the client
)

// Flow is one kind of call. With Workers above 0 it is a closed loop of that many workers,
// otherwise an open loop that sends Rate calls per second.
type Flow struct {
	Name          string
	Tenant        string
	Service       string
	Job           bool
	Rate          float64
	Workers       int
	MinTasks      int // tasks per call, drawn uniformly between MinTasks and MaxTasks
	MaxTasks      int
	MedianRuntime time.Duration // on an upstream of speed 1
	RuntimeSigma  float64       // standard deviation of the logarithm of the run time
	HintSigma     float64       // standard deviation of the logarithm of hint / run time; negative for no hints
	KeyKind       string
	ResubmitShare float64 // share of calls sent again through another entry while the first may be running
	CancelShare   float64 // share of jobs canceled while they may be running
	Timeout       time.Duration
	BurstSize     int // calls sent at once in the middle of the run, by an open loop
	// Repeatable says that the service may run a request more than once.
	Repeatable bool
}

// Scenario is a mix of flows that are sent for Duration.
type Scenario struct {
	Duration time.Duration
	Seed     uint64
	Flows    []Flow
}

// Parse parses a scenario in INI form. The name appears in errors, which are of type
// *inifile.Error.
func Parse(name string, data []byte) (*Scenario, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	f.MarkKnown("load")
	s := &Scenario{
		Duration: f.Duration("load", "span", 5*time.Second, 100*time.Millisecond, time.Hour),
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

// readFlow reads a flow from its section and reports invalid values to f.
func readFlow(f *inifile.File, section, name string) Flow {
	flow := Flow{
		Name: name, Tenant: f.RequiredString(section, "tenant"), Service: f.RequiredString(section, "service"),
		Job: f.String(section, "kind", "request") == "job", Rate: f.Float(section, "rate", 0, 0, 1e6),
		Workers:       int(f.Int(section, "workers", 0, 0, 100_000)),
		MedianRuntime: f.Duration(section, "run", 50*time.Millisecond, 0, time.Minute), RuntimeSigma: f.Float(section, "spread", 0, 0, 3),
		HintSigma: f.Float(section, "hint", -1, -1, 3), KeyKind: f.String(section, "key", KeyNone),
		ResubmitShare: f.Float(section, "resubmit", 0, 0, 1), CancelShare: f.Float(section, "cancel", 0, 0, 1),
		Timeout:    f.Duration(section, "limit", 0, 0, time.Hour),
		BurstSize:  int(f.Int(section, "burst", 0, 0, 100_000)),
		Repeatable: f.Bool(section, "repeatable", false),
	}
	flow.MinTasks, flow.MaxTasks = readTasks(f, section)
	switch flow.KeyKind {
	case KeyNone, KeyOrigin, KeyChosen:
	default:
		f.Fail(section, "key", "must be none, origin or chosen")
	}
	if flow.Rate == 0 && flow.Workers == 0 && flow.BurstSize == 0 {
		f.Fail(section, "rate", "rate, workers or burst is required")
	}
	if flow.Job && flow.KeyKind == KeyNone {
		f.Fail(section, "key", "a job needs an origin or chosen key")
	}
	return flow
}

// readTasks reads a number of tasks or a range such as 10-40 and returns its bounds.
func readTasks(f *inifile.File, section string) (int, int) {
	text := f.String(section, "tasks", "1")
	low, high, ranged := strings.Cut(text, "-")
	if !ranged {
		high = low
	}
	minTasks, lowErr := strconv.Atoi(low)
	maxTasks, highErr := strconv.Atoi(high)
	if lowErr != nil || highErr != nil || minTasks < 1 || maxTasks < minTasks || maxTasks > 100_000 {
		f.Fail(section, "tasks", "must be a number of tasks or a range such as 10-40")
		return 1, 1
	}
	return minTasks, maxTasks
}
