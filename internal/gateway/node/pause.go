package node

import (
	"sync"
	"time"
)

// pause notices that the own process has stood still for so long that others may have
// taken its groups over. Until a heartbeat sent afterwards is answered, which brings
// their claims, it is in doubt whether it holds any. It is safe for concurrent use.
type pause struct {
	mu    sync.Mutex
	span  time.Duration // between heartbeats that others do not notice
	last  time.Time     // heartbeat
	since time.Time     // when the process went on; zero when there is no doubt
}

// doubtSpan is the time in which an answer comes, if any other entry is reached: that
// of a heartbeat and its answer, and a slow start. After it the entry is one that hears
// nobody, for which there are other rules.
const doubtSpan = gossipSpan + 100*time.Millisecond

// beat notes a heartbeat and tells for how long the process had stood still, 0 for no
// longer than others bear.
func (p *pause) beat(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := now.Sub(p.last)
	first := p.last.IsZero()
	p.last = now
	if first || gap <= p.span {
		return 0
	}
	p.since = now
	return gap
}

// answered notes the answer to a heartbeat.
func (p *pause) answered(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sent.Before(p.since) {
		p.since = time.Time{}
	}
}

// doubtful tells whether others may hold the own groups. It is so as soon as the
// process goes on, also before the next heartbeat is due.
func (p *pause) doubtful(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) > p.span {
		return true
	}
	return !p.since.IsZero() && now.Before(p.since.Add(doubtSpan))
}
