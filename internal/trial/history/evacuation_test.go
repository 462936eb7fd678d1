package history

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/feed"
	"github.com/radishgate/radishgate/internal/gateway/submission"
	"github.com/radishgate/radishgate/internal/placement/holder"
	"github.com/radishgate/radishgate/internal/placement/plan"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

var evacuationPlays = flag.Uint64("evacuations", 4, "how often each order of events of TestEvacuationInAnyOrder is played")

const (
	// neighbourGroup is the group of the neighbour, as the entries of the evacuated zone name it. Both worlds call
	// their own group a/0.
	neighbourGroup    = "b/0"
	evacuationLimit   = time.Second // from the storing of a record, or the end of an outage, until it is in force
	operatorPoll      = 800 * time.Millisecond
	operatorPollStep  = 10 * time.Millisecond
	truncatedShare    = 0.1 // of the reads, after which the history has been truncated
	partialShare      = 0.3 // of the entries, whose first list of the newest records is partial
	maxEventGapMillis = 1200
	evacuationTime    = 3 * time.Second // for which jobs are sent after the last event
)

// operatorTopic is the topic keyed.op of the platform's store. Offsets are indexes of records.
type operatorTopic struct {
	mu       sync.Mutex
	records  []platform.KeyedRecord
	storedAt time.Time       // when the evacuation was stored; zero while there is none
	ordered  map[string]bool // starts of which a copy was sent
	late     []string        // starts that were ordered or executed although the zone was evacuated
	outage   [2]time.Time    // beginning and end of the outage
}

// noteOrder notes a start that an entry sends. The first copy is late if the entry knows that the zone is evacuated, or
// does not know the evacuations.
func (o *operatorTopic) noteOrder(e *entry, start string) {
	known := e.planEvacuations()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ordered[start] && (known.Unknown || known.Zones["a"]) {
		o.late = append(o.late, fmt.Sprintf("%s, ordered by %s, which knows %+v", start, e.id, known))
	}
	o.ordered[start] = true
}

// noteStart notes a start that a worker of the zone executes.
func (o *operatorTopic) noteStart(task string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.storedAt.IsZero() {
		return
	}
	limit := o.storedAt.Add(evacuationLimit)
	if o.outage[0].Before(limit) && o.outage[1].After(o.storedAt) {
		limit = o.outage[1].Add(evacuationLimit)
	}
	if time.Now().After(limit) {
		o.late = append(o.late, fmt.Sprintf("%s, executed %v after the evacuation was stored", task, time.Since(o.storedAt)))
	}
}

// put appends a record to the topic once the store is there.
func (o *operatorTopic) put(w *world, key, value string) {
	for w.active(storeAway) {
		time.Sleep(failedReadDelay)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = append(o.records, platform.KeyedRecord{Key: key, Value: []byte(value), Offset: int64(len(o.records))})
	o.storedAt = time.Time{}
	if value != "" {
		o.storedAt = time.Now()
	}
	w.log("fault").Info("record stored", "key", key, "value", value)
}

// from returns the records from an offset on.
func (o *operatorTopic) from(offset int64) []platform.KeyedRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.records[offset:])
}

// follower returns the follower that an entry reads the topic with, as in package node.
func (o *operatorTopic) follower(e *entry) *feed.Follower {
	var next int64
	var partial, listed bool
	answers := func() bool {
		time.Sleep(e.linkDelay())
		return !e.active(storeAway) && !e.active(cutFromStore(e.id))
	}
	return &feed.Follower{
		Name: "configuration", Wait: operatorPoll, Relist: true, Log: e.log(e.id), OnUnavailable: func() {}, OnAvailable: func() {},
		OnPosition: func(offset int64, incomplete bool) { next, partial = offset, incomplete },
		Reset:      func(records []platform.KeyedRecord) { e.evacuations.Reset(records, next, partial) },
		Apply:      func(records []platform.KeyedRecord) { e.evacuations.Apply(records, next) },
		Feed: platform.Feed{
			Reconnect: func() {},
			Newest: func(context.Context) ([]platform.KeyedRecord, int64, error) {
				if !answers() {
					return nil, 0, errUnreachable
				}
				all := o.from(0)
				newest := map[string]platform.KeyedRecord{}
				for _, k := range all {
					newest[k.Key] = k
				}
				var records []platform.KeyedRecord
				for _, k := range newest {
					records = append(records, k)
				}
				first := !listed
				listed = true
				if first && e.randomChance(partialShare) {
					return nil, int64(len(all)), &platform.IncompleteError{Topic: "keyed.op"}
				}
				return records, int64(len(all)), nil
			},
			Read: func(ctx context.Context, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error) {
				for end := time.Now().Add(wait); ; time.Sleep(operatorPollStep) {
					if !answers() {
						return nil, from, errUnreachable
					}
					if records := o.from(from); len(records) > 0 || ctx.Err() != nil || !time.Now().Before(end) {
						if len(records) > 0 && e.randomChance(truncatedShare) {
							return nil, from, &platform.TruncatedError{Topic: "keyed.op", Offset: from, FirstOffset: from + 1}
						}
						return records, from + int64(len(records)), nil
					}
				}
			},
		},
	}
}

