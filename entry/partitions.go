package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/radishgate/radishgate/home"
)

// partitionOwner returns the ID of the member that should own a partition. All
// entries with the same view of the members compute the same owner.
func (e *Entry) partitionOwner(index int) string {
	memberSet := home.MemberSet{}
	for _, r := range e.members.Live("") {
		memberSet.Members = append(memberSet.Members, home.Member{ID: r.ID, Weight: 1})
	}
	return memberSet.HomeOf("partition/" + strconv.Itoa(index))
}

// partitionLoop acquires the partitions that this entry should own, before the
// first key needs them, and releases the others.
func (e *Entry) partitionLoop(ctx context.Context) {
	ticker := time.NewTicker(e.settings.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.keyWindow.Expire()
		b := e.rollout.Bundle()
		if b == nil || !e.Ready() {
			continue
		}
		for index := range b.Rules.Partitions {
			e.reconcilePartition(ctx, index)
		}
	}
}

// reconcilePartition acquires or releases one partition if its present owner is not
// the intended one.
func (e *Entry) reconcilePartition(ctx context.Context, index int) {
	p := e.partition(index)
	p.Expire() // keys of a partition that is no longer used would take the room of others
	shouldOwn := e.partitionOwner(index) == e.settings.VM
	switch {
	case shouldOwn && !p.Owned():
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if p.Acquire(ctx) == nil {
			e.metrics.StateChanges.WithLabelValues("partition").Inc()
			e.log.Info("partition acquired", "partition", index)
		}
	case !shouldOwn && p.Owned():
		p.Release()
		e.log.Info("partition released", "partition", index)
	}
}
