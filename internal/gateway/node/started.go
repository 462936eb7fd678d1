package node

import (
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/placement/remote"
	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer/wire"
)

// startedReports records up to when the holders of other groups know which jobs this entry has started.
// It is safe for concurrent use.
type startedReports struct {
	mu sync.Mutex
	at map[startedReceiver]time.Time
}

// startedReceiver is one incarnation of an entry that gets reports.
type startedReceiver struct {
	id          string
	incarnation uint64
}

// since returns up to when a receiver knows the started jobs, and whether it knows any.
func (s *startedReports) since(r startedReceiver) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.at[r]
	return at, known
}

// confirm records that a receiver knows the jobs that were started up to a time.
func (s *startedReports) confirm(r startedReceiver, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[startedReceiver]time.Time{}
	}
	if at.After(s.at[r]) {
		s.at[r] = at
	}
}

// retain forgets receivers that hold no group any more. They miss reports from then on.
func (s *startedReports) retain(holds func(startedReceiver) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.at {
		if !holds(r) {
			delete(s.at, r)
		}
	}
}

// holdsOtherGroup reports whether an incarnation of another entry holds a group, by the claims.
func (n *Node) holdsOtherGroup(r startedReceiver) bool {
	for _, c := range n.claims.Claims() {
		if c.Holder == r.id && c.Incarnation == r.incarnation && c.Holder != n.settings.VM {
			return true
		}
	}
	return false
}

// startedSince returns the jobs that the holders of this entry have started since a time.
func (n *Node) startedSince(since time.Time) []*wire.Started {
	var packed []*wire.Started
	for group, h := range n.currentHolders() {
		started := &wire.Started{Group: group}
		for _, j := range h.StartedJobs(since) {
			started.Jobs = append(started.Jobs, remote.Hash(j.ID))
		}
		packed = append(packed, started)
	}
	return packed
}

// addStarted returns a heartbeat for a member: the given one, with the jobs that this entry has started
// since its last such report if the member holds another group. The caller calls confirm once it has
// been answered.
func (n *Node) addStarted(heartbeat *wire.Beat, to member.Record) (extended *wire.Beat, confirm func()) {
	r := startedReceiver{to.ID, to.Incarnation}
	if !n.holdsOtherGroup(r) {
		return heartbeat, func() {}
	}
	now := time.Now()
	since, _ := n.startedReports.since(r)
	return withStarted(heartbeat, n.startedSince(since)), func() { n.startedReports.confirm(r, now) }
}

// withStarted returns a heartbeat with started jobs. Other targets get the given one.
func withStarted(heartbeat *wire.Beat, started []*wire.Started) *wire.Beat {
	extended := copyHeartbeat(heartbeat)
	extended.Started = started
	return extended
}

// replyStarted adds all started jobs to the answer to an entry that has just taken another group. It
// gets the later ones with heartbeats.
func (n *Node) replyStarted(reply *wire.Beat, to *wire.Member) *wire.Beat {
	r := startedReceiver{to.Id, to.Incarnation}
	if _, known := n.startedReports.since(r); known || !n.holdsOtherGroup(r) {
		return reply
	}
	return withStarted(reply, n.startedSince(time.Time{}))
}

// startedElsewhere returns another group than the given one whose holder has started a job, or "". If
// nothing has been heard of that group for so long that no run of the job goes on, there is none.
func (n *Node) startedElsewhere(own, id string) string {
	now := time.Now()
	group, heardAt, found := n.remoteJobs.Find(id, now)
	if !found || group == own || now.After(heardAt.Add(n.settings.ClientRetryAfter+n.settings.Lease+takeoverTime)) {
		return ""
	}
	return group
}

// takeoverTime is how long runs of a lost holder may go on beyond the lease that it has granted last: the
// next holder renews it until it knows that no entry asks for them.
const takeoverTime = 500 * time.Millisecond
