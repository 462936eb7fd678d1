package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/radishgate/radishgate/internal/mutate"
)

// TestParse compares the results and errors for the files in testdata/parse. An
// error must name file, line, section and key.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		text := d.Input
		if d.HasArg("base") {
			text = appendToDefaults(t, d.Input)
		}
		s, err := Parse("test.ini", []byte(text))
		if err != nil {
			return err.Error() + "\n"
		}
		return "vm " + s.VM + " zone " + s.Zone + " drain " + s.DrainTimeout.String() + "\n"
	})
}

// appendToDefaults returns the default file with more lines at its end.
func appendToDefaults(t *testing.T, more string) string {
	t.Helper()
	return DefaultFile() + more + "\n"
}

// The default file shows a value that differs from the default in the code, or a
// setting that the parser does not know.
func TestDefaultFileIsValidAndComplete(t *testing.T) {
	if _, err := Parse("print", []byte(DefaultFile())); err != nil {
		t.Fatal(err)
	}
	// Uncomment every setting that shows a default.
	var lines []string
	for line := range strings.SplitSeq(DefaultFile(), "\n") {
		key, value, ok := strings.Cut(strings.TrimPrefix(line, "# "), " = ")
		if ok && strings.HasPrefix(line, "# ") && !strings.Contains(key, " ") && value != "" {
			line = key + " = " + value
		}
		lines = append(lines, line)
	}
	uncommented, err := Parse("print", []byte(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	defaults, _ := Parse("print", []byte(DefaultFile()))
	uncommented.Weight, defaults.Weight = 0, 0 // its default depends on the number of processors
	if uncommented.DrainTimeout != defaults.DrainTimeout || uncommented.MaxKeys != defaults.MaxKeys || uncommented.LoanDuration != defaults.LoanDuration || uncommented.MaxBodyBytes != defaults.MaxBodyBytes ||
		uncommented.AnswerCacheBytes != defaults.AnswerCacheBytes || uncommented.KeyRetention != defaults.KeyRetention || uncommented.VMListInterval != defaults.VMListInterval || uncommented.HeartbeatInterval != defaults.HeartbeatInterval {
		t.Fatalf("printed defaults differ:\n%+v\n%+v", uncommented, defaults)
	}
}

// FuzzParse guards against settings that crash the parser.
func FuzzParse(f *testing.F) {
	f.Add(DefaultFile())
	f.Add("[entry]\nvm = \n[x]")
	for _, text := range mutate.Variants(DefaultFile(), 1000) {
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Parse("fuzz", []byte(text))
	})
}

// TestDefaultsFollowMemory guards against keys and answers that take more memory than a small VM has, and against fewer keys
// than docs/CAPACITY.md plans for an entry of 128 MB.
func TestDefaultsFollowMemory(t *testing.T) {
	for _, c := range []struct {
		memory           int64 // MB
		minKeys, maxKeys int
		wantAnswers      int64
	}{{96, 10_000, 30_000, 12 << 20}, {128, 26_250, 40_000, 16 << 20}, {284, 26_250, 90_000, 284 << 20 / 8}, {4096, 200_000, 200_000, 64 << 20}} {
		s, err := Parse("test", fmt.Appendf(nil, "[entry]\nvm = a\nzone = z\nlisten = 127.0.0.1:1\npeers = 127.0.0.1:2\noperators = 127.0.0.1:3\nmemory = %d\n[platform]\naddress = 127.0.0.1:4\n[keys]\nsigners = x\n", c.memory))
		if err != nil {
			t.Fatal(err)
		}
		if s.MaxKeys < c.minKeys || s.MaxKeys > c.maxKeys || s.AnswerCacheBytes != c.wantAnswers {
			t.Errorf("with %d MB: %d keys and %d bytes of answers; want %d to %d and %d", c.memory, s.MaxKeys, s.AnswerCacheBytes, c.minKeys, c.maxKeys, c.wantAnswers)
		}
	}
}
