package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/radishgate/radishgate/common/usage"
	"github.com/radishgate/radishgate/upstream"
)

// sendMicros returns the CPU time in microseconds of sending one task over HTTP on
// loopback with the given number of concurrent calls. Client and server both count.
func sendMicros(concurrency int) float64 {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"answer":1}`)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c := upstream.New(upstream.Options{Name: "u", Address: listener.Addr().String(), MaxConnections: concurrency})
	defer c.Close()
	const tasks = 6000
	sendTasks := func(n int) {
		for range n {
			_, _ = c.Do(context.Background(), upstream.Call{
				Path: "/", TaskID: "key/0", ContentType: "application/json", Body: []byte(`{"run":"1ms"}`),
				Deadline: time.Now().Add(time.Minute), MaxAnswerBytes: 1 << 16,
			})
		}
	}
	sendTasks(50)
	startCPU := usage.CPUTime()
	var group sync.WaitGroup
	for range concurrency {
		group.Go(func() { sendTasks(tasks / concurrency) })
	}
	group.Wait()
	return (usage.CPUTime() - startCPU).Seconds() * 1e6 / tasks
}
