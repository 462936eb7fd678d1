package commands

import (
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var olderBinary = flag.String("older", "", "binary of an earlier build, for TestMixedBuilds")

// incarnationSuffix matches the random number of a process start in an owner's name.
var incarnationSuffix = regexp.MustCompile(`~[0-9a-f]+`)

// TestMixedBuilds guards against a build that cannot replace an earlier one, or be
// replaced by it, while the fleet runs, because one does not read the messages, stored
// records or settings that the other writes. It replaces the entries of one build by the
// other, one at a time. After each step all entries must answer requests, and must answer
// alike for a key stored in the log and for a key that they forward.
func TestMixedBuilds(t *testing.T) {
	if *olderBinary == "" {
		t.Skip("-older names no earlier build")
	}
	newer := build(t).path
	tests := []struct {
		name          string
		before, after string
	}{
		{"older alone", *olderBinary, *olderBinary},
		{"older then newer", *olderBinary, newer},
		{"newer then older", newer, *olderBinary},
	}
	var expected []string // answers for the stored key when all entries run the older build
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFleet(t, test.before)
			settings := program{t: t, path: test.after, dir: f.dir}
			for i := range f.entries {
				if out, code := settings.call("", "settings", "check", fmt.Sprintf("entry-%d.ini", i)); code != exitOK {
					t.Fatalf("settings check by the replacing build: exit code %d, want 0: %s", code, out)
				}
			}
			answers := []string{f.callAll("first build")}
			for i := range f.entries {
				f.replace(i, test.after)
				answers = append(answers, f.callAll(fmt.Sprintf("%d replaced", i+1)))
			}
			if expected == nil {
				expected = answers
			}
			if !slices.Equal(answers, expected) {
				t.Errorf("answers for the stored key: %q, want those of the older build alone: %q", answers, expected)
			}
			f.path = test.after
			if out, code := f.call("", "bundle", "status", "--operators", f.operatorAddresses[0], "--operators", f.operatorAddresses[2], "--json"); code != exitOK || !strings.Contains(out, `"z2":2`) {
				t.Errorf("bundle status: exit code %d, want 0 and version 2 in zone z2: %s", code, out)
			}
			checkStarts(t, f.upstreamAddresses)
		})
	}
}

// replace stops an entry and starts the given build in its place.
func (f *processFleet) replace(index int, binary string) {
	f.t.Helper()
	f.stop(index)
	f.path = binary
	f.entries[index] = f.start("serve", "--settings", fmt.Sprintf("entry-%d.ini", index))
	f.awaitMembers()
}

// callAll sends a request and two jobs through every entry. One job has a key chosen by
// the caller, which is stored in the log. The other has a key issued by the first entry,
// to which the other entries forward it. callAll returns the answer for the stored key,
// without the incarnation of the entry.
func (f *processFleet) callAll(step string) string {
	f.t.Helper()
	job := `{"service":"hold","tasks":[{"body":{"run":"50ms"}},{"body":{"run":"50ms"}}]}`
	var answers []string
	for _, entry := range f.callerAddresses {
		if out, code := f.call(`{"run":"5ms","tag":"x"}`, "request", "recall", "--entry", entry, "--tenant", "shop"); code != exitOK || !strings.Contains(out, `"tag":"x"`) {
			f.t.Errorf("%s: request through %s: exit code %d, want 0 and the tag x in the answer: %s", step, entry, code, out)
		}
		out, code := f.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", "my-job", "--json")
		answers = append(answers, fmt.Sprintf("%d %s", code, out))
	}
	for _, answer := range answers[1:] {
		if answer != answers[0] {
			f.t.Errorf("%s: answers of the entries for one key differ, want all alike: %q", step, answers)
		}
	}
	out, code := f.call(job, "job", "submit", "-", "--entry", f.callerAddresses[0], "--tenant", "shop", "--json")
	_, key, _ := strings.Cut(out, "key: ")
	key, _, _ = strings.Cut(key, "\n")
	if code != exitOK || key == "" {
		f.t.Fatalf("%s: job without a key: exit code %d, want 0 and an issued key: %s", step, code, out)
	}
	for _, entry := range f.callerAddresses[1:] {
		if out, code := f.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", key, "--json"); code != exitOK || !strings.Contains(out, `"state":"complete"`) {
			f.t.Errorf("%s: forwarded job through %s: exit code %d, want 0 and state complete: %s", step, entry, code, out)
		}
	}
	return incarnationSuffix.ReplaceAllString(answers[0], "")
}
