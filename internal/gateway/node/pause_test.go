package node

import (
	"testing"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
)

// TestPauseMakesClaimsUncertain steps through heartbeats, a gap and the answers after it.
func TestPauseMakesClaimsUncertain(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ms := func(n int) time.Time { return began.Add(time.Duration(n) * time.Millisecond) }
	steps := []struct {
		name     string
		at       int // ms
		beat     bool
		sent     int // ms, of a heartbeat that is answered now; negative for none
		doubtful bool
	}{
		{"the first heartbeat", 0, true, -1, false},
		{"the second", 150, true, 0, false},
		{"a late one", 700, true, -1, false},
		{"the process goes on after a gap", 2000, false, -1, true},
		{"it has noticed", 2001, true, -1, true},
		{"an answer to an earlier heartbeat", 2002, false, 700, true},
		{"an answer to a new one", 2005, false, 2001, false},
		{"a second gap", 4000, true, -1, true},
		{"nobody answers", 4150, true, -1, true},
		{"nobody is there", 4300, true, -1, true},
		{"nobody has been there", 4401, false, -1, false},
	}
	p := pauseDetector{threshold: 600 * time.Millisecond}
	for _, s := range steps {
		if s.beat {
			p.recordHeartbeat(ms(s.at))
		}
		if s.sent >= 0 {
			p.recordAnswer(ms(s.sent))
		}
		if got := p.claimsUncertain(ms(s.at)); got != s.doubtful {
			t.Fatalf("%s: doubtful %v, want %v", s.name, got, s.doubtful)
		}
	}
}

// TestPausedHolderRejectsJobs wakes a holder that has stood still, with a message
// about a job unread: the job may be with the next holder already.
func TestPausedHolderRejectsJobs(t *testing.T) {
	n := newLargeNode(t, 1)
	n.reconcileGroups(n.ctx)
	n.registryState.setLoaded()
	n.reconcileGroups(n.ctx)
	group := groupName("a", 0)
	h, held := n.holder(group)
	if !held {
		t.Fatal("the group is not held")
	}
	offer := func(id string) bool {
		now := time.Now()
		return n.onPlace(group, h.Epoch(), &batch.Batch{
			Terms: batch.Terms{Queue: "q", Service: "listing", Attempts: 1}, ID: id, From: n.settings.VM, Arrived: now, Expires: now.Add(time.Minute),
			Steps: []batch.Step{{Count: 1}},
		}, nil)
	}
	n.pauseDetector.recordHeartbeat(time.Now().Add(-time.Hour))
	if offer("0000000000000001") {
		t.Fatal("a job is taken by a holder that has stood still")
	}
	n.pauseDetector.recordHeartbeat(time.Now())
	if offer("0000000000000002") {
		t.Fatal("a job is taken before others have answered")
	}
	n.pauseDetector.recordAnswer(time.Now())
	if !offer("0000000000000003") {
		t.Fatal("a job is turned down though others have answered")
	}
}
