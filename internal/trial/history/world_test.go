// Package history runs random schedules of faults against simulated entries and
// workers in virtual time and checks the answers against the runs on the workers.
package history

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/standin/worker"
)

// group is the only group of workers in the simulation.
const group = "a/0"

// Durations and sizes of the simulation. The values for clients are those that the
// users of the system have specified.
const (
	resendAfter     = 1300 * time.Millisecond // when a client without an answer sends its job again
	requestDeadline = 1500 * time.Millisecond // deadline of one request
	longDeadline    = 4 * time.Second         // deadline of a request for a job whose tasks outlast a lease
	leaseDuration   = time.Second
	deadHeartbeats  = 6                      // heartbeat intervals without a heartbeat after which an entry counts as dead
	listenTime      = 150 * time.Millisecond // an entry makes no claim so shortly after its start
	slotsPerWorker  = 3                      // tasks that a worker can run at once
	maxAttempts     = 3                      // failed runs of a task after which its job fails
	maxCrashes      = 2                      // crashes of workers that run a task after which its job may fail

	usualHeartbeat = 150 * time.Millisecond
	shortHeartbeat = 50 * time.Millisecond

	taskHint     = 200 * time.Millisecond // estimate of a usual task
	longTaskHint = time.Second            // estimate of a task of a long job
)

// world is a simulated availability zone with entries, workers and a network
// between them.
type world struct {
	mu           sync.Mutex
	random       *rand.Rand
	entries      []*entry // by index; a restarted entry replaces its earlier incarnation
	machines     []*machine
	statesStart  bool          // registrations state when the worker started
	heartbeat    time.Duration // interval of heartbeats between entries
	blockedUntil map[[2]string]time.Time
	activeUntil  map[string]time.Time // conditions that faults have set
	chances      map[string]float64   // probability that a condition has an effect, while it is active
	longJobs     map[string]bool      // jobs whose tasks take longer than a lease, by ID
	lingering    []lingeringRecord
	roster       []string  // workers that a holder has published, see package node
	rosterAt     time.Time // when it was published
	monitor      *worker.RunMonitor
	idPrefix     string                          // of the workers' IDs, which differ between worlds that share a monitor
	startRun     func(task string) time.Duration // called at each start of a task; returns its run time, or 0 for a random one; may be nil
	operators    *operatorTopic                  // nil in a world without evacuations
	neighbour    *world                          // the zone that takes the jobs of an evacuated one; nil if there is none
	goroutines   sync.WaitGroup
	starting     sync.Mutex   // held while an entry starts again, so that it does so once
	calm         atomic.Bool  // no fault begins any more, and no client sends a long job
	finished     atomic.Bool  // set at the end; nothing restarts after it
	logOutput    bytes.Buffer // lines of all loggers
}

func newWorld(seed uint64, entries, workers int) *world {
	return newZone(seed, entries, workers, "", &worker.RunMonitor{})
}

// newZone returns a world that may share its monitor with others.
func newZone(seed uint64, entries, workers int, idPrefix string, monitor *worker.RunMonitor) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), blockedUntil: map[[2]string]time.Time{},
		activeUntil: map[string]time.Time{}, chances: map[string]float64{}, longJobs: map[string]bool{},
		monitor: monitor, idPrefix: idPrefix,
	}
	w.statesStart, w.heartbeat = w.randomChance(0.7), shortHeartbeat
	if w.randomChance(0.6) {
		w.heartbeat = usualHeartbeat
	}
	for i := range workers {
		m := &machine{index: i, address: machineAddress(i, 0), clockRate: 1}
		if w.randomChance(0.4) {
			m.clockRate = slowClockRate
		}
		w.machines = append(w.machines, m)
		w.startWorker(i)
	}
	for i := range entries {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	return w
}

// randomInt returns a random number below n. All randomness of a world comes from its seed.
func (w *world) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) randomChance(chance float64) bool { return float64(w.randomInt(10000)) < chance*10000 }

// randomDuration returns a duration of at least 50 ms.
func (w *world) randomDuration(maxMillis int) time.Duration {
	return time.Duration(50+w.randomInt(maxMillis)) * time.Millisecond
}

// activate sets a condition for a duration. It has its effect with a probability.
func (w *world) activate(condition string, chance float64, duration time.Duration) {
	w.mu.Lock()
	w.activeUntil[condition], w.chances[condition] = time.Now().Add(duration), chance
	w.mu.Unlock()
	w.log("fault").Info(condition, "ms", duration.Milliseconds())
}

// active reports whether a condition is set.
func (w *world) active(condition string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.activeUntil[condition])
}

// takesEffect reports at random whether a condition has an effect this time.
func (w *world) takesEffect(condition string) bool {
	if !w.active(condition) {
		return false
	}
	w.mu.Lock()
	chance := w.chances[condition]
	w.mu.Unlock()
	return w.randomChance(chance)
}

// deadAfter returns the time without a heartbeat after which an entry counts as dead.
func (w *world) deadAfter() time.Duration { return deadHeartbeats * w.heartbeat }

func (w *world) entry(index int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[index]
}

func (w *world) liveEntries() []*entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*entry
	for _, e := range w.entries {
		if e != nil && e.ctx.Err() == nil {
			all = append(all, e)
		}
	}
	return all
}

// Write appends a log line to the output kept for failures.
func (w *world) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logOutput.Write(line)
}

func (w *world) log(name string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, nil)).With("at", name)
}

// matchingLogLines returns the log lines that contain any of the words.
func (w *world) matchingLogLines(words ...string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var matching strings.Builder
	for line := range strings.Lines(w.logOutput.String()) {
		if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
			matching.WriteString(line)
		}
	}
	return matching.String()
}

// newBatch returns a job. The tasks of a long one may outlast a lease.
func (w *world) newBatch(id string, tasks int, long bool) *batch.Batch {
	now, hint, deadline := time.Now(), taskHint, requestDeadline
	if long {
		hint, deadline = longTaskHint, longDeadline
		w.mu.Lock()
		w.longJobs[id] = true
		w.mu.Unlock()
	}
	return &batch.Batch{
		QueueSettings: batch.QueueSettings{Queue: fmt.Sprint("hold ", hint), Service: "listing", MaxAttempts: maxAttempts, Stretch: 1.6, Slack: 60 * time.Millisecond},
		ID:            id, ArrivedAt: now, ExpiresAt: now.Add(deadline),
		Steps: []batch.Step{{Count: tasks, Resources: resources.Resources{MilliCores: 1000}, Hint: hint}},
	}
}

// runTime returns the run time of a task, which is random unless the world states it.
func (w *world) runTime(task string) time.Duration {
	if w.startRun != nil {
		if stated := w.startRun(task); stated > 0 {
			return stated
		}
	}
	id, _, _, _ := batch.ParseTaskName(task)
	w.mu.Lock()
	long := w.longJobs[id]
	w.mu.Unlock()
	if long {
		return time.Duration(600+w.randomInt(1400)) * time.Millisecond
	}
	return time.Duration(20+w.randomInt(400)) * time.Millisecond
}
