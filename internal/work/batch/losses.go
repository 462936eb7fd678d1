package batch

import "slices"

// Losses counts the runs of a task that were lost with their workers.
type Losses struct {
	Task       string
	Crashes    int // workers that are known to have crashed while they ran it
	Suspicions int // further workers that may have
}

// MergeLosses returns the losses in either list. Two holders may have counted the same ones, so
// the higher count is that of the task. It changes neither list.
func MergeLosses(some, others []Losses) []Losses {
	merged := slices.Clone(some)
	for _, l := range others {
		i := slices.IndexFunc(merged, func(m Losses) bool { return m.Task == l.Task })
		if i < 0 {
			merged = append(merged, l)
			continue
		}
		merged[i].Crashes, merged[i].Suspicions = max(merged[i].Crashes, l.Crashes), max(merged[i].Suspicions, l.Suspicions)
	}
	return merged
}
