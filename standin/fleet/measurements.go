package fleet

import "time"

// StartedTasks returns the identifiers of all task starts on all upstreams, one per start.
func (f *Fleet) StartedTasks() []string {
	var tasks []string
	for _, u := range f.Upstreams {
		for _, s := range u.Runner.Starts() {
			tasks = append(tasks, s.Task)
		}
	}
	return tasks
}

// MessageCounts returns the messages sent by kind and the bytes written between
// entries, summed over current and removed nodes.
func (f *Fleet) MessageCounts() (map[string]float64, int64) {
	counts := map[string]float64{}
	var written int64
	f.mu.Lock()
	nodes := append(f.removed[:len(f.removed):len(f.removed)], f.Nodes...)
	f.mu.Unlock()
	for _, n := range nodes {
		_, w := n.PeerBytes()
		written += w
		for kind, count := range n.Metrics().MessageCounts() {
			counts[kind] += count
		}
	}
	return counts, written
}

// IdealResponse returns the best possible response time of a call with these run
// times that is sent to an entry now. Only upstreams of the entry's availability
// zone count. For a request it is the run time on the fastest upstream with a
// free slot. For a job it is the longest task on that upstream or the total run
// time over the combined speed of all free slots, whichever is larger. If no
// slot is free, all slots count as free.
func (f *Fleet) IdealResponse(address string, runtimes []time.Duration, _ bool) time.Duration {
	zone := ""
	for _, n := range f.LiveNodes() {
		if n.CallerAddress == address {
			zone = n.Zone
		}
	}
	fastestFree, freeRate, totalRate := 0.0, 0.0, 0.0
	fastest := 0.0
	for _, u := range f.Upstreams {
		if u.Zone != zone {
			continue
		}
		free, speed := u.FreeSlots()
		totalRate += speed * float64(u.Slots())
		fastest = max(fastest, speed)
		if free > 0 {
			fastestFree = max(fastestFree, speed)
			freeRate += speed * float64(free)
		}
	}
	if fastestFree == 0 {
		fastestFree, freeRate = fastest, totalRate
	}
	if fastestFree == 0 {
		return 0
	}
	var total, longest time.Duration
	for _, runtime := range runtimes {
		total += runtime
		longest = max(longest, runtime)
	}
	return max(time.Duration(float64(longest)/fastestFree), time.Duration(float64(total)/freeRate))
}
