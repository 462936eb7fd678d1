package node

import (
	"context"
	"time"

	"github.com/radishgate/radishgate/common/wait"
	"github.com/radishgate/radishgate/internal/gateway/ingress"
)

// crowdInterval is the shortest time between two rounds of ending jobs. Clients that are refused repeat their requests later.
const crowdInterval = 250 * time.Millisecond

// overdueShare is the share of the connections whose clients are ended at once when there is no room for others.
const overdueShare = 8

// noteCrowd records that a client was refused because others that wait for their jobs take all the room.
func (n *Node) noteCrowd() {
	select {
	case n.crowded <- struct{}{}:
	default: // recorded already
	}
}

// crowdLoop ends the jobs whose clients have waited longest, each time that a client finds no room. Those that it makes
// room for send their jobs again.
func (n *Node) crowdLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crowded:
		}
		n.endOverdue(ctx)
		wait.For(ctx, crowdInterval)
	}
}

func (n *Node) endOverdue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*holderCallTimeout)
	defer cancel()
	limits := n.ingress.Limits()
	for range n.tracker.EndLongest(ctx, time.Now().Add(-limits.Wait), max(1, limits.Connections/overdueShare)) {
		n.ingress.Refused(ingress.CauseWait)
	}
}
