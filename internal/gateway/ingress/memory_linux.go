package ingress

import "golang.org/x/sys/unix"

// machineMemory returns the memory of the machine in bytes, and false if it is not known.
func machineMemory() (int64, bool) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, false
	}
	return int64(info.Totalram) * int64(info.Unit), true
}
