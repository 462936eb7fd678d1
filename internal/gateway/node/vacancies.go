package node

import (
	"sync"
	"time"

	"github.com/radishgate/radishgate/peer/wire"
)

// vacancySpan is the age from which a count of room is not used any more: some
// heartbeats between zones.
const vacancySpan = 700 * time.Millisecond

// vacancy is what the holder of a group has told of its room.
type vacancy struct {
	epoch uint64
	turn  uint64
	tasks int
	at    time.Time // when the news came here
}

// vacancies is the latest news of each group.
type vacancies struct {
	mu     sync.Mutex
	turn   uint64
	groups map[string]vacancy
}

// merge takes what is newer than what is known.
func (v *vacancies) merge(news []*wire.Vacancy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range news {
		known := v.groups[w.Group]
		if w.Epoch < known.epoch || w.Epoch == known.epoch && w.Turn <= known.turn {
			continue
		}
		v.groups[w.Group] = vacancy{epoch: w.Epoch, turn: w.Turn, tasks: int(w.Tasks), at: time.Now()}
	}
}

// pack gives all news for a heartbeat.
func (v *vacancies) pack() []*wire.Vacancy {
	v.mu.Lock()
	defer v.mu.Unlock()
	var packed []*wire.Vacancy
	for group, known := range v.groups {
		if time.Since(known.at) < vacancySpan {
			packed = append(packed, &wire.Vacancy{Group: group, Epoch: known.epoch, Turn: known.turn, Tasks: uint32(known.tasks)})
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
		if group != own && time.Since(known.at) < vacancySpan {
			tasks[group] = known.tasks
		}
	}
	return tasks
}

// count puts in the room of the groups that this entry holds.
func (v *vacancies) count(group string, epoch uint64, tasks int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.turn++
	v.groups[group] = vacancy{epoch: epoch, turn: v.turn, tasks: tasks, at: time.Now()}
}

// countVacancies refreshes the news of the own groups and tells the own holders
// of the others.
func (n *Node) countVacancies() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for group, h := range n.holders {
		if c, ok := n.tenure.Holder(group); ok {
			n.vacancies.count(group, c.Epoch, h.FreeSlots())
		}
		h.SetOtherFreeSlots(n.vacancies.others(group))
	}
}
