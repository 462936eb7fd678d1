package load

import (
	"embed"
	"fmt"
)

//go:embed scenarios/*.ini
var scenarios embed.FS

// UnknownScenarioError reports a name that no built-in scenario has.
type UnknownScenarioError struct{ Name string }

// Error implements error; it names the scenario.
func (e *UnknownScenarioError) Error() string {
	return fmt.Sprintf("no built-in scenario is named %q", e.Name)
}

// BuiltinScenario returns the text of a scenario embedded in the program.
func BuiltinScenario(name string) ([]byte, error) {
	data, err := scenarios.ReadFile("scenarios/" + name + ".ini")
	if err != nil {
		return nil, &UnknownScenarioError{Name: name}
	}
	return data, nil
}
