package feed

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// TestOddItemDoesNotStopFollowing guards against a topic that is no longer followed because
// another writer left one odd record in it: its list of newest records could not be read, or
// was read for ever. The other records, and those that are written later, must be delivered.
func TestOddItemDoesNotStopFollowing(t *testing.T) {
	tests := []struct {
		name   string
		item   string
		more   bool
		events []string
	}{
		{"a value that is no base64", `{"key":"b","value":"!!","offset":5}`, false, []string{"back"}},
		{"a key of a wrong type", `{"key":[7],"value":"e30=","offset":5}`, false, []string{"back"}},
		{"a list without an end", `{"key":"b","value":"e30=","offset":5}`, true, []string{"lost", "back"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			frame := func(record string) string {
				return string(binary.BigEndian.AppendUint32(nil, uint32(len(record)))) + record
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/log-newest":
					_, _ = fmt.Fprintf(w, `{"items":[%s,{"key":"a","value":"YQ==","offset":6}],"has-more":%t,"end":9}`, c.item, c.more)
				case r.URL.Query().Get("from") == "9":
					_, _ = io.WriteString(w, strings.Repeat("\x00", 16)+frame("\x09x")+frame("\x01clater"))
				default:
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			defer store.Close()
			var mu sync.Mutex
			var events, values []string
			take := func(records []platform.KeyedRecord) {
				mu.Lock()
				defer mu.Unlock()
				for _, k := range records {
					values = append(values, string(k.Value))
				}
			}
			event := func(what string) {
				mu.Lock()
				defer mu.Unlock()
				events = append(events, what)
			}
			f := &Follower{
				Name: "workers", Feed: store.WorkerFeed(), Wait: 50 * time.Millisecond, Reset: take, Apply: take,
				OnUnavailable: func() { event("lost") }, OnAvailable: func() { event("back") },
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { f.Run(ctx) })
			defer done.Wait()
			defer cancel()
			for range 1000 {
				mu.Lock()
				read := slices.Contains(values, "a") && slices.Contains(values, "later")
				seen := slices.Clone(events)
				mu.Unlock()
				if read {
					if !slices.Equal(seen[:min(len(seen), len(c.events))], c.events) {
						t.Fatalf("events %v, want %v", seen, c.events)
					}
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Fatalf("values %q, events %v", values, events)
		})
	}
}
