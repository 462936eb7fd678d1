package history

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

var (
	seedCount = flag.Uint64("seeds", 40, "number of schedules to run")
	firstSeed = flag.Uint64("from", 1, "first seed")
	endings   = flag.Bool("endings", false, "also fail if a worker forgets an ending, as acknowledged, that none of its responses has listed")
	faultWord = flag.String("faults", "", "play only faults whose name contains this")
)

// Parameters of a schedule.
const (
	entryCount    = 3
	workerCount   = 5
	faultDuration = 7 * time.Second       // no new fault begins in the last 3 s
	recoveryTime  = 4 * time.Second       // jobs are sent this long after the faults; longer than any fault lasts
	jobInterval   = 50 * time.Millisecond // keeps about 60% of the workers' slots busy
)

// client submits a job until it gets an answer and records the results.
type client struct {
	id        string
	tasks     int
	sentAt    time.Time
	lostEntry bool // an entry ended before it answered a request
	results   []batch.Result
}

func (c *client) run(w *world) {
	for range 4 {
		alive := w.liveEntries()
		if len(alive) == 0 {
			time.Sleep(resendAfter)
			continue
		}
		e := alive[w.randomInt(len(alive))]
		b := newBatch(c.id, c.tasks)
		result := make(chan batch.Result, 1)
		// An entry that is killed no longer answers, but what it has sent to other
		// entries and workers stays in effect.
		w.goroutines.Go(func() {
			r := e.tracker.Submit(context.Background(), b)
			if e.ctx.Err() == nil {
				result <- r
			}
		})
		select {
		case r := <-result:
			c.results = append(c.results, r)
			return
		case <-e.ctx.Done():
			c.lostEntry = true
			time.Sleep(resendAfter)
		}
	}
}

// faults are the faults that a schedule picks at random.
var faults = []struct {
	name  string
	begin func(w *world)
}{
	{"an entry loses power", func(w *world) { w.restart(w.randomInt(entryCount), 300) }},
	{"all entries lose power", func(w *world) {
		for i := range entryCount {
			w.restart(i, 300)
		}
	}},
	{"all entries but one lose power in turn", func(w *world) {
		for i := range entryCount - 1 {
			w.restart(i, 300)
			time.Sleep(time.Duration(w.randomInt(900)) * time.Millisecond)
		}
	}},
	{"an entry stops", func(w *world) {
		index := w.randomInt(entryCount)
		e := w.entry(index)
		if e.ctx.Err() == nil {
			e.stop()
			w.restart(index, 200)
		}
	}},
	{"two entries cannot reach each other", func(w *world) {
		w.blockLink(fmt.Sprintf("e%d", w.randomInt(entryCount)), fmt.Sprintf("e%d", w.randomInt(entryCount)), w.randomDuration(2500))
	}},
	{"an entry cannot reach the others", func(w *world) {
		a, duration := w.randomInt(entryCount), w.randomDuration(2500)
		for b := range entryCount {
			if a != b {
				w.blockLink(fmt.Sprintf("e%d", a), fmt.Sprintf("e%d", b), duration)
			}
		}
	}},
	{"the zone is split", func(w *world) {
		// One side has one entry and two workers.
		e, first, duration := w.randomInt(entryCount), w.randomInt(workerCount), 1500*time.Millisecond+w.randomDuration(1500)
		inside := map[string]bool{
			fmt.Sprintf("e%d", e): true, fmt.Sprintf("w%d", first): true, fmt.Sprintf("w%d", (first+1)%workerCount): true,
		}
		for a := range entryCount {
			name := fmt.Sprintf("e%d", a)
			for b := range workerCount {
				if other := fmt.Sprintf("w%d", b); inside[name] != inside[other] {
					w.blockLink(name, other, duration)
				}
			}
			for b := range entryCount {
				if other := fmt.Sprintf("e%d", b); inside[name] != inside[other] {
					w.blockLink(name, other, duration)
				}
			}
		}
	}},
	{"an entry cannot reach a worker", func(w *world) {
		w.blockLink(fmt.Sprintf("e%d", w.randomInt(entryCount)), fmt.Sprintf("w%d", w.randomInt(workerCount)), w.randomDuration(2500))
	}},
	{"no entry can reach a worker", func(w *world) {
		index, duration := w.randomInt(workerCount), w.randomDuration(2500)
		for e := range entryCount {
			w.blockLink(fmt.Sprintf("e%d", e), fmt.Sprintf("w%d", index), duration)
		}
	}},
	{"a worker's answers are lost", func(w *world) {
		index, duration := w.randomInt(workerCount), w.randomDuration(2500)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answersLostUntil[fmt.Sprintf("w%d", index)] = time.Now().Add(duration)
	}},
	{"a worker crashes", func(w *world) { w.startWorker(w.randomInt(workerCount)) }},
	// The new incarnation registers late, and runs nothing that the old one ran.
	{"a worker starts again under its ID", func(w *world) { w.restartSoon(w.randomInt(workerCount)) }},
	{"workers start again under their IDs", func(w *world) {
		var group sync.WaitGroup
		for i := range workerCount {
			if w.randomChance(0.6) {
				group.Go(func() { w.restartSoon(i) })
			}
		}
		group.Wait()
	}},
	{"a worker's answers are late", func(w *world) {
		index, duration := w.randomInt(workerCount), w.randomDuration(1500)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answersLateUntil[fmt.Sprintf("w%d", index)] = time.Now().Add(duration)
	}},
	{"orders are executed late", func(w *world) {
		w.mu.Lock()
		w.lateOrderChance = 0.05
		w.mu.Unlock()
		time.Sleep(w.randomDuration(1500))
		w.mu.Lock()
		w.lateOrderChance = 0
		w.mu.Unlock()
	}},
}

