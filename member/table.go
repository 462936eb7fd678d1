// Package member keeps an entry's view of the other entries from heartbeats, direct evidence and the platform's list.
package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Record is what one entry tells of itself. Beat rises with every heartbeat of
// an incarnation.
type Record struct {
	ID               string
	Zone             string
	PeerAddress      string // address of the peers' listener
	Incarnation      uint64
	Heartbeat        uint64
	Leaving          bool
	Dead             bool // news that the member's own zone has given it up
	Ready            bool
	Weight           float64   // as a home of slots
	FreeSlots        int       // slots
	Backlog          int       // tasks
	BundleVersion    int64     // of the bundle in force
	LearnedUpstreams int       // upstreams whose speed it knows
	ReportedAt       time.Time // when the member told it, by the clock of this process
}

// State is how alive a member seems. Views only steer performance.
type State int

// The states.
const (
	Alive State = iota
	Suspect
	Dead
)

// Options of a table. Suspect and Dead are the silences after which a member
// of the own zone is taken for so; a whole other zone counts as cut off after
// Dead without news of any of its members.
type Options struct {
	Self         Record
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	ForgetAfter  time.Duration // after death, or without any news of a member elsewhere
	Fanout       int           // members of the own zone that get each heartbeat
	MaxRelayed   int           // records of others in each heartbeat
	Now          func() time.Time
}

type view struct {
	record           Record
	state            State
	suspectAt        time.Time
	deadAt           time.Time
	forgetAt         time.Time
	heardAt          time.Time
	relays           int // since the last news
	changeRelaysLeft int // relays that a change of state still gets before other news
	refusedCount     int
	unansweredCount  int // messages in a row from here that brought no answer
}

// Table is safe for concurrent use.
type Table struct {
	options Options

	mu              sync.Mutex
	self            Record
	views           map[string]*view
	seeds           map[string]Record
	leaving         map[string]bool // as the platform's list has it
	generation      uint64
	zoneHeardAt     map[string]time.Time // last news of any member, by other zone
	ownZoneSize     int                  // known members of the own zone
	silentZones     int                  // zones that were silent at the last look
	order           []string
	rounds          uint64
	checkedAt       time.Time
	remoteTurn      int // members of other zones, in turn
	unreachableTurn int // members that are cut off, in turn
}

// maxFirstTurn bounds the random place at which a table begins to take others in
// turn, so that entries that start together do not all tell the same member.
const maxFirstTurn = 1 << 16

// New makes a table that knows only its own entry.
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

// Self gives the own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// UpdateSelf changes the own record. The change runs under the table's lock and may
// not call the table.
func (t *Table) UpdateSelf(change func(*Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if before.Weight != t.self.Weight || before.Leaving != t.self.Leaving || before.Ready != t.self.Ready {
		t.generation++
	}
}

// Generation rises whenever the set of live members or their weights change.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// SetSeeds takes the platform's list. It names members to try; it never makes one
// alive, and its leaving mark counts until the member itself is heard again
// under a new incarnation.
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

// Merge takes the records of a heartbeat. The first is the sender's own, which
// is direct evidence and replaces any other incarnation of the same member.
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

// refute answers news of the own death with a later heartbeat.
func (t *Table) refute(r Record) {
	if r.Dead && r.Incarnation == t.self.Incarnation {
		t.self.Heartbeat = max(t.self.Heartbeat, r.Heartbeat) + 1
	}
}

// mergeDeath takes news of a death, unless the member has been heard of later. The
// beat of the death is kept, so that older news still under way does not bring
// the member back.
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

// changeRelays is the number of relays of a change of state: a few times the depth
// of a tree over all members.
func (t *Table) changeRelays() int { return 3 * bits.Len(uint(len(t.views)+1)) }

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
	v.state = Alive
}

// noteZoneHeard notes the latest news of a zone. Old news that took a long way through
// other zones does not make a zone that is cut off seem near.
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

// isNewer judges news. Incarnations are random, so between two of them only
// direct evidence decides; a relayed record of another incarnation is ignored
// until the member itself, or its death, settles it.
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

// Live lists the members of a zone that are alive and not leaving, the own
// entry among them, sorted. An empty zone means all zones.
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

// Find gives the record and state of a member, also of one that is leaving.
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

// States lists all members with their states, for operators.
func (t *Table) States() map[string]State {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]State{t.self.ID: Alive}
	for id, v := range t.views {
		known[id] = t.effectiveState(v)
	}
	return known
}

// HasMajority tells whether more than half of the members that are known are heard, the own
// entry among them; of two equal halves the one with the least ID. Members that have
// left, or whose address refuses connections, are not counted: they are on no other
// side of a cut.
func (t *Table) HasMajority() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, all := 1, 1
	leastID, leastHeard := t.self.ID, true
	for id, v := range t.views {
		state := t.effectiveState(v)
		if state == Dead && (v.record.Leaving || v.refusedCount >= maxRefusals) {
			continue
		}
		all++
		if state != Dead {
			heard++
		}
		if id < leastID {
			leastID, leastHeard = id, state != Dead
		}
	}
	return 2*heard > all || 2*heard == all && leastHeard
}
