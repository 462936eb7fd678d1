// Package member tracks which other entries are alive, from heartbeats, from the
// answers to messages sent to them and from the platform's list of members.
package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Record is what an entry reports about itself in heartbeats.
type Record struct {
	ID               string
	Zone             string
	PeerAddress      string // of the listener for other entries
	Incarnation      uint64
	Heartbeat        uint64 // number of the heartbeat, rises within an incarnation
	Leaving          bool
	Dead             bool // declared dead, mostly by its own zone
	Ready            bool
	Weight           float64 // relative share of slots that have their home there
	FreeSlots        int
	Backlog          int       // tasks
	BundleVersion    int64     // of the bundle in use
	LearnedUpstreams int       // number of upstreams whose speed it has estimated
	Workers          uint64    // fingerprint of its list of workers; 0 if that may lack workers that are alive
	ReportedAt       time.Time // when the member sent it, by the clock of this process
}

// State is a member's liveness as seen by this entry. Use it only for choices
// that affect performance, not safety, since entries may disagree.
type State int

// States of a member.
const (
	Alive State = iota
	Suspect
	Dead
)

// Options configures a Table. A member of the local zone is suspected after
// SuspectAfter without news and dead after DeadAfter. Another zone as a whole
// counts as unreachable after DeadAfter without news of any of its members.
// With many members or zones these times are lengthened. The defaults of the
// durations are 2 s, 3 s and 1 minute, that of Fanout is 2 and of MaxRelayed 4.
type Options struct {
	Self         Record
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	ForgetAfter  time.Duration // time until a dead member is removed; also the time without news after which a member of another zone is dead, longer in large fleets
	Fanout       int           // receivers of each heartbeat in the local zone
	MaxRelayed   int           // records of other members in each heartbeat
	Now          func() time.Time
}

// view is what a table knows about one other member.
type view struct {
	record           Record
	state            State
	suspectAt        time.Time
	deadAt           time.Time
	forgetAt         time.Time
	lostAt           time.Time // when it was last seen to be dead or to have restarted without leaving first
	heardAt          time.Time
	relays           int // of the current record
	changeRelaysLeft int // remaining relays of a change of state, which precede other records
	refusedCount     int
	unansweredCount  int // messages in a row that got no answer
}

// Table holds the records and states of all known members. It is safe for
// concurrent use.
type Table struct {
	options Options

	mu              sync.Mutex
	self            Record
	views           map[string]*view
	seeds           map[string]Record
	leaving         map[string]bool // marked as leaving in the platform's list
	generation      uint64
	zoneHeardAt     map[string]time.Time // latest news of any member, by other zone
	localZoneSize   int                  // other members of the local zone that are not dead
	silentZones     int                  // number of silent zones at the last check
	order           []string
	rounds          uint64
	checkedAt       time.Time
	remoteTurn      int // round robin over members of other zones
	unreachableTurn int // round robin over unreachable members
}

// maxFirstTurn bounds the random start of the round robins, so that entries
// that start together do not all send to the same member.
const maxFirstTurn = 1 << 16

