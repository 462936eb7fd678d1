// Package page writes the measured part of a documentation page anew.
package page

import (
	"os"
	"strings"
)

// end closes the measured part.
const endMark = "<!-- end measured -->"

// BeginMark is the mark that opens the part which a command writes.
func BeginMark(command string) string { return "<!-- begin measured: written by " + command + " -->" }

// MissingMarkError is a page without the marks of a command's part.
type MissingMarkError struct{ File, Mark string }

// Error names the file and the mark.
func (e *MissingMarkError) Error() string {
	return e.File + ": the measured part is missing: " + e.Mark + " … " + endMark
}

// Update replaces what stands between the marks of a command by text. It gives
// a *MarkError for a page without them, else the file's error.
func Update(name, command, text string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	mark := BeginMark(command)
	before, rest, ok := strings.Cut(string(data), mark)
	_, after, closed := strings.Cut(rest, endMark)
	if !ok || !closed {
		return &MissingMarkError{File: name, Mark: mark}
	}
	return os.WriteFile(name, []byte(before+mark+"\n\n"+text+"\n"+endMark+after), 0o644)
}
