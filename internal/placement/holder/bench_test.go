package holder

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/resources"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// BenchmarkTasks runs jobs of four tasks on forty workers over HTTP, as many at once
// as the workers have free resources for. The processor time per task includes both
// ends of its calls.
func BenchmarkTasks(b *testing.B) {
	const workers, room1, tasks = 40, 3, 4
	watch := &worker.RunMonitor{}
	clients := platform.NewWorkerClient()
	defer clients.Close()
	results := make(chan batch.Result, workers*room1)
	ctx, cancel := context.WithCancel(context.Background())
	h := newHolder(ctx, WorkerCalls{Start: clients.Start, Stop: clients.Stop, Hold: clients.Hold}, results)
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		server := httptest.NewServer(worker.New(worker.Options{ID: id, Slots: room1, Monitor: watch}))
		defer server.Close()
		h.AddWorker(platform.Registration{
			ID: id, Service: "listing", Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Labels: []string{"k"},
			Capacity: resources.Resources{MilliCores: room1 * 1000, MemoryMB: 1000},
		})
	}
	for !h.AllWorkersReady() {
		time.Sleep(time.Millisecond)
	}
	number := 0
	admit := func() {
		number++
		now := time.Now()
		h.Admit(&batch.Batch{
			QueueSettings: batch.QueueSettings{Queue: "hold", Service: "listing", MaxAttempts: 3, Stretch: 1.6, Slack: 60 * time.Millisecond},
			ID:            fmt.Sprintf("%016x", number), ArrivedAt: now, ExpiresAt: now.Add(time.Minute),
			Steps: []batch.Step{{Count: tasks, Resources: resources.Resources{MilliCores: 1000, MemoryMB: 10}, Hint: 20 * time.Millisecond}},
		}, nil)
	}
	b.ResetTimer()
	for range workers * room1 / tasks {
		admit()
	}
	for range b.N {
		if r := <-results; r.State != batch.Completed {
			b.Fatal(r)
		}
		admit()
	}
	b.StopTimer()
	cancel()
	h.Wait()
}
