package origin

import (
	"testing"

	"github.com/radishgate/radishgate/internal/mutate"
)

// FuzzParse guards against two spellings of one key: a key that parses must format to
// the same text.
func FuzzParse(f *testing.F) {
	const key = "o1~zone-a~vm-1~00000000000000ff~7.mine.too"
	f.Add(key)
	for _, text := range mutate.Variants(key, 2000) {
		f.Add(text)
	}
	f.Add("o1~~.x")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := Parse(text)
		if err != nil {
			return
		}
		if key.String() != text {
			t.Fatalf("%q formats as %q after parsing", text, key.String())
		}
	})
}

// TestParseRejectsMalformedTokens guards against accepting keys that no entry issues,
// such as numbers in another spelling or keys with a missing part.
func TestParseRejectsMalformedTokens(t *testing.T) {
	for _, text := range []string{
		"", "x", "o1~z~v~00000000000000ff~7", "o1~z~v~00000000000000ff~7.", "o1~z~v~ff~7.a", "o1~z~v~00000000000000ff~-7.a",
		"o1~z~v~00000000000000ff~07.a", "o1~~v~00000000000000ff~7.a", "o2~z~v~00000000000000ff~7.a", "o1~z~v~00000000000000FF~7.a", "o1~z~v~x~00000000000000ff~7.a",
	} {
		if _, err := Parse(text); err == nil {
			t.Errorf("Parse accepts %q", text)
		}
	}
}
