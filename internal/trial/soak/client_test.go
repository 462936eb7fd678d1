package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// submitJob submits a job repeatedly, as clients do, until it gets a final answer or
// clientTimeout has passed. It checks the answer against the runs on the workers
// and reports whether the job was completed.
func (s *soak) submitJob(id string, random *rand.Rand) bool {
	tasks := 1 + random.IntN(4)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem-mb":10,"est-runtime-ms":100}],"best-effort":true}`, tasks)
	deadline := time.Now().Add(clientTimeout)
	refusals, attempts := 0, 0
	for time.Now().Before(deadline) {
		attempts++
		status, answer := postJob(s.entries[random.IntN(entryCount)].callerAddress, id, body, deadline)
		switch {
		case status == http.StatusOK && strings.Contains(answer, "completed"):
			for i := range tasks {
				if _, succeeded := s.monitor.TaskRuns(batch.TaskName(id, 0, 0, i)); !succeeded {
					s.recordViolation("job %s was reported as completed, but its task %d has not succeeded", id, i)
				}
			}
			return true
		case status == http.StatusOK:
			return false // the job failed because a task ran out of attempts
		case status == http.StatusServiceUnavailable:
			refusals++
			if refusals == attempts {
				time.Sleep(50 * time.Millisecond)
				for i := range tasks {
					if starts, _ := s.monitor.TaskRuns(batch.TaskName(id, 0, 0, i)); starts > 0 {
						s.recordViolation("job %s was refused, but its task %d has started", id, i)
					}
				}
			}
			return false
		}
		time.Sleep(resendAfter)
	}
	return false
}

// httpClient is shared by all simulated clients so that they reuse open connections.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount}}

func postJob(address, id, body string, deadline time.Time) (int, string) {
	return postJobUntil(context.Background(), address, id, body, deadline)
}

// postJobUntil is postJob for a client that also leaves when the context ends.
func postJobUntil(ctx context.Context, address, id, body string, deadline time.Time) (int, string) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/hold/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "hold.example"
	request.Header.Set("Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}