// New returns a table that knows only this entry. Zero options get defaults.
func New(options Options) *Table {
	if options.SuspectAfter == 0 {
		options.SuspectAfter = 2 * time.Second
	}
	if options.DeadAfter == 0 {
		options.DeadAfter = 3 * time.Second
	}
	if options.ForgetAfter == 0 {
		options.ForgetAfter = time.Minute
	}
	if options.Fanout == 0 {
		options.Fanout = 2
	}
	if options.MaxRelayed == 0 {
		options.MaxRelayed = 4
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Table{
		options: options, self: options.Self, remoteTurn: rand.IntN(maxFirstTurn), unreachableTurn: rand.IntN(maxFirstTurn),
		views: map[string]*view{}, seeds: map[string]Record{}, leaving: map[string]bool{}, zoneHeardAt: map[string]time.Time{},
	}
}

// Self returns the record of this entry.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes the record of this entry. The function runs under the table's lock
// and must not call the table.
func (t *Table) UpdateSelf(change func(*Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if before.Weight != t.self.Weight || before.Leaving != t.self.Leaving || before.Ready != t.self.Ready {
		t.generation++
	}
}

// Generation returns a number that rises whenever the set of live members,
// their weights or their readiness change.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// SetSeeds replaces the seeds by the platform's list. Seeds are addresses to
// try; being listed makes no member alive. A member marked as leaving there is
// not in Live, until a later list is without the mark.
func (t *Table) SetSeeds(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = map[string]Record{}
	t.leaving = map[string]bool{}
	for _, r := range records {
		if r.ID == t.self.ID {
			continue
		}
		t.seeds[r.ID] = r
		if r.Leaving {
			t.leaving[r.ID] = true
		}
	}
}

// Merge processes the records of a heartbeat. The first is that of the sender;
// as direct evidence, it replaces a record of another incarnation of the same
// member.
func (t *Table) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for i, r := range records {
		switch {
		case r.ID == "":
		case r.ID == t.self.ID:
			t.refute(r)
		case r.Dead:
			t.mergeDeath(r)
		default:
			if r.ReportedAt.IsZero() || r.ReportedAt.After(now) {
				r.ReportedAt = now
			}
			t.mergeRecord(r, i == 0)
		}
	}
}

// refute answers a report of this entry's death with a higher heartbeat number.
func (t *Table) refute(r Record) {
	if r.Dead && r.Incarnation == t.self.Incarnation {
		t.self.Heartbeat = max(t.self.Heartbeat, r.Heartbeat) + 1
	}
}

// mergeDeath processes a report of a member's death, unless a later heartbeat
// of the member is known. It keeps the heartbeat number of the report, so that
// older records still under way do not make the member alive again.
func (t *Table) mergeDeath(r Record) {
	v, ok := t.views[r.ID]
	if !ok || v.record.Incarnation != r.Incarnation || v.record.Heartbeat > r.Heartbeat {
		return
	}
	v.record.Heartbeat = r.Heartbeat
	if v.state != Dead {
		t.markDead(v)
	}
}

// changeRelays is how often a change of state is relayed: a multiple of the
// depth of a binary tree over all members.
func (t *Table) changeRelays() int { return 3 * bits.Len(uint(len(t.views)+1)) }

// mergeRecord stores a record and marks its member as alive, unless the known
// record is newer. direct says that the member itself sent the record.
func (t *Table) mergeRecord(r Record, direct bool) {
	v, ok := t.views[r.ID]
	if !ok {
		v = &view{record: r, state: Dead}
		t.views[r.ID] = v
		t.order = append(t.order, r.ID)
	} else if !isNewer(r, v.record, direct) {
		return
	}
	old := v.record
	v.record = r
	v.refusedCount = 0
	v.heardAt = r.ReportedAt
	v.relays = 0
	v.suspectAt = r.ReportedAt.Add(t.scaleTimeout(t.options.SuspectAfter))
	v.deadAt = r.ReportedAt.Add(t.scaleTimeout(t.options.DeadAfter))
	if r.Zone != t.self.Zone {
		t.noteZoneHeard(r.Zone, r.ReportedAt)
	}
	if v.state != Alive || old.Weight != r.Weight || old.Leaving != r.Leaving || old.Ready != r.Ready || old.Incarnation != r.Incarnation {
		t.generation++
		v.changeRelaysLeft = t.changeRelays()
	}
	if old.Incarnation != r.Incarnation && !old.Leaving {
		v.lostAt = t.options.Now()
	}
	v.state = Alive
}

// noteZoneHeard records the time of the latest news of a zone. Records count by
// the time they were sent, so that old ones relayed through other zones do not
// make an unreachable zone look reachable.
func (t *Table) noteZoneHeard(zone string, at time.Time) {
	if !at.After(t.zoneHeardAt[zone]) {
		return
	}
	before := t.zoneSilent(zone)
	t.zoneHeardAt[zone] = at
	if t.zoneSilent(zone) != before {
		t.generation++
	}
}

// isNewer reports whether a record replaces the known one. Incarnations are
// random and have no order, so a record of another incarnation counts only if
// the member itself sent it. Relayed ones are ignored until the known incarnation is
// dead and removed.
func isNewer(r, known Record, direct bool) bool {
	if r.Incarnation == known.Incarnation {
		return r.Heartbeat > known.Heartbeat
	}
	return direct
}

func remove(names []string, name string) []string {
	for i, n := range names {
		if n == name {
			return append(names[:i], names[i+1:]...)
		}
	}
	return names
}

// Live lists the members of a zone that are alive and not leaving, sorted by
// ID, with this entry if it is one of them. An empty zone means all zones.
func (t *Table) Live(zone string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Record
	if (zone == "" || zone == t.self.Zone) && !t.self.Leaving {
		live = append(live, t.self)
	}
	for id, v := range t.views {
		if t.effectiveState(v) == Alive && !v.record.Leaving && !t.leaving[id] && (zone == "" || zone == v.record.Zone) {
			live = append(live, v.record)
		}
	}
	sort.Slice(live, func(a, b int) bool { return live[a].ID < live[b].ID })
	return live
}

// Find returns the record and state of a member, also of one that is leaving,
// and whether it is known.
func (t *Table) Find(id string) (Record, State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return t.self, Alive, true
	}
	v, ok := t.views[id]
	if !ok {
		return Record{}, Dead, false
	}
	return v.record, t.effectiveState(v), true
}

