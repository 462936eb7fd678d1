package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/internal/work/batch"
)

// jobMessages are the messages that say that a client waits for a job.
var jobMessages = []struct {
	name string
	send func(ctx context.Context, c *Client, address string) error
}{
	{"a job", func(ctx context.Context, c *Client, address string) error {
		_, err := c.Place(ctx, address, "a", 1, &batch.Batch{ID: "j", AskedAt: time.Now()}, nil)
		return err
	}},
	{"a poll", func(ctx context.Context, c *Client, address string) error {
		_, _, _, err := c.Await(ctx, address, "a", 1, []string{"j"}, time.Now())
		return err
	}},
}

// TestAgeOfALateMessageIsKnown guards against a message that counts from when it is read: it has waited
// in a link, or for a process that stood still.
func TestAgeOfALateMessageIsKnown(t *testing.T) {
	const delay = 50 * time.Millisecond
	const rounding = 3 * time.Millisecond // of two clocks in whole milliseconds
	for _, c := range jobMessages {
		t.Run(c.name, func(t *testing.T) {
			var age time.Duration
			handlers := JobHandlers{
				OnPlace: func(_ string, _ uint64, b *batch.Batch, _ []string) bool {
					age = time.Since(b.AskedAt)
					return true
				},
				OnAwait: func(_ string, _ uint64, ids []string, askedAt time.Time) ([]batch.Result, []string, bool) {
					if len(ids) > 0 {
						age = time.Since(askedAt)
					}
					return nil, nil, true
				},
			}
			inner := (&Server{JobHandlers: handlers}).Handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(delay)
				inner.ServeHTTP(w, r)
			}))
			defer server.Close()
			client := NewClient(nil, &counted.Counter{}, nil)
			defer client.Close()
			if err := c.send(t.Context(), client, strings.TrimPrefix(server.URL, "http://")); err != nil {
				t.Fatal(err)
			}
			if age < delay-rounding {
				t.Errorf("age %s of a message that took %s", age, delay)
			}
		})
	}
}
