// Package latestart keeps starts of tasks that got no answer, while the next incarnation of their worker may still
// execute them.
package latestart

import (
	"maps"
	"slices"
	"time"
)

// Start is a start of a task of which at least one copy got no answer.
type Start struct {
	Worker string
	Task   string
	Run    int
	// Until is the time by which the start has been executed, if ever, and the lease that it carried has expired.
	Until time.Time
}

// Table holds the late starts of the workers of one holder. An incarnation that has accepted a higher token executes
// none of them, but the next one, which has seen no token, may. The zero Table is empty. It is not safe for
// concurrent use.
type Table struct {
	starts  map[string][]Start // by task
	count   int
	workers map[string]*workerState // those with starts
	queue   []Start                 // in the order of Add, with some that have been removed or extended since
}

// workerState is what the table knows of a worker with starts.
type workerState struct {
	tasks   map[string]int // number of its starts by task
	suspect bool           // another incarnation may be running that has not accepted the token
}

// maxStarts bounds a table to about 2 MB. A worker with an unanswered start gets no others until it has accepted a
// higher token, so that only an outage that recurs for seconds comes near the bound.
const maxStarts = 10_000

// Add adds a start. If the table is full, the one that was added first makes room.
func (t *Table) Add(s Start) {
	if t.starts == nil {
		t.starts, t.workers = map[string][]Start{}, map[string]*workerState{}
	}
	if !t.end(s).IsZero() {
		t.Extend(s.Worker, s.Task, s.Run, s.Until)
		return
	}
	if t.count >= maxStarts {
		t.removeOldest()
	}
	t.starts[s.Task] = append(t.starts[s.Task], s)
	t.count++
	w, known := t.workers[s.Worker]
	if !known {
		w = &workerState{tasks: map[string]int{}}
		t.workers[s.Worker] = w
	}
	w.tasks[s.Task]++
	t.queue = append(t.queue, s)
	if len(t.queue) > 2*maxStarts {
		t.queue = slices.DeleteFunc(t.queue, func(q Start) bool { return t.end(q).IsZero() })
	}
}

// end returns the present end of a start, or the zero time if it is not in the table.
func (t *Table) end(s Start) time.Time {
	for _, other := range t.starts[s.Task] {
		if other.Worker == s.Worker && other.Run == s.Run {
			return other.Until
		}
	}
	return time.Time{}
}

// Extend sets a later end of a start that is in the table, since another copy of it was sent.
func (t *Table) Extend(worker, task string, run int, until time.Time) {
	for i, s := range t.starts[task] {
		if s.Worker == worker && s.Run == run && until.After(s.Until) {
			t.starts[task][i].Until = until
		}
	}
}

// Remove removes a start of which all copies have been answered.
func (t *Table) Remove(worker, task string, run int) {
	t.removeIf(task, func(s Start) bool { return s.Worker == worker && s.Run == run })
}

// RemoveWorker removes the starts of a worker that is known to have ended for good.
func (t *Table) RemoveWorker(worker string) {
	for _, task := range t.tasksOf(worker) {
		t.removeIf(task, func(s Start) bool { return s.Worker == worker })
	}
}

// Prune removes starts that can no longer be executed.
func (t *Table) Prune(now time.Time) {
	for len(t.queue) > 0 && !now.Before(t.queue[0].Until) {
		s := t.queue[0]
		t.queue = t.queue[1:]
		if s.Until = t.end(s); now.Before(s.Until) {
			t.queue = append(t.queue, s)
			continue
		}
		t.Remove(s.Worker, s.Task, s.Run)
	}
}

// removeOldest removes the start that was added first.
func (t *Table) removeOldest() {
	for before := t.count; t.count == before; {
		s := t.queue[0]
		t.queue = t.queue[1:]
		t.Remove(s.Worker, s.Task, s.Run)
	}
}

// removeIf removes starts of a task.
func (t *Table) removeIf(task string, remove func(s Start) bool) {
	rest := slices.DeleteFunc(t.starts[task], func(s Start) bool {
		if !remove(s) {
			return false
		}
		t.count--
		w := t.workers[s.Worker]
		if w.tasks[task]--; w.tasks[task] == 0 {
			delete(w.tasks, task)
		}
		if len(w.tasks) == 0 {
			delete(t.workers, s.Worker)
		}
		return true
	})
	if len(rest) == 0 {
		delete(t.starts, task)
		return
	}
	t.starts[task] = rest
}

// tasksOf returns the tasks that a worker has starts of, in order.
func (t *Table) tasksOf(worker string) []string {
	w, known := t.workers[worker]
	if !known {
		return nil
	}
	return slices.Sorted(maps.Keys(w.tasks))
}

// Suspect records that another incarnation of a worker may be running that has not accepted the token. It returns
// the tasks that it may start.
func (t *Table) Suspect(worker string) []string {
	if w, known := t.workers[worker]; known {
		w.suspect = true
	}
	return t.tasksOf(worker)
}

// Clear records that the present incarnation of a worker has accepted the token, so that it executes no start that
// was sent before.
func (t *Table) Clear(worker string) {
	if w, known := t.workers[worker]; known {
		w.suspect = false
	}
}

// HasStarts reports whether a worker has starts in the table.
func (t *Table) HasStarts(worker string) bool { return t.workers[worker] != nil }

// MayStartLate reports whether a suspect worker may yet execute a start of a task.
func (t *Table) MayStartLate(task string, now time.Time) bool {
	return slices.ContainsFunc(t.starts[task], func(s Start) bool { return t.workers[s.Worker].suspect && now.Before(s.Until) })
}
