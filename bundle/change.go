package bundle

import (
	"strings"

	"github.com/radishgate/radishgate/common/inifile"
)

// dropLine, as the only line of a section in a change, removes the section.
const (
	dropKey  = "drop"
	dropLine = dropKey + " = true"
)

// Section is one section of a bundle's text, without comments and empty lines.
type Section struct {
	Name  string
	Lines []string
}

// SplitSections splits a bundle's text into its sections. The text must be valid
// for inifile.Parse.
func SplitSections(text string) []Section {
	var sections []Section
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			name := strings.TrimSpace(strings.Trim(line, "[]"))
			sections = append(sections, Section{Name: name})
			continue
		}
		last := len(sections) - 1
		sections[last].Lines = append(sections[last].Lines, line)
	}
	return sections
}

// JoinSections returns the text of the sections; SplitSections reverses it.
func JoinSections(sections []Section) string {
	var text strings.Builder
	for _, s := range sections {
		text.WriteString("[" + s.Name + "]\n")
		for _, line := range s.Lines {
			text.WriteString(line + "\n")
		}
		text.WriteString("\n")
	}
	return text.String()
}

// Apply returns a complete text with a change applied: sections of the change
// replace those of the same name, new ones are appended, and a section whose only
// line is "drop = true" is removed. The result is the same on every entry.
func Apply(base, change string) (string, error) {
	if _, err := inifile.Parse("change", []byte(change)); err != nil {
		return "", err
	}
	changed := map[string]Section{}
	ordered := SplitSections(change)
	for _, s := range ordered {
		changed[s.Name] = s
	}
	var result []Section
	for _, s := range SplitSections(base) {
		if c, ok := changed[s.Name]; ok {
			delete(changed, s.Name)
			s = c
		}
		if !isDeletion(s) {
			result = append(result, s)
		}
	}
	for _, s := range ordered {
		if _, added := changed[s.Name]; added && !isDeletion(s) {
			result = append(result, s)
		}
	}
	return JoinSections(result), nil
}

// isDeletion reports whether a section of a change removes the section.
func isDeletion(s Section) bool { return len(s.Lines) == 1 && s.Lines[0] == dropLine }

// Diff returns the change that turns the sections of one text into those of
// another when given to Apply.
func Diff(from, to string) string {
	old := map[string]string{}
	for _, s := range SplitSections(from) {
		old[s.Name] = strings.Join(s.Lines, "\n")
	}
	var change []Section
	for _, s := range SplitSections(to) {
		if lines, ok := old[s.Name]; !ok || lines != strings.Join(s.Lines, "\n") {
			change = append(change, s)
		}
		delete(old, s.Name)
	}
	for _, name := range sortedKeys(old) {
		change = append(change, Section{Name: name, Lines: []string{dropLine}})
	}
	return JoinSections(change)
}
