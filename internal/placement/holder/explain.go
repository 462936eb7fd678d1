package holder

import (
	"time"

	"github.com/radishgate/radishgate/internal/placement/explanation"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// Explain returns what would happen to a job if it were admitted now. Nothing changes by it.
func (h *Holder) Explain(b *batch.Batch) explanation.Placement {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.plan.Explain(b, time.Now())
	e.Group = h.options.Group
	return e
}
