package load

import (
	"embed"
	"fmt"
)

//go:embed scenarios/*.ini
var scenarios embed.FS

// UnknownScenarioError is a scenario name that does not ship.
type UnknownScenarioError struct{ Name string }

// Error gives the name.
func (e *UnknownScenarioError) Error() string {
	return fmt.Sprintf("no scenario %q ships with the program", e.Name)
}

// BuiltinScenario gives the text of a scenario that ships with the program.
func BuiltinScenario(name string) ([]byte, error) {
	data, err := scenarios.ReadFile("scenarios/" + name + ".ini")
	if err != nil {
		return nil, &UnknownScenarioError{Name: name}
	}
	return data, nil
}