// evacuationNews returns what a heartbeat says of the evacuations, nil if nothing.
func (e *entry) evacuationNews() *wire.Evacuations {
	if e.evacuations == nil || !e.evacuations.State().Known {
		return nil
	}
	state := e.evacuations.State()
	news := &wire.Evacuations{Offset: uint64(state.Offset)}
	for zone := range state.Zones {
		news.Zones = append(news.Zones, zone)
	}
	return news
}

func (e *entry) mergeEvacuations(news *wire.Evacuations) {
	if news != nil {
		e.evacuations.Merge(news.Offset, news.Zones)
	}
}

// planEvacuations returns the evacuations for the plan of the holder.
func (e *entry) planEvacuations() plan.Evacuations {
	if e.evacuations == nil {
		return plan.Evacuations{}
	}
	state := e.evacuations.State()
	return plan.Evacuations{Unknown: !state.Known, Zones: state.Zones}
}

func (e *entry) evacuationTarget(string) string {
	if e.operators != nil {
		if _, held := e.neighbour.presentHolder(); held {
			return neighbourGroup
		}
	}
	return ""
}

func (e *entry) redirect(id, of string) string {
	if of != group || !e.planEvacuations().Zones["a"] {
		return of
	}
	return e.evacuationTarget(id)
}

// checkedStart sends a start after the topic has noted it.
func (e *entry) checkedStart(ctx context.Context, to platform.Target, request platform.StartRequest) (platform.Report, error) {
	if e.operators != nil {
		e.operators.noteOrder(e, fmt.Sprint(request.Task, " ", request.Run, " ", request.Token))
	}
	return e.workerClient.Start(ctx, to, request)
}

// presentHolder returns the holder of the zone as another zone knows it.
func (w *world) presentHolder() (submission.GroupHolder, bool) {
	for _, o := range w.liveEntries() {
		o.lock.Lock()
		h := o.holder
		o.lock.Unlock()
		if h != nil {
			return submission.GroupHolder{Group: neighbourGroup, Epoch: h.Epoch(), ID: o.id}, true
		}
	}
	return submission.GroupHolder{}, false
}

// callNeighbour calls the holder of the neighbour.
func (e *entry) callNeighbour(ctx context.Context, to submission.GroupHolder, places bool, call func(h *holder.Holder)) (bool, error) {
	for _, o := range e.neighbour.liveEntries() {
		if o.id != to.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, entryCallTimeout)
		defer cancel()
		if err := e.transmit(ctx, e.id, neighbourGroup); err != nil {
			return false, err
		}
		held := o.executeCall(to.Epoch, places, call)
		return held, e.transmit(ctx, neighbourGroup, e.id)
	}
	return false, errUnreachable
}

// evacuationEvents are the events of a play. Each returns once the next one may begin.
var evacuationEvents = []struct {
	name  string
	begin func(w *world)
}{
	{"evacuation", func(w *world) { w.operators.put(w, "evacuate/a", "{}") }},
	{"takeover", func(w *world) {
		switch w.randomInt(3) {
		case 0:
			w.restart(w.holderIndex(), 300)
		case 1:
			index := w.holderIndex()
			w.entry(index).stop()
			w.restart(index, 200)
		default:
			for i := range entryCount {
				w.restart(i, 300)
			}
		}
	}},
	{"outage", func(w *world) {
		duration := w.randomDuration(2500)
		if w.randomChance(0.3) {
			w.activate(cutFromStore(entryName(w.holderIndex())), 1, duration)
			return
		}
		w.operators.mu.Lock()
		w.operators.outage = [2]time.Time{time.Now(), time.Now().Add(duration)}
		w.operators.mu.Unlock()
		w.activate(storeAway, 1, duration)
	}},
}

