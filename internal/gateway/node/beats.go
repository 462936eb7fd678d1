package node

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/peer/wire"
)

// contacts are the addresses at which an entry may be, from the settings and the
// store.
type contacts struct {
	mu        sync.Mutex
	addresses map[string]bool
	turn      int
}

func (c *contacts) add(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		c.addresses[a] = true
	}
}

// next gives the addresses at which no known entry is, in turn: many of them when
// asked for, else one.
func (c *contacts) next(known map[string]bool, all bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []string
	for a := range c.addresses {
		if !known[a] {
			open = append(open, a)
		}
	}
	most := 1
	if all {
		most = contactsMost
	}
	if len(open) <= most {
		return open
	}
	sort.Strings(open)
	c.turn = (c.turn + most) % len(open)
	return append(open[c.turn:], open[:c.turn]...)[:most]
}

// beatLoop sends heartbeats and settles who holds which group.
func (n *Node) beatLoop(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(n.settings.HeartbeatInterval)
	defer ticker.Stop()
	for step := 0; ctx.Err() == nil; step++ {
		if gap := n.pause.beat(time.Now()); gap > 0 {
			n.log.Warn("entry stood still", "ms", gap.Milliseconds())
		}
		n.members.Sweep()
		n.countVacancies()
		records, targets := n.members.Beat()
		targets = n.addHolders(targets)
		n.send(ctx, &group, records, targets)
		if first := step < firstBeats; first || step%contactBeats == 0 {
			n.tryContacts(ctx, &group, records, first)
		}
		n.govern(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// addHolders lets an entry that holds a group tell those that hold the others:
// they pass jobs to each other by the room that each has left.
func (n *Node) addHolders(targets []member.Record) []member.Record {
	n.mu.Lock()
	holds := len(n.holders) > 0
	n.mu.Unlock()
	if !holds {
		return targets
	}
	there := map[string]bool{n.settings.VM: true}
	for _, r := range targets {
		there[r.ID] = true
	}
	for _, c := range n.tenure.Claims() {
		r, state, known := n.members.Find(c.Holder)
		if known && state != member.Dead && !there[c.Holder] {
			there[c.Holder] = true
			targets = append(targets, r)
		}
	}
	return targets
}

// contactBeats is the number of heartbeats between attempts to meet an entry that is
// not among the members. An entry that has just started tries many of them each time,
// since others may be about to start as well.
const (
	contactBeats = 3
	firstBeats   = 20
	contactsMost = 48 // at once; hundreds of entries that start together would all greet each other
)

func (n *Node) send(ctx context.Context, group *sync.WaitGroup, records []member.Record, targets []member.Record) {
	beat := n.compose(records)
	for _, target := range targets {
		group.Go(func() { n.gossip(ctx, target.ID, target.Peer, beat) })
	}
}

// tryContacts greets addresses at which no member is known.
func (n *Node) tryContacts(ctx context.Context, group *sync.WaitGroup, records []member.Record, all bool) {
	known := map[string]bool{n.settings.AdvertisedAddress: true}
	for _, r := range n.members.Live("") {
		known[r.Peer] = true
	}
	beat := n.compose(records)
	for _, address := range n.contacts.next(known, all) {
		group.Go(func() { n.gossip(ctx, "", address, beat) })
	}
}

func (n *Node) compose(records []member.Record) *wire.Beat {
	beat := &wire.Beat{Claims: peer.PackClaims(n.tenure.Claims()), Vacancies: n.vacancies.pack()}
	for _, r := range records {
		beat.Members = append(beat.Members, peer.Pack(r))
	}
	return beat
}

// gossipSpan bounds a heartbeat and its answer.
const gossipSpan = 300 * time.Millisecond

func (n *Node) gossip(ctx context.Context, id, address string, beat *wire.Beat) {
	ctx, cancel := context.WithTimeout(ctx, gossipSpan)
	defer cancel()
	n.measures.message("beat")
	sent := time.Now()
	answer, err := n.client.Gossip(ctx, address, beat)
	if id != "" {
		n.members.Reached(id, err == nil)
	}
	if err != nil {
		if id != "" && peer.Refused(err) {
			n.members.Refused(id)
		}
		return
	}
	n.hear(answer)
	n.pause.answered(sent)
}

// heard answers a heartbeat with the own record and claims.
func (n *Node) heard(beat *wire.Beat) *wire.Beat {
	n.hear(beat)
	return n.compose(n.members.Digest())
}

func (n *Node) hear(beat *wire.Beat) {
	if len(beat.Members) == 0 {
		return
	}
	var records []member.Record
	for _, m := range beat.Members {
		records = append(records, peer.Unpack(m))
	}
	n.vacancies.merge(beat.Vacancies)
	before := n.members.Generation()
	n.members.Merge(records)
	claims := n.tenure.Merge(peer.UnpackClaims(beat.Claims))
	if claims || n.members.Generation() != before {
		n.govern(n.ctx)
	}
}

// hears tells whether any other entry is heard of.
func (n *Node) hears() bool {
	for _, c := range n.candidates() {
		if c.ID != n.settings.VM {
			return true
		}
	}
	return false
}

// announce tells every member at once, as before leaving or after a claim.
func (n *Node) announce(ctx context.Context) {
	records, _ := n.members.Beat()
	var others []member.Record
	for _, r := range n.members.Live("") {
		if r.ID != n.settings.VM {
			others = append(others, r)
		}
	}
	var group sync.WaitGroup
	n.send(ctx, &group, records[:1], others)
	group.Wait()
}

// entryTopic is the topic of the system's own in which entries leave the
// addresses of their peers' listeners, for those whose settings name none that
// is alive.
const entryTopic = "entries"

// contactLoop leaves the own address in the store and reads those of others.
func (n *Node) contactLoop(ctx context.Context) {
	topic := n.store.KeyedFeed(entryTopic)
	left := false
	for step := 0; ; step++ {
		if !left {
			left = n.leaveAddress(ctx, topic.Put)
		}
		if step%contactReads == 0 || !n.hears() {
			n.readAddresses(ctx, topic.Newest)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(contactSpan):
		}
	}
}

const (
	contactSpan  = time.Second
	contactReads = 10 // one in so many steps once others are heard of
	storeSpan    = 500 * time.Millisecond
)
