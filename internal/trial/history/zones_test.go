package history

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/standin/worker"
)

var lossPlays = flag.Int("plays", 2, "how often the losses of a row of TestLossesInTwoZonesRunNoTaskTwice are played: 14 for each gap, 42 for each gap and age of the job")

// Parameters of the plays in two zones.
const (
	zoneJobTasks    = 4
	zoneTaskTime    = 2500 * time.Millisecond
	zoneJobDeadline = 6 * time.Second
	completeTime    = 4 * time.Second // from the start of the entries until they count their lists of workers as complete
	gapStep         = 100 * time.Millisecond
	gapCount        = 14
	gapStride       = 5                      // in gaps, from one play of a row to the next
	otherInterval   = 250 * time.Millisecond // between two jobs of other clients
	othersShare     = 0.5                    // of the plays, in which other clients send jobs
	otherTime       = time.Second            // for which they send jobs before the long one
	redialInterval  = 20 * time.Millisecond  // of a client whose connection no entry accepts
)

// zoneJob is the ID of the job that is sent to both zones.
const zoneJob = "5c0e7a21d94b36f8"

// jobAges are the times from the submission of the job until its entry is lost.
var jobAges = []time.Duration{40 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond}

// zones are two availability zones that cannot reach each other.
type zones struct {
	first, second *world
	monitor       *worker.RunMonitor
	asked         *entry // of the first zone; the job is sent to it first
	lost          *entry // the same if it is lost, otherwise nil
	leave         func() // breaks the client's connection to it
	expiresAt     time.Time
	starts        [2]atomic.Int64 // of tasks of the job, by zone
}

func newZones(seed uint64) *zones {
	// The clock of a synctest bubble starts in 2000, but epochs of fencing tokens count from 2026.
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	z := &zones{monitor: &worker.RunMonitor{}}
	z.first = newZone(2*seed, entryCount, workerCount, "first-", z.monitor)
	z.second = newZone(2*seed+1, entryCount, workerCount, "second-", z.monitor)
	for i, w := range []*world{z.first, z.second} {
		w.startRun = func(task string) time.Duration {
			if id, _, _, _ := batch.ParseTaskName(task); id != zoneJob {
				return 0
			}
			z.starts[i].Add(1)
			return zoneTaskTime
		}
	}
	return z
}

// newJob returns a copy of the job, as a request brings it to an entry of a zone.
func (z *zones) newJob(w *world) *batch.Batch {
	b := w.newBatch(zoneJob, zoneJobTasks, true)
	b.ExpiresAt, b.Queue, b.Steps[0].Hint = z.expiresAt, fmt.Sprint("hold ", zoneTaskTime), zoneTaskTime
	return b
}

// chooseEntry chooses the entry of the first zone that gets the job.
func (z *zones) chooseEntry(schedules bool) {
	z.asked = z.first.scheduler()
	if !schedules {
		index := z.first.entryIndex(z.asked)
		z.asked = z.first.entry((index + 1 + z.first.randomInt(entryCount-1)) % entryCount)
	}
}

// submitFirst sends the job to the chosen entry.
func (z *zones) submitFirst() {
	z.expiresAt = time.Now().Add(zoneJobDeadline)
	ctx, leave := context.WithCancel(context.Background())
	z.leave = leave
	z.first.submit(ctx, leave, z.asked, func() *batch.Batch { return z.newJob(z.first) })
}

// submitSecond sends the job to entries of the second zone that are up and not paused, until one answers.
func (z *zones) submitSecond() {
	w := z.second
	for time.Now().Before(z.expiresAt) {
		var reachable []*entry
		for _, e := range w.liveEntries() {
			if !w.active(frozen(e.id)) {
				reachable = append(reachable, e)
			}
		}
		if len(reachable) == 0 {
			time.Sleep(redialInterval)
			continue
		}
		e := reachable[w.randomInt(len(reachable))]
		ctx, leave := context.WithCancel(context.Background())
		select {
		case <-w.submit(ctx, leave, e, func() *batch.Batch { return z.newJob(w) }):
			return
		case <-e.ctx.Done():
			time.Sleep(resendAfter)
		}
	}
}

