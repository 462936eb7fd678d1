package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// program is the binary under test with a working directory for its files.
type program struct {
	t    *testing.T
	path string
	dir  string
}

func build(t *testing.T) program {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "radishgate")
	if out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput(); err != nil {
		t.Fatalf("building the program failed: %v: %s", err, out)
	}
	return program{t: t, path: path, dir: dir}
}

// start starts the program in the background and kills it when the test ends.
func (p program) start(args ...string) *exec.Cmd {
	p.t.Helper()
	command := exec.Command(p.path, args...)
	command.Dir = p.dir
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// call runs the program to its end and returns its output, of both streams, and its exit
// code.
func (p program) call(input string, args ...string) (string, int) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), time.Minute)
	defer cancel()
	command := exec.CommandContext(ctx, p.path, args...)
	command.Dir = p.dir
	command.Stdin = strings.NewReader(input)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	_ = command.Run()
	return out.String(), command.ProcessState.ExitCode()
}

func (p program) write(name, text string) {
	p.t.Helper()
	if err := os.WriteFile(filepath.Join(p.dir, name), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func (p program) waitUntil(condition string, check func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	p.t.Fatal("timed out waiting for " + condition)
}

func respondsOK(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// countAlive returns the number of members that an entry sees alive.
func countAlive(operatorAddress string) int {
	s := queryEntry(context.Background(), operatorAddress)
	alive := 0
	for _, state := range s.status.Members {
		if state == "alive" {
			alive++
		}
	}
	return alive
}

// processFleet is a fleet of three entries, three upstreams and a platform, each in its own
// process. The entries may run different builds.
type processFleet struct {
	program
	callerAddresses   []string
	operatorAddresses []string
	upstreamAddresses []string
	entries           []*exec.Cmd
}

// startFleet starts the fleet from a binary, publishes a bundle and waits until the
// entries see each other.
func startFleet(t *testing.T, binary string) *processFleet {
	addresses := freeAddresses(t, 13)
	f := &processFleet{
		program:         program{t: t, path: binary, dir: t.TempDir()},
		callerAddresses: addresses[1:4], operatorAddresses: addresses[4:7], upstreamAddresses: addresses[10:13],
	}
	out, code := f.call("", "keys", "new", "operator.key", "--json")
	var key struct {
		Signer string `json:"signer"`
	}
	if err := json.Unmarshal([]byte(out), &key); err != nil || code != exitOK {
		t.Fatalf("keys new: exit code %d, want 0 and a JSON object with the signer: %s", code, out)
	}
	f.start("standin", "platform", "--listen", addresses[0])
	text := "[tenant shop]\n[service hold]\npath = /hold\n[service recall]\npath = /recall\nrepeatable = true\n"
	for i := range 3 {
		f.start("standin", "upstream", "--listen", f.upstreamAddresses[i], "--name", fmt.Sprint("r", i))
		text += fmt.Sprintf("[upstream r%d]\nzone = z%d\naddress = %s\n", i, i, f.upstreamAddresses[i])
		f.write(fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(
			"[entry]\nvm = entry-%d\nzone = z%d\nlisten = %s\npeers = %s\noperators = %s\n[platform]\naddress = %s\n[keys]\nsigners = %s\n[limits]\nbeat = 100ms\nnotice = 200ms\n[logs]\nform = json\n",
			i, i, f.callerAddresses[i], addresses[7+i], f.operatorAddresses[i], addresses[0], key.Signer))
		f.entries = append(f.entries, f.start("serve", "--settings", fmt.Sprintf("entry-%d.ini", i)))
	}
	f.write("bundle.ini", text)
	f.waitUntil("the platform to answer", func() bool { return respondsOK("http://" + addresses[0] + "/v1/vms") })
	publishBundle(f.program, addresses[0], key.Signer, f.operatorAddresses)
	f.awaitMembers()
	return f
}

// awaitMembers waits until each entry is ready and sees all three entries alive.
// Entries that do not see each other yet may pass partitions back and forth.
func (f *processFleet) awaitMembers() {
	f.t.Helper()
	for _, operator := range f.operatorAddresses {
		f.waitUntil("an entry to become ready", func() bool { return respondsOK("http://" + operator + "/ready") })
		f.waitUntil("all members to see each other alive", func() bool { return countAlive(operator) == 3 })
	}
}

// stop drains an entry and waits for its end.
func (f *processFleet) stop(index int) {
	f.t.Helper()
	if err := f.entries[index].Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	if err := f.entries[index].Wait(); err != nil {
		f.t.Errorf("entry %d did not exit with status 0 after SIGTERM: %v", index, err)
	}
}

// TestThreeProcesses guards against faults that show only between processes. It runs three
// entries, a platform and three upstreams in separate processes, publishes a bundle, sends
// requests and one job through two entries, stops one entry gracefully, and checks that
// the upstreams started each task of the job once.
func TestThreeProcesses(t *testing.T) {
	f := startFleet(t, build(t).path)
	checkCalls(f.program, f.callerAddresses)
	f.stop(2)
	if out, code := f.call(`{"run":"5ms"}`, "request", "recall", "--entry", f.callerAddresses[0], "--tenant", "shop"); code != exitOK {
		t.Errorf("request after one entry has stopped: exit code %d, want 0: %s", code, out)
	}
	checkStarts(t, f.upstreamAddresses)
}

func publishBundle(p program, platformAddress, signer string, operatorAddresses []string) {
	p.t.Helper()
	flags := []string{"--platform", platformAddress, "--signer", signer}
	if out, code := p.call("", "bundle", "check", "bundle.ini"); code != exitOK {
		p.t.Fatalf("bundle check: exit code %d, want 0: %s", code, out)
	}
	signFirst := append([]string{"bundle", "sign", "bundle.ini", "--key", "operator.key", "--out", "one.json"}, flags...)
	if out, code := p.call("", signFirst...); code != exitOK {
		p.t.Fatalf("bundle sign: exit code %d, want 0: %s", code, out)
	}
	publish := append([]string{"bundle", "publish", "one.json"}, flags...)
	for _, operator := range operatorAddresses {
		publish = append(publish, "--operators", operator)
	}
	out, code := p.call("", publish...)
	if code != exitOK || strings.Count(out, "in force") != 3 {
		p.t.Fatalf("bundle publish: exit code %d, want 0 and three zones in force: %s", code, out)
	}
	signSecond := append([]string{"bundle", "sign", "bundle.ini", "--key", "operator.key", "--out", "two.json"}, flags...)
	if out, code := p.call("", signSecond...); code != exitOK || !strings.Contains(out, "version 2") {
		p.t.Fatalf("second bundle sign: exit code %d, want 0 and version 2: %s", code, out)
	}
	// Version 2 was signed after version 1 was published. Its parent is in force, so
	// it is accepted.
	publish[2] = "two.json"
	if out, code := p.call("", publish...); code != exitOK {
		p.t.Fatalf("second publish: exit code %d, want 0: %s", code, out)
	}
	forged, err := os.ReadFile(filepath.Join(p.dir, "two.json"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.write("forged.json", strings.Replace(string(forged), `"version":2`, `"version":3`, 1))
	publish[2] = "forged.json"
	if out, code := p.call("", publish...); code != exitUsage {
		p.t.Fatalf("publish of a record with a forged version: exit code %d, want 2: %s", code, out)
	}
}

func checkCalls(p program, callerAddresses []string) {
	p.t.Helper()
	if out, code := p.call(`{"run":"5ms","tag":"x"}`, "request", "recall", "--entry", callerAddresses[0], "--tenant", "shop"); code != exitOK || !strings.Contains(out, `"tag":"x"`) {
		p.t.Errorf("request: exit code %d, want 0 and the tag x in the answer: %s", code, out)
	}
	if out, code := p.call(`{}`, "request", "hold", "--entry", callerAddresses[0], "--tenant", "shop"); code != exitNotRun {
		p.t.Errorf("request without a key for a service that is not repeatable: exit code %d, want 3: %s", code, out)
	}
	job := `{"service":"hold","tasks":[{"body":{"run":"50ms"}},{"body":{"run":"50ms"}}]}`
	for _, entry := range callerAddresses[:2] {
		out, code := p.call(job, "job", "submit", "-", "--entry", entry, "--tenant", "shop", "--key", "my-job", "--json")
		if code != exitOK || !strings.Contains(out, `"state":"complete"`) {
			p.t.Errorf("job through %s: exit code %d, want 0 and state complete: %s", entry, code, out)
		}
	}
	if out, code := p.call("", "job", "status", "my-job", "--entry", callerAddresses[1], "--tenant", "shop", "--json"); code != exitOK {
		p.t.Errorf("job status: exit code %d, want 0: %s", code, out)
	}
}

// checkStarts checks in the upstreams' records that each task of the job started once.
func checkStarts(t *testing.T, upstreamAddresses []string) {
	t.Helper()
	startsPerTask := map[string]int{}
	for _, address := range upstreamAddresses {
		response, err := http.Get("http://" + address + "/standin/starts")
		if err != nil {
			t.Fatal(err)
		}
		var starts []struct {
			Task string `json:"task"`
		}
		if err := json.NewDecoder(response.Body).Decode(&starts); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		for _, s := range starts {
			startsPerTask[s.Task]++
		}
	}
	if startsPerTask["my-job/0"] != 1 || startsPerTask["my-job/1"] != 1 {
		t.Errorf("starts by task: %v, want one each of my-job/0 and my-job/1", startsPerTask)
	}
}

// TestExitCodes guards against a command that fails with the wrong exit code or without
// naming the cause, such as the file and line of an invalid setting.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.ini")
	if err := os.WriteFile(bad, []byte("[entry]\nvm = a\nzone = z\nlisten = here\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args       []string
		wantCode   int
		wantOutput string
	}{
		{[]string{"version"}, exitOK, "radishgate"},
		{[]string{"settings", "print"}, exitOK, "[entry]"},
		{[]string{}, exitUsage, "Usage"},
		{[]string{"nonsense"}, exitUsage, "nonsense"},
		{[]string{"settings", "check", bad}, exitUsage, "bad.ini:4: [entry] listen"},
		{[]string{"serve", "--settings", bad}, exitUsage, "bad.ini:4: [entry] listen"},
		{[]string{"serve", "--settings", filepath.Join(dir, "none.ini")}, exitUsage, "none.ini"},
		{[]string{"bundle", "check", bad}, exitUsage, "bad.ini:1: [entry]"},
		{[]string{"demo", "--entries", "0"}, exitUsage, "--entries"},
		{[]string{"request", "x", "--entry", "127.0.0.1:1", "--body", bad}, exitUnknown, "127.0.0.1:1"},
	}
	for _, test := range tests {
		var stdout, stderr bytes.Buffer
		code := Main(test.args, &stdout, &stderr)
		if code != test.wantCode || !strings.Contains(stdout.String()+stderr.String(), test.wantOutput) {
			t.Errorf("%v: unexpected exit code %d or output: %s%s", test.args, code, stdout.String(), stderr.String())
		}
	}
}
