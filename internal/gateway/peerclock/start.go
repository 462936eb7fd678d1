package peerclock

import "time"

var startedAt = time.Now()

// sinceStart returns the time since the start of the process in milliseconds, at least 1.
func sinceStart() uint64 { return uint64(max(1, time.Since(startedAt).Milliseconds())) }
