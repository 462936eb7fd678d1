package node

import (
	"sync"
	"time"

	"github.com/radishgate/radishgate/peer/wire"
)

// maxVacancyAge is the age from which a count of room is not used any more: some
// heartbeats between zones.
const maxVacancyAge = 700 * time.Millisecond

// vacancy is what the holder of a group has told of its room.
type vacancy struct {
	epoch      uint64
	sequence   uint64
	tasks      int
	receivedAt time.Time // when the news came here
}

// vacancies is the latest news of each group.
type vacancies struct {
	mu       sync.Mutex
	sequence uint64
	groups   map[string]vacancy
}

// merge takes what is newer than what is known.
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

// pack gives all news for a heartbeat.
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

// others gives the room of all groups but one.
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

// setOwn puts in the room of the groups that this entry holds.
func (v *vacancies) setOwn(group string, epoch uint64, tasks int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	v.groups[group] = vacancy{epoch: epoch, sequence: v.sequence, tasks: tasks, receivedAt: time.Now()}
}

// refreshVacancies refreshes the news of the own groups and tells the own holders
// of the others.
func (n *Node) refreshVacancies() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for group, h := range n.holders {
		if c, ok := n.claims.Holder(group); ok {
			n.vacancies.setOwn(group, c.Epoch, h.Vacancy())
		}
		h.Vacancies(n.vacancies.others(group))
	}
}
