package commands

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// TestSecondSIGTERMChangesNothing guards against an entry that is ended by a second SIGTERM while it drains, so that
// its clients get no answers.
func TestSecondSIGTERMChangesNothing(t *testing.T) {
	p := build(t)
	addresses := freeAddresses(t, 3)
	p.write("entry.ini", fmt.Sprintf("[entry]\nvm = e1\nzone = a\nlisten = %s\nready = %s\npeers = %s\n[platform]\nstore = 127.0.0.1:1\ngrace = 4s\n",
		addresses[0], addresses[1], addresses[2]))
	log, err := os.Create(filepath.Join(p.dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(p.path, "dispatch", "--settings", "entry.ini")
	command.Dir, command.Stdout = p.dir, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = command.Process.Kill() }()
	for _, line := range []string{"entry starts", "entry drains"} {
		p.waitUntil(line, func() bool {
			text, _ := os.ReadFile(log.Name())
			return bytes.Contains(text, []byte(line))
		})
		if err := command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if err := command.Wait(); err != nil {
		t.Errorf("the entry ends with %v, want exit code 0", err)
	}
}
