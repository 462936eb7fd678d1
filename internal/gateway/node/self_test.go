package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/isolation"
	"github.com/radishgate/radishgate/internal/gateway/settings"
)

// TestOnlyOtherEntriesAreHeard guards against a holder that starts tasks beside its successor after
// a pause, and against an entry that is cut off and takes jobs: an odd address among those of the
// entries leads back to the entry itself, or to a server that answers anything. Such an answer
// says nothing about the claims of others.
func TestOnlyOtherEntriesAreHeard(t *testing.T) {
	tests := []struct {
		name   string
		handle func(own, other *Node) http.Handler
		heard  bool
	}{
		{"another entry", func(_, other *Node) http.Handler { return other.peerRoutes() }, true},
		{"the entry itself", func(own, _ *Node) http.Handler { return own.peerRoutes() }, false},
		{"a server that answers anything", func(_, _ *Node) http.Handler { return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}) }, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			n := newLargeNode(t, 1)
			other := newNode(t, io.Discard, listen(t), settings.Settings{VM: "e1", Zones: []string{"a"}, Processors: 1, Store: "127.0.0.1:9"})
			t.Cleanup(other.Abort)
			server := &http.Server{Handler: c.handle(n, other), ReadHeaderTimeout: time.Second}
			t.Cleanup(func() { _ = server.Close() })
			l := listen(t)
			go func() { _ = server.Serve(l) }()
			now := time.Now()
			n.pauseDetector.recordHeartbeat(now.Add(-time.Minute))
			n.pauseDetector.recordHeartbeat(now)
			// The same address in another spelling is a contact of its own.
			address := strings.Replace(l.Addr().String(), "127.0.0.1", "[::ffff:127.0.0.1]", 1)
			n.contacts.add(address)
			records, _ := n.members.NextHeartbeat()
			n.sendHeartbeat(t.Context(), "", address, n.newHeartbeat(records))
			if heard := !n.pauseDetector.takeoverSuspected(now); heard != c.heard {
				t.Errorf("the answer ends the suspicion of a takeover: %v, want %v", heard, c.heard)
			}
			if may := n.othersMayRun(); may != c.heard {
				t.Errorf("another entry may be running there: %v, want %v", may, c.heard)
			}
			for range 10 {
				n.isolation.Beat(isolation.View{}, now)
			}
			if heard := n.isolation.OthersSilent(); heard != c.heard {
				t.Errorf("another entry has been heard: %v, want %v", heard, c.heard)
			}
		})
	}
}
