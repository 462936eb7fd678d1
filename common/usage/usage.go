// Package usage measures the resources that this process has used.
package usage

import (
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time of this process so far, or 0 if the
// system does not report it.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
