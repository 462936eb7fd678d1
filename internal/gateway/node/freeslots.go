package node

import (
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/placement/spillover"
	"github.com/radishgate/radishgate/peer/wire"
)

// maxFreeSlotsAge is the age from which a report is no longer used: one heartbeat between
// holders may be lost. A group that may have become unreachable gets no more jobs.
const maxFreeSlotsAge = 400 * time.Millisecond

// groupFreeSlots is the last report of the free slots of a group: how many tasks its
// workers could start at once. The group's holder counts them.
type groupFreeSlots struct {
	epoch      uint64
	sequence   uint64
	slots      int
	receivedAt time.Time // on the local clock
}

// freeSlotsTable holds the newest report of each group. It is safe for concurrent use.
type freeSlotsTable struct {
	mu       sync.Mutex
	sequence uint64
	groups   map[string]groupFreeSlots
	excluded func(group string) bool // whether a group gets no work of others; nil means never
}

// merge stores the received reports that are newer than the known ones, by epoch and
// sequence.
func (v *freeSlotsTable) merge(received []*wire.Vacancy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range received {
		known := v.groups[w.Group]
		if w.Epoch < known.epoch || w.Epoch == known.epoch && w.Turn <= known.sequence {
			continue
		}
		v.groups[w.Group] = groupFreeSlots{epoch: w.Epoch, sequence: w.Turn, slots: int(w.Tasks), receivedAt: time.Now()}
	}
}

// pack returns the reports that are recent enough, for a heartbeat.
func (v *freeSlotsTable) pack() []*wire.Vacancy {
	v.mu.Lock()
	defer v.mu.Unlock()
	var packed []*wire.Vacancy
	for group, known := range v.groups {
		if time.Since(known.receivedAt) < maxFreeSlotsAge {
			packed = append(packed, &wire.Vacancy{Group: group, Epoch: known.epoch, Turn: known.sequence, Tasks: uint32(known.slots)})
		}
	}
	return packed
}

// others returns the free slots of all groups but one.
func (v *freeSlotsTable) others(own string) spillover.Slots {
	v.mu.Lock()
	defer v.mu.Unlock()
	slots := spillover.Slots{}
	for group, known := range v.groups {
		if group != own && time.Since(known.receivedAt) < maxFreeSlotsAge && (v.excluded == nil || !v.excluded(group)) {
			slots[group] = known.slots
		}
	}
	return slots
}

// find returns another group than the given one that has free slots for a number of tasks, or "". The slots stay free.
func (v *freeSlotsTable) find(except string, tasks int) string { return v.others(except).Take(tasks) }

// take returns another group than the given one that has free slots for a number of tasks, or
// "". The slots count as used until the next report of that group.
func (v *freeSlotsTable) take(except string, tasks int) string {
	group := v.find(except, tasks)
	if group == "" {
		return ""
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	report := v.groups[group]
	report.slots = max(0, report.slots-tasks)
	v.groups[group] = report
	return group
}

// setOwn sets the free slots of a group that this entry holds.
func (v *freeSlotsTable) setOwn(group string, epoch uint64, slots int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	v.groups[group] = groupFreeSlots{epoch: epoch, sequence: v.sequence, slots: slots, receivedAt: time.Now()}
}

// refreshFreeSlots updates the free slots of the own groups and passes those of other groups
// to the own holders.
func (n *Node) refreshFreeSlots() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for group, h := range n.holders {
		if c, ok := n.claims.Holder(group); ok {
			n.freeSlots.setOwn(group, c.Epoch, h.FreeSlots())
		}
		h.SetOtherFreeSlots(n.freeSlots.others(group))
	}
}
