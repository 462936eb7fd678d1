package page

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A command updates its generated part. The rest of the page must stay, and a page
// without the marks must be reported instead of overwritten.
func TestUpdateKeepsTheRestOfThePage(t *testing.T) {
	name := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(name, []byte("head\n"+BeginMark("a b")+"\nSTALE\n"+endMark+"\ntail\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Update(name, "a b", "fresh"); err != nil {
		t.Fatal(err)
	}
	data, _ := os.ReadFile(name)
	text := string(data)
	if !strings.HasPrefix(text, "head\n") || !strings.HasSuffix(text, "\ntail\n") || strings.Contains(text, "STALE") || !strings.Contains(text, "fresh") {
		t.Fatal(text)
	}
	var missing *MissingMarkError
	if err := Update(name, "another", "fresh"); !errors.As(err, &missing) {
		t.Fatal(err)
	}
}
