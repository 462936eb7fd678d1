package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/radishgate/radishgate/internal/mutate"
)

// TestParse runs testdata/parse: an error names file, line, section and key.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		text := d.Input
		if d.HasArg("base") {
			text = base(t, d.Input)
		}
		s, err := Parse("test.ini", []byte(text))
		if err != nil {
			return err.Error() + "\n"
		}
		return "vm " + s.VM + " zone " + s.Zone + " drain " + s.Drain.String() + "\n"
	})
}

// base puts lines behind the printed example, whose signer is replaced.
func base(t *testing.T, more string) string {
	t.Helper()
	return Print() + more + "\n"
}

func TestPrintIsValidAndComplete(t *testing.T) {
	if _, err := Parse("print", []byte(Print())); err != nil {
		t.Fatal(err)
	}
	// Every commented default can be switched on and is the default.
	var lines []string
	for line := range strings.SplitSeq(Print(), "\n") {
		key, value, ok := strings.Cut(strings.TrimPrefix(line, "# "), " = ")
		if ok && strings.HasPrefix(line, "# ") && !strings.Contains(key, " ") && value != "" {
			line = key + " = " + value
		}
		lines = append(lines, line)
	}
	given, err := Parse("print", []byte(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	plain, _ := Parse("print", []byte(Print()))
	given.Weight, plain.Weight = 0, 0 // follows the machine
	if given.Drain != plain.Drain || given.Keys != plain.Keys || given.Loan != plain.Loan || given.Body != plain.Body ||
		given.Answers != plain.Answers || given.Window != plain.Window || given.Poll != plain.Poll || given.Beat != plain.Beat {
		t.Fatalf("printed defaults differ:\n%+v\n%+v", given, plain)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Print())
	f.Add("[entry]\nvm = \n[x]")
	for _, text := range mutate.Variants(Print(), 1000) {
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse("fuzz", []byte(text))
	})
}
