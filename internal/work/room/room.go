// Package room counts what tasks take of a worker and what a worker has.
package room

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCores   int64 // thousandths of a core
	MemoryMB     int64 // MB
	Accelerators int64
}

// FitsIn tells whether the amount goes into another one.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Add adds an amount.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCores + other.MilliCores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Sub takes an amount away.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCores - other.MilliCores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Max takes the larger amount of each kind.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.MilliCores, other.MilliCores), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators)}
}
