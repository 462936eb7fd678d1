// Package journal writes log lines without ever blocking those who log.
package journal

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the lines that wait to be written and of those of one second. Beyond
// them lines are dropped and counted.
const (
	maxPendingBytes   = 256 << 10
	maxLinesPerSecond = 1500
	flushInterval     = 50 * time.Millisecond
)

// LogWriter is a writer for log lines. It is safe for concurrent use.
type LogWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	second  int64
	lines   int
}

// New makes a journal; Run writes its lines out.
func New(out io.Writer) *LogWriter { return &LogWriter{out: out} }

// Logger gives a logger of JSON lines.
func (w *LogWriter) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Write takes one line. It never fails: a line beyond the bounds is dropped.
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

// Dropped counts the lines that were not written.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context ends, then what still waits.
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
		w.dropped.Add(1) // nowhere is left to tell of it but the counter
	}
}
