package worker

import (
	"sync"
	"time"
)

// RunMonitor records the runs of all workers and detects violations. The zero
// value is ready for use.
type RunMonitor struct {
	mu            sync.Mutex
	running       map[string]map[monitoredRun]bool // by task
	runningAt     map[string]int                   // number of runs by worker ID, on all incarnations
	Overlapping   []string                         // tasks with two runs at the same time
	Overloaded    []string                         // workers that got a task while all their slots were taken
	UnseenEndings []string                         // tasks whose ending a worker forgot before any of its responses listed it
	Starts        map[string]int                   // number of starts by task
	Succeeded     map[string]bool                  // tasks with a successful run
	Failed        map[string]int                   // number of failed runs by task
	Lost          map[string]int                   // number of runs that ended in a crash of their worker, by task
	overlapAt     map[string]time.Time             // since when a task has two runs or more
	longest       time.Duration                    // the longest overlap that has ended
}

// monitoredRun identifies a run of a task. A worker that has started again under its ID is
// another incarnation: its run numbers say nothing about the runs of the one before.
type monitoredRun struct {
	worker    string
	startedAt time.Time // start of the incarnation
	number    int
}

func (m *RunMonitor) recordStart(task string, r monitoredRun, slots int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running, m.runningAt, m.Starts, m.Succeeded = map[string]map[monitoredRun]bool{}, map[string]int{}, map[string]int{}, map[string]bool{}
		m.Failed, m.Lost, m.overlapAt = map[string]int{}, map[string]int{}, map[string]time.Time{}
	}
	m.Starts[task]++
	if len(m.running[task]) > 0 {
		m.Overlapping = append(m.Overlapping, task)
		if len(m.running[task]) == 1 {
			m.overlapAt[task] = time.Now()
		}
	} else {
		m.running[task] = map[monitoredRun]bool{}
	}
	if m.runningAt[r.worker] >= slots {
		m.Overloaded = append(m.Overloaded, r.worker)
	}
	m.running[task][r] = true
	m.runningAt[r.worker]++
}

func (m *RunMonitor) recordEnd(task string, r monitoredRun, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome == "done" {
		m.Succeeded[task] = true
	}
	if !m.running[task][r] {
		return
	}
	switch outcome {
	case "failed":
		m.Failed[task]++
	case "lost":
		m.Lost[task]++
	}
	m.runningAt[r.worker]--
	delete(m.running[task], r)
	switch len(m.running[task]) {
	case 1:
		if at, overlaps := m.overlapAt[task]; overlaps {
			m.longest = max(m.longest, time.Since(at))
			delete(m.overlapAt, task)
		}
	case 0:
		delete(m.running, task)
	}
}

func (m *RunMonitor) recordUnseenEnding(task string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.UnseenEndings = append(m.UnseenEndings, task)
}

// TaskRuns returns the number of starts of a task and whether one of its runs succeeded.
func (m *RunMonitor) TaskRuns(task string) (starts int, succeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Starts[task], m.Succeeded[task]
}

// Running returns the number of runs of a task that go on.
func (m *RunMonitor) Running(task string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running[task])
}

// TaskFaults returns the number of runs of a task that failed, and of those that were lost with
// their worker.
func (m *RunMonitor) TaskFaults(task string) (failed, lost int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Failed[task], m.Lost[task]
}

// Violations returns the tasks whose runs overlapped and the workers that were overloaded.
func (m *RunMonitor) Violations() (overlapping, overloaded []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.Overlapping...), append([]string(nil), m.Overloaded...)
}

// LongestOverlap returns for how long two runs of one task went on at the same time, at most.
func (m *RunMonitor) LongestOverlap() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := m.longest
	for _, at := range m.overlapAt {
		longest = max(longest, time.Since(at))
	}
	return longest
}

// Unseen returns the tasks in UnseenEndings.
func (m *RunMonitor) Unseen() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.UnseenEndings...)
}
