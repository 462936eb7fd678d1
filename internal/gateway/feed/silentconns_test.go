package feed

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/ledger"
	"github.com/radishgate/radishgate/standin/proxy"
)

// TestRetryAvoidsOpenConnections guards against a retry over another open connection to the
// store: connections that are open may go silent together, while new ones work. A
// configuration was in force 3.3 s after it was confirmed. One retry must be enough, however
// many connections are idle.
func TestRetryAvoidsOpenConnections(t *testing.T) {
	for _, idle := range []int{1, 2, 4} {
		store := ledger.New()
		store.Put("keyed.op", "config", []byte("first"))
		server := httptest.NewServer(store)
		relay, err := proxy.New(strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		client := platform.NewStore(relay.Address())
		var calls sync.WaitGroup
		for range idle {
			calls.Go(func() {
				if _, _, err := client.OperatorFeed().Read(t.Context(), 1, 100*time.Millisecond); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		relay.SilenceOpenConnections()
		ctx, cancel := context.WithCancel(t.Context())
		var lines strings.Builder
		f := &Follower{
			Name: "configuration", Feed: client.OperatorFeed(), Reset: func([]platform.KeyedRecord) { cancel() }, Apply: func([]platform.KeyedRecord) {},
			OnUnavailable: func() {}, OnAvailable: func() {}, Log: slog.New(slog.NewTextHandler(&lines, nil)),
		}
		f.Run(ctx)
		if failures := strings.Count(lines.String(), "topic cannot be read"); failures != 1 {
			t.Errorf("%d idle connections: %d attempts failed, want 1:\n%s", idle, failures, lines.String())
		}
		client.Close()
		relay.Close()
		server.Close()
	}
}
