package node

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/member"
)

// outbox sends results to the entries that wait for them, many in one message
// while an earlier one is under way.
type outbox struct {
	n *Node

	mu      sync.Mutex
	waiting map[string][]batch.Result // by entry
	sending map[string]bool
}

func newOutbox(n *Node) *outbox {
	return &outbox{n: n, waiting: map[string][]batch.Result{}, sending: map[string]bool{}}
}

func (o *outbox) add(entry string, r batch.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting[entry] = append(o.waiting[entry], r)
	if !o.sending[entry] {
		o.sending[entry] = true
		o.n.loops.Go(func() { o.send(entry) })
	}
}

// sendTries bounds the attempts at one message. The entry asks by itself for
// jobs of which it hears nothing.
const sendTries = 3

func (o *outbox) send(entry string) {
	for {
		o.mu.Lock()
		results := o.waiting[entry]
		delete(o.waiting, entry)
		if len(results) == 0 {
			delete(o.sending, entry)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		for try := range sendTries {
			if o.deliver(entry, results) {
				break
			}
			time.Sleep(time.Duration(try+1) * o.n.settings.HeartbeatInterval / 3)
		}
	}
}

func (o *outbox) deliver(entry string, results []batch.Result) bool {
	r, state, known := o.n.members.Find(entry)
	if !known || state == member.Dead {
		o.n.log.Warn("results dropped, their entry is gone", "entry", entry, "results", len(results))
		return true
	}
	ctx, cancel := context.WithTimeout(o.n.ctx, answerSpan)
	defer cancel()
	o.n.measures.message("settle")
	if err := o.n.client.Settle(ctx, r.Peer, results); err != nil {
		o.n.log.Warn("results not delivered", "entry", entry, "results", len(results), "error", err)
		return false
	}
	return true
}
