package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/radishgate/radishgate/standin/worker"
)

// TestWaitingJobIsAnsweredBeforeTheEntryStops guards against a drain that closes the connection of a client without
// an answer: its job waits at the holder, another entry, until the drain ends.
func TestWaitingJobIsAnsweredBeforeTheEntryStops(t *testing.T) {
	f := newFleet(t, 2, 1, worker.Options{PlanRun: func(string) (string, time.Duration) { return "done", jobTimeout }})
	f.waitReady()
	holder := f.nodes[f.holderIndex()]
	other := 1 - f.holderIndex()
	f.nodes[other].grace.Store(int64(time.Second))
	go f.submit(holder, "00000000000000a1", 2)
	f.waitFor("the worker is busy", func() bool { return holder.load().Running == 2 })
	answers := make(chan int, 1)
	go func() {
		status, _ := f.submit(f.nodes[other], "00000000000000a2", 1)
		answers <- status
	}()
	f.waitFor("the job waits", func() bool { return holder.load().Waiting == 1 })
	f.stops[other]()
	if status := <-answers; status != http.StatusServiceUnavailable {
		t.Errorf("the waiting job was answered with status %d, want 503; 0 stands for no answer", status)
	}
}
