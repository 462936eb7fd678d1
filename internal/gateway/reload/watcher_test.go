package reload

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/settings"
)

const (
	readAgain  = "msg=\"settings read again\"\n"
	applied    = "msg=\"setting in force\" setting=\"[platform] grace\"\n"
	notApplied = "msg=\"settings not applied\"\n"
	started    = "[entry]\nvm = e1\nzone = a\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\ngrace = 6s\n[workers]\ngroups = 1\n"
)

// TestChangedSettingsTakeEffect guards against a change of the file that is not seen, with or without a signal, that
// takes effect in part or from an invalid file, or that is logged again each second.
func TestChangedSettingsTakeEffect(t *testing.T) {
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(started) }
	tests := []struct {
		name    string
		content string // "" for a file that cannot be read
		hangup  bool
		grace   time.Duration // in force afterwards
		log     string        // messages, with their settings
	}{
		{"not changed", started, false, 6 * time.Second, ""},
		{"not changed, with a signal", started, true, 6 * time.Second, readAgain},
		{"the same size", replace("grace = 6s", "grace = 7s"), false, 7 * time.Second, applied + readAgain},
		{"with a signal", replace("grace = 6s", "grace = 10s"), true, 10 * time.Second, applied + readAgain},
		{"a line is gone", replace("grace = 6s\n", ""), false, 6 * time.Second, ""},
		{"some need a restart", replace("grace = 6s", "grace = 7s", "groups = 1", "groups = 2", "vm = e1", "vm = e2"), false, 7 * time.Second, "msg=\"setting needs a restart\" setting=\"[entry] vm\"\nmsg=\"setting needs a restart\" setting=\"[workers] groups\"\n" + applied + readAgain},
		{"invalid", replace("grace = 6s", "grace = 7s", "zone = a", "zone ="), false, 6 * time.Second, notApplied},
		{"invalid, with a signal", replace("grace = 6s", "grace = 0s"), true, 6 * time.Second, notApplied},
		{"not readable", "", false, 6 * time.Second, notApplied},
		{"too large", replace("grace = 6s", "grace = 7s") + strings.Repeat("\n", maxFileBytes), false, 6 * time.Second, notApplied},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.ini")
			_ = os.WriteFile(file, []byte(started), 0o600) // an error shows in Load
			s, err := settings.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				grace, log, hangups := s.Grace, bytes.Buffer{}, make(chan os.Signal, 1)
				w := &Watcher{File: file, InForce: s, Log: slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
					if a.Key == slog.MessageKey || a.Key == "setting" {
						return a
					}
					return slog.Attr{}
				}})), Keys: []Key{{
					Name: "[platform] grace", Value: func(s *settings.Settings) any { return s.Grace },
					Apply: func(s *settings.Settings) { grace = s.Grace },
				}}}
				go w.Run(t.Context(), hangups)
				time.Sleep(2500 * time.Millisecond)
				if c.content == "" {
					err = os.Remove(file)
				} else {
					err = os.WriteFile(file, []byte(c.content), 0o600)
				}
				if c.hangup {
					hangups <- os.Interrupt
				} else {
					time.Sleep(time.Second)
				}
				synctest.Wait()
				if err != nil || grace != c.grace {
					t.Errorf("grace period %v, want %v; error %v", grace, c.grace, err)
				}
				time.Sleep(5 * time.Second)
				if synctest.Wait(); log.String() != c.log {
					t.Errorf("log %s, want %s", log.String(), c.log)
				}
				err = os.WriteFile(file, []byte(started), 0o600)
				time.Sleep(time.Second)
				if synctest.Wait(); err != nil || grace != s.Grace {
					t.Errorf("grace period %v after the first content is back, want %v; error %v", grace, s.Grace, err)
				}
			})
		})
	}
}

// TestFileIsReadWhenItsTimeOrSizeChanges guards against a change that is missed because the file was not written
// lately, and against a file that is read each second.
func TestFileIsReadWhenItsTimeOrSizeChanges(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.ini")
	day := time.Now().Add(-24 * time.Hour)
	w := &Watcher{File: file, InForce: &settings.Settings{}, Log: slog.New(slog.DiscardHandler)}
	steps := []struct {
		name, content string
		modTime       time.Time
		read          bool
	}{
		{"first", "[a]\n", day, true},
		{"replaced under the same time and size", "[b]\n", day, false},
		{"an older file", "[c]\n", day.Add(-time.Hour), true},
		{"the same time, another size", "[ab]\n", day.Add(-time.Hour), true},
		{"written just now", "[cd]\n", time.Now(), true},
		{"written again at the same time", "[ef]\n", time.Time{}, true},
	}
	for _, c := range steps {
		info, _ := os.Stat(file)
		if c.modTime.IsZero() {
			c.modTime = info.ModTime()
		}
		if err := errors.Join(os.WriteFile(file, []byte(c.content), 0o600), os.Chtimes(file, c.modTime, c.modTime)); err != nil {
			t.Fatal(err)
		}
		w.check(false)
		if read := string(w.content) == c.content; read != c.read {
			t.Errorf("%s: read: %t, want %t", c.name, read, c.read)
		}
	}
}

// TestLimitsFollowTheMachineInForce guards against limits of the ingress that follow a change of the memory or the
// descriptors, which need a restart: with a budget for more memory than the machine has, clients end the process.
func TestLimitsFollowTheMachineInForce(t *testing.T) {
	before := strings.Replace(started, "zone = a\n", "zone = a\nmemory = 256\ndescriptors = 4096\n", 1) + "[ingress]\nstall = 3s\n"
	tests := []struct {
		name     string
		replaced []string
		stall    time.Duration // in force afterwards
	}{
		{"memory", []string{"memory = 256", "memory = 4096"}, 3 * time.Second},
		{"descriptors", []string{"descriptors = 4096", "descriptors = 300"}, 3 * time.Second},
		{"both, and a limit", []string{"memory = 256", "memory = 4096", "descriptors = 4096", "descriptors = 300", "stall = 3s", "stall = 4s"}, 4 * time.Second},
	}
	for _, c := range tests {
		s, err := settings.Parse("", []byte(before))
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(t.TempDir(), "entry.ini")
		if err := os.WriteFile(file, []byte(strings.NewReplacer(c.replaced...).Replace(before)), 0o600); err != nil {
			t.Fatal(err)
		}
		limits, want := s.Ingress, s.Ingress
		want.Stall = c.stall
		w := &Watcher{File: file, InForce: s, Log: slog.New(slog.DiscardHandler), Keys: []Key{{
			Name: "[ingress]", Value: func(s *settings.Settings) any { return s.Ingress },
			Apply: func(s *settings.Settings) { limits = s.Ingress },
		}}}
		if w.check(true); limits != want {
			t.Errorf("%s: limits %+v, want %+v", c.name, limits, want)
		}
	}
}
