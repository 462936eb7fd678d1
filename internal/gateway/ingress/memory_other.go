//go:build !linux

package ingress

// machineMemory returns the memory of the machine in bytes, and false if it is not known.
func machineMemory() (int64, bool) { return 0, false }
