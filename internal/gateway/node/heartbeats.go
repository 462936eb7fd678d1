package node

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/radishgate/radishgate/member"
	"github.com/radishgate/radishgate/peer"
	"github.com/radishgate/radishgate/peer/wire"
	"github.com/radishgate/radishgate/platform"
)

// contacts holds the peer addresses of possible entries, from the settings and the
// store.
type contacts struct {
	mu        sync.Mutex
	addresses map[string]bool
	refusing  map[string]bool // no other entry listened there at the last attempt
	reported  map[string]bool // texts that are no address and have been logged, shortened
	offset    int
	log       *slog.Logger
}

// noteAttempt records whether the last attempt showed that no other entry listens at an address.
func (c *contacts) noteAttempt(address string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if refused && c.addresses[address] {
		c.refusing[address] = true
		return
	}
	delete(c.refusing, address)
}

// mayRun reports whether an entry may be running at any address but the own one.
func (c *contacts) mayRun(own string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.addresses {
		if a != own && !c.refusing[a] {
			return true
		}
	}
	return false
}

func newContacts(logger *slog.Logger) contacts {
	return contacts{addresses: map[string]bool{}, refusing: map[string]bool{}, reported: map[string]bool{}, log: logger}
}

// Bounds of what is kept and logged of texts that are no address.
const (
	maxReportedAddresses = 100
	maxQuotedAddress     = 60 // bytes; an IPv6 address with its port has at most 47
)

// add adds those addresses that an entry can have. Others are logged, since another writer may
// have stored them.
func (c *contacts) add(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if platform.IsHostAddress(a) {
			c.addresses[a] = true
			continue
		}
		text := a[:min(len(a), maxQuotedAddress)]
		if !c.reported[text] && len(c.reported) < maxReportedAddresses {
			c.reported[text] = true
			c.log.Warn("address of an entry skipped", "address", text, "reported", len(c.reported), "limit", maxReportedAddresses)
		}
	}
}

