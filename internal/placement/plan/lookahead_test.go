package plan

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// compareSeeds is the number of seeds with which TestCompareLookahead plays each load.
var compareSeeds = flag.Uint64("compare", 0, "seeds of the comparison of look-ahead placement")

// site describes the workers of a zone and the thousandths of a core that a task needs.
type site struct {
	cores          float64
	sizes, factors [3]float64 // of every third worker
	least, most    int64
}

var sites = []site{
	{32, [3]float64{1, 1, 1.5}, [3]float64{0.8, 1, 1.25}, 13000, 24000},
	{16, [3]float64{1, 1, 1}, [3]float64{0.7, 0.7, 1.7}, 6000, 12000},
}

// jobRecord is what a replay shows of one job; wait is the time until the last start.
type jobRecord struct {
	queue             string
	cores, taskCores  int64 // thousandths, of all tasks and of one
	wait              time.Duration
	completed, onTime bool
}

// play replays the load of a zone of 117 workers times scale. It returns the jobs, the share of the cores
// in use and a hash of all starts.
func (s site) play(seed uint64, lookahead, priorities bool, scale float64, span time.Duration) (jobs []*jobRecord, use float64, starts uint64) {
	z := newReplay(117, seed, func(i int) (float64, float64, string) {
		return s.cores * s.sizes[i%3], s.factors[i%3], fmt.Sprint(i % 3)
	})
	if lookahead {
		z.plan.ahead = newAhead()
	}
	z.plan.options.Priorities = priorities
	mixes := []jobMix{
		{queue: "0", rate: 64.5, tasks: 8, runtime: 55 * time.Millisecond},
		{queue: "1", rate: 188, tasks: 2, runtime: 185 * time.Millisecond},
		{queue: "2", rate: 11.8, tasks: 4, runtime: 830 * time.Millisecond},
	}
	for i := range mixes {
		m, tasks := &mixes[i], mixes[i].tasks
		m.priority, m.runtimeSigma, m.hintSigma, m.taskSpread = i, 0.4, 0.4, 0.15
		m.draw = func(r *rand.Rand) (int, int64) { // the widest jobs have 32 tasks
			return tasks * []int{4, 1}[min(1, r.IntN(33))], s.least + r.Int64N(s.most-s.least+1)
		}
	}
	records, end, hash := map[string]*jobRecord{}, start.Add(2*time.Second+span), fnv.New64a()
	z.observe = func(o Order, now time.Time) {
		if o.Batch == nil {
			return
		}
		r, step := records[o.Batch.ID], o.Batch.Steps[0]
		if r == nil {
			r = &jobRecord{queue: o.Batch.Queue, cores: int64(step.Count) * step.Resources.MilliCores, taskCores: step.Resources.MilliCores}
			records[o.Batch.ID], jobs = r, append(jobs, r)
		}
		if o.Kind == Start {
			fmt.Fprintln(hash, o.Task, o.Run, o.Worker, now.UnixNano())
			r.wait = now.Sub(o.Batch.ArrivedAt)
			if until := z.running[o.Worker][runKey{o.Task, o.Run}].end; now.Before(end) {
				use += float64(step.Resources.MilliCores) * min(until.Sub(now), end.Sub(now)).Seconds()
			}
			return
		}
		r.completed = o.Result.State == batch.Completed
		r.onTime = r.completed && !now.After(z.objective(o.Batch))
	}
	z.run(mixes, scale, span)
	capacity := 0.0
	for _, w := range z.plan.workerList {
		capacity += float64(w.Capacity.MilliCores) * span.Seconds()
	}
	return jobs, use / capacity, hash.Sum64()
}

// classes are the groups of jobs that are measured: by priority, and the largest tenth, the next fifth
// and the rest by the cores of all tasks and of one task.
var classes = []string{"all", "0", "1", "2", "job 1/10", "job 1/5", "job rest", "task 1/10", "task 1/5", "task rest"}

// byClass returns the jobs of each class.
func byClass(jobs []*jobRecord) map[string][]*jobRecord {
	found := map[string][]*jobRecord{"all": jobs}
	for _, j := range jobs {
		found[j.queue] = append(found[j.queue], j)
	}
	sizes := map[string]func(j *jobRecord) int64{"job": func(j *jobRecord) int64 { return j.cores }, "task": func(j *jobRecord) int64 { return j.taskCores }}
	for name, size := range sizes {
		sorted, n := slices.Clone(jobs), len(jobs)
		slices.SortStableFunc(sorted, func(a, b *jobRecord) int { return int(size(b) - size(a)) })
		found[name+" 1/10"], found[name+" 1/5"], found[name+" rest"] = sorted[:n/10], sorted[n/10:n*3/10], sorted[n*3/10:]
	}
	return found
}

