package peerclock

import "golang.org/x/sys/unix"

// Now returns the time since the start of the machine in milliseconds, at least 1. It goes on while
// the machine is suspended, unlike the clock of package time.
func Now() uint64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceStart() // a kernel without this clock
	}
	return uint64(max(1, t.Nano()/1e6))
}
