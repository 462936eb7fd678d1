package history

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

var (
	seeds = flag.Uint64("seeds", 40, "schedules to play")
	from  = flag.Uint64("from", 1, "first seed")
)

// Sizes of a schedule.
const (
	entryCount  = 3
	workerCount = 5
	faultSpan   = 7 * time.Second
	calmSpan    = 4 * time.Second       // after the faults; more than any of them lasts
	jobSpan     = 50 * time.Millisecond // six tenths of the workers' room are taken
)

// client sends one job until it has an answer, and notes what it was told.
type client struct {
	id      string
	tasks   int
	sentAt  time.Time
	broken  bool // a request had no answer
	results []batch.Result
}

func (c *client) run(w *world) {
	for range 4 {
		alive := w.alive()
		if len(alive) == 0 {
			time.Sleep(resend)
			continue
		}
		e := alive[w.draw(len(alive))]
		b := newBatch(c.id, c.tasks)
		answer := make(chan batch.Result, 1)
		// The request ends with the entry; what that has told others stays told.
		w.tasks.Go(func() {
			r := e.desk.Submit(context.Background(), b)
			if e.ctx.Err() == nil {
				answer <- r
			}
		})
		select {
		case r := <-answer:
			c.results = append(c.results, r)
			return
		case <-e.ctx.Done():
			c.broken = true
			time.Sleep(resend)
		}
	}
}

// faults are what a schedule draws from.
var faults = []struct {
	name  string
	begin func(w *world)
}{
	{"an entry loses power", func(w *world) { w.restart(w.draw(entryCount), 300) }},
	{"all entries lose power", func(w *world) {
		for i := range entryCount {
			w.restart(i, 300)
		}
	}},
	{"all entries but one lose power in turn", func(w *world) {
		for i := range entryCount - 1 {
			w.restart(i, 300)
			time.Sleep(time.Duration(w.draw(900)) * time.Millisecond)
		}
	}},
	{"an entry stops", func(w *world) {
		place := w.draw(entryCount)
		e := w.entry(place)
		if e.ctx.Err() == nil {
			e.stop()
			w.restart(place, 200)
		}
	}},
	{"two entries do not reach each other", func(w *world) {
		w.cut(fmt.Sprintf("e%d", w.draw(entryCount)), fmt.Sprintf("e%d", w.draw(entryCount)), w.span(2500))
	}},
	{"an entry does not reach the others", func(w *world) {
		a, span := w.draw(entryCount), w.span(2500)
		for b := range entryCount {
			if a != b {
				w.cut(fmt.Sprintf("e%d", a), fmt.Sprintf("e%d", b), span)
			}
		}
	}},
	{"the zone is split", func(w *world) {
		// One entry and two workers on one side.
		e, first, span := w.draw(entryCount), w.draw(workerCount), 1500*time.Millisecond+w.span(1500)
		inside := map[string]bool{
			fmt.Sprintf("e%d", e): true, fmt.Sprintf("w%d", first): true, fmt.Sprintf("w%d", (first+1)%workerCount): true,
		}
		for a := range entryCount {
			name := fmt.Sprintf("e%d", a)
			for b := range workerCount {
				if other := fmt.Sprintf("w%d", b); inside[name] != inside[other] {
					w.cut(name, other, span)
				}
			}
			for b := range entryCount {
				if other := fmt.Sprintf("e%d", b); inside[name] != inside[other] {
					w.cut(name, other, span)
				}
			}
		}
	}},
	{"a worker is not reached by an entry", func(w *world) {
		w.cut(fmt.Sprintf("e%d", w.draw(entryCount)), fmt.Sprintf("w%d", w.draw(workerCount)), w.span(2500))
	}},
	{"a worker is not reached by any", func(w *world) {
		place, span := w.draw(workerCount), w.span(2500)
		for e := range entryCount {
			w.cut(fmt.Sprintf("e%d", e), fmt.Sprintf("w%d", place), span)
		}
	}},
	{"a worker's answers are lost", func(w *world) {
		place, span := w.draw(workerCount), w.span(2500)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.mute[fmt.Sprintf("w%d", place)] = time.Now().Add(span)
	}},
	{"a worker crashes", func(w *world) { w.startWorker(w.draw(workerCount)) }},
	{"orders are executed late", func(w *world) {
		w.mu.Lock()
		w.late = 0.05
		w.mu.Unlock()
		time.Sleep(w.span(1500))
		w.mu.Lock()
		w.late = 0
		w.mu.Unlock()
	}},
}

