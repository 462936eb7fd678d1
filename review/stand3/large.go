package main

import (
	"fmt"
	"sync"
	"time"
)

// Times and sizes of the case of the large jobs.
const (
	calmTime     = 4 * time.Second // of ordinary requests before the large jobs
	largeJobs    = 6               // sent at once, one to each entry
	largeTasks   = 20_000          // of each large job
	largeWait    = 40 * time.Second
	afterTime    = 44 * time.Second       // of ordinary requests from the large jobs on
	ordinaryGap  = 250 * time.Millisecond // between two ordinary requests to one entry
	ordinaryWait = 1500 * time.Millisecond
	hangTime     = 5 * time.Second // an entry that answers nothing for so long hangs
	hangRequests = 10              // that were sent to it in that time at least
)

func init() { trials["large"] = playLargeJobs }

// ordinary is a request of an ordinary client, and when its answer came; zero if none came in time.
type ordinary struct {
	sentAt, answeredAt time.Time
	status             int
}

// playLargeJobs sends jobs of many small tasks at once, beside ordinary requests to all entries. The
// rule is broken if an entry, whose process runs, answers none of its ordinary requests for hangTime.
func playLargeJobs(dir string, r *record, trouble bool) (int, error) {
	f, err := newFleet(options{binary: "target/radishgate", zones: []string{"a", "b", "c"}, entries: 2, runners: 16, milliCores: 32000, memoryMB: 284, share: 0.4}, dir, r)
	if err != nil {
		return failed, err
	}
	defer f.end()
	f.monitor.quiet = true
	if err := f.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(calmTime)
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[*entry][]ordinary{}
	begin := time.Now()
	end := begin.Add(calmTime + afterTime)
	for _, e := range f.entries {
		clients.Go(func() {
			for time.Now().Before(end) {
				clients.Go(func() {
					o := ordinary{sentAt: time.Now()}
					a := e.submit(nextID(), job{Spec: "60", Steps: []step{{Count: 2, CPU: 1000, Memory: 64, Estimate: 60}}}, ordinaryWait)
					if o.status = a.status; a.status != 0 {
						o.answeredAt = time.Now()
					}
					mu.Lock()
					defer mu.Unlock()
					sent[e] = append(sent[e], o)
				})
				time.Sleep(ordinaryGap)
			}
		})
	}
	time.Sleep(calmTime)
	if trouble {
		for i := range largeJobs {
			clients.Go(func() {
				f.entries[i%len(f.entries)].submit(nextID(), job{Spec: "200", Steps: []step{{Count: largeTasks, CPU: 1, Memory: 1, Estimate: 200}}}, largeWait)
			})
		}
	}
	clients.Wait()
	code := held
	for _, e := range f.entries {
		answered, longest, unanswered := judge(sent[e], begin, end)
		r.printf("entry %s: alive %t, ready %t, at most %d MB resident of %d; %d of %d ordinary requests answered; no answer for %.1f s at most, with %d requests sent",
			e.id, e.alive(), e.isReady(), e.residentMB(), f.options.memoryMB, answered, len(sent[e]), longest.Seconds(), unanswered)
		if !e.alive() || longest >= hangTime && unanswered >= hangRequests {
			code = broken
		}
	}
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	r.printf("%d starts, ends %v, %d at the same time as another run of the task", f.monitor.starts, f.monitor.ends, len(f.monitor.twice))
	return code, nil
}

// judge returns how many requests were answered, the longest time without an answer, and the number of requests that were
// sent in it.
func judge(sent []ordinary, begin, end time.Time) (answered int, longest time.Duration, unanswered int) {
	var times []time.Time
	for _, o := range sent {
		if !o.answeredAt.IsZero() {
			answered++
			times = append(times, o.answeredAt)
		}
	}
	for i := 0; ; i++ {
		// The time from one answer to the next one.
		from, to := begin, end
		if i > 0 {
			from = times[i-1]
		}
		if i > len(times) {
			break
		}
		for _, t := range times {
			if t.After(from) && t.Before(to) {
				to = t
			}
		}
		if gap := to.Sub(from); gap > longest {
			longest, unanswered = gap, 0
			for _, o := range sent {
				if !o.sentAt.Before(from) && o.sentAt.Before(to) {
					unanswered++
				}
			}
		}
		if i == len(times) {
			break
		}
	}
	return answered, longest, unanswered
}

var (
	ids    = uint64(time.Now().UnixNano()) << 8
	idLock sync.Mutex
)

// nextID returns the ID of a new job.
func nextID() string {
	idLock.Lock()
	defer idLock.Unlock()
	ids++
	return fmt.Sprintf("%016x", ids)
}
