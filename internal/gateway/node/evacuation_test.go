package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/platform"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestHeartbeatsCarryEvacuations guards against an entry that does not learn of an evacuation while it is cut
// off from the store, and against news of an entry that has read nothing or is of an earlier build.
func TestHeartbeatsCarryEvacuations(t *testing.T) {
	reader, other := newLargeNode(t, 1), newLargeNode(t, 1)
	other.mergeHeartbeat(reader.newHeartbeat(nil))
	if other.evacuations.State().Known {
		t.Error("an entry that has read nothing tells of evacuations")
	}
	reader.operatorPosition.set(7, false)
	reader.resetEvacuations([]platform.KeyedRecord{{Key: "evacuate/b", Value: []byte("{}"), Offset: 3}})
	receiver := member.Record{ID: "e9", Incarnation: 7}
	reader.claims.Merge([]election.Claim{{Group: "b/0", Epoch: 1, Holder: receiver.ID, Incarnation: receiver.Incarnation}})
	extended, _ := reader.addStarted(reader.newHeartbeat(nil), receiver) // to the holder of another group
	other.mergeHeartbeat(extended)
	if state := other.evacuations.State(); !state.Known || state.Offset != 7 || !state.Zones["b"] {
		t.Errorf("known: %+v", state)
	}
	other.mergeHeartbeat(&wire.Beat{}) // of an earlier build
	if !other.evacuations.State().Zones["b"] {
		t.Error("a heartbeat without evacuations ends them")
	}
}

// TestEvacuationsOfAHeartbeatAreBounded guards against heartbeats that exceed what an entry may send because
// operators have written many keys.
func TestEvacuationsOfAHeartbeatAreBounded(t *testing.T) {
	n := newLargeNode(t, 1)
	records := []platform.KeyedRecord{{Key: "evacuate/b", Value: []byte("{}")}}
	for i := range 500 {
		records = append(records, platform.KeyedRecord{Key: fmt.Sprintf("evacuate/other\xff%d", i), Value: []byte("{}")})
	}
	n.resetEvacuations(records)
	if got := n.packEvacuations().Zones; len(got) != 1 || got[0] != "b" {
		t.Errorf("%d zones sent, want b alone", len(got))
	}
}

// TestJobsGoToOneOtherZone guards against a job that runs in two zones since the entries of an evacuated zone
// choose different ones, jobs of all clients in the same zone, and jobs that wait for zones that are cut off.
func TestJobsGoToOneOtherZone(t *testing.T) {
	first, second := newLargeNode(t, 9), newLargeNode(t, 9)
	for _, n := range []*Node{first, second} {
		n.claims.Merge([]election.Claim{
			{Group: "a/0", Epoch: 1, Holder: "e3", Incarnation: 7}, {Group: "b/0", Epoch: 1, Holder: "e1", Incarnation: 7}, {Group: "c/0", Epoch: 1, Holder: "e2", Incarnation: 7},
		})
		n.resetEvacuations([]platform.KeyedRecord{{Key: "evacuate/a", Value: []byte("{}")}})
	}
	count := map[string]int{}
	for i := range 300 {
		id := fmt.Sprintf("%016x", i)
		group := first.redirect(id, "a/0")
		if other := second.redirect(id, "a/0"); other != group {
			t.Fatalf("job %s goes to %s and to %s", id, group, other)
		}
		if got := first.redirect(id, "b/0"); got != "b/0" {
			t.Fatalf("a job of another zone goes to %s", got)
		}
		count[group]++
	}
	if len(count) != 2 || count["b/0"] < 100 || count["c/0"] < 100 {
		t.Errorf("jobs by group: %v", count)
	}
	first.silence.Begin("e1", time.Now().Add(-time.Second))
	if group, other := first.redirect("0000000000000001", "a/0"), second.redirect("0000000000000001", "a/0"); group != other {
		t.Errorf("an entry that does not hear one holder chooses %s, another one %s", group, other)
	}
	first.silence.Begin("e2", time.Now().Add(-time.Second))
	if group := first.redirect("0000000000000001", "a/0"); group != "" {
		t.Errorf("a job goes to %s, whose holder does not answer, want a refusal", group)
	}
}

// TestEvacuationOfAZone evacuates the zone of an entry, then all zones, and takes them back. It guards against
// starts in an evacuated zone, jobs that are not served elsewhere, and jobs that are held instead of
// refused when no zone is left.
func TestEvacuationOfAZone(t *testing.T) {
	f := newFleet(t, 0, 0, worker.Options{})
	zones, runs := []string{"a", "b"}, map[string]*atomic.Int64{"a": {}, "b": {}}
	listeners := []net.Listener{listen(t), listen(t)}
	seeds := []string{listeners[0].Addr().String(), listeners[1].Addr().String()}
	for i, zone := range zones {
		server := httptest.NewServer(worker.New(worker.Options{ID: "w" + zone, Monitor: f.watch, Slots: 2, PlanRun: func(string) (string, time.Duration) {
			runs[zone].Add(1)
			return "done", time.Millisecond
		}}))
		t.Cleanup(server.Close)
		f.store.Put("keyed.servers", "w"+zone, fmt.Appendf(nil,
			`{"backend":"listing","address":%q,"zone":%q,"state":"ready","capacity":{"cpu":2000,"mem-mb":1000},"labels":["k"],"seq":1}`,
			strings.TrimPrefix(server.URL, "http://"), zone))
		n := newNode(t, t.Output(), listeners[i], settings.Settings{VM: "e" + zone, Zone: zone, Zones: zones, Processors: 1, Seeds: seeds, Store: f.address})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := n.Run(t.Context()); err != nil {
				t.Error(err)
			}
		}()
		t.Cleanup(func() {
			n.Abort()
			<-done
		})
		f.nodes = append(f.nodes, n)
	}
	f.waitFor("both zones have a holder", func() bool {
		for _, n := range f.nodes {
			for _, zone := range zones {
				if _, known := n.currentHolder(groupName(zone, 0)); !known || !n.Ready() {
					return false
				}
			}
		}
		return true
	})
	jobs := 0
	steps := []struct {
		name      string
		key       string
		value     string
		status    int
		servedIn  string
		evacuated int
	}{
		{"none evacuated", "wave", "x", http.StatusOK, "a", 0},
		{"own zone evacuated", "evacuate/a", "{}", http.StatusOK, "b", 1},
		{"all zones evacuated", "evacuate/b", "odd", http.StatusServiceUnavailable, "", 2},
		{"own zone taken back", "evacuate/a", "", http.StatusOK, "a", 1},
	}
	for _, s := range steps {
		f.store.Put("keyed.op", s.key, []byte(s.value))
		f.waitFor(s.name, func() bool {
			for _, n := range f.nodes {
				if len(n.evacuations.State().Zones) != s.evacuated {
					return false
				}
			}
			return true
		})
		before := map[string]int64{"a": runs["a"].Load(), "b": runs["b"].Load()}
		for range 10 {
			jobs++
			if status, body := f.submit(f.nodes[0], fmt.Sprintf("%016x", jobs), 2); status != s.status {
				t.Fatalf("%s: status %d, %s", s.name, status, body)
			}
		}
		for _, zone := range zones {
			if ran := runs[zone].Load() > before[zone]; ran != (zone == s.servedIn) {
				t.Errorf("%s: tasks ran in zone %s: %t", s.name, zone, ran)
			}
		}
	}
	f.checkWorkers()
}
