// Package reload applies changes of the settings file to a running entry.
package reload

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/settings"
)

// Key is a setting, or a group of settings that take effect together.
type Key struct {
	Name  string // as in the file, such as "[entry] seeds"
	Value func(s *settings.Settings) any
	Apply func(s *settings.Settings) // nil if a change takes effect with the next start of the process only
}

// Watcher reads the settings file again when its content has changed, and applies the settings that may change
// while the process runs.
type Watcher struct {
	File    string
	InForce *settings.Settings // with which the process has started
	Keys    []Key              // those that may change; RestartKeys need not be among them
	Log     *slog.Logger

	values  map[string]string // in force, by the name of the key
	content []byte            // that was read last
	modTime time.Time         // of that content; zero if it may have been replaced at the same time
	size    int64
	failure string // why the file cannot be read, as logged last
}

const (
	checkInterval = time.Second
	maxFileBytes  = 1 << 20 // a settings file has some hundreds of bytes
)

// FileSizeError reports a settings file that is too large to be one.
type FileSizeError struct {
	File  string
	Bytes int64
}

// Error implements error.
func (e *FileSizeError) Error() string {
	return fmt.Sprintf("%s has %d bytes, limit %d", e.File, e.Bytes, maxFileBytes)
}

// Run checks the file each second and at each hangup, by which the platform signals that it has changed, until the
// context ends.
func (w *Watcher) Run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.check(true)
		case <-ticker.C:
			w.check(false)
		}
	}
}

// check reads the file if its time of modification or its size has changed, or in any case, and applies a new content.
func (w *Watcher) check(always bool) {
	data, info, err := w.read(always)
	switch {
	case err != nil:
		if w.failure != err.Error() {
			w.failure = err.Error()
			w.Log.Warn("settings not applied", "file", w.File, "error", err)
		}
		return
	case info == nil:
		return
	}
	w.failure = ""
	w.size, w.modTime = info.Size(), info.ModTime()
	if time.Since(w.modTime) < checkInterval {
		w.modTime = time.Time{} // the file may be written again without a change of its time
	}
	if w.content != nil && bytes.Equal(data, w.content) {
		if always {
			w.Log.Info("settings read again", "file", w.File, "changed", 0)
		}
		return
	}
	w.content = data
	s, err := settings.ParseChanged(w.File, data, w.InForce)
	if err != nil {
		w.Log.Warn("settings not applied", "file", w.File, "error", err)
		return
	}
	if changed := w.apply(s); changed > 0 || always {
		w.Log.Info("settings read again", "file", w.File, "changed", changed)
	}
}

// read returns the content of the file, or no information if it seems not to have changed.
func (w *Watcher) read(always bool) ([]byte, os.FileInfo, error) {
	info, err := os.Stat(w.File)
	switch {
	case err != nil:
		return nil, nil, err
	case info.Size() > maxFileBytes:
		return nil, nil, &FileSizeError{File: w.File, Bytes: info.Size()}
	case !always && w.failure == "" && info.ModTime().Equal(w.modTime) && info.Size() == w.size:
		return nil, nil, nil
	}
	data, err := os.ReadFile(w.File)
	return data, info, err
}

// apply puts changed settings in force, or logs that they need a restart. It returns the number of changes.
func (w *Watcher) apply(s *settings.Settings) int {
	changed := 0
	for _, k := range append(RestartKeys(), w.Keys...) {
		value, before := text(k, s), w.inForce(k)
		switch {
		case value == before:
			continue
		case k.Apply == nil:
			w.Log.Warn("setting needs a restart", "setting", k.Name, "value", value, "in_force", before)
		default:
			k.Apply(s)
			w.values[k.Name] = value
			w.Log.Info("setting in force", "setting", k.Name, "value", value, "before", before)
		}
		changed++
	}
	return changed
}

// inForce returns the value of a key that is in force.
func (w *Watcher) inForce(k Key) string {
	if w.values == nil {
		w.values = map[string]string{}
	}
	if value, known := w.values[k.Name]; known {
		return value
	}
	return text(k, w.InForce)
}

// text returns the value of a key for comparison and for the log.
func text(k Key, s *settings.Settings) string { return fmt.Sprint(k.Value(s)) }