// measure returns the share of jobs in time, the share without a result, and the mean and 99th percentile
// of the waits of the others.
func measure(jobs []*jobRecord) (onTime, unserved float64, mean, high time.Duration) {
	var waits []time.Duration
	for _, j := range jobs {
		if j.onTime {
			onTime += 1 / float64(len(jobs))
		}
		if j.completed {
			waits = append(waits, j.wait)
			mean += j.wait
		}
	}
	slices.Sort(waits)
	n := max(1, len(waits))
	return onTime, 1 - float64(len(waits))/float64(max(1, len(jobs))), mean / time.Duration(n), append(waits, 0)[n*99/100]
}

// TestCompareLookahead prints the table of docs/design/lookahead.md with -compare 8 -v.
func TestCompareLookahead(t *testing.T) {
	for _, s := range sites {
		for _, scale := range []float64{0.7, 1, 1.5, 2.5} {
			for _, on := range [][2]bool{{false, false}, {true, false}, {false, true}, {true, true}} {
				var all []*jobRecord
				sum := 0.0
				for seed := range *compareSeeds {
					jobs, use, _ := s.play(100+seed, on[0], on[1], scale, 8*time.Second)
					all, sum = append(all, jobs...), sum+use
				}
				groups := byClass(all)
				for _, class := range classes {
					if len(all) > 0 {
						onTime, unserved, mean, high := measure(groups[class])
						t.Logf("%2.0f cores, load %.1f, look-ahead %-5t priorities %-5t use %.3f %-9s in time %.3f unserved %.3f wait %3d p99 %3d", s.cores, scale, on[0], on[1], sum/float64(*compareSeeds), class, onTime, unserved, mean.Milliseconds(), high.Milliseconds())
					}
				}
			}
		}
	}
}

// TestLookaheadServesLargeTasks guards against the loss of what look-ahead placement gains at 1.5 times the
// usual load: without it, tasks that need many cores find none while small ones take what becomes free.
// No class of jobs may pay for it.
func TestLookaheadServesLargeTasks(t *testing.T) {
	var shares [2]map[string]float64
	for i := range shares {
		var all []*jobRecord
		for seed := range uint64(2) {
			jobs, _, _ := sites[0].play(seed, i == 1, false, 1.5, 4*time.Second)
			all = append(all, jobs...)
		}
		shares[i] = map[string]float64{}
		for class, jobs := range byClass(all) {
			shares[i][class], _, _, _ = measure(jobs)
		}
	}
	for class, least := range map[string]float64{"task 1/10": 0.05, "all": -0.01, "0": -0.02, "1": -0.02, "2": -0.03} {
		if gain := shares[1][class] - shares[0][class]; gain < least {
			t.Errorf("%s: look-ahead changes the share in time by %.3f, want %.2f at least", class, gain, least)
		}
	}
}

// TestLookaheadOffChangesNothing guards against look-ahead code that changes decisions while it is off. The
// hashes of all starts are those of commit bf5e1ab, before look-ahead placement; a later change of the
// other rules replaces them.
func TestLookaheadOffChangesNothing(t *testing.T) {
	for i, want := range []uint64{0x47281c0f2b098592, 0x899fd343dda0ed07} {
		if _, _, starts := sites[i].play(0, false, false, 1, 4*time.Second); starts != want {
			t.Errorf("%.0f cores: hash of starts %#x, want %#x", sites[i].cores, starts, want)
		}
	}
}

// TestPrioritiesServeUrgentJobs guards against priorities without effect, and against starvation of the
// lowest: at 1.5 times the usual load, more jobs of priority 0 and 1 must be in time, and most of priority 2.
func TestPrioritiesServeUrgentJobs(t *testing.T) {
	var shares [2]map[string]float64
	for i := range shares {
		jobs, _, _ := sites[1].play(1, false, i == 1, 1.5, 8*time.Second)
		shares[i] = map[string]float64{}
		for class, jobs := range byClass(jobs) {
			shares[i][class], _, _, _ = measure(jobs)
		}
	}
	if on := shares[1]; on["0"] < shares[0]["0"] || on["1"] < shares[0]["1"]+0.01 || on["2"] < 0.5 {
		t.Errorf("in time by priority: off %v, on %v", shares[0], on)
	}
}
