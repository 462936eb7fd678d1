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

var older = flag.String("older", "", "binary of an earlier build, for TestMixedBuilds")

// incarnation is the random number of a process's start in an owner's name.
var incarnation = regexp.MustCompile(`~[0-9a-f]+`)

// mixedFleet is three entries of two builds with a platform and upstreams as
// processes of their own.
type mixedFleet struct {
	program
	callers   []string
	operators []string
	runners   []string
	entries   []*exec.Cmd
}

// TestMixedBuilds guards rolling replacements between builds: names of messages,
// stored records or settings that one build writes and the other does not read.
// Entries of one build are replaced by the other one after the other; at each
// step both answer requests, the same stored key and a forwarded key alike.
func TestMixedBuilds(t *testing.T) {
	if *older == "" {
		t.Skip("-older names no earlier build")
	}
	newer := build(t).path
	tests := []struct {
		name          string
		before, after string
	}{
		{"older alone", *older, *older},
		{"older then newer", *older, newer},
		{"newer then older", newer, *older},
	}
	var alone []string // answers for the stored key where only one build runs
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := startMixedFleet(t, test.before)
			settings := program{t: t, path: test.after, dir: m.dir}
			for i := range m.entries {
				if out, code := settings.call("", "settings", "check", fmt.Sprintf("entry-%d.ini", i)); code != exitOK {
					t.Fatalf("settings check: %d %s", code, out)
				}
			}
			stored := []string{m.callAll("first build")}
			for i := range m.entries {
				m.replace(i, test.after)
				stored = append(stored, m.callAll(fmt.Sprintf("%d replaced", i+1)))
			}
			if alone == nil {
				alone = stored
			}
			if !slices.Equal(stored, alone) {
				t.Errorf("the stored key is answered with %q, by one build alone with %q", stored, alone)
			}
			m.path = test.after
			if out, code := m.call("", "bundle", "status", "--operators", m.operators[0], "--operators", m.operators[2], "--json"); code != exitOK || !strings.Contains(out, `"z2":2`) {
				t.Errorf("bundle status: %d %s", code, out)
			}
			checkStarts(t, m.runners)
		})
	}
}

func startMixedFleet(t *testing.T, binary string) *mixedFleet {
	at := ports(t, 13)
	m := &mixedFleet{
		program: program{t: t, path: binary, dir: t.TempDir()},
		callers: at[1:4], operators: at[4:7], runners: at[10:13],
	}
	out, code := m.call("", "keys", "new", "operator.key", "--json")
	var key struct {
		Signer string `json:"signer"`
	}
	if err := json.Unmarshal([]byte(out), &key); err != nil || code != exitOK {
		t.Fatalf("keys new: %d %s", code, out)
	}
	m.start("standin", "platform", "--listen", at[0])
	text := "[tenant shop]\n[service hold]\npath = /hold\n[service recall]\npath = /recall\nrepeatable = true\n"
	for i := range 3 {
		m.start("standin", "upstream", "--listen", m.runners[i], "--name", fmt.Sprint("r", i))
		text += fmt.Sprintf("[upstream r%d]\nzone = z%d\naddress = %s\n", i, i, m.runners[i])
		m.write(fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(
			"[entry]\nvm = entry-%d\nzone = z%d\nlisten = %s\npeers = %s\noperators = %s\n[platform]\naddress = %s\n[keys]\nsigners = %s\n[limits]\nbeat = 100ms\nnotice = 200ms\n[logs]\nform = json\n",
			i, i, m.callers[i], at[7+i], m.operators[i], at[0], key.Signer))
		m.entries = append(m.entries, m.start("serve", "--settings", fmt.Sprintf("entry-%d.ini", i)))
	}
	m.write("bundle.ini", text)
	m.until("the platform", func() bool { return answers("http://" + at[0] + "/v1/vms") })
	publish(m.program, at[0], key.Signer, m.operators)
	m.awaitMembers()
	return m
}

// awaitMembers waits until each entry is ready and sees all three alive.
func (m *mixedFleet) awaitMembers() {
	m.t.Helper()
	for _, operator := range m.operators {
		m.until("a ready entry", func() bool { return answers("http://" + operator + "/ready") })
		m.until("members that know each other", func() bool { return membersOf(operator) == 3 })
	}
}

// replace stops an entry and starts another build in its place.
func (m *mixedFleet) replace(index int, binary string) {
	m.t.Helper()
	if err := m.entries[index].Process.Signal(syscall.SIGTERM); err != nil {
		m.t.Fatal(err)
	}
	if err := m.entries[index].Wait(); err != nil {
		m.t.Errorf("entry %d ends with %v", index, err)
	}
	m.path = binary
	m.entries[index] = m.start("serve", "--settings", fmt.Sprintf("entry-%d.ini", index))
	m.awaitMembers()
}

// callAll sends a request and two jobs through every entry: one under a key of
// the caller, stored by the log, and one under a key of the first entry, which
// the others forward to it. It returns the answer for the stored key, without the
// random number of the entry's start.
func (m *mixedFleet) callAll(step string) string {
	m.t.Helper()
	job := `{"service":"hold","tasks":[{"body":{"run":"50ms"}},{"body":{"run":"50ms"}}]}`
	var stored []string
	for _, entry := range m.callers {
		if out, code := m.call(`{"run":"5ms","tag":"x"}`, "request", "recall", "--entry", entry, "--tenant", "shop"); code != exitOK || !strings.Contains(out, `"tag":"x"`) {
			m.t.Errorf("%s: request through %s: %d %s", step, entry, code, out)
		}
		out, code := m.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", "my-job", "--json")
		stored = append(stored, fmt.Sprintf("%d %s", code, out))
	}
	for _, answer := range stored[1:] {
		if answer != stored[0] {
			m.t.Errorf("%s: answers differ for one key: %q", step, stored)
		}
	}
	out, code := m.call(job, "job", "submit", "-", "--entry", m.callers[0], "--tenant", "shop", "--json")
	_, key, _ := strings.Cut(out, "key: ")
	key, _, _ = strings.Cut(key, "\n")
	if code != exitOK || key == "" {
		m.t.Fatalf("%s: job without a key: %d %s", step, code, out)
	}
	for _, entry := range m.callers[1:] {
		if out, code := m.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", key, "--json"); code != exitOK || !strings.Contains(out, `"state":"complete"`) {
			m.t.Errorf("%s: forwarded job through %s: %d %s", step, entry, code, out)
		}
	}
	return incarnation.ReplaceAllString(stored[0], "")
}
