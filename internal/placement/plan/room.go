package plan

import (
	"time"

	"github.com/radishgate/radishgate/internal/work/resources"
)

// formerRoom is the largest amount of each resource that workers of a service had before they
// shrank or went, if that was not long ago. They may grow again, or be back, while the client of
// a job waits.
type formerRoom struct {
	capacity resources.Resources
	until    time.Time // when it does not count any more
}

// formerRoomSpan is how long the former capacity of a worker counts. A worker that has crashed is
// back after some seconds, and most clients wait no longer than this.
const formerRoomSpan = 10 * time.Second

// noteFormerRoom records that a worker loses the capacity that it has had.
func (p *Plan) noteFormerRoom(w *worker) {
	former := p.formerRoom[w.Service]
	if !p.now.Before(former.until) {
		former.capacity = resources.Resources{}
	}
	p.formerRoom[w.Service] = formerRoom{capacity: former.capacity.Max(w.Capacity), until: p.now.Add(formerRoomSpan)}
}
