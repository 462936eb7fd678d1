package history

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Which worker gets a task, and when, is random.
var scriptRuns = flag.Uint64("scripts", 6, "how often each script is played")

// burstInterval is the time between two jobs before a script begins. Afterwards there are fewer, so
// that workers are free.
const (
	burstInterval = 80 * time.Millisecond
	laterInterval = 300 * time.Millisecond
)

// TestScripts plays single faults while all tasks outlast a lease, and guards against two
// concurrent runs of a task.
func TestScripts(t *testing.T) {
	tests := []struct {
		name string
		play func(w *world)
	}{
		{"the holder is cut off from the other entries and from some workers", func(w *world) {
			w.split(w.holderIndex(), 0, 2500*time.Millisecond)
			time.Sleep(2500 * time.Millisecond)
		}},
		{"the holder is cut off from the other entries, sees another holder, and is cut off from its workers", func(w *world) {
			index := w.holderIndex()
			w.isolate(index, 4*time.Second)
			for e := range entryCount {
				for worker := range 2 {
					if e != index {
						w.blockLink(entryName(e), workerName(worker), 4*time.Second)
					}
				}
			}
			time.Sleep(w.deadAfter() + w.randomDuration(400))
			for worker := 2; worker < workerCount; worker++ {
				w.blockLink(entryName(index), workerName(worker), 3*time.Second)
			}
			time.Sleep(2 * time.Second)
		}},
		{"the holder is cut off from the other entries and from some workers, and starts again", func(w *world) {
			index := w.holderIndex()
			w.split(index, 0, 3*time.Second)
			time.Sleep(700 * time.Millisecond)
			w.restart(index, 100)
			time.Sleep(2300 * time.Millisecond)
		}},
		{"a successor has just started while registrations of live workers were missing", func(w *world) {
			holder := w.holderIndex()
			for i := range 3 {
				w.activate(unregistered(i), 1, 1500*time.Millisecond)
			}
			for i := range entryCount {
				if i != holder {
					w.restart(i, 10)
				}
			}
			time.Sleep(900 * time.Millisecond)
			w.activate(clientsBreak, 0.5, time.Second)
			w.restart(holder, 300)
			time.Sleep(2 * time.Second)
		}},
		{"all entries are lost, one before the others, while registrations of live workers were missing", func(w *world) {
			holder := w.holderIndex()
			for i := range 3 {
				w.activate(unregistered(i), 1, 2500*time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			w.entry((holder + 1) % entryCount).kill()
			time.Sleep(300*time.Millisecond + w.randomDuration(600))
			for i := range entryCount {
				w.restart(i, 300)
			}
			time.Sleep(2 * time.Second)
		}},
		{"successors cannot read the store, workers are new, and an entry and the holder are lost", func(w *world) {
			holder := w.holderIndex()
			for i := range entryCount {
				if i != holder {
					w.activate(cutFromStore(entryName(i)), 1, 5*time.Second)
				}
			}
			for i := range 3 {
				w.startWorker(i)
			}
			time.Sleep(1800 * time.Millisecond)
			w.restart((holder+1)%entryCount, 300)
			time.Sleep(w.randomDuration(700))
			w.restart(holder, 300)
			time.Sleep(2 * time.Second)
		}},
		{"a start reaches the next incarnation of a worker that is cut off then", func(w *world) {
			w.activate(carriedCalls, 1, time.Second)
			index := w.randomInt(workerCount)
			w.goroutines.Go(func() { w.restartWorker(index, 350*time.Millisecond) })
			time.Sleep(150 * time.Millisecond)
			for e := range entryCount {
				w.blockLink(entryName(e), workerName(index), 2500*time.Millisecond)
			}
			time.Sleep(2500 * time.Millisecond)
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *scriptRuns {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runScript(t, seed, c.play) })
				})
			}
		})
	}
}

// split blocks the links between one entry with the workers below a number, and the rest.
func (w *world) split(index, firstOutside int, duration time.Duration) {
	w.isolate(index, duration)
	for worker := range workerCount {
		inside := worker >= firstOutside && worker < firstOutside+2
		for e := range entryCount {
			if (e == index) != inside {
				w.blockLink(entryName(e), workerName(worker), duration)
			}
		}
	}
}

// runScript plays a script while clients send long jobs.
func runScript(t *testing.T, seed uint64, play func(w *world)) {
	time.Sleep(time.Until(time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)))
	w := newWorld(seed, entryCount, workerCount)
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	begins := time.Now().Add(500 * time.Millisecond)
	clients.Go(func() {
		for i := 0; !w.calm.Load(); i++ {
			c := &client{id: jobID(i), tasks: 1, long: true, sentAt: time.Now()}
			clients.Go(func() { c.run(w) })
			if time.Now().Before(begins) {
				time.Sleep(burstInterval)
				continue
			}
			time.Sleep(laterInterval)
		}
	})
	time.Sleep(time.Until(begins))
	play(w)
	w.calm.Store(true)
	clients.Wait()
	if overlapping, overloaded := w.monitor.Violations(); len(overlapping)+len(overloaded) > 0 {
		t.Errorf("seed %d: tasks with concurrent runs: %v; overloaded workers: %v; want none", seed, overlapping, overloaded)
		if len(overlapping) > 0 {
			t.Log(w.matchingLogLines(overlapping[0], "group taken", "group given up", "at=fault", "entry starts", "worker starts", "worker crashes"))
		}
	}
	w.end()
}
