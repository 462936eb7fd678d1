package commands

import (
	"encoding/json"
	"flag"
	"fmt"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
)

var olderBinary = flag.String("older", "", "binary of an earlier build, for TestMixedBuilds")

// incarnationSuffix matches the random number of a process start in an owner's name.
var incarnationSuffix = regexp.MustCompile(`~[0-9a-f]+`)

// mixedFleet is a fleet of three entries, three upstreams and a platform, each in its own
// process. The entries may run different builds.
type mixedFleet struct {
	program
	callerAddresses   []string
	operatorAddresses []string
	upstreamAddresses []string
	entries           []*exec.Cmd
}

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
			m := startMixedFleet(t, test.before)
			settings := program{t: t, path: test.after, dir: m.dir}
			for i := range m.entries {
				if out, code := settings.call("", "settings", "check", fmt.Sprintf("entry-%d.ini", i)); code != exitOK {
					t.Fatalf("settings check by the replacing build: exit code %d, want 0: %s", code, out)
				}
			}
			answers := []string{m.callAll("first build")}
			for i := range m.entries {
				m.replace(i, test.after)
				answers = append(answers, m.callAll(fmt.Sprintf("%d replaced", i+1)))
			}
			if expected == nil {
				expected = answers
			}
			if !slices.Equal(answers, expected) {
				t.Errorf("answers for the stored key: %q, want those of the older build alone: %q", answers, expected)
			}
			m.path = test.after
			if out, code := m.call("", "bundle", "status", "--operators", m.operatorAddresses[0], "--operators", m.operatorAddresses[2], "--json"); code != exitOK || !strings.Contains(out, `"z2":2`) {
				t.Errorf("bundle status: exit code %d, want 0 and version 2 in zone z2: %s", code, out)
			}
			checkStarts(t, m.upstreamAddresses)
		})
	}
}

func startMixedFleet(t *testing.T, binary string) *mixedFleet {
	addresses := freeAddresses(t, 13)
	m := &mixedFleet{
		program:         program{t: t, path: binary, dir: t.TempDir()},
		callerAddresses: addresses[1:4], operatorAddresses: addresses[4:7], upstreamAddresses: addresses[10:13],
	}
	out, code := m.call("", "keys", "new", "operator.key", "--json")
	var key struct {
		Signer string `json:"signer"`
	}
	if err := json.Unmarshal([]byte(out), &key); err != nil || code != exitOK {
		t.Fatalf("keys new: exit code %d, want 0 and a JSON object with the signer: %s", code, out)
	}
	m.start("standin", "platform", "--listen", addresses[0])
	text := "[tenant shop]\n[service hold]\npath = /hold\n[service recall]\npath = /recall\nrepeatable = true\n"
	for i := range 3 {
		m.start("standin", "upstream", "--listen", m.upstreamAddresses[i], "--name", fmt.Sprint("r", i))
		text += fmt.Sprintf("[upstream r%d]\nzone = z%d\naddress = %s\n", i, i, m.upstreamAddresses[i])
		m.write(fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(
			"[entry]\nvm = entry-%d\nzone = z%d\nlisten = %s\npeers = %s\noperators = %s\n[platform]\naddress = %s\n[keys]\nsigners = %s\n[limits]\nbeat = 100ms\nnotice = 200ms\n[logs]\nform = json\n",
			i, i, m.callerAddresses[i], addresses[7+i], m.operatorAddresses[i], addresses[0], key.Signer))
		m.entries = append(m.entries, m.start("serve", "--settings", fmt.Sprintf("entry-%d.ini", i)))
	}
	m.write("bundle.ini", text)
	m.waitUntil("the platform to answer", func() bool { return respondsOK("http://" + addresses[0] + "/v1/vms") })
	publishBundle(m.program, addresses[0], key.Signer, m.operatorAddresses)
	m.awaitMembers()
	return m
}

// awaitMembers waits until each entry is ready and sees all three entries alive.
func (m *mixedFleet) awaitMembers() {
	m.t.Helper()
	for _, operator := range m.operatorAddresses {
		m.waitUntil("an entry to become ready", func() bool { return respondsOK("http://" + operator + "/ready") })
		m.waitUntil("all members to see each other alive", func() bool { return countAlive(operator) == 3 })
	}
}

// replace stops an entry and starts the given build in its place.
func (m *mixedFleet) replace(index int, binary string) {
	m.t.Helper()
	if err := m.entries[index].Process.Signal(syscall.SIGTERM); err != nil {
		m.t.Fatal(err)
	}
	if err := m.entries[index].Wait(); err != nil {
		m.t.Errorf("entry %d did not exit with status 0 after SIGTERM: %v", index, err)
	}
	m.path = binary
	m.entries[index] = m.start("serve", "--settings", fmt.Sprintf("entry-%d.ini", index))
	m.awaitMembers()
}

// callAll sends a request and two jobs through every entry. One job has a key chosen by
// the caller, which is stored in the log. The other has a key issued by the first entry,
// to which the other entries forward it. callAll returns the answer for the stored key,
// without the incarnation of the entry.
func (m *mixedFleet) callAll(step string) string {
	m.t.Helper()
	job := `{"service":"hold","tasks":[{"body":{"run":"50ms"}},{"body":{"run":"50ms"}}]}`
	var answers []string
	for _, entry := range m.callerAddresses {
		if out, code := m.call(`{"run":"5ms","tag":"x"}`, "request", "recall", "--entry", entry, "--tenant", "shop"); code != exitOK || !strings.Contains(out, `"tag":"x"`) {
			m.t.Errorf("%s: request through %s: exit code %d, want 0 and the tag x in the answer: %s", step, entry, code, out)
		}
		out, code := m.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", "my-job", "--json")
		answers = append(answers, fmt.Sprintf("%d %s", code, out))
	}
	for _, answer := range answers[1:] {
		if answer != answers[0] {
			m.t.Errorf("%s: answers of the entries for one key differ, want all alike: %q", step, answers)
		}
	}
	out, code := m.call(job, "job", "submit", "-", "--entry", m.callerAddresses[0], "--tenant", "shop", "--json")
	_, key, _ := strings.Cut(out, "key: ")
	key, _, _ = strings.Cut(key, "\n")
	if code != exitOK || key == "" {
		m.t.Fatalf("%s: job without a key: exit code %d, want 0 and an issued key: %s", step, code, out)
	}
	for _, entry := range m.callerAddresses[1:] {
		if out, code := m.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", key, "--json"); code != exitOK || !strings.Contains(out, `"state":"complete"`) {
			m.t.Errorf("%s: forwarded job through %s: exit code %d, want 0 and state complete: %s", step, entry, code, out)
		}
	}
	return incarnationSuffix.ReplaceAllString(answers[0], "")
}
