package submission

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// Explain sets the route and group of a new job, or the refusal if it would be refused before it is sent to a group. If
// the explanation names a group, the job goes to that one. detour is Options.Detour, but takes no free slots.
func (t *Tracker) Explain(e *explanation.Explanation, b *batch.Batch, detour func(group string, tasks int) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refuse := func(reason string, delay time.Duration) {
		e.Group, e.Refusal = "", &explanation.Refusal{Reason: reason, Retry: e.At.Add(delay)}
	}
	if t.options.Isolated() {
		refuse(reasonIsolated, isolatedRetryDelay)
		return
	}
	if t.stopping {
		refuse(reasonStopping, retryDelay)
		return
	}
	e.Route = explanation.Named
	if e.Group == "" {
		e.Route, e.Group = explanation.Own, t.options.GroupOf(b)
	}
	switch group := t.options.Redirect(b.ID, e.Group); group {
	case "":
		refuse(reasonNoZoneLeft, noZoneRetryDelay)
		return
	case e.Group:
	default:
		e.Route, e.Group = explanation.Evacuated, group
		b.SpilledOver = true
	}
	if b.SpilledOver {
		return
	}
	if group := detour(e.Group, b.Tasks()); group != "" {
		e.Route, e.Group = explanation.Detour, group
		b.SpilledOver = true
	}
}