// sendOthers has other clients send jobs to the other entries of the first zone, which go on asking for them, so that
// the leases of their workers are renewed.
func (z *zones) sendOthers(until time.Time) {
	w := z.first
	for i := 0; time.Now().Before(until); i++ {
		var others []*entry
		for _, e := range w.liveEntries() {
			if e != z.asked {
				others = append(others, e)
			}
		}
		if len(others) > 0 {
			ctx, leave := context.WithCancel(context.Background())
			w.submit(ctx, leave, others[w.randomInt(len(others))], func() *batch.Batch { return w.newBatch(jobID(i), 1, true) })
		}
		time.Sleep(otherInterval)
	}
}

// randomGap returns a time between two losses.
func (z *zones) randomGap() time.Duration {
	return time.Duration(z.first.randomInt(gapCount)) * gapStep
}

// TestLossesInTwoZonesRunNoTaskTwice guards against two concurrent runs of a task in two zones: processes and links are
// lost one after the other while a job runs in the first zone, and its client sends it to the second.
func TestLossesInTwoZonesRunNoTaskTwice(t *testing.T) {
	for i, first := range firstLosses {
		for k, later := range laterLosses {
			t.Run(first.name+", "+later.name, func(t *testing.T) {
				row := i*len(laterLosses) + k
				var twice []string // the plays with concurrent runs
				served := 0
				for n := range *lossPlays {
					age, gap := jobAges[(row+n)%len(jobAges)], time.Duration((row+gapStride*n)%gapCount)*gapStep
					play := fmt.Sprintf("%v+%v", age, gap)
					synctest.Test(t, func(t *testing.T) {
						z := newZones(uint64(row)<<32 + uint64(n))
						if z.play(first.schedules, age, gap, first.lose, later.lose) == 0 {
							t.Errorf("%s: the job has not run in the first zone", play)
						}
						if z.starts[1].Load() > 0 {
							served++
						} else if !later.second {
							t.Errorf("%s: the job has not run in the second zone", play)
						}
						if z.ranTwice(t, play) {
							twice = append(twice, play)
						}
						z.first.end()
						z.second.end()
					})
				}
				if served == 0 && *lossPlays >= gapCount {
					t.Error("the job has not run in the second zone in any play")
				}
				if len(twice) > 0 {
					t.Errorf("tasks with concurrent runs in %d of %d plays, want none; age of the job at the first loss + gap: %v", len(twice), *lossPlays, twice)
				}
			})
		}
	}
}

// ranTwice reports whether tasks of the job had concurrent runs. Those of other jobs, and overloaded workers, are
// errors of their own.
func (z *zones) ranTwice(t *testing.T, play string) bool {
	tasks, overloaded := z.monitor.Violations()
	if len(tasks) > 0 && testing.Verbose() {
		for i, w := range []*world{z.first, z.second} {
			t.Logf("%s, zone %d:\n%s", play, i+1, w.matchingLogLines(tasks[0], "group taken", "group given up", "at=fault", "entry starts", "job handed over"))
		}
	}
	others := slices.DeleteFunc(slices.Clone(tasks), func(task string) bool { return strings.HasPrefix(task, zoneJob) })
	if len(others)+len(overloaded) > 0 {
		t.Errorf("%s: tasks of other jobs with concurrent runs: %v; overloaded workers: %v; want none", play, others, overloaded)
	}
	return len(tasks) > len(others)
}

// play has a client send its job to the first zone and, when its connection has broken, to the second, while
// processes and links are lost. It returns the number of tasks that had started before the first loss.
func (z *zones) play(schedules bool, age, gap time.Duration, lose, loseNext func(z *zones)) int64 {
	time.Sleep(completeTime)
	z.chooseEntry(schedules)
	if z.first.randomChance(othersShare) {
		until := time.Now().Add(otherTime + age + resendAfter)
		z.first.goroutines.Go(func() { z.sendOthers(until) })
	}
	time.Sleep(otherTime)
	z.submitFirst()
	time.Sleep(age)
	started := z.starts[0].Load()
	lose(z)
	z.first.goroutines.Go(func() {
		time.Sleep(gap)
		loseNext(z)
	})
	time.Sleep(resendAfter)
	z.submitSecond()
	return started
}
