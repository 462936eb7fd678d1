package node

import (
	"sync"
	"time"

	"github.com/radishgate/radishgate/peer/wire"
)

// maxVacancyAge is the age from which a vacancy is no longer used. It spans several
// heartbeats between zones.
const maxVacancyAge = 700 * time.Millisecond

// vacancy is the free capacity that the holder of a group last reported, in tasks.
type vacancy struct {
	epoch      uint64
	sequence   uint64
	tasks      int
	receivedAt time.Time // on the local clock
}

// vacancies holds the latest vacancy of each group. It is safe for concurrent use.
type vacancies struct {
	mu       sync.Mutex
	sequence uint64
	groups   map[string]vacancy
}

// merge takes over the vacancies that are newer than the known ones, by epoch and
// sequence.
func (v *vacancies) merge(received []*wire.Vacancy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range received {
		known := v.groups[w.Group]
		if w.Epoch < known.epoch || w.Epoch == known.epoch && w.Turn <= known.sequence {
			continue
		}
		v.groups[w.Group] = vacancy{epoch: w.Epoch, sequence: w.Turn, tasks: int(w.Tasks), receivedAt: time.Now()}
	}
}

// pack returns the vacancies that are recent enough, for a heartbeat.
func (v *vacancies) pack() []*wire.Vacancy {
	v.mu.Lock()
	defer v.mu.Unlock()
	var packed []*wire.Vacancy
	for group, known := range v.groups {
		if time.Since(known.receivedAt) < maxVacancyAge {
			packed = append(packed, &wire.Vacancy{Group: group, Epoch: known.epoch, Turn: known.sequence, Tasks: uint32(known.tasks)})
		}
	}
	return packed
}

// others returns the free capacity of all groups but one, in tasks.
func (v *vacancies) others(own string) map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	tasks := map[string]int{}
	for group, known := range v.groups {
		if group != own && time.Since(known.receivedAt) < maxVacancyAge {
			tasks[group] = known.tasks
		}
	}
	return tasks
}

// setOwn sets the free capacity of a group that this entry holds.
func (v *vacancies) setOwn(group string, epoch uint64, tasks int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	v.groups[group] = vacancy{epoch: epoch, sequence: v.sequence, tasks: tasks, receivedAt: time.Now()}
}

// refreshVacancies updates the vacancies of the own groups and passes those of other groups
// to the own holders.
func (n *Node) refreshVacancies() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for group, h := range n.holders {
		if c, ok := n.claims.Holder(group); ok {
			n.vacancies.setOwn(group, c.Epoch, h.FreeSlots())
		}
		h.SetOtherFreeSlots(n.vacancies.others(group))
	}
}
