package routes

import (
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/platform"
)

// Named returns the settings of the queue with a name.
func (t *Table) Named(name string) (batch.QueueSettings, platform.LookupStatus) {
	n := t.current.Load()
	if n == nil {
		return batch.QueueSettings{}, platform.NoConfiguration
	}
	for _, q := range n.Queues {
		if q.Queue == name {
			return q.QueueSettings, platform.Found
		}
	}
	return batch.QueueSettings{}, platform.NoQueue
}