// restartSoon restarts a worker under its ID after a random downtime, often none. Before
// that its answers may be late, so that they arrive after those of the new incarnation.
func (w *world) restartSoon(index int) {
	if w.randomChance(0.5) {
		w.mu.Lock()
		w.answersLateUntil[fmt.Sprintf("w%d", index)] = time.Now().Add(200 * time.Millisecond)
		w.mu.Unlock()
		time.Sleep(time.Duration(50+w.randomInt(150)) * time.Millisecond)
	}
	downtime := time.Duration(0)
	if w.randomChance(0.7) {
		downtime = time.Duration(w.randomInt(900)) * time.Millisecond
	}
	w.restartWorker(index, downtime)
}

func (w *world) randomDuration(maxMillis int) time.Duration {
	return time.Duration(50+w.randomInt(maxMillis)) * time.Millisecond
}

func (w *world) entry(index int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[index]
}

// restart kills an entry and starts a new incarnation of it after a random delay.
func (w *world) restart(index, maxMillis int) {
	w.entry(index).kill()
	w.goroutines.Go(func() {
		time.Sleep(200*time.Millisecond + w.randomDuration(maxMillis))
		if w.entry(index).ctx.Err() != nil && !w.finished.Load() {
			w.startEntry(index)
		}
	})
}

// TestSchedules runs random schedules of overlapping faults and guards against two
// concurrent runs of a task, overloaded workers, refused jobs that have started,
// jobs reported as completed that are not, and jobs not served after the faults.
func TestSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	// The clock of a synctest bubble starts in 2000, but epochs of fencing tokens count from 2026.
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	w := newWorld(seed, entryCount, workerCount)
	startedAt := time.Now()
	var injected []string
	var clients []*client
	var clientGroup, faultGroup sync.WaitGroup
	time.Sleep(time.Second)
	faultsEnd := time.Now().Add(faultDuration)
	faultGroup.Go(func() {
		for time.Now().Before(faultsEnd.Add(-3 * time.Second)) {
			f := faults[w.randomInt(len(faults))]
			if !strings.Contains(f.name, *faultWord) {
				continue
			}
			injected = append(injected, fmt.Sprintf("%5d ms %s", time.Since(startedAt).Milliseconds(), f.name))
			faultGroup.Go(func() { f.begin(w) })
			time.Sleep(w.randomDuration(900))
		}
	})
	for i := 0; time.Now().Before(faultsEnd.Add(recoveryTime)); i++ {
		c := &client{id: fmt.Sprintf("%016x", i+1), tasks: 1 + w.randomInt(3), sentAt: time.Now()}
		clients = append(clients, c)
		clientGroup.Go(func() { c.run(w) })
		time.Sleep(jobInterval)
	}
	clientGroup.Wait()
	faultGroup.Wait()
	// fail also prints the log lines that contain the word or report a change or conflict of holders.
	fail := func(word, format string, args ...any) {
		t.Errorf(format, args...)
		t.Logf("injected faults: %q", injected)
		t.Log(w.matchingLogLines(word, "group taken", "group given up", "another holder", "started again", "worker dropped", "fenced anew",
			"worker crashes", "worker starts", "registration published"))
	}
	overlapping, overloaded := w.monitor.Violations()
	switch {
	case len(overlapping) > 0:
		fail(overlapping[0], "tasks with concurrent runs: %v; overloaded workers: %v; want none", overlapping, overloaded)
	case len(overloaded) > 0:
		// "started again" selects the log lines of holders about restarted workers.
		fail("started again", "overloaded workers: %v, want none", overloaded)
	}
	if unseen := w.monitor.Unseen(); *endings && len(unseen) > 0 {
		fail(unseen[0], "tasks whose endings were forgotten unseen: %v, want none", unseen)
	}
	for _, c := range clients {
		if reason := c.violation(w, faultsEnd.Add(recoveryTime/2)); reason != "" {
			fail(c.id, "job %s, sent after %d ms: %s, %+v", c.id, c.sentAt.Sub(startedAt).Milliseconds(), reason, c.results)
			break
		}
	}
	w.finished.Store(true)
	for _, e := range w.liveEntries() {
		e.kill()
	}
	w.goroutines.Wait()
	time.Sleep(recoveryTime) // lets calls of the trackers that nothing waits for end
}

// violation compares the result that the client got with the runs on the workers. It
// returns a description of the first contradiction, or "".
func (c *client) violation(w *world, faultFreeFrom time.Time) string {
	state := batch.Unknown
	if len(c.results) > 0 {
		state = c.results[0].State
	}
	succeeded, started := 0, 0
	for i := range c.tasks {
		starts, ok := w.monitor.TaskRuns(batch.TaskName(c.id, 0, 0, i))
		if starts > 0 {
			started++
		}
		if ok {
			succeeded++
		}
	}
	switch {
	case state == batch.Completed && succeeded < c.tasks:
		return "reported as completed, but not all of its tasks have succeeded"
	case state == batch.Refused && started > 0 && !c.lostEntry:
		return "refused, but a task has started"
	case c.sentAt.After(faultFreeFrom) && state != batch.Completed && state != batch.Failed:
		return "not served although no fault was active"
	}
	return ""
}
