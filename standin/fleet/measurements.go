package fleet

import "time"

// StartedTasks lists the tasks that all upstreams have started.
func (f *Fleet) StartedTasks() []string {
	var tasks []string
	for _, u := range f.Upstreams {
		for _, s := range u.Runner.Starts() {
			tasks = append(tasks, s.Task)
		}
	}
	return tasks
}

// MessageCounts adds up the messages of all entries that ever were, by kind, and the
// bytes that they wrote to each other.
func (f *Fleet) MessageCounts() (map[string]float64, int64) {
	counts := map[string]float64{}
	var written int64
	f.mu.Lock()
	nodes := append(f.removed[:len(f.removed):len(f.removed)], f.Nodes...)
	f.mu.Unlock()
	for _, n := range nodes {
		_, w := n.PeerBytes()
		written += w
		for kind, count := range n.Metrics().Counts() {
			counts[kind] += count
		}
	}
	return counts, written
}

// IdealResponse is the best possible response to tasks of these run times, sent to an
// entry now: for a request the run on the fastest free upstream of the entry's
// zone, for a job the larger of its longest task and its work over the free
// slots, speeds counted. With no slot free, all slots count.
func (f *Fleet) IdealResponse(address string, runTimes []time.Duration, _ bool) time.Duration {
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
	for _, run := range runTimes {
		total += run
		longest = max(longest, run)
	}
	return max(time.Duration(float64(longest)/fastestFree), time.Duration(float64(total)/freeRate))
}
