package node

import (
	"sync"
	"time"
)

// pauseDetector detects that this process was suspended long enough for other entries to
// take over its groups. Until a heartbeat sent after the pause is answered, and the answer
// brings the claims of others, a takeover is suspected: this entry cannot be sure to hold
// any group. It is safe for concurrent use.
type pauseDetector struct {
	mu            sync.Mutex
	threshold     time.Duration // longest gap between heartbeats that others tolerate
	lastHeartbeat time.Time
	resumedAt     time.Time // first heartbeat after a pause; zero if no takeover is suspected
}

// suspicionTimeout is the time within which an answer arrives if any other entry can be
// reached: one heartbeat with its answer, plus a margin for a slow start. After it the
// entry counts as one without peers, which other rules cover.
const suspicionTimeout = heartbeatTimeout + 100*time.Millisecond

// recordHeartbeat records that a heartbeat is due now. It returns how long the process was
// suspended, or 0 if the gap is too short for others to notice.
func (p *pauseDetector) recordHeartbeat(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := now.Sub(p.lastHeartbeat)
	first := p.lastHeartbeat.IsZero()
	p.lastHeartbeat = now
	if first || gap <= p.threshold {
		return 0
	}
	p.resumedAt = now
	return gap
}

// recordAnswer records the answer to a heartbeat sent at sentAt. Only one sent after the
// pause ends the suspicion.
func (p *pauseDetector) recordAnswer(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sentAt.Before(p.resumedAt) {
		p.resumedAt = time.Time{}
	}
}

// takeoverSuspected reports whether other entries may have taken over the own groups. It is
// true as soon as the process resumes, even before the next heartbeat is due.
func (p *pauseDetector) takeoverSuspected(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) > p.threshold {
		return true
	}
	return !p.resumedAt.IsZero() && now.Before(p.resumedAt.Add(suspicionTimeout))
}
