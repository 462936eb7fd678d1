// Package resources defines the resources that workers have and tasks need.
package resources

// Resources is an amount of processor cores, memory and accelerators.
type Resources struct {
	MilliCores   int64 // 1000 is one core
	MemoryMB     int64
	Accelerators int64
}

// FitsIn reports whether no amount of r exceeds that of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub returns r less other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.MilliCores, other.MilliCores), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators)}
}
