package plan

import "time"

// returnShare is the share of the capacity that is kept for clients that come back after a
// refusal. The rest is left to those that come for the first time.
const returnShare = 0.25

// maxRetryDelay bounds the time after which a client may come back. In an overload that lasts,
// later times would say nothing.
const maxRetryDelay = 30 * time.Second

// retryTime returns when the client of a refused job should send it again: once the work that
// is ahead of it now is done, and after the clients that were refused before it. Without the
// second all clients refused in a burst would come back together, and be refused again.
func (p *Plan) retryTime(j *job) time.Time {
	capacity, load := p.capacityAndLoad(j.Service)
	if capacity == 0 {
		return p.now
	}
	for _, other := range p.waiting {
		if other != j && other.Service == j.Service && !other.late {
			load += other.pendingWork()
		}
	}
	at := p.now.Add(time.Duration(load / capacity * float64(time.Second)))
	if next := p.nextReturn[j.Service]; at.Before(next) {
		at = next
	}
	if latest := p.now.Add(maxRetryDelay); at.After(latest) {
		return latest
	}
	p.nextReturn[j.Service] = at.Add(time.Duration(j.pendingWork() / (capacity * returnShare) * float64(time.Second)))
	return at
}
