package node

import (
	"sync"
	"time"
)

// pauseDetector notices that the own process has stood still for so long that others may have
// taken its groups over. Until a heartbeat sent afterwards is answered, which brings
// their claims, it is in doubt whether it holds any. It is safe for concurrent use.
type pauseDetector struct {
	mu            sync.Mutex
	threshold     time.Duration // between heartbeats that others do not notice
	lastHeartbeat time.Time     // heartbeat
	resumedAt     time.Time     // when the process went on; zero when there is no doubt
}

// uncertaintyTimeout is the time in which an answer comes, if any other entry is reached: that
// of a heartbeat and its answer, and a slow start. After it the entry is one that hears
// nobody, for which there are other rules.
const uncertaintyTimeout = heartbeatTimeout + 100*time.Millisecond

// recordHeartbeat notes a heartbeat and tells for how long the process had stood still, 0 for no
// longer than others bear.
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

// recordAnswer notes the answer to a heartbeat.
func (p *pauseDetector) recordAnswer(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sentAt.Before(p.resumedAt) {
		p.resumedAt = time.Time{}
	}
}

// claimsUncertain tells whether others may hold the own groups. It is so as soon as the
// process goes on, also before the next heartbeat is due.
func (p *pauseDetector) claimsUncertain(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) > p.threshold {
		return true
	}
	return !p.resumedAt.IsZero() && now.Before(p.resumedAt.Add(uncertaintyTimeout))
}
