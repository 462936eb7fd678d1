package ingress

import (
	"math"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishgate/radishgate/common/inifile"
)

// Limits bound what the clients of a process can take.
type Limits struct {
	Memory      int64         // bytes of unfinished headers, of bodies and of their parsing
	Jobs        int64         // bytes of the jobs that clients wait for
	Held        int64         // bytes of the jobs that this process keeps, with those of its groups answered lately; 0 for no bound
	Connections int           // of clients; probes and metrics have a sixteenth each
	Entries     int           // connections of other entries
	Address     int           // connections from one address, while there are others
	HeaderBytes int64         // of one request; 0 for the limit of the configuration
	Stall       time.Duration // without a byte, in either direction, after which a transfer is ended
	Wait        time.Duration // time after which a client that waits for its job is ended if others need the room
	Rate        int64         // lowest rate of a header or body over Stall, in bytes a second
}

// connectionBytes is what a connection takes besides its budget: two goroutines, the buffers of net/http, a parsed
// header and a body of up to freeBytes.
const connectionBytes = 32 << 10

// fleetConnections lets each of 300 entries have two connections: one with a heartbeat and one with jobs under way.
const fleetConnections = 600

// maxFileDescriptors is the part of the descriptors that is kept for files and connections to others.
const maxFileDescriptors = 200

// DefaultLimits derives limits from the memory of the machine in bytes and the number of descriptors of the process.
// Connections, budget and jobs of a process whose clients exceed all limits at once take half of the memory; the rest
// is left to the process itself and to garbage.
func DefaultLimits(memory int64, descriptors int) Limits {
	files := min(maxFileDescriptors, descriptors/4)
	// All listeners together leave descriptors free: they have 13/8 of the connections of the clients, or 9/8 of them and a
	// fifth of the descriptors.
	count := max(16, min(int(memory/8/connectionBytes), (descriptors-files)*3/5))
	entries := max(16, count/2, min(fleetConnections, (descriptors-files)/5))
	return Limits{
		Memory: memory / 5, Jobs: memory / 10, Held: memory / 4, Connections: count, Entries: entries, Address: max(1, count/2),
		Stall: 3 * time.Second, Wait: 10 * time.Second, Rate: 2048,
	}
}

// ReadLimits reads section [ingress] of a settings file. Missing keys have the values of DefaultLimits. Mistakes are
// recorded in f.
func ReadLimits(f *inifile.File, memory int64, descriptors int) Limits {
	const section, most = "ingress", 1 << 20
	d := DefaultLimits(memory, descriptors)
	megabytes := func(key string, fallback int64) int64 {
		if !f.Has(section, key) {
			return fallback
		}
		return f.Int(section, key, 1, 1, most) << 20
	}
	l := Limits{
		Memory: megabytes("memory", d.Memory), Jobs: megabytes("jobs", d.Jobs), Held: megabytes("held", d.Held),
		Entries:     int(f.Int(section, "entries", int64(d.Entries), 16, most)),
		Connections: int(f.Int(section, "connections", int64(d.Connections), 16, most)),
		HeaderBytes: f.Int(section, "header", 0, 1<<10, most),
		Stall:       f.Duration(section, "stall", d.Stall, 100*time.Millisecond, time.Minute),
		Wait:        f.Duration(section, "wait", d.Wait, time.Second, 24*time.Hour),
		Rate:        f.Int(section, "rate", d.Rate, 1, most),
	}
	l.Address = int(f.Int(section, "address", int64(max(1, l.Connections/2)), 1, most))
	return l
}

// bodyCost is the memory that a body takes while it is read and parsed, in multiples of its size: it counts twice as it
// arrives, and parsing copies it.
const bodyCost = 3

// MaxBodyBytes returns the size of the largest body that the budget has room for while no other one is read.
func (l *Limits) MaxBodyBytes() int64 { return (l.Memory - l.Memory/ordinaryShare) / bodyCost }

// ProcessMemory returns the memory in bytes that this process may take: GOMEMLIMIT, or else the memory of the machine.
func ProcessMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	if memory, known := machineMemory(); known {
		return memory
	}
	return 1 << 30 // a small machine
}

// DescriptorLimit returns the greatest number of descriptors that this process may open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit of a shell
	}
	return int(min(limit.Cur, math.MaxInt32))
}
