package holder

import (
	"time"

	"github.com/radishgate/radishgate/platform"
)

// endedWorker is a worker at whose address another one answered. Its registration may stay for
// some seconds.
type endedWorker struct {
	address        string
	startUnixMilli int64
	checkAt        time.Time // when it is called again if it is still registered
}

// endedCheckDelay is the time after which a worker that has ended is called again if it is still
// registered. A registration outlives its worker by a few heartbeats, which is less.
const endedCheckDelay = 10 * time.Second

// hasEnded reports whether a registration is of an incarnation that has ended. The caller holds
// the lock.
func (h *Holder) hasEnded(r platform.Registration, now time.Time) bool {
	e, found := h.ended[r.ID]
	if found && e.address == r.Address && e.startUnixMilli == r.StartUnixMilli && now.Before(e.checkAt) {
		return true
	}
	delete(h.ended, r.ID)
	return false
}
