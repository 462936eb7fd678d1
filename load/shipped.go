package load

import (
	"embed"
	"fmt"
)

//go:embed scenarios/*.ini
var scenarios embed.FS

// NameError is a scenario name that does not ship.
type NameError struct{ Name string }

// Error gives the name.
func (e *NameError) Error() string {
	return fmt.Sprintf("no scenario %q ships with the program", e.Name)
}

// Shipped gives the text of a scenario that ships with the program.
func Shipped(name string) ([]byte, error) {
	data, err := scenarios.ReadFile("scenarios/" + name + ".ini")
	if err != nil {
		return nil, &NameError{Name: name}
	}
	return data, nil
}
