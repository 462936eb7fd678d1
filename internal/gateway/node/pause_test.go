package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestTakeoverIsSuspectedAfterPause guards against an entry that trusts its claims after its
// process was suspended. Only an answer to a heartbeat sent after the pause, or a timeout
// without any answer, ends the suspicion.
func TestTakeoverIsSuspectedAfterPause(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ms := func(n int) time.Time { return began.Add(time.Duration(n) * time.Millisecond) }
	steps := []struct {
		name      string
		at        int // ms
		heartbeat bool
		sent      int // ms, of a heartbeat that is answered now; negative for none
		suspected bool
	}{
		{"the first heartbeat", 0, true, -1, false},
		{"the second", 150, true, 0, false},
		{"a late one", 700, true, -1, false},
		{"the process resumes after a gap", 2000, false, -1, true},
		{"it has detected the gap", 2001, true, -1, true},
		{"an answer to an earlier heartbeat", 2002, false, 700, true},
		{"an answer to a new one", 2005, false, 2001, false},
		{"a second gap", 4000, true, -1, true},
		{"nobody answers", 4150, true, -1, true},
		{"still nobody answers", 4300, true, -1, true},
		{"the suspicion times out", 4401, false, -1, false},
	}
	p := pauseDetector{threshold: 600 * time.Millisecond}
	for _, s := range steps {
		if s.heartbeat {
			p.recordHeartbeat(ms(s.at))
		}
		if s.sent >= 0 {
			p.recordAnswer(ms(s.sent))
		}
		if got := p.takeoverSuspected(ms(s.at)); got != s.suspected {
			t.Fatalf("%s: takeover suspected %v, want %v", s.name, got, s.suspected)
		}
	}
}

// TestPausedHolderRejectsJobs resumes a suspended holder that has an unread message with a
// job. It must reject the job, which the next holder may already have.
func TestPausedHolderRejectsJobs(t *testing.T) {
	n := newLargeNode(t, 1)
	n.reconcileGroups(n.ctx)
	n.registryState.setLoaded()
	n.reconcileGroups(n.ctx)
	group := groupName("a", 0)
	h, held := n.holder(group)
	if !held {
		t.Fatal("this entry does not hold the group")
	}
	offer := func(id string) bool {
		now := time.Now()
		return n.onPlace(group, h.Epoch(), &batch.Batch{
			QueueSettings: batch.QueueSettings{Queue: "q", Service: "listing", MaxAttempts: 1}, ID: id, WaitingEntry: n.settings.VM, ArrivedAt: now, ExpiresAt: now.Add(time.Minute),
			Steps: []batch.Step{{Count: 1}},
		}, nil)
	}
	n.pauseDetector.recordHeartbeat(time.Now().Add(-time.Hour))
	if offer("0000000000000001") {
		t.Fatal("a holder that was suspended accepted a job")
	}
	n.pauseDetector.recordHeartbeat(time.Now())
	if offer("0000000000000002") {
		t.Fatal("a job was accepted before any answer from other entries")
	}
	n.pauseDetector.recordAnswer(time.Now())
	if !offer("0000000000000003") {
		t.Fatal("a job was rejected although another entry has answered")
	}
}
