// Package inifile reads INI files strictly: duplicate, unknown and invalid keys
// are errors that name file, line, section and key.
package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Error is a mistake in an INI file, with its position. Line is 0 if neither the
// key nor its section is in the file.
type Error struct {
	File    string
	Line    int
	Section string
	Key     string
	Reason  string
}

// Error implements error; it names file, line, section and key.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: [%s] %s: %s", place, e.Section, e.Key, e.Reason)
	}
	if e.Section != "" {
		return fmt.Sprintf("%s: [%s]: %s", place, e.Section, e.Reason)
	}
	return fmt.Sprintf("%s: %s", place, e.Reason)
}

// File is a parsed INI file. Its methods record the first mistake instead of
// returning it, so that callers read all keys and then check Err once.
type File struct {
	name       string
	file       *ini.File
	sections   []string
	lines      map[string]int  // line numbers, by lineKey
	used       map[string]bool // keys and sections that were asked for, by lineKey
	firstError *Error
}

// Parse parses data; name is used only in errors. Duplicate sections, and
// duplicate keys in a section, are errors.
func Parse(name string, data []byte) (*File, error) {
	f := &File{name: name, lines: map[string]int{}, used: map[string]bool{}}
	if err := f.scan(string(data)); err != nil {
		return nil, err
	}
	options := ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "=", SkipUnrecognizableLines: false}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, &Error{File: name, Reason: err.Error()}
	}
	f.file = file
	return f, nil
}

// lineKey returns the map key for a key of a section, or for the section itself if
// key is empty.
func lineKey(section, key string) string { return section + "\x00" + key }

// scan records the line of each section and key, which the INI library does not
// report, and rejects duplicates.
func (f *File) scan(text string) error {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if err := f.scanLine(line, i+1, &section); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) scanLine(line string, number int, section *string) error {
	if line[0] == '[' {
		name, ok := strings.CutSuffix(line[1:], "]")
		name = strings.TrimSpace(name)
		if !ok || name == "" {
			return &Error{File: f.name, Line: number, Reason: "section line lacks its closing bracket or its name"}
		}
		if _, seen := f.lines[lineKey(name, "")]; seen {
			return &Error{File: f.name, Line: number, Section: name, Reason: "section stands twice"}
		}
		f.lines[lineKey(name, "")] = number
		f.sections = append(f.sections, name)
		*section = name
		return nil
	}
	key, _, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !ok || key == "" {
		return &Error{File: f.name, Line: number, Section: *section, Reason: "line is neither a section nor key = value"}
	}
	if *section == "" {
		return &Error{File: f.name, Line: number, Key: key, Reason: "key stands before the first section"}
	}
	if _, seen := f.lines[lineKey(*section, key)]; seen {
		return &Error{File: f.name, Line: number, Section: *section, Key: key, Reason: "key stands twice"}
	}
	f.lines[lineKey(*section, key)] = number
	return nil
}

// Sections returns the names of the sections in file order.
func (f *File) Sections() []string { return f.sections }

// Has reports whether the file contains the key.
func (f *File) Has(section, key string) bool {
	_, ok := f.lines[lineKey(section, key)]
	return ok
}

// HasOnly reports whether a section contains only this key with this value. If so,
// the key counts as read.
func (f *File) HasOnly(section, key, value string) bool {
	keys := f.file.Section(section).KeyStrings()
	if len(keys) != 1 || keys[0] != key || f.file.Section(section).Key(key).Value() != value {
		return false
	}
	f.used[lineKey(section, key)] = true
	f.MarkKnown(section)
	return true
}

// Fail records a mistake at a key, or at the section if key is empty. Only the
// first mistake is kept.
func (f *File) Fail(section, key, reason string) {
	if f.firstError != nil {
		return
	}
	line := f.lines[lineKey(section, key)]
	if line == 0 {
		line = f.lines[lineKey(section, "")]
	}
	f.firstError = &Error{File: f.name, Line: line, Section: section, Key: key, Reason: reason}
}

// String returns the value of a key, or fallback if the key is missing.
func (f *File) String(section, key, fallback string) string {
	f.used[lineKey(section, key)] = true
	f.MarkKnown(section)
	if !f.Has(section, key) {
		return fallback
	}
	return strings.TrimSpace(f.file.Section(section).Key(key).Value())
}

// RequiredString returns the value of a key; a missing or empty value is a mistake.
func (f *File) RequiredString(section, key string) string {
	text := f.String(section, key, "")
	if text == "" {
		f.Fail(section, key, "is required")
	}
	return text
}

// Int returns a whole number from low to high, or fallback if the key is missing.
func (f *File) Int(section, key string, fallback, low, high int64) int64 {
	text := f.String(section, key, "")
	if text == "" && !f.Has(section, key) {
		return fallback
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < low || number > high {
		f.Fail(section, key, fmt.Sprintf("%q is not a whole number from %d to %d", text, low, high))
		return fallback
	}
	return number
}

// Float returns a number from low to high, or fallback if the key is missing.
func (f *File) Float(section, key string, fallback, low, high float64) float64 {
	text := f.String(section, key, "")
	if text == "" && !f.Has(section, key) {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= low && number <= high) {
		f.Fail(section, key, fmt.Sprintf("%q is not a number from %g to %g", text, low, high))
		return fallback
	}
	return number
}

// Bool returns true or false, or fallback if the key is missing.
func (f *File) Bool(section, key string, fallback bool) bool {
	text := f.String(section, key, strconv.FormatBool(fallback))
	switch text {
	case "true":
		return true
	case "false":
		return false
	}
	f.Fail(section, key, fmt.Sprintf("%q is neither true nor false", text))
	return fallback
}

// Duration returns a duration such as 250ms, from low to high, or fallback if the
// key is missing.
func (f *File) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	text := f.String(section, key, "")
	if text == "" && !f.Has(section, key) {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < low || duration > high {
		f.Fail(section, key, fmt.Sprintf("%q is not a length of time from %s to %s", text, low, high))
		return fallback
	}
	return duration
}

// List returns the words of a value, which are separated by commas. Empty words
// are omitted.
func (f *File) List(section, key string) []string {
	var words []string
	for word := range strings.SplitSeq(f.String(section, key, ""), ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}

// Err returns the first mistake. Keys and sections that were never read are
// mistakes too; otherwise a misspelt key would silently leave its default.
func (f *File) Err() error {
	if f.firstError != nil {
		return f.firstError
	}
	for _, section := range f.sections {
		if err := f.checkAllRead(section); err != nil {
			return err
		}
	}
	return nil
}

// checkAllRead returns an error for the first key of the section that was not read,
// or for the section if it is not known.
func (f *File) checkAllRead(section string) error {
	known := f.used[lineKey(section, "")]
	for _, key := range f.file.Section(section).KeyStrings() {
		if f.used[lineKey(section, key)] {
			known = true
			continue
		}
		return &Error{File: f.name, Line: f.lines[lineKey(section, key)], Section: section, Key: key, Reason: "unknown key"}
	}
	if known {
		return nil
	}
	return &Error{File: f.name, Line: f.lines[lineKey(section, "")], Section: section, Reason: "unknown section"}
}

// MarkKnown marks a section as known, even if it contains no keys.
func (f *File) MarkKnown(section string) { f.used[lineKey(section, "")] = true }
