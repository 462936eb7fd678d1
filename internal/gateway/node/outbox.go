package node

import (
	"context"
	"sync"
	"time"

	"github.com/radishgate/radishgate/internal/work/batch"
	"github.com/radishgate/radishgate/member"
)

// outbox sends results to the entries that wait for them. While a message to an entry is
// in flight, further results for it are collected for the next message.
type outbox struct {
	node *Node

	mu      sync.Mutex
	pending map[string][]batch.Result // by entry ID
	sending map[string]bool
}

func newOutbox(n *Node) *outbox {
	return &outbox{node: n, pending: map[string][]batch.Result{}, sending: map[string]bool{}}
}

// add queues a result for an entry and starts a sender for that entry if none runs.
func (o *outbox) add(entry string, r batch.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[entry] = append(o.pending[entry], r)
	if !o.sending[entry] {
		o.sending[entry] = true
		o.node.loops.Go(func() { o.send(entry) })
	}
}

// maxSendAttempts bounds the attempts to deliver one message. After that its results are
// dropped: an entry polls for jobs about which it has heard nothing.
const maxSendAttempts = 3

// send delivers the results of an entry until none are left.
func (o *outbox) send(entry string) {
	for {
		o.mu.Lock()
		results := o.pending[entry]
		delete(o.pending, entry)
		if len(results) == 0 {
			delete(o.sending, entry)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		for attempt := range maxSendAttempts {
			if o.deliver(entry, results) {
				break
			}
			time.Sleep(time.Duration(attempt+1) * o.node.settings.HeartbeatInterval / 3)
		}
	}
}

// deliver sends results in one message. It reports true if they need not be sent again:
// they arrived or the entry is gone.
func (o *outbox) deliver(entry string, results []batch.Result) bool {
	r, state, known := o.node.members.Find(entry)
	if !known || state == member.Dead {
		o.node.log.Warn("results dropped, their entry is gone", "entry", entry, "results", len(results))
		return true
	}
	ctx, cancel := context.WithTimeout(o.node.ctx, holderCallTimeout)
	defer cancel()
	o.node.instruments.countMessage("settle")
	if err := o.node.client.DeliverResults(ctx, r.PeerAddress, results); err != nil {
		o.node.log.Warn("results not delivered", "entry", entry, "results", len(results), "error", err)
		return false
	}
	return true
}
