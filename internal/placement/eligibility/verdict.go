// Package eligibility decides whether a worker may get a task now.
package eligibility

// State says whether the holder of a worker can use it.
type State int

// States of a worker.
const (
	Fencing      State = iota // has not yet accepted the fencing token of its holder
	Ready                     // answers and has accepted the fencing token
	Unresponsive              // does not answer
)

// Worker states what is known of a worker. The zero value is a worker that has just been added.
type Worker struct {
	State              State
	Refusing           bool // it refuses connections
	EvacuationsUnknown bool // the evacuated zones are not known
	Evacuated          bool // its availability zone is evacuated
	Draining           bool
	Unregistered       bool // it has started again and not registered since
	RunsUnknown        bool // the resources that its runs use are not known
	Ejected            bool
	ColdShare          float64 // share of its capacity that may be in use while it is cold; 0 if it is warm
	UsedShare          float64 // share of its capacity that would be in use with one more task; 0 if it has none
}

// Verdict says whether a worker may get a task, and otherwise why not. The words are labels of a metric
// and appear in logs.
type Verdict string

// Verdicts on a worker.
const (
	Eligible     Verdict = "eligible"
	Unknown      Verdict = "unknown" // the evacuated zones are not known
	Evacuated    Verdict = "evacuated"
	Refusing     Verdict = "refusing"
	Silent       Verdict = "silent"
	Unfenced     Verdict = "fencing"
	Draining     Verdict = "draining"
	Unregistered Verdict = "unregistered"
	Unlisted     Verdict = "unlisted" // it may have runs whose resources are not known
	Ejected      Verdict = "ejected"
	Cold         Verdict = "cold" // and as much of its capacity is in use as may be
)

// Judge returns the verdict on a worker. If several reasons keep it from getting a task, the operators'
// come first, then those that last longest.
func Judge(w Worker) Verdict {
	switch {
	case w.EvacuationsUnknown:
		return Unknown
	case w.Evacuated:
		return Evacuated
	case w.Refusing:
		return Refusing
	case w.State == Unresponsive:
		return Silent
	case w.State == Fencing:
		return Unfenced
	case w.Draining:
		return Draining
	case w.Unregistered:
		return Unregistered
	case w.RunsUnknown:
		return Unlisted
	case w.Ejected:
		return Ejected
	case w.ColdShare > 0 && w.UsedShare > w.ColdShare:
		return Cold
	}
	return Eligible
}
