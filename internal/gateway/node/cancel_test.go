package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/standin/worker"
)

// cancelThrough sends a DELETE for a job to an entry and returns the status.
func (f *fleet) cancelThrough(n *Node, id string) int {
	request, err := http.NewRequest(http.MethodDelete, "http://"+n.listeners.clients.Addr().String()+"/hold/"+id, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "hold.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close() // the status is enough
	return response.StatusCode
}

// TestCancelEndsTheJob guards against a cancel that is answered and does nothing: the job goes on, or its tasks
// start later. It comes through the entry that waits for the job, through its holder, and through an entry
// that knows nothing of it.
func TestCancelEndsTheJob(t *testing.T) {
	f := newFleet(t, 3, 1, worker.Options{PlanRun: func(string) (string, time.Duration) { return "done", time.Minute }})
	f.waitReady()
	holder := f.holderIndex()
	tests := []struct {
		name         string
		submit, send int // index of the entry
	}{
		{"through the holder, which waits for it", holder, holder},
		{"through the holder", (holder + 1) % 3, holder},
		{"through the entry that waits for it", (holder + 1) % 3, (holder + 1) % 3},
		{"through another entry", (holder + 1) % 3, (holder + 2) % 3},
	}
	for i, c := range tests {
		id := strings.Repeat("0", 15) + string(rune('1'+i))
		answer := make(chan string, 1)
		go func() {
			_, body := f.submit(f.nodes[c.submit], id, 4) // the worker has room for two
			answer <- body
		}()
		f.waitFor("the job runs", func() bool {
			starts, _ := f.watch.TaskRuns(batch.TaskName(id, 0, 0, 0))
			second, _ := f.watch.TaskRuns(batch.TaskName(id, 0, 0, 1))
			return starts+second > 0
		})
		if status := f.cancelThrough(f.nodes[c.send], id); status != http.StatusOK {
			t.Errorf("%s: status %d", c.name, status)
		}
		if body := <-answer; !strings.Contains(body, "cancelled") {
			t.Errorf("%s: its client gets %q", c.name, body)
		}
		f.waitFor("the worker has room again", func() bool {
			h, held := f.nodes[holder].holder(groupName("a", 0))
			return held && h.Load().Running == 0 && h.Load().Waiting == 0
		})
	}
	f.waitFor("nobody knows another job", func() bool { return f.cancelThrough(f.nodes[holder], strings.Repeat("f", 16)) == http.StatusGone })
	f.checkWorkers()
}
