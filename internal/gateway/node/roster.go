package node

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/platform"
)

// rosterTopic is the internal topic in which the holder of a group publishes which workers of the group answer.
// After the loss of all entries, the next holder sees by it that live workers have not registered again.
const rosterTopic = "rosters"

// Intervals of the roster loop.
const (
	rosterInterval   = time.Second            // between checks for changes, and so between writes
	rosterRetryDelay = 200 * time.Millisecond // between attempts to read the rosters
)

// rosters holds the workers of each group as earlier holders have published them, and what the own holders
// have. Workers are named by hashes of their IDs. It is safe for concurrent use.
type rosters struct {
	mu        sync.Mutex
	listed    map[uint64]bool     // registered workers
	read      bool                // published has been read
	published map[string][]uint64 // by group, as of the start of this entry
	written   map[string][]uint64 // by group, what this entry has written last
}

// set stores the records that were read at the start.
func (r *rosters) set(records []platform.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read, r.published = true, map[string][]uint64{}
	for _, record := range records {
		r.published[record.Key] = unpackRoster(record.Value)
	}
}

// setListed stores which workers are registered.
func (r *rosters) setListed(list []platform.Registration) {
	listed := map[uint64]bool{}
	for _, w := range list {
		listed[xxhash.Sum64String(w.ID)] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = listed
}

// lacks reports whether any worker of a group is not registered, by what an earlier holder has published,
// or this has not been read.
func (r *rosters) lacks(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.read || slices.ContainsFunc(r.published[group], func(worker uint64) bool { return !r.listed[worker] })
}

// changed reports whether the workers of a group differ from those that were written last.
func (r *rosters) changed(group string, workers []uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	written, known := r.written[group]
	return !known || !slices.Equal(written, workers)
}

// noteWritten records the workers of a group that were written.
func (r *rosters) noteWritten(group string, workers []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written == nil {
		r.written = map[string][]uint64{}
	}
	r.written[group] = workers
}

// retain forgets what was written for groups that are not held any more.
func (r *rosters) retain(held func(group string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for group := range r.written {
		if !held(group) {
			delete(r.written, group)
		}
	}
}

func packRoster(workers []uint64) []byte {
	value := make([]byte, 0, 8*len(workers))
	for _, w := range workers {
		value = binary.BigEndian.AppendUint64(value, w)
	}
	return value
}

// unpackRoster ignores what follows the last whole number.
func unpackRoster(value []byte) []uint64 {
	var workers []uint64
	for ; len(value) >= 8; value = value[8:] {
		workers = append(workers, binary.BigEndian.Uint64(value))
	}
	return workers
}

// rosterLoop reads the rosters once and then publishes those of the groups that this entry holds.
func (n *Node) rosterLoop(ctx context.Context) {
	topic := n.store.KeyedFeed(rosterTopic)
	for failures := 0; !n.readRosters(ctx, topic.Newest, failures == 0); failures++ {
		wait.For(ctx, rosterRetryDelay)
		if ctx.Err() != nil {
			return
		}
	}
	for ; ctx.Err() == nil; wait.For(ctx, rosterInterval) {
		n.publishRosters(ctx, topic.Put)
	}
}

// readRosters reads the rosters and reports whether that succeeded.
func (n *Node) readRosters(ctx context.Context, newest func(ctx context.Context) ([]platform.KeyedRecord, int64, error), logFailure bool) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, _, err := newest(ctx)
	if err != nil {
		if logFailure {
			n.log.Warn("workers of earlier holders not read", "error", err)
		}
		return false
	}
	n.rosters.set(records)
	n.settleFirstLists()
	return true
}

// publishRosters writes the workers of each held group if they have changed. A list that may lack workers
// is not written.
func (n *Node) publishRosters(ctx context.Context, put func(ctx context.Context, key string, value []byte) error) {
	holders := n.currentHolders()
	n.rosters.retain(func(group string) bool { return holders[group] != nil })
	for group, h := range holders {
		if h.WorkersIncomplete() || !n.registryState.isLoaded() {
			continue
		}
		var workers []uint64
		for _, id := range h.AnsweringWorkers() {
			workers = append(workers, xxhash.Sum64String(id))
		}
		slices.Sort(workers)
		if !n.rosters.changed(group, workers) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := put(ctx, group, packRoster(workers))
		cancel()
		if err != nil {
			n.log.Warn("workers of a group not published", "group", group, "workers", len(workers), "error", err)
			continue
		}
		n.rosters.noteWritten(group, workers)
	}
}

// settleFirstLists tells holders that count their list of workers as incomplete since it lacked workers of
// an earlier holder, or since these had not been read, once it lacks none.
func (n *Node) settleFirstLists() {
	for group, h := range n.currentHolders() {
		c, claimed := n.claims.Holder(group)
		if !claimed || !n.claims.IsFirst(c) || !h.WorkersIncomplete() {
			continue
		}
		n.mu.Lock()
		failed := n.firstReadFailed || n.registryOutdated
		n.mu.Unlock()
		if !failed && !n.rosters.lacks(group) {
			n.log.Info("list of workers is complete", "group", group)
			h.WorkersComplete()
		}
	}
}
