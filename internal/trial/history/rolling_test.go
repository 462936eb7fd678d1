package history

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestRollingStopCountsListsAsComplete stops and starts the entries in turn, so that entries which
// have just started take the group over. It guards against the price of counting their lists of workers
// as incomplete: no new job starts then before the leases of the earlier holder have expired.
func TestRollingStopCountsListsAsComplete(t *testing.T) {
	tests := []struct {
		name string
		gap  time.Duration // from the start of an entry to the stop of the next one
	}{
		{"an entry at a time", 1200 * time.Millisecond},
		{"the next entry stops as soon as one is back", 400 * time.Millisecond},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *scriptRuns {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runRollingStop(t, seed, c.gap) })
				})
			}
		})
	}
}

// runRollingStop stops and starts each entry twice while clients send short jobs.
func runRollingStop(t *testing.T, seed uint64, gap time.Duration) {
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	w := newWorld(seed, entryCount, workerCount)
	time.Sleep(4 * time.Second) // until the lists of the first entries are complete
	var clients sync.WaitGroup
	var mu sync.Mutex
	var slowest, sum time.Duration
	completed, late := 0, 0
	send := func(number int) {
		c := &client{id: jobID(number), tasks: 1, sentAt: time.Now()}
		c.run(w)
		took := time.Since(c.sentAt)
		mu.Lock()
		defer mu.Unlock()
		slowest, sum = max(slowest, took), sum+took
		if len(c.results) > 0 && c.results[len(c.results)-1].State == batch.Completed {
			completed++
		}
		if took > time.Second {
			late++
		}
	}
	jobs := 0
	clients.Go(func() {
		for ; !w.calm.Load(); jobs++ {
			number := jobs
			clients.Go(func() { send(number) })
			time.Sleep(jobInterval)
		}
	})
	for range 2 {
		for i := range entryCount {
			w.entry(i).stop()
			w.restart(i, 100)
			time.Sleep(300*time.Millisecond + gap)
		}
	}
	w.calm.Store(true)
	clients.Wait()
	takeovers := strings.Count(w.matchingLogLines("group taken"), "\n") - 1
	incomplete := strings.Count(w.matchingLogLines("list of workers may be incomplete"), "\n")
	t.Logf("%d takeovers, %d with an incomplete list; %d of %d jobs completed, %d after more than 1 s, mean %d ms, slowest %d ms",
		takeovers, incomplete, completed, jobs, late, (sum / time.Duration(jobs)).Milliseconds(), slowest.Milliseconds())
	if takeovers == 0 || incomplete > 0 {
		t.Errorf("%d of %d takeovers count the list of workers as incomplete, want 0 of one or more", incomplete, takeovers)
	}
	if overlapping, _ := w.monitor.Violations(); len(overlapping) > 0 {
		t.Errorf("tasks with concurrent runs: %v, want none", overlapping)
	}
	w.end()
}
