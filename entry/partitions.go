package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/radishgate/radishgate/home"
)

// owner names the member that should own a partition: the same for all whose
// views agree.
func (e *Entry) owner(index int) string {
	ring := home.Ring{}
	for _, r := range e.members.Live("") {
		ring.Members = append(ring.Members, home.Member{ID: r.ID, Weight: 1})
	}
	return ring.Home("partition/" + strconv.Itoa(index))
}

// ownLoop acquires the partitions that this entry should own before the first
// key needs them, and lets go of the others.
func (e *Entry) ownLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b := e.rollout.Bundle()
		if b == nil || !e.Ready() {
			continue
		}
		for index := range b.Rules.Partitions {
			e.own(ctx, index)
		}
	}
}

func (e *Entry) own(ctx context.Context, index int) {
	p := e.partition(index)
	should := e.owner(index) == e.settings.VM
	switch {
	case should && !p.Owned():
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if p.Acquire(ctx) == nil {
			e.measures.Changes.WithLabelValues("partition").Inc()
			e.log.Info("partition acquired", "partition", index)
		}
	case !should && p.Owned():
		p.Release()
		e.log.Info("partition released", "partition", index)
	}
}
