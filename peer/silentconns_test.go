package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishgate/radishgate/common/counted"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/standin/proxy"
)

// TestHeartbeatAfterAnUnansweredOneTakesANewConnection guards against entries that count each other as
// dead because connections that were open have gone silent together: each heartbeat took the next
// of them, and there are as many as calls that were once made at the same time.
func TestHeartbeatAfterAnUnansweredOneTakesANewConnection(t *testing.T) {
	const connections = 6
	var together sync.WaitGroup
	together.Add(connections)
	hold := true
	handler := (&Server{OnHeartbeat: func(*wire.Beat) *wire.Beat {
		if hold {
			together.Done()
			together.Wait()
		}
		return &wire.Beat{}
	}}).Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	relay, err := proxy.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := NewClient(nil, &counted.Counter{}, nil)
	defer client.Close()
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() {
			if _, err := client.SendHeartbeat(t.Context(), relay.Address(), &wire.Beat{}); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	hold = false
	relay.SilenceOpenConnections()
	failures := 0
	for ; failures < 2*connections; failures++ {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := client.SendHeartbeat(ctx, relay.Address(), &wire.Beat{})
		cancel()
		if err == nil {
			break
		}
	}
	if failures != 1 {
		t.Fatalf("%d heartbeats failed, want 1", failures)
	}
}
