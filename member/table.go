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
	Weight      float64 // as a home of slots
	Free        int     // slots
	Backlog     int     // tasks
	Version     int64   // of the bundle in force
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

// unreachable is the number of messages without an answer after which a member
// that still tells of itself counts as cut off from here, as by a cut of one way.
const unreachable = 3

// seems is how alive a member is for work sent from here.
func (t *Table) seems(v *view) State {
	if v.state == Alive && (v.unreached >= unreachable || t.silent(v.record.Zone)) {
		return Dead
	}
	return v.state
}

// silent tells whether another zone has not been heard of. Within a zone
// members watch each other; between zones only the zone as a whole is watched,
// so that the messages do not grow with the fleet.
func (t *Table) silent(zone string) bool {
	if zone == t.self.Zone {
		return false
	}
	heard := t.heard[zone]
	patience := t.options.Dead * time.Duration(max(patientZones, len(t.heard))) / patientZones
	return t.options.Now().Sub(heard) > patience
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
}

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
		options.Relay = 6
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Table{
		options: options, self: options.Self,
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
			t.merge(r, i == 0, now)
		}
	}
}

// refute answers news of the own death with a later heartbeat.
func (t *Table) refute(r Record) {
	if r.Dead && r.Incarnation == t.self.Incarnation {
		t.self.Beat = max(t.self.Beat, r.Beat) + 1
	}
}

// bury takes news of a death, unless the member has been heard of later.
func (t *Table) bury(r Record) {
	v, ok := t.views[r.ID]
	if !ok || v.state == Dead || v.record.Incarnation != r.Incarnation || v.record.Beat > r.Beat {
		return
	}
	t.kill(v)
}

// patience stretches a silence for zones so large that a member's heartbeat
// reaches each other one less often.
func (t *Table) patience(span time.Duration) time.Duration {
	return span * time.Duration(max(patientZone, t.near)) / patientZone
}

// patientZone and patientZones are the numbers of members of a zone and of
// other zones up to which silences count as they are.
const (
	patientZone  = 5
	patientZones = 3
)

// spreads is the number of relays of a change of state: a few times the depth
// of a tree over all members.
func (t *Table) spreads() int { return 3 * bits.Len(uint(len(t.views)+1)) }

func (t *Table) merge(r Record, direct bool, now time.Time) {
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
	v.newsAt = now
	v.relayed = 0
	v.suspectAt = now.Add(t.patience(t.options.Suspect))
	v.deadAt = now.Add(t.patience(t.options.Dead))
	if r.Zone != t.self.Zone {
		if t.silent(r.Zone) {
			t.changed++
		}
		t.heard[r.Zone] = now
	}
	if v.state != Alive || old.Weight != r.Weight || old.Leaving != r.Leaving || old.Ready != r.Ready || old.Incarnation != r.Incarnation {
		t.changed++
		v.spread = t.spreads()
	}
	v.state = Alive
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

// Reached notes whether a message to a member brought an answer.
func (t *Table) Reached(id string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.views[id]
	if !ok {
		return
	}
	before := t.seems(v)
	v.unreached++
	if answered {
		v.unreached = 0
		t.trust(v.record.Zone)
	}
	if t.seems(v) != before {
		t.changed++
	}
}

// trust gives the other members of a zone another chance once one of them has
// answered, since a cut mostly concerns a zone as a whole.
func (t *Table) trust(zone string) {
	for _, v := range t.views {
		if v.record.Zone == zone && v.unreached >= unreachable {
			v.unreached = unreachable - 1
			t.changed++
		}
	}
}

// Refused notes that nothing listens at a member's address. Twice in a row is
// evidence that the process is gone.
func (t *Table) Refused(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.views[id]
	if !ok || v.state == Dead {
		return
	}
	v.refused++
	if v.refused >= 2 {
		t.kill(v)
	}
}

// kill marks a death and spreads the news of it.
func (t *Table) kill(v *view) {
	v.state = Dead
	v.record.Dead = true
	v.spread = t.spreads()
	v.forgetAt = t.options.Now().Add(t.options.Forget)
	t.changed++
}

// Sweep applies the silences.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	t.near = 0
	for id, v := range t.views {
		if v.record.Zone == t.self.Zone && v.state != Dead {
			t.near++
		}
		near := v.record.Zone == t.self.Zone
		switch {
		case v.state == Dead && v.forgetAt.Before(now):
			delete(t.views, id)
			t.order = remove(t.order, id)
		case v.state == Dead:
		case near && v.state == Alive && v.suspectAt.Before(now):
			v.state = Suspect
			t.changed++
		case near && v.state == Suspect && v.deadAt.Before(now):
			t.kill(v)
		case !near && now.Sub(v.newsAt) > t.options.Forget && !t.silent(v.record.Zone):
			t.kill(v)
		}
	}
	t.watchZones()
}

