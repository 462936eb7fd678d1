package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/internal/work/cancels"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestCancelReachesEachEntry guards against a cancelled job that starts when its request comes again at another entry, also
// after the loss of the entry that has answered the cancel.
func TestCancelReachesEachEntry(t *testing.T) {
	f := newFleet(t, 3, 1, worker.Options{PlanRun: func(string) (string, time.Duration) { return "done", time.Minute }})
	f.waitReady()
	holder := f.holderIndex()
	tests := []struct {
		name string
		send int // index of the entry that gets the cancel
	}{{"through the holder", holder}, {"through another entry", (holder + 1) % 3}}
	for i, c := range tests {
		id := strings.Repeat("0", 15) + string(rune('1'+i))
		if status := f.cancelThrough(f.nodes[c.send], id); status != http.StatusOK && status != http.StatusGone {
			t.Errorf("%s: status %d", c.name, status)
		}
		kept := 0
		for _, n := range f.nodes {
			if n.cancels.Cancelled(id) {
				kept++
			}
		}
		if kept < 2 {
			t.Errorf("%s: kept by %d entries when it was acknowledged, want 2", c.name, kept)
		}
		for _, n := range f.nodes {
			f.waitFor("the cancel is known", func() bool { return n.cancels.Cancelled(id) })
			if _, body := f.submit(n, id, 2); !strings.Contains(body, "cancelled") {
				t.Errorf("%s: the request that comes again gets %q", c.name, body)
			}
		}
		if starts, _ := f.watch.TaskRuns(batch.TaskName(id, 0, 0, 0)); starts > 0 {
			t.Errorf("%s: %d starts", c.name, starts)
		}
	}
	f.checkWorkers()
}

// TestCancelsInAHeartbeat guards against cancels that are left out of heartbeats or answers, or read wrongly. It logs the
// bytes that records add to a heartbeat.
func TestCancelsInAHeartbeat(t *testing.T) {
	to := member.Record{ID: "e1", Zone: "b", PeerAddress: "127.0.0.1:1001", Incarnation: 7}
	for _, count := range []int{1, 16, 64, 128} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			sender, receiver, now := newLargeNode(t, 3), newLargeNode(t, 3), time.Now()
			for job := range uint64(count) {
				sender.cancels.Learn([]cancels.Record{{Job: (job + 1) * 0x9e3779b97f4a7c15, Until: now.Add(30 * time.Second)}}, now)
			}
			plain := sender.newHeartbeat(sender.members.ReplyRecords())
			extended, _ := sender.addCancels(plain, to)
			t.Logf("%d records: %.1f bytes each", count, float64(proto.Size(extended)-proto.Size(plain))/float64(count))
			answer := sender.replyCancels(sender.newHeartbeat(nil), &wire.Member{Id: to.ID, Incarnation: to.Incarnation})
			receiver.mergeHeartbeat(extended)
			if receiver.cancels.Table.Len() != count || len(answer.Cancels) != count {
				t.Errorf("%d records arrived with the heartbeat and %d with an answer, want %d", receiver.cancels.Table.Len(), len(answer.Cancels), count)
			}
		})
	}
}

// TestExtendedHeartbeatKeepsAllFields guards against a field of a heartbeat that receivers of cancels or of started jobs do
// not get, since it was added later.
func TestExtendedHeartbeatKeepsAllFields(t *testing.T) {
	n, now := newLargeNode(t, 3), time.Now()
	n.cancels.Learn([]cancels.Record{{Job: 1, Until: now.Add(time.Minute)}}, now)
	heartbeat := &wire.Beat{}
	message := heartbeat.ProtoReflect()
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.IsList() {
			message.Mutable(f).List().AppendMutable()
			continue
		}
		message.Mutable(f)
	}
	extended, _ := n.addCancels(withStarted(heartbeat, []*wire.Started{{Group: "a/0"}}), member.Record{ID: "e1", Incarnation: 7})
	for i := range fields.Len() {
		if f := fields.Get(i); !extended.ProtoReflect().Has(f) {
			t.Errorf("%s is lost", f.Name())
		}
	}
	if heartbeat.Cancels[0].Job != 0 || heartbeat.Started[0].Group != "" {
		t.Errorf("the heartbeat for other receivers has changed: %v", heartbeat)
	}
}

// TestCancelAtALoneEntry guards against an entry that is the only one and acknowledges no cancel, since no other process
// can keep it.
func TestCancelAtALoneEntry(t *testing.T) {
	n := newLargeNode(t, 1)
	n.settings.Zones = []string{"a"}
	n.cancels.Groups = []string{groupName("a", 0)}
	n.reconcileGroups(n.ctx)
	n.registryState.setLoaded()
	n.reconcileGroups(n.ctx)
	if _, err := n.cancelJob(context.Background(), batch.QueueSettings{}, strings.Repeat("f", 16)); err != nil {
		t.Error(err)
	}
}
