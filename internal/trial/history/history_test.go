package history

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedCount = flag.Uint64("seeds", 40, "number of schedules to run")
	firstSeed = flag.Uint64("from", 1, "first seed")
	endings   = flag.Bool("endings", false, "also fail if a worker forgets an ending, as acknowledged, that none of its responses has listed")
	faultWord = flag.String("faults", "", "play only faults whose name contains this, or one of several words with commas between them")
)

// Parameters of a schedule.
const (
	entryCount    = 3
	workerCount   = 5
	faultDuration = 7 * time.Second        // no new fault begins in the last 3 s
	recoveryTime  = 5 * time.Second        // jobs are sent this long after the faults; longer than any fault lasts
	jobInterval   = 100 * time.Millisecond // keeps about 60% of the workers' slots busy
	longJobShare  = 0.3                    // of the jobs, before the faults end
	denseShare    = 0.5                    // of the schedules, in which the faults begin shortly after each other
)

// chosenFaults returns the faults that the flags select.
func chosenFaults() []int {
	var chosen []int
	for _, word := range strings.Split(*faultWord, ",") {
		for i, f := range faults {
			if strings.Contains(f.name, word) {
				chosen = append(chosen, i)
			}
		}
		for i, f := range furtherFaults {
			if word == f.name {
				chosen = append(chosen, len(faults)+i)
			}
		}
	}
	return chosen
}

// TestSchedules runs random schedules of overlapping faults and guards against two
// concurrent runs of a task, overloaded workers, refused jobs that have started,
// jobs reported as completed that are not, jobs reported as failed whose tasks have neither
// failed nor crashed as often as they may, and jobs not served after the faults.
func TestSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

// injectFaults begins random faults until a time. It returns their names with their times.
func injectFaults(w *world, faultGroup *sync.WaitGroup, startedAt, until time.Time) (injected []string) {
	chosen, all := chosenFaults(), append(faults, furtherFaults...)
	if len(chosen) == 0 {
		panic("no fault has such a name")
	}
	maxGapMillis, limit := 900, 100
	if w.randomChance(denseShare) {
		maxGapMillis, limit = 250, 5+w.randomInt(4)
	}
	for ; limit > 0 && time.Now().Before(until); limit-- {
		f := all[chosen[w.randomInt(len(chosen))]]
		injected = append(injected, fmt.Sprintf("%5d ms %s", time.Since(startedAt).Milliseconds(), f.name))
		w.log("fault").Info(f.name)
		faultGroup.Go(func() { f.begin(w) })
		time.Sleep(w.randomDuration(maxGapMillis))
	}
	return injected
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
	faultGroup.Go(func() { injected = injectFaults(w, &faultGroup, startedAt, faultsEnd.Add(-3*time.Second)) })
	for i := 0; time.Now().Before(faultsEnd.Add(recoveryTime)); i++ {
		w.calm.Store(!time.Now().Before(faultsEnd))
		c := &client{id: jobID(i), tasks: 1 + w.randomInt(3), sentAt: time.Now()}
		c.long = !w.calm.Load() && w.randomChance(longJobShare)
		c.longRuns = w.longRuns(clients)
		clients = append(clients, c)
		clientGroup.Go(func() { c.run(w) })
		time.Sleep(jobInterval)
	}
	clientGroup.Wait()
	faultGroup.Wait()
	// fail also prints the log lines that contain the word or report a fault or a change or conflict of holders.
	fail := func(word, format string, args ...any) {
		t.Errorf(format, args...)
		t.Logf("injected faults: %q", injected)
		t.Log(w.matchingLogLines(word, "group taken", "group given up", "another holder", "started again", "worker dropped", "fenced anew",
			"worker crashes", "worker starts", "registration published", "entry starts", "at=fault", "does not answer", "answers again"))
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
			fail(c.id, "job %s, sent after %d ms: %s, %+v,%s", c.id, c.sentAt.Sub(startedAt).Milliseconds(), reason, c.results, c.faultsOf(w))
			break
		}
	}
	w.end()
}

// end ends all entries and waits for what they have begun.
func (w *world) end() {
	w.finished.Store(true)
	for _, e := range w.liveEntries() {
		e.kill()
	}
	w.goroutines.Wait()
	time.Sleep(recoveryTime) // lets calls of the trackers that nothing waits for end
}