// watchZones counts a zone that falls silent as a change.
func (t *Table) watchZones() {
	silent := 0
	for zone := range t.heard {
		if t.silent(zone) {
			silent++
		}
	}
	if silent != t.silence {
		t.silence = silent
		t.changed++
	}
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

// Beat starts the next heartbeat: it gives the records to send, the own one
// first, and the members to send them to. Their number does not depend on the
// size of the fleet.
func (t *Table) Beat() ([]Record, []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.ticks++
	return t.digest(), t.targets()
}

// Digest gives the records for an answer to a heartbeat: only the own one.
func (t *Table) Digest() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return []Record{t.self}
}

// digest puts changes of state first, then the latest news, that of the own zone
// and that of others in turn.
func (t *Table) digest() []Record {
	var candidates []*view
	for _, v := range t.views {
		if v.spread > 0 || (v.state == Alive && v.relayed < relayMost) {
			candidates = append(candidates, v)
		}
	}
	near := func(v *view) bool { return v.record.Zone == t.self.Zone }
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if x.spread != y.spread {
			return x.spread > y.spread
		}
		if x.relayed != y.relayed {
			return x.relayed < y.relayed
		}
		if near(x) != near(y) {
			return near(x) == (t.ticks%2 == 0)
		}
		return x.newsAt.After(y.newsAt)
	})
	records := []Record{t.self}
	for _, v := range candidates[:min(len(candidates), t.options.Relay)] {
		v.relayed++
		v.spread = max(0, v.spread-1)
		records = append(records, v.record)
	}
	return records
}

// relayMost is how often the same news is passed on.
const relayMost = 3

func (t *Table) targets() []Record {
	near, far, lost := t.sorted()
	var targets []Record
	for i := range min(t.options.Fanout, len(near)) {
		turn := (int(t.ticks)*t.options.Fanout + i) % len(near)
		targets = append(targets, near[turn])
	}
	if t.ticks%2 == 0 && len(far) > 0 {
		targets = append(targets, elsewhere(far))
	}
	if cut := t.cutOff(far); len(cut) > 0 {
		targets = append(targets, elsewhere(cut))
	}
	if t.ticks%4 == 1 && len(lost) > 0 {
		targets = append(targets, lost[rand.IntN(len(lost))])
	}
	return targets
}

// cutOff lists the members elsewhere that seem dead from here. One of them is
// tried with every heartbeat, so that a healed cut is noticed soon.
func (t *Table) cutOff(far []Record) []Record {
	var cut []Record
	for _, r := range far {
		if v := t.views[r.ID]; v.state == Alive && t.seems(v) == Dead {
			cut = append(cut, r)
		}
	}
	return cut
}

// elsewhere draws a zone, then one of its members, so that every zone hears of
// every other one equally often.
func elsewhere(far []Record) Record {
	byZone := map[string][]Record{}
	var zones []string
	for _, r := range far {
		if len(byZone[r.Zone]) == 0 {
			zones = append(zones, r.Zone)
		}
		byZone[r.Zone] = append(byZone[r.Zone], r)
	}
	members := byZone[zones[rand.IntN(len(zones))]]
	return members[rand.IntN(len(members))]
}

// sorted splits the others into those of the own zone, those of other zones,
// and those that are only seeds or dead, which are tried now and then so that a
// healed cut is noticed.
func (t *Table) sorted() ([]Record, []Record, []Record) {
	var near, far, lost []Record
	for _, id := range t.order {
		v, ok := t.views[id]
		if !ok {
			continue
		}
		switch {
		case v.state == Dead:
			lost = append(lost, v.record)
		case v.record.Zone == t.self.Zone:
			near = append(near, v.record)
		default:
			far = append(far, v.record)
		}
	}
	for id, r := range t.seeds {
		if _, ok := t.views[id]; !ok {
			lost = append(lost, r)
		}
	}
	return near, far, lost
}
