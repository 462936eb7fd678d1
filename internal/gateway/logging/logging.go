// Package logging writes log lines asynchronously, so that logging never blocks
// the caller.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the buffer and the line rate. Lines beyond them are dropped and
// counted.
const (
	maxPendingBytes   = 256 << 10
	maxLinesPerSecond = 1500
	flushInterval     = 50 * time.Millisecond
)

// LogWriter buffers log lines and writes them in the background. It is safe for
// concurrent use.
type LogWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	second  int64 // Unix time that lines counts for
	lines   int   // accepted in that second
}

// New returns a LogWriter for out. Nothing is written until Run is called.
func New(out io.Writer) *LogWriter { return &LogWriter{out: out} }

// Logger returns a logger that writes JSON lines. The level may change.
func (w *LogWriter) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Write buffers one line. It never fails: a line beyond the limits is dropped.
func (w *LogWriter) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now != w.second {
		w.second, w.lines = now, 0
	}
	if w.lines >= maxLinesPerSecond || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines++
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines, where a failed write counts as one.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes buffered lines periodically until the context ends, then writes the
// rest.
func (w *LogWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

func (w *LogWriter) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		w.dropped.Add(1) // the error cannot be logged, only counted
	}
}
