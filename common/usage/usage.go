// Package usage tells what this process has used of the machine.
package usage

import (
	"syscall"
	"time"
)

// CPUTime is the processor time of this process so far, 0 if it is not known.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