// TestEvacuationInAnyOrder plays an evacuation, a takeover and an outage of the store in each order, with times between
// them at random, and in half of the plays takes the zone back. It guards against tasks that start in the evacuated zone later than 1 s after the record
// was stored, or by order of an entry that knows of it, against two concurrent runs of a task, jobs that are
// refused although they have started, and jobs that the other zone does not serve.
func TestEvacuationInAnyOrder(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		name := ""
		for _, i := range order {
			name += evacuationEvents[i].name + " "
		}
		for seed := range *evacuationPlays {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playEvacuation(t, seed, order) })
			})
		}
	}
}

func playEvacuation(t *testing.T, seed uint64, order []int) {
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	w := newZone(2*seed, 0, workerCount, "first-", &worker.RunMonitor{})
	w.operators = &operatorTopic{ordered: map[string]bool{}, records: []platform.KeyedRecord{{Key: "config", Value: []byte("{}")}}}
	w.neighbour = newZone(2*seed+1, entryCount, workerCount, "second-", w.monitor)
	w.neighbour.neighbour = w
	var starts [2]atomic.Int64 // by zone
	w.startRun = func(task string) time.Duration {
		w.operators.noteStart(task)
		starts[0].Add(1)
		return 0
	}
	w.neighbour.startRun = func(string) time.Duration {
		starts[1].Add(1)
		return 0
	}
	w.entries = make([]*entry, entryCount)
	for i := range entryCount {
		w.startEntry(i)
	}
	time.Sleep(time.Second)
	var clients []*client
	var group sync.WaitGroup
	var over atomic.Bool     // no event begins any more, and no client sends a long job, as in TestSchedules
	var settled atomic.Int64 // time in ms from which jobs are served
	settled.Store(1 << 60)
	startedAt := time.Now()
	group.Go(func() {
		time.Sleep(time.Second)
		for _, i := range order {
			group.Go(func() { evacuationEvents[i].begin(w) })
			time.Sleep(w.randomDuration(maxEventGapMillis))
		}
		over.Store(true)
		time.Sleep(recoveryTime)
		settled.Store(time.Since(startedAt).Milliseconds())
		time.Sleep(evacuationTime / 2)
		if w.randomChance(0.5) {
			w.operators.put(w, "evacuate/a", "")
		}
		time.Sleep(evacuationTime / 2)
		w.calm.Store(true)
	})
	for i := 0; !w.calm.Load(); i++ {
		c := &client{id: jobID(i), tasks: 1 + w.randomInt(3), sentAt: time.Now(), long: !over.Load() && w.randomChance(longJobShare)}
		clients = append(clients, c)
		group.Go(func() { c.run(w) })
		time.Sleep(jobInterval)
	}
	group.Wait()
	if late := w.operators.late; len(late) > 0 {
		t.Errorf("%d starts in the evacuated zone, first: %s", len(late), late[0])
	}
	overlapping, overloaded := w.monitor.Violations()
	if len(overlapping)+len(overloaded) > 0 {
		t.Errorf("tasks with concurrent runs: %v; overloaded workers: %v; want none", overlapping, overloaded)
	}
	for _, c := range clients {
		if reason := c.violation(w, startedAt.Add(time.Duration(settled.Load())*time.Millisecond)); reason != "" {
			t.Errorf("job %s, sent after %d ms: %s, %+v", c.id, c.sentAt.Sub(startedAt).Milliseconds(), reason, c.results)
			t.Log(w.matchingLogLines(c.id, "at=fault", "group taken"), "neighbour:\n", w.neighbour.matchingLogLines(c.id))
			break
		}
	}
	if starts[0].Load() == 0 || starts[1].Load() == 0 {
		t.Errorf("starts by zone: %d, %d; want some in both", starts[0].Load(), starts[1].Load())
	}
	w.end()
	w.neighbour.end()
}
