package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"reflect"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/radishgate/radishgate/internal/mutate"
)

// TestParse compares the results and errors for the texts in testdata/parse. An
// error must name line, section and key.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		b, err := Parse("test.ini", 1, d.Input)
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("services %d upstreams %d zones %v tenants %d\n", len(b.Services), len(b.Upstreams), b.Zones(), len(b.Tenants))
	})
}

// randomText draws a text of up to six tenant sections.
func randomText(t *rapid.T, label string) string {
	var sections []Section
	for i := range rapid.IntRange(0, 6).Draw(t, label) {
		if rapid.Bool().Draw(t, "there") {
			weight := rapid.IntRange(1, 9).Draw(t, "weight")
			sections = append(sections, Section{Name: fmt.Sprintf("tenant t%d", i), Lines: []string{fmt.Sprintf("weight = %d", weight)}})
		}
	}
	return JoinSections(sections)
}

// sectionMap returns the lines of each section by name, without the order of
// sections.
func sectionMap(text string) map[string]string {
	m := map[string]string{}
	for _, s := range SplitSections(text) {
		m[s.Name] = fmt.Sprint(s.Lines)
	}
	return m
}

// Applying the difference of two texts to the first must yield the sections of the
// second; otherwise a published change would differ from the operator's file.
func TestApplyReversesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := randomText(t, "from"), randomText(t, "to")
		got, err := Apply(from, Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(sectionMap(got)) != fmt.Sprint(sectionMap(to)) {
			t.Fatalf("from\n%s\nto\n%s\ngot\n%s", from, to, got)
		}
	})
}

// ApplyChange parses only the changed sections. It must accept the same changes
// and yield the same bundle as parsing the complete text.
func TestApplyChangeEqualsParsingTheWholeText(t *testing.T) {
	section := rapid.SampledFrom([]Section{
		{"rules", []string{"spill = false"}},
		{"rules", []string{dropLine}},
		{"tenant t1", []string{"weight = 3"}},
		{"tenant t1", []string{dropLine}},
		{"tenant t0", []string{dropLine}},
		{"class c", []string{"weight = 2"}},
		{"service s", []string{"path = /other"}},
		{"service s", []string{dropLine}},
		{"service s2", []string{"path = /s2"}},
		{"upstream u", []string{"zone = z", "address = 127.0.0.1:1"}},
		{"upstream v", []string{"zone = y", "address = 127.0.0.1:1"}},
		{"upstream v", []string{"zone = y", "address = 127.0.0.1:2"}},
		{"upstream u", []string{dropLine}},
		{"server x", []string{"a = b"}},
	})
	rapid.Check(t, func(t *rapid.T) {
		b, err := Parse("whole", 1, "[tenant t0]\n[service s]\npath = /s\n")
		if err != nil {
			t.Fatal(err)
		}
		for version := range int64(rapid.IntRange(1, 8).Draw(t, "changes")) {
			change := JoinSections([]Section{section.Draw(t, "section")})
			whole, err := Apply(b.Text(), change)
			if err != nil {
				t.Fatal(err)
			}
			want, wantErr := Parse("whole", version+2, whole)
			got, gotErr := b.ApplyChange("change", version+2, change)
			if (wantErr == nil) != (gotErr == nil) {
				t.Fatalf("whole: %v, change: %v\n%s", wantErr, gotErr, change)
			}
			if wantErr != nil {
				continue
			}
			if got.Text() != want.Text() || got.Rules != want.Rules || !reflect.DeepEqual(got.Upstreams, want.Upstreams) ||
				!reflect.DeepEqual(got.Services, want.Services) || !reflect.DeepEqual(got.Tenants, want.Tenants) || !reflect.DeepEqual(got.Classes, want.Classes) {
				t.Fatalf("after\n%s\ngot\n%s\nwant\n%s", change, got.Text(), want.Text())
			}
			b = got
		}
	})
}

// One field of a signed record is altered, or its signer is not trusted. An
// unsigned field could be changed by anyone with access to the log.
func TestVerifyRejectsAlteredRecord(t *testing.T) {
	public, private, _ := ed25519.GenerateKey(rand.Reader)
	signer := base64.StdEncoding.EncodeToString(public)
	good := Record{Version: 2, Parent: "p", Text: "[rules]"}
	good.Sign(private)
	if err := good.Verify([]string{signer}); err != nil {
		t.Fatal(err)
	}
	changes := []struct {
		name   string
		change func(*Record)
	}{
		{"version", func(r *Record) { r.Version = 3 }},
		{"parent", func(r *Record) { r.Parent = "q" }},
		{"text", func(r *Record) { r.Text = "[rules]\n" }},
		{"form", func(r *Record) { r.IsChange = true }},
		{"id", func(r *Record) { r.ID = "x" }},
		{"signature", func(r *Record) { r.Signature = base64.StdEncoding.EncodeToString(make([]byte, 64)) }},
		{"signer", func(r *Record) { r.Signer = "somebody" }},
	}
	for _, c := range changes {
		changed := good
		c.change(&changed)
		if changed.Verify([]string{signer}) == nil {
			t.Errorf("record with an altered %s was accepted", c.name)
		}
	}
	if good.Verify([]string{"other"}) == nil {
		t.Error("record of an untrusted signer was accepted")
	}
}

// FuzzParse guards against texts and changes that crash the parser.
func FuzzParse(f *testing.F) {
	const whole, change = "[tenant a]\nweight = 1\n[service s]\npath = /s\n", "[tenant a]\ndrop = true\n"
	f.Add(whole, change)
	for _, text := range mutate.Variants(whole, 1000) {
		f.Add(text, change)
	}
	for _, text := range mutate.Variants(change, 500) {
		f.Add(whole, text)
	}
	f.Fuzz(func(_ *testing.T, text, change string) {
		if _, err := Parse("fuzz", 1, text); err != nil {
			return
		}
		if whole, err := Apply(text, change); err == nil {
			_, _ = Parse("fuzz", 2, whole)
		}
	})
}
