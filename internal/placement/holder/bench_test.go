package holder

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/room"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// BenchmarkTasks runs jobs of four tasks on forty workers over HTTP, as many at once
// as find room. A task's processor time holds both ends of its calls.
func BenchmarkTasks(b *testing.B) {
	const workers, room1, tasks = 40, 3, 4
	watch := &worker.Watch{}
	clients := platform.NewWorkerClient()
	defer clients.Close()
	settled := make(chan batch.Result, workers*room1)
	ctx, cancel := context.WithCancel(context.Background())
	h := holderOver(ctx, Calls{Start: clients.Start, Stop: clients.Stop, Hold: clients.Hold}, settled)
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		server := httptest.NewServer(worker.New(worker.Options{ID: id, Room: room1, Watch: watch}))
		defer server.Close()
		h.Enlist(platform.Registration{
			ID: id, Service: "listing", Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Labels: []string{"k"},
			Capacity: room.Room{Processors: room1 * 1000, Memory: 1000},
		})
	}
	for !h.Calm() {
		time.Sleep(time.Millisecond)
	}
	number := 0
	admit := func() {
		number++
		now := time.Now()
		h.Admit(&batch.Batch{
			Terms: batch.Terms{Queue: "hold", Service: "listing", Attempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
			ID:    fmt.Sprintf("%016x", number), Arrived: now, Expires: now.Add(time.Minute),
			Steps: []batch.Step{{Count: tasks, Room: room.Room{Processors: 1000, Memory: 10}, Hint: 20 * time.Millisecond}},
		}, nil)
	}
	b.ResetTimer()
	for range workers * room1 / tasks {
		admit()
	}
	for range b.N {
		if r := <-settled; r.State != batch.Completed {
			b.Fatal(r)
		}
		admit()
	}
	b.StopTimer()
	cancel()
	h.Wait()
}
