package origin

import (
	"testing"

	"github.com/radishgate/radishgate/internal/mutate"
)

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
			t.Fatalf("%q comes back as %q", text, key.String())
		}
	})
}

func TestParseRefusesWhatNoEntryGaveOut(t *testing.T) {
	for _, text := range []string{
		"", "x", "o1~z~v~00000000000000ff~7", "o1~z~v~00000000000000ff~7.", "o1~z~v~ff~7.a", "o1~z~v~00000000000000ff~-7.a",
		"o1~z~v~00000000000000ff~07.a", "o1~~v~00000000000000ff~7.a", "o2~z~v~00000000000000ff~7.a", "o1~z~v~00000000000000FF~7.a", "o1~z~v~x~00000000000000ff~7.a",
	} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%q passes", text)
		}
	}
}
