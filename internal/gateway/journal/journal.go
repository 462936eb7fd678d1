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
	waitingBytes   = 256 << 10
	linesPerSecond = 1500
	flushSpan      = 50 * time.Millisecond
)

// Journal is a writer for log lines. It is safe for concurrent use.
type Journal struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	second  int64
	lines   int
}

// New makes a journal; Run writes its lines out.
func New(out io.Writer) *Journal { return &Journal{out: out} }

// Logger gives a logger of JSON lines.
func (j *Journal) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(j, &slog.HandlerOptions{Level: level}))
}

// Write takes one line. It never fails: a line beyond the bounds is dropped.
func (j *Journal) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	j.mu.Lock()
	defer j.mu.Unlock()
	if now != j.second {
		j.second, j.lines = now, 0
	}
	if j.lines >= linesPerSecond || len(j.waiting)+len(line) > waitingBytes {
		j.dropped.Add(1)
		return len(line), nil
	}
	j.lines++
	j.waiting = append(j.waiting, line...)
	return len(line), nil
}

// Dropped counts the lines that were not written.
func (j *Journal) Dropped() int64 { return j.dropped.Load() }

// Run writes lines until the context ends, then what still waits.
func (j *Journal) Run(ctx context.Context) {
	ticker := time.NewTicker(flushSpan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			j.flush()
			return
		case <-ticker.C:
			j.flush()
		}
	}
}

func (j *Journal) flush() {
	j.mu.Lock()
	lines := j.waiting
	j.waiting = nil
	j.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := j.out.Write(lines); err != nil {
		j.dropped.Add(1) // nowhere is left to tell of it but the counter
	}
}
