package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/placement/spillover"
	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
)

// hangLimit is after how long a call that needs milliseconds counts as one that never returns.
const hangLimit = 10 * time.Second

// TestMovedJobDoesNotBlockTheWorkerList guards against an entry that stops for good: a change in
// the list of workers lets the plan of one group move a job to another group that this entry holds
// too, which needs the lock of the table of holders.
func TestMovedJobDoesNotBlockTheWorkerList(t *testing.T) {
	n := newLargeNode(t, 1)
	n.settings.Groups = 2
	n.reconcileGroups(n.ctx)
	n.registryState.setLoaded()
	n.reconcileGroups(n.ctx)
	h, held := n.holder(groupName("a", 0))
	if _, other := n.holder(groupName("a", 1)); !held || !other {
		t.Fatal("the entry does not hold both groups")
	}
	now := time.Now()
	job := func(i int) *batch.Batch {
		return &batch.Batch{
			QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: time.Second},
			ID:            fmt.Sprintf("%016x", i), ArrivedAt: now, ExpiresAt: now.Add(time.Minute),
			Steps: []batch.Step{{Count: 1, Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, Hint: time.Second}},
		}
	}
	number := 0
	for n.groupOfJob(job(number)) != groupName("a", 0) {
		number++
	}
	go n.tracker.Submit(t.Context(), job(number))
	for h.Load().Waiting == 0 && time.Since(now) < hangLimit {
		time.Sleep(time.Millisecond)
	}
	// A worker of another service, so that the job still finds no resources.
	id := 0
	for n.groupOfWorker(platform.Registration{ID: fmt.Sprint("w", id), Zone: "a"}) != groupName("a", 0) {
		id++
	}
	n.registry.Apply([]platform.KeyedRecord{{Key: fmt.Sprint("w", id), Offset: 1, Value: []byte(
		`{"backend":"other","address":"127.0.0.1:9","zone":"a","state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"seq":1}`)}}, now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.SetOtherFreeSlots(spillover.Slots{groupName("a", 1): 1000})
		n.syncWorkers()
	}()
	select {
	case <-done:
	case <-time.After(hangLimit):
		t.Fatal("the list of workers is still being applied")
	}
	if waiting := h.Load().Waiting; waiting > 0 {
		t.Fatalf("%d tasks wait in the group that has moved its job", waiting)
	}
}
