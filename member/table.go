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
	ID          string
	Zone        string
	Peer        string // address of the peers' listener
	Incarnation uint64
	Beat        uint64
	Leaving     bool
	Dead        bool // news that the member's own zone has given it up
	Ready       bool
	Weight      float64   // as a home of slots
	Free        int       // slots
	Backlog     int       // tasks
	Version     int64     // of the bundle in force
	Learned     int       // upstreams whose speed it knows
	At          time.Time // when the member told it, by the clock of this process
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
	Self    Record
	Suspect time.Duration
	Dead    time.Duration
	Forget  time.Duration // after death, or without any news of a member elsewhere
	Fanout  int           // members of the own zone that get each heartbeat
	Relay   int           // records of others in each heartbeat
	Now     func() time.Time
}

type view struct {
	record    Record
	state     State
	suspectAt time.Time
	deadAt    time.Time
	forgetAt  time.Time
	newsAt    time.Time
	relayed   int // since the last news
	spread    int // relays that a change of state still gets before other news
	refused   int
	unreached int // messages in a row from here that brought no answer
}

// Table is safe for concurrent use.
type Table struct {
	options Options

	mu      sync.Mutex
	self    Record
	views   map[string]*view
	seeds   map[string]Record
	leaving map[string]bool // as the platform's list has it
	changed uint64
	heard   map[string]time.Time // last news of any member, by other zone
	near    int                  // known members of the own zone
	silence int                  // zones that were silent at the last look
	order   []string
	ticks   uint64
	sweptAt time.Time
	farTurn int // members of other zones, in turn
	cutTurn int // members that are cut off, in turn
}

// turns bounds the random place at which a table begins to take others in
// turn, so that entries that start together do not all tell the same member.
const turns = 1 << 16

// New makes a table that knows only its own entry.
func New(options Options) *Table {
	if options.Suspect == 0 {
		options.Suspect = 2 * time.Second
	}
	if options.Dead == 0 {
		options.Dead = 3 * time.Second
	}
	if options.Forget == 0 {
		options.Forget = time.Minute
	}
	if options.Fanout == 0 {
		options.Fanout = 2
	}
	if options.Relay == 0 {
		options.Relay = 4
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Table{
		options: options, self: options.Self, farTurn: rand.IntN(turns), cutTurn: rand.IntN(turns),
		views: map[string]*view{}, seeds: map[string]Record{}, leaving: map[string]bool{}, heard: map[string]time.Time{},
	}
}

// Self gives the own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes the own record. The change runs under the table's lock and may
// not call the table.
func (t *Table) Update(change func(*Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if before.Weight != t.self.Weight || before.Leaving != t.self.Leaving || before.Ready != t.self.Ready {
		t.changed++
	}
}

// Generation rises whenever the set of live members or their weights change.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Seed takes the platform's list. It names members to try; it never makes one
// alive, and its leaving mark counts until the member itself is heard again
// under a new incarnation.
func (t *Table) Seed(records []Record) {
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
			t.bury(r)
		default:
			if r.At.IsZero() || r.At.After(now) {
				r.At = now
			}
			t.merge(r, i == 0)
		}
	}
}

// refute answers news of the own death with a later heartbeat.
func (t *Table) refute(r Record) {
	if r.Dead && r.Incarnation == t.self.Incarnation {
		t.self.Beat = max(t.self.Beat, r.Beat) + 1
	}
}

// bury takes news of a death, unless the member has been heard of later. The
// beat of the death is kept, so that older news still under way does not bring
// the member back.
func (t *Table) bury(r Record) {
	v, ok := t.views[r.ID]
	if !ok || v.record.Incarnation != r.Incarnation || v.record.Beat > r.Beat {
		return
	}
	v.record.Beat = r.Beat
	if v.state != Dead {
		t.kill(v)
	}
}

// spreads is the number of relays of a change of state: a few times the depth
// of a tree over all members.
func (t *Table) spreads() int { return 3 * bits.Len(uint(len(t.views)+1)) }

func (t *Table) merge(r Record, direct bool) {
	v, ok := t.views[r.ID]
	if !ok {
		v = &view{record: r, state: Dead}
		t.views[r.ID] = v
		t.order = append(t.order, r.ID)
	} else if !fresh(r, v.record, direct) {
		return
	}
	old := v.record
	v.record = r
	v.refused = 0
	v.newsAt = r.At
	v.relayed = 0
	v.suspectAt = r.At.Add(t.patience(t.options.Suspect))
	v.deadAt = r.At.Add(t.patience(t.options.Dead))
	if r.Zone != t.self.Zone {
		t.hear(r.Zone, r.At)
	}
	if v.state != Alive || old.Weight != r.Weight || old.Leaving != r.Leaving || old.Ready != r.Ready || old.Incarnation != r.Incarnation {
		t.changed++
		v.spread = t.spreads()
	}
	v.state = Alive
}

// hear notes the latest news of a zone. Old news that took a long way through
// other zones does not make a zone that is cut off seem near.
func (t *Table) hear(zone string, at time.Time) {
	if !at.After(t.heard[zone]) {
		return
	}
	before := t.silent(zone)
	t.heard[zone] = at
	if t.silent(zone) != before {
		t.changed++
	}
}

// fresh judges news. Incarnations are random, so between two of them only
// direct evidence decides; a relayed record of another incarnation is ignored
// until the member itself, or its death, settles it.
func fresh(r, known Record, direct bool) bool {
	if r.Incarnation == known.Incarnation {
		return r.Beat > known.Beat
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
		if t.seems(v) == Alive && !v.record.Leaving && !t.leaving[id] && (zone == "" || zone == v.record.Zone) {
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
	return v.record, t.seems(v), true
}

// Known lists all members with their states, for operators.
func (t *Table) Known() map[string]State {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]State{t.self.ID: Alive}
	for id, v := range t.views {
		known[id] = t.seems(v)
	}
	return known
}

// Most tells whether more than half of the members that are known are heard, the own
// entry among them; of two equal halves the one with the least ID. Members that have
// left, or whose address refuses connections, are not counted: they are on no other
// side of a cut.
func (t *Table) Most() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, all := 1, 1
	least, there := t.self.ID, true
	for id, v := range t.views {
		state := t.seems(v)
		if state == Dead && (v.record.Leaving || v.refused >= refusals) {
			continue
		}
		all++
		if state != Dead {
			heard++
		}
		if id < least {
			least, there = id, state != Dead
		}
	}
	return 2*heard > all || 2*heard == all && there
}
