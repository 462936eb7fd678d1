// Package member keeps an entry's view of the other entries from heartbeats, direct evidence and the platform's list.
package member

import (
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
// is taken for so.
type Options struct {
	Self    Record
	Suspect time.Duration
	Dead    time.Duration
	Forget  time.Duration // after death
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
	relayed   int
	refused   int
	unreached int // messages in a row from here that brought no answer
}

// unreachable is the number of messages without an answer after which a member
// that still tells of itself counts as cut off from here, as by a cut of one way.
const unreachable = 3

// seems is how alive the member is for work sent from here.
func (v *view) seems() State {
	if v.state == Alive && v.unreached >= unreachable {
		return Dead
	}
	return v.state
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
	order   []string
	far     int
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
		views: map[string]*view{}, seeds: map[string]Record{}, leaving: map[string]bool{},
	}
}

// Self gives the own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Update changes the own record.
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
		if r.ID == t.self.ID || r.ID == "" {
			continue
		}
		t.merge(r, i == 0, now)
	}
}

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
	v.suspectAt = now.Add(t.options.Suspect)
	v.deadAt = now.Add(t.options.Dead)
	if v.state != Alive || old.Weight != r.Weight || old.Leaving != r.Leaving || old.Ready != r.Ready || old.Incarnation != r.Incarnation {
		t.changed++
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
	before := v.seems()
	v.unreached++
	if answered {
		v.unreached = 0
	}
	if v.seems() != before {
		t.changed++
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

func (t *Table) kill(v *view) {
	v.state = Dead
	v.forgetAt = t.options.Now().Add(t.options.Forget)
	t.changed++
}

// Sweep applies the silences.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for id, v := range t.views {
		switch {
		case v.state == Alive && v.suspectAt.Before(now):
			v.state = Suspect
			t.changed++
		case v.state == Suspect && v.deadAt.Before(now):
			t.kill(v)
		case v.state == Dead && v.forgetAt.Before(now):
			delete(t.views, id)
			t.order = remove(t.order, id)
		}
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
		if v.seems() == Alive && !v.record.Leaving && !t.leaving[id] && (zone == "" || zone == v.record.Zone) {
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
	return v.record, v.seems(), true
}

// Known lists all members with their states, for operators.
func (t *Table) Known() map[string]State {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]State{t.self.ID: Alive}
	for id, v := range t.views {
		known[id] = v.seems()
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

// digest puts the members of the own zone first, then those relayed least.
func (t *Table) digest() []Record {
	var candidates []*view
	for _, v := range t.views {
		if v.state == Alive {
			candidates = append(candidates, v)
		}
	}
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if x.relayed != y.relayed {
			return x.relayed < y.relayed
		}
		return x.newsAt.After(y.newsAt)
	})
	records := []Record{t.self}
	for _, v := range candidates[:min(len(candidates), t.options.Relay)] {
		v.relayed++
		records = append(records, v.record)
	}
	return records
}

func (t *Table) targets() []Record {
	near, far, lost := t.sorted()
	var targets []Record
	for i := range min(t.options.Fanout, len(near)) {
		turn := (int(t.ticks)*t.options.Fanout + i) % len(near)
		targets = append(targets, near[turn])
	}
	if t.ticks%2 == 0 && len(far) > 0 {
		t.far++
		targets = append(targets, far[t.far%len(far)])
	}
	if t.ticks%4 == 1 && len(lost) > 0 {
		targets = append(targets, lost[rand.IntN(len(lost))])
	}
	return targets
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