// next returns addresses that are not in known, cycling through them on successive
// calls: up to maxContacts if many is set, else one.
func (c *contacts) next(known map[string]bool, many bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unknown []string
	for a := range c.addresses {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	limit := 1
	if many {
		limit = maxContacts
	}
	if len(unknown) <= limit {
		return unknown
	}
	sort.Strings(unknown)
	c.offset = (c.offset + limit) % len(unknown)
	return append(unknown[c.offset:], unknown[:c.offset]...)[:limit]
}

// heartbeatLoop sends heartbeats and reconciles which entry holds which group.
func (n *Node) heartbeatLoop(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	ticker := time.NewTicker(n.settings.HeartbeatInterval)
	defer ticker.Stop()
	for step := 0; ctx.Err() == nil; step++ {
		if gap := n.pauseDetector.recordHeartbeat(time.Now()); gap > 0 {
			n.log.Warn("entry stood still", "ms", gap.Milliseconds())
		}
		n.members.CheckTimeouts()
		n.updateIsolation(n.isolation.Beat)
		n.refreshFreeSlots()
		records, targets := n.members.NextHeartbeat()
		targets = n.addOtherHolders(targets)
		n.startedReports.retain(n.holdsOtherGroup)
		n.broadcast(ctx, &sends, records, targets)
		if first := step < startupHeartbeats; first || step%contactInterval == 0 {
			n.tryContacts(ctx, &sends, records, first)
		}
		n.reconcileGroups(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// addOtherHolders adds the holders of all groups to the targets if this entry holds a
// group: holders pass jobs to each other by the free slots that heartbeats report.
func (n *Node) addOtherHolders(targets []member.Record) []member.Record {
	n.mu.Lock()
	holds := len(n.holders) > 0
	n.mu.Unlock()
	if !holds {
		return targets
	}
	included := map[string]bool{n.settings.VM: true}
	for _, r := range targets {
		included[r.ID] = true
	}
	for _, c := range n.claims.Claims() {
		r, state, known := n.members.Find(c.Holder)
		if known && state != member.Dead && !included[c.Holder] {
			included[c.Holder] = true
			targets = append(targets, r)
		}
	}
	return targets
}

// Attempts to reach contacts that are not members, counted in heartbeats. After startup
// an entry tries one contact every contactInterval heartbeats. On each of its first
// startupHeartbeats it tries many, since other entries may be starting as well.
const (
	contactInterval   = 3
	startupHeartbeats = 20
	maxContacts       = 48 // per heartbeat; bounds the traffic when hundreds of entries start together
)

// broadcast sends a heartbeat to each target.
func (n *Node) broadcast(ctx context.Context, sends *sync.WaitGroup, records []member.Record, targets []member.Record) {
	heartbeat := n.newHeartbeat(records)
	for _, target := range targets {
		extended, confirm := n.addStarted(heartbeat, target)
		extended, confirmCancels := n.addCancels(extended, target)
		sends.Go(func() {
			if n.sendHeartbeat(ctx, target.ID, target.PeerAddress, extended) {
				confirm()
				confirmCancels()
			}
		})
	}
}

// tryContacts sends a heartbeat to contact addresses at which no member is known.
func (n *Node) tryContacts(ctx context.Context, sends *sync.WaitGroup, records []member.Record, many bool) {
	known := map[string]bool{n.settings.AdvertisedAddress: true}
	for _, r := range n.members.Live("") {
		known[r.PeerAddress] = true
	}
	heartbeat := n.newHeartbeat(records)
	for _, address := range n.contacts.next(known, many) {
		sends.Go(func() { n.sendHeartbeat(ctx, "", address, heartbeat) })
	}
}

// newHeartbeat returns a heartbeat with the given records, all claims and the recent
// reports of free slots.
func (n *Node) newHeartbeat(records []member.Record) *wire.Beat {
	heartbeat := &wire.Beat{Claims: peer.PackClaims(n.claims.Claims()), Vacancies: n.freeSlots.pack(), Evacuations: n.packEvacuations()}
	for _, r := range records {
		heartbeat.Members = append(heartbeat.Members, peer.PackMember(r))
	}
	return heartbeat
}

// copyHeartbeat returns a heartbeat whose fields can be replaced without a change to the given one, which is sent to
// other entries as well. The values of the fields are shared.
func copyHeartbeat(heartbeat *wire.Beat) *wire.Beat {
	shallow := &wire.Beat{}
	heartbeat.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		shallow.ProtoReflect().Set(field, value)
		return true
	})
	return shallow
}

// heartbeatTimeout bounds a heartbeat and its answer.
const heartbeatTimeout = 300 * time.Millisecond

// sendHeartbeat sends one heartbeat, merges the answer and reports whether another entry has answered. id
// is empty if the entry at the address is not known.
func (n *Node) sendHeartbeat(ctx context.Context, id, address string, heartbeat *wire.Beat) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	n.instruments.countMessage("beat")
	sent := time.Now()
	answer, err := n.client.SendHeartbeat(ctx, address, heartbeat)
	if id != "" {
		n.members.NoteContact(id, err == nil)
	}
	refused, answered := peer.IsConnectionRefused(err), err == nil && n.isFromOther(answer)
	n.contacts.noteAttempt(address, refused || err == nil && !answered)
	if err != nil {
		switch {
		case !refused:
		case id != "":
			n.members.NoteRefused(id)
		default:
			n.members.NoteAddressRefused(address)
		}
		return false
	}
	if !answered {
		return false
	}
	n.isolation.NoteHeard()
	n.mergeHeartbeat(answer)
	n.pauseDetector.recordAnswer(sent)
	return true
}

// onHeartbeat merges a heartbeat and answers with one of this entry.
func (n *Node) onHeartbeat(heartbeat *wire.Beat) *wire.Beat {
	if !n.isFromOther(heartbeat) {
		return n.newHeartbeat(n.members.ReplyRecords())
	}
	n.isolation.NoteHeard()
	n.mergeHeartbeat(heartbeat)
	return n.replyCancels(n.replyStarted(n.newHeartbeat(n.members.ReplyRecords()), heartbeat.Members[0]), heartbeat.Members[0])
}

// isFromOther reports whether a heartbeat, or the answer to one, is of another entry. Another
// writer may have stored an address at which this entry itself answers, or some other server.
func (n *Node) isFromOther(heartbeat *wire.Beat) bool {
	return len(heartbeat.Members) > 0 && heartbeat.Members[0].Id != n.settings.VM
}

// mergeHeartbeat merges the members, claims and free slots of a heartbeat of another entry, and
// reconciles the groups if members or claims changed.
func (n *Node) mergeHeartbeat(heartbeat *wire.Beat) {
	var records []member.Record
	for _, m := range heartbeat.Members {
		records = append(records, peer.UnpackMember(m))
	}
	n.freeSlots.merge(heartbeat.Vacancies)
	n.mergeEvacuations(heartbeat.Evacuations)
	n.cancels.Learn(peer.UnpackCancels(heartbeat.Cancels, time.Now()), time.Now())
	for _, s := range heartbeat.Started {
		n.remoteJobs.Note(s.Group, s.Jobs, time.Now())
	}
	before := n.members.Generation()
	n.members.Merge(records)
	claimsChanged := n.claims.Merge(peer.UnpackClaims(heartbeat.Claims))
	if claimsChanged || n.members.Generation() != before {
		n.reconcileGroups(n.ctx)
	}
}

// hasPeers reports whether any other live entry is known.
func (n *Node) hasPeers() bool {
	for _, c := range n.candidates() {
		if c.ID != n.settings.VM {
			return true
		}
	}
	return false
}

// hearsPeers reports whether any other live entry is known and another entry has been heard
// lately. Entries that are no longer heard have most likely taken over the groups of this one
// although they do not count as dead yet.
func (n *Node) hearsPeers() bool { return n.hasPeers() && !n.isolation.OthersSilent() }

// announce sends a heartbeat to all members at once and waits for the answers. It is
// used before leaving and after a claim.
func (n *Node) announce(ctx context.Context) {
	records, _ := n.members.NextHeartbeat()
	var others []member.Record
	for _, r := range n.members.Live("") {
		if r.ID != n.settings.VM {
			others = append(others, r)
		}
	}
	var sends sync.WaitGroup
	n.broadcast(ctx, &sends, records[:1], others)
	sends.Wait()
}

// addressTopic is the internal topic in which entries publish their peer addresses. It
// serves entries whose seeds are all down.
const addressTopic = "entries"

// contactLoop publishes the own address in the store and reads those of others.
func (n *Node) contactLoop(ctx context.Context) {
	topic := n.store.KeyedFeed(addressTopic)
	published := false
	for step := 0; ; step++ {
		if !published {
			published = n.publishAddress(ctx, topic.Put)
		}
		if step%contactReadSteps == 0 || !n.hasPeers() {
			n.readAddresses(ctx, topic.Newest)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(contactLoopInterval):
		}
	}
}

// Timing of contactLoop.
const (
	contactLoopInterval = time.Second
	contactReadSteps    = 10                     // addresses are read every so many steps once the entry has peers
	storeTimeout        = 500 * time.Millisecond // for one read or write of addresses in the store
)
