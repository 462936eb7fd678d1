// Package room counts what tasks take of a worker and what a worker has.
package room

// Room is an amount of processors, memory and accelerators.
type Room struct {
	Processors   int64 // thousandths of a core
	Memory       int64 // MB
	Accelerators int64
}

// Fits tells whether the amount goes into another one.
func (r Room) Fits(free Room) bool {
	return r.Processors <= free.Processors && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Plus adds an amount.
func (r Room) Plus(other Room) Room {
	return Room{r.Processors + other.Processors, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Minus takes an amount away.
func (r Room) Minus(other Room) Room {
	return Room{r.Processors - other.Processors, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Max takes the larger amount of each kind.
func (r Room) Max(other Room) Room {
	return Room{max(r.Processors, other.Processors), max(r.Memory, other.Memory), max(r.Accelerators, other.Accelerators)}
}
