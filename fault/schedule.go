// Package fault brings the failures of the field to a fleet of stand-ins, by a schedule that can be written down and run again.
package fault

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Fault is one failure. Begin and End count from the start of the run; Place
// picks the entry, upstream or zone that it concerns, modulo their number.
type Fault struct {
	Kind  string
	Place int
	Begin time.Duration
	End   time.Duration
}

// String writes the fault as Parse reads it.
func (f Fault) String() string {
	return fmt.Sprintf("%s/%d@%s-%s", f.Kind, f.Place, f.Begin, f.End)
}

// Schedule is the faults of one run, in any order.
type Schedule []Fault

// String writes the schedule as Parse reads it.
func (s Schedule) String() string {
	words := make([]string, len(s))
	for i, f := range s {
		words[i] = f.String()
	}
	return strings.Join(words, " ")
}

// SyntaxError is a word of a schedule that names no fault.
type SyntaxError struct{ Word string }

// Error shows the word and the form it should have.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("fault %q: want KIND/PLACE@BEGIN-END, as kill/0@2s-4s, with a KIND of %s", e.Word, strings.Join(Kinds(), ", "))
}

// Kinds lists the names of all kinds of faults.
func Kinds() []string {
	var names []string
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// Describe describes a kind in a few words.
func Describe(name string) string { return findKind(name).description }

func findKind(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// Parse reads a schedule: words of the form KIND/PLACE@BEGIN-END. It gives a
// *SyntaxError for the first word that is none.
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

func parseFault(word string) (Fault, bool) {
	head, span, ok := strings.Cut(word, "@")
	if !ok {
		return Fault{}, false
	}
	name, place, ok := strings.Cut(head, "/")
	if !ok || findKind(name) == nil {
		return Fault{}, false
	}
	first, last, ok := strings.Cut(span, "-")
	if !ok {
		return Fault{}, false
	}
	f := Fault{Kind: name}
	var err error
	if f.Place, err = strconv.Atoi(place); err != nil || f.Place < 0 {
		return Fault{}, false
	}
	if f.Begin, err = time.ParseDuration(first); err != nil || f.Begin < 0 {
		return Fault{}, false
	}
	if f.End, err = time.ParseDuration(last); err != nil || f.End < f.Begin {
		return Fault{}, false
	}
	return f, true
}
