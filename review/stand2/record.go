package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and to standard output, with the seconds since its
// start.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line) // the exit code tells the result all the same
	_, _ = os.Stdout.WriteString(line)
}

// seconds returns the time of an event as the record shows it.
func (r *record) seconds(at time.Time) string {
	return fmt.Sprintf("%.3f s", at.Sub(r.startedAt).Seconds())
}

func (r *record) close() { _ = r.file.Close() }
