package fleet

import "time"

// Starts lists the tasks that all upstreams have started.
func (f *Fleet) Starts() []string {
	var tasks []string
	for _, u := range f.Upstreams {
		for _, s := range u.Runner.Starts() {
			tasks = append(tasks, s.Task)
		}
	}
	return tasks
}

// Messages adds up the messages of all entries that ever were, by kind, and the
// bytes that they wrote to each other.
func (f *Fleet) Messages() (map[string]float64, int64) {
	sum := map[string]float64{}
	var written int64
	f.mu.Lock()
	nodes := append(f.gone[:len(f.gone):len(f.gone)], f.Nodes...)
	f.mu.Unlock()
	for _, n := range nodes {
		_, w := n.PeerBytes()
		written += w
		for kind, count := range n.Metrics().Counts() {
			sum[kind] += count
		}
	}
	return sum, written
}

// Ideal is the best possible response to tasks of these run times, sent to an
// entry now: for a request the run on the fastest free upstream of the entry's
// zone, for a job the larger of its longest task and its work over the free
// slots, speeds counted. With no slot free, all slots count.
func (f *Fleet) Ideal(address string, runs []time.Duration, _ bool) time.Duration {
	zone := ""
	for _, n := range f.Live() {
		if n.Callers == address {
			zone = n.Zone
		}
	}
	fastest, rate, all := 0.0, 0.0, 0.0
	allFastest := 0.0
	for _, u := range f.Upstreams {
		if u.Zone != zone {
			continue
		}
		free, speed := u.Free()
		all += speed * float64(u.Slots())
		allFastest = max(allFastest, speed)
		if free > 0 {
			fastest = max(fastest, speed)
			rate += speed * float64(free)
		}
	}
	if fastest == 0 {
		fastest, rate = allFastest, all
	}
	if fastest == 0 {
		return 0
	}
	var total, longest time.Duration
	for _, run := range runs {
		total += run
		longest = max(longest, run)
	}
	return max(time.Duration(float64(longest)/fastest), time.Duration(float64(total)/rate))
}
