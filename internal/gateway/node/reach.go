package node

import (
	"time"

	"github.com/radishgate/radishgate/internal/gateway/isolation"
)

// updateIsolation passes what this entry knows to a method of the isolation detector and
// logs when the isolation begins or ends.
func (n *Node) updateIsolation(update func(isolation.View, time.Time) bool) {
	now := time.Now()
	var view isolation.View
	for i := range n.settings.Groups {
		group := groupName(n.settings.Zone, i)
		_, known := n.currentHolder(group)
		view.HolderKnown = view.HolderKnown || known
		view.Suspended = view.Suspended || n.claims.Suspended(group, now)
		if h, held := n.holder(group); held && n.claims.MaySchedule(group, now) {
			view.ServesAlone = view.ServesAlone || h.AnyWorkerAnswers()
		}
	}
	if update(view, now) {
		n.log.Info("isolation of the entry changed", "zone", n.settings.Zone, "isolated", n.isolation.Isolated(now),
			"holder_known", view.HolderKnown, "serves_alone", view.ServesAlone)
	}
}

// detour returns another group with free slots for a new job whose group has no holder at
// present, or one that has stopped answering, and "" if there is none. While clients of a lost
// entry may send jobs again there is none: an earlier run of such a job may go on in its group for
// as long as the lease that the silent holder has granted.
func (n *Node) detour(group string, tasks int) string {
	return n.detourBy(group, tasks, n.freeSlots.take)
}

// detourBy is detour with a function that finds a group with free slots for a number of tasks, other than the given one.
func (n *Node) detourBy(group string, tasks int, find func(except string, tasks int) string) string {
	if n.answers(group) {
		return ""
	}
	holder, _ := n.claims.Holder(group)
	if n.members.LostSince(time.Now().Add(-n.settings.ClientRetryAfter-resendMargin), holder.Holder) {
		return ""
	}
	other := find(group, tasks)
	if other == "" || !n.answers(other) {
		return ""
	}
	return other
}

// resendMargin covers the time by which a client sends later than it should.
const resendMargin = 300 * time.Millisecond

// answers reports whether a group has a live holder that is not silent.
func (n *Node) answers(group string) bool {
	h, known := n.currentHolder(group)
	return known && (h.Local || !n.silence.Silent(h.ID, time.Now()))
}
