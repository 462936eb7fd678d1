//go:build !linux

package peerclock

// Now returns the time since the start of the process in milliseconds, at least 1.
func Now() uint64 { return sinceStart() }
