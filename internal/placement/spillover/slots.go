// Package spillover chooses the group that takes a job which its own group cannot place.
package spillover

// Slots are the free slots of groups, by group: how many tasks of mean size their workers could
// start at once. The reports that they come from are some heartbeats old.
type Slots map[string]int

// Limits of spillover to another group. Its report of free slots is old, so most of them are
// left to the group's own jobs.
const (
	reserve = 6   // free slots of a group that are never used
	share   = 0.5 // largest share of a group's free slots that one job may use
)

// Take returns the group with the most free slots if they are enough for a number of tasks,
// and subtracts these. It returns "" if there is no such group.
func (s Slots) Take(tasks int) string {
	best := ""
	for group, free := range s {
		if free-reserve < tasks || float64(tasks) > share*float64(free) {
			continue
		}
		if best == "" || free > s[best] || free == s[best] && group < best {
			best = group
		}
	}
	if best != "" {
		s[best] -= tasks
	}
	return best
}
