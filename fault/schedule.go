// Package fault injects faults into a fleet of stand-ins. A schedule of faults has a text
// form, so that a run can be repeated.
package fault

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Fault is one fault of a schedule. Begin and End are relative to the start of the run.
// Place selects the affected entry, upstream or zone by index, modulo their number.
type Fault struct {
	Kind  string
	Place int
	Begin time.Duration
	End   time.Duration
}

// String returns the fault in the form that Parse reads.
func (f Fault) String() string {
	return fmt.Sprintf("%s/%d@%s-%s", f.Kind, f.Place, f.Begin, f.End)
}

// Schedule holds the faults of one run in any order.
type Schedule []Fault

// String returns the schedule in the form that Parse reads.
func (s Schedule) String() string {
	words := make([]string, len(s))
	for i, f := range s {
		words[i] = f.String()
	}
	return strings.Join(words, " ")
}

// SyntaxError reports a word of a schedule that is not a valid fault.
type SyntaxError struct{ Word string }

// Error implements error; it names the word and the expected form.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("fault %q must have the form KIND/PLACE@BEGIN-END, such as kill/0@2s-4s, where KIND is one of %s", e.Word, strings.Join(Kinds(), ", "))
}

// Kinds returns the names of all kinds of faults.
func Kinds() []string {
	var names []string
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// Describe returns a short description of a kind, which must exist.
func Describe(name string) string { return findKind(name).description }

// findKind returns the kind of a name, or nil if it does not exist.
func findKind(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// Parse parses a schedule: words of the form KIND/PLACE@BEGIN-END, separated by white
// space. It returns a *SyntaxError for the first invalid word.
func Parse(text string) (Schedule, error) {
	var schedule Schedule
	for _, word := range strings.Fields(text) {
		f, ok := parseFault(word)
		if !ok {
			return nil, &SyntaxError{Word: word}
		}
		schedule = append(schedule, f)
	}
	return schedule, nil
}

// parseFault parses one word and reports whether it is valid.
func parseFault(word string) (Fault, bool) {
	head, interval, ok := strings.Cut(word, "@")
	if !ok {
		return Fault{}, false
	}
	name, place, ok := strings.Cut(head, "/")
	if !ok || findKind(name) == nil {
		return Fault{}, false
	}
	begin, end, ok := strings.Cut(interval, "-")
	if !ok {
		return Fault{}, false
	}
	f := Fault{Kind: name}
	var err error
	if f.Place, err = strconv.Atoi(place); err != nil || f.Place < 0 {
		return Fault{}, false
	}
	if f.Begin, err = time.ParseDuration(begin); err != nil || f.Begin < 0 {
		return Fault{}, false
	}
	if f.End, err = time.ParseDuration(end); err != nil || f.End < f.Begin {
		return Fault{}, false
	}
	return f, true
}
