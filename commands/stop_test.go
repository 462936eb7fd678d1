package commands

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"

	"github.com/radishgate/radishgate/internal/gateway/node"
	"github.com/radishgate/radishgate/internal/gateway/reload"
	"github.com/radishgate/radishgate/internal/gateway/settings"
)

// TestDispatchProcess guards against a change of the settings file that the running process does not see, and against
// an entry that is ended by a second SIGTERM while it drains, so that its clients get no answers.
func TestDispatchProcess(t *testing.T) {
	p := build(t)
	addresses := freeAddresses(t, 3)
	configure := func(level string) {
		p.write("entry.ini", fmt.Sprintf("[entry]\nvm = e1\nzone = a\nlisten = %s\nready = %s\npeers = %s\n[platform]\nstore = 127.0.0.1:1\ngrace = 4s\n[logs]\nlevel = %s\n",
			addresses[0], addresses[1], addresses[2], level))
	}
	configure("info")
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
	for _, step := range []struct {
		line string // of the log, after which the step follows
		do   func() error
	}{
		{"entry starts", func() error { configure("debug"); return nil }},
		{"setting in force", func() error { return command.Process.Signal(syscall.SIGTERM) }},
		{"entry drains", func() error { return command.Process.Signal(syscall.SIGTERM) }},
	} {
		p.waitUntil(step.line, func() bool {
			text, _ := os.ReadFile(log.Name())
			return bytes.Contains(text, []byte(step.line))
		})
		if err := step.do(); err != nil {
			t.Fatal(err)
		}
	}
	if err := command.Wait(); err != nil {
		t.Errorf("the entry ends with %v, want exit code 0", err)
	}
}

// TestEachSettingIsReloadedOrNeedsARestart guards against a setting whose change is neither applied nor logged.
// Processors is computed from others.
func TestEachSettingIsReloadedOrNeedsARestart(t *testing.T) {
	keys := append(reload.RestartKeys(), append(new(node.Node).ReloadKeys(), levelKey(new(slog.LevelVar)))...)
	if settings := reflect.TypeFor[settings.Settings]().NumField() - 1; len(keys) != settings {
		t.Errorf("%d settings have %d keys", settings, len(keys))
	}
}