func (w *world) span(most int) time.Duration {
	return time.Duration(50+w.draw(most)) * time.Millisecond
}

func (w *world) entry(place int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[place]
}

// restart ends an entry at once and starts it again after a while.
func (w *world) restart(place, most int) {
	w.entry(place).kill()
	w.tasks.Go(func() {
		time.Sleep(200*time.Millisecond + w.span(most))
		if w.entry(place).ctx.Err() != nil && !w.over.Load() {
			w.startEntry(place)
		}
	})
}

// TestSchedules plays schedules of faults that overlap: no task has two runs at
// once, no worker more than its room, no job that was refused has begun, those
// told as completed have, and once the faults are over all are served.
func TestSchedules(t *testing.T) {
	for seed := *from; seed < *from+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

func play(t *testing.T, seed uint64) {
	// A bubble begins in 2000, and tokens count from 2026.
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	w := newWorld(seed, entryCount, workerCount)
	began := time.Now()
	var script []string
	var clients []*client
	var group, troubles sync.WaitGroup
	time.Sleep(time.Second)
	quiet := time.Now().Add(faultSpan)
	troubles.Go(func() {
		for time.Now().Before(quiet.Add(-3 * time.Second)) {
			f := faults[w.draw(len(faults))]
			script = append(script, fmt.Sprintf("%5d ms %s", time.Since(began).Milliseconds(), f.name))
			troubles.Go(func() { f.begin(w) })
			time.Sleep(w.span(900))
		}
	})
	for i := 0; time.Now().Before(quiet.Add(calmSpan)); i++ {
		c := &client{id: fmt.Sprintf("%016x", i+1), tasks: 1 + w.draw(3), sentAt: time.Now()}
		clients = append(clients, c)
		group.Go(func() { c.run(w) })
		time.Sleep(jobSpan)
	}
	group.Wait()
	troubles.Wait()
	fail := func(task, text string, places ...any) {
		t.Errorf(text, places...)
		t.Logf("the schedule: %q", script)
		t.Log(w.story(task, "group taken", "group given up", "another holder"))
	}
	twice, over := w.watch.Broken()
	switch {
	case len(twice) > 0:
		fail(twice[0], "two runs at once: %v; more than the room: %v", twice, over)
	case len(over) > 0:
		fail("started again", "more than the room: %v", over)
	}
	for _, c := range clients {
		if reason := c.wrong(w, quiet.Add(calmSpan/2)); reason != "" {
			fail(c.id, "job %s, sent after %d ms: %s, %+v", c.id, c.sentAt.Sub(began).Milliseconds(), reason, c.results)
			break
		}
	}
	w.over.Store(true)
	for _, e := range w.alive() {
		e.kill()
	}
	w.tasks.Wait()
	time.Sleep(calmSpan) // calls of the desks that nobody waits for end
}

// wrong says what a client was told that is not true, or nothing.
func (c *client) wrong(w *world, calm time.Time) string {
	state := batch.Unknown
	if len(c.results) > 0 {
		state = c.results[0].State
	}
	done, begun := 0, 0
	for i := range c.tasks {
		starts, ended := w.watch.Seen(batch.TaskName(c.id, 0, 0, i))
		if starts > 0 {
			begun++
		}
		if ended {
			done++
		}
	}
	switch {
	case state == batch.Completed && done < c.tasks:
		return "told as completed, though it is not"
	case state == batch.Refused && begun > 0 && !c.broken:
		return "refused, though a task has begun"
	case c.sentAt.After(calm) && state != batch.Completed && state != batch.Failed:
		return "not served though there is no fault"
	}
	return ""
}
