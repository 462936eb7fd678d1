package member

import "time"

// UnheardInAnyZone reports whether any member of any zone is not heard at present, although it may be running, and was
// heard after a time. Members that were leaving, or whose address refuses connections, do not count.
func (t *Table) UnheardInAnyZone(after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.views {
		if t.effectiveState(v) != Alive && !v.record.Leaving && v.refusedCount < maxRefusals && v.heardAt.After(after) {
			return true
		}
	}
	return false
}
