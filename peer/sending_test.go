package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestMessageCountsFromTheCall guards against a message that counts from a time after its sender has
// decided to send it: the client of the job may leave while the clock of the receiver is asked for, and the
// message that follows still says that the client waits.
func TestMessageCountsFromTheCall(t *testing.T) {
	const delay = 100 * time.Millisecond
	const rounding = 3 * time.Millisecond // of two clocks in whole milliseconds
	for _, c := range jobMessages {
		t.Run(c.name, func(t *testing.T) {
			var countsFrom time.Time
			handlers := JobHandlers{
				OnPlace: func(_ string, _ uint64, b *batch.Batch, _ []string) bool {
					countsFrom = b.AskedAt
					return true
				},
				OnAwait: func(_ string, _ uint64, ids []string, askedAt time.Time) ([]batch.Result, []string, bool) {
					if len(ids) == 0 {
						time.Sleep(delay) // the clock is asked for
						return nil, nil, true
					}
					countsFrom = askedAt
					return nil, nil, true
				},
			}
			server := httptest.NewServer(http.HandlerFunc((&Server{JobHandlers: handlers}).Handler().ServeHTTP))
			defer server.Close()
			client := NewClient(nil, &counted.Counter{}, nil)
			defer client.Close()
			called := time.Now()
			if err := c.send(t.Context(), client, strings.TrimPrefix(server.URL, "http://")); err != nil {
				t.Fatal(err)
			}
			if late := countsFrom.Sub(called); late > rounding {
				t.Errorf("the message counts from %s after the call", late)
			}
		})
	}
}
