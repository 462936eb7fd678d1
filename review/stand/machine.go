package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a VM with one entry. Each has a loopback address of its own.
type machine struct {
	name, zone                     string
	front, ready, control, metrics string
	settings, log                  string

	mu      sync.Mutex // held while the process is started or killed
	process *os.Process
	ended   chan struct{} // closed once the process has ended
}

// Ports of the entries, the same on all machines.
const (
	frontPort   = 18161
	readyPort   = 18167
	controlPort = 18166
	metricsPort = 17720
)

// newMachine returns a machine with a free loopback address.
func newMachine(name, zone, folder string) (*machine, error) {
	const tries = 100
	for range tries {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		m := &machine{name: name, zone: zone, settings: filepath.Join(folder, name+".ini"), log: filepath.Join(folder, name+".log")}
		free := true
		for _, a := range []struct {
			address *string
			port    int
		}{{&m.front, frontPort}, {&m.ready, readyPort}, {&m.control, controlPort}, {&m.metrics, metricsPort}} {
			*a.address = fmt.Sprintf("%s:%d", ip, a.port)
			l, err := net.Listen("tcp", *a.address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close() // nothing was accepted
		}
		if free {
			return m, nil
		}
	}
	return nil, errNoAddress
}

// writeSettings writes what the platform makes of deploy/entry.ini.
func (m *machine) writeSettings(zones, seeds []string, store string) error {
	text := fmt.Sprintf(`[entry]
vm = %s
zone = %s
zones = %s
cores = 1
share = 0.4
memory = 284
listen = %s
ready = %s
peers = %s
metrics = %s
seeds = %s

[platform]
store = %s
lease = 1000ms
grace = 6s
resend = 1300ms

[logs]
level = info
`, m.name, m.zone, strings.Join(zones, ","), m.front, m.ready, m.control, m.metrics, strings.Join(seeds, ","), store)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the entry with the command of the deploy file, unless it runs.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		select {
		case <-m.ended:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/radishgate", "dispatch")
	command.Env = []string{"RADISHGATE_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = command.Process, ended
	go func() {
		_ = command.Wait() // the status of a killed process says nothing
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-m.ended
}

// isReady reports whether the entry answers the platform's readiness check with 200.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the status is enough
	return response.StatusCode == http.StatusOK
}

// holds reports whether the entry schedules the tasks of a group of runners, by its log.
func (m *machine) holds(group string) bool {
	file, err := os.Open(m.log)
	if err != nil {
		return false
	}
	defer file.Close()
	held := false
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text := lines.Text(); strings.Contains(text, group) {
			held = (held || strings.Contains(text, "group taken")) && !strings.Contains(text, "group given up")
		}
	}
	return held
}
