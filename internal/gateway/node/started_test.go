package node

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/gateway/settings"
	"github.com/radishgate/radishgate/internal/placement/election"
	"github.com/radishgate/radishgate/internal/placement/remote"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/standin/worker"
)

// TestHoldersLearnWhichJobsOthersHaveStarted guards against a job that is started in two zones, since the
// holder of the second one has not been told of it: a heartbeat was lost, or it has just taken its group.
func TestHoldersLearnWhichJobsOthersHaveStarted(t *testing.T) {
	const id = "0000000000000001"
	f := newFleet(t, 1, 1, worker.Options{})
	f.waitReady()
	if status, body := f.submit(f.nodes[0], id, 1); status != 200 {
		t.Fatalf("status %d %s", status, body)
	}
	n, group := f.nodes[0], groupName("a", 0)
	receiver := member.Record{ID: "e9", Incarnation: 7}
	tells := func(heartbeat *wire.Beat) bool {
		return slices.ContainsFunc(heartbeat.Started, func(s *wire.Started) bool { return s.Group == group && slices.Contains(s.Jobs, remote.Hash(id)) })
	}
	if extended, _ := n.addStarted(&wire.Beat{}, receiver); len(extended.Started) > 0 {
		t.Error("an entry that holds no group is told of started jobs")
	}
	n.claims.Merge([]election.Claim{{Group: "b/0", Epoch: 1, Holder: receiver.ID, Incarnation: receiver.Incarnation}})
	steps := []struct {
		name string
		do   func(confirm func())
		told bool
	}{
		{"at first", func(func()) {}, true},
		{"the heartbeat was lost", func(confirm func()) { confirm() }, true},
		{"the heartbeat was answered", func(func()) {}, false},
		{"it lost its group and has another one", func(func()) {}, true},
	}
	for i, s := range steps {
		if i == len(steps)-1 {
			n.startedReports.retain(func(startedReceiver) bool { return false })
		}
		extended, confirm := n.addStarted(&wire.Beat{}, receiver)
		if told := tells(extended); told != s.told {
			t.Errorf("%s: told of the job: %t, want %t", s.name, told, s.told)
		}
		s.do(confirm)
	}
	reply := n.replyStarted(&wire.Beat{}, &wire.Member{Id: receiver.ID, Incarnation: receiver.Incarnation})
	if !tells(reply) {
		t.Error("an entry that has just taken a group is not told of the job in the answer")
	}

	other := newNode(t, io.Discard, listen(t), settings.Settings{VM: receiver.ID, Zones: []string{"a", "b"}, Processors: 1, Store: "127.0.0.1:9", ClientRetryAfter: 1300 * time.Millisecond})
	t.Cleanup(other.Abort)
	reply.Members = []*wire.Member{{Id: n.settings.VM, Zone: "a", Incarnation: n.incarnation, Beat: 1}}
	other.mergeHeartbeat(reply)
	if got := other.startedElsewhere("b/0", id); got != group {
		t.Errorf("group %q has started the job, want %q", got, group)
	}
	if got := other.startedElsewhere(group, id); got != "" {
		t.Errorf("group %q has started a job of the own group", got)
	}
	if got := other.startedElsewhere("b/0", "0000000000000002"); got != "" {
		t.Errorf("group %q has started a job that nobody has told of", got)
	}
}