// States returns the states of all known members by ID.
func (t *Table) States() map[string]State {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := map[string]State{t.self.ID: Alive}
	for id, v := range t.views {
		states[id] = t.effectiveState(v)
	}
	return states
}

// Unheard reports whether any member of the local zone is not heard, or does not answer, at present,
// although it may be running, on another side of a partition. Members that were leaving, or whose address refuses
// connections, do not count.
func (t *Table) Unheard() bool {
	_, unheard := t.UnheardSince()
	return unheard
}

// UnheardSince returns when the last news of any member that Unheard counts came, directly or by way
// of others, and whether there is such a member.
func (t *Table) UnheardSince() (at time.Time, unheard bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.views {
		if v.record.Zone != t.self.Zone || t.effectiveState(v) == Alive || v.record.Leaving || v.refusedCount >= maxRefusals {
			continue
		}
		unheard = true
		if v.heardAt.After(at) {
			at = v.heardAt
		}
	}
	return at, unheard
}

// LostSince reports whether any member of the local zone but one has been lost since a time: it is
// suspected, or was seen to be dead or to have restarted, and had not announced that it leaves.
func (t *Table) LostSince(since time.Time, except string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, v := range t.views {
		if id != except && v.record.Zone == t.self.Zone && (v.state == Suspect || v.lostAt.After(since)) {
			return true
		}
	}
	return false
}

// ConfirmsWorkers reports whether any other member that is not dead has a list of workers with this
// fingerprint and counts it as complete.
func (t *Table) ConfirmsWorkers(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.views {
		if fingerprint != 0 && v.record.Workers == fingerprint && v.state != Dead {
			return true
		}
	}
	return false
}

// HasMajority reports whether this entry hears more than half of the known
// members, itself included. Of two equal halves, the one with the lowest ID has
// the majority. Dead members that were leaving or whose address refuses
// connections do not count, since they cannot be on another side of a
// partition.
func (t *Table) HasMajority() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, all := 1, 1
	lowestID, lowestHeard := t.self.ID, true
	for id, v := range t.views {
		state := t.effectiveState(v)
		if state == Dead && (v.record.Leaving || v.refusedCount >= maxRefusals) {
			continue
		}
		all++
		if state != Dead {
			heard++
		}
		if id < lowestID {
			lowestID, lowestHeard = id, state != Dead
		}
	}
	return 2*heard > all || 2*heard == all && lowestHeard
}
