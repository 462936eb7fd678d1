package member

import (
	"math/rand/v2"
	"sort"
)

// Beat starts the next heartbeat: it gives the records to send, the own one
// first, and the members to send them to. Their number does not depend on the
// size of the fleet.
func (t *Table) Beat() ([]Record, []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.self.At = t.options.Now()
	t.ticks++
	return t.digest(), t.targets()
}

// Digest gives the records for an answer to a heartbeat: only the own one.
func (t *Table) Digest() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.At = t.options.Now()
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
		targets = append(targets, near[turn].record)
	}
	if len(far) > 0 && (t.ticks%2 == 0 || t.spreading()) {
		targets = append(targets, elsewhere(far, t.farTurn))
		t.farTurn++
	}
	if cut := t.cutOff(far); len(cut) > 0 {
		targets = append(targets, elsewhere(cut, t.cutTurn))
		t.cutTurn++
	}
	if t.ticks%4 == 1 && len(lost) > 0 {
		targets = append(targets, lost[rand.IntN(len(lost))])
	}
	return targets
}

// spreading tells whether a death is still to be passed on. Then other zones
// are told with every heartbeat.
func (t *Table) spreading() bool {
	for _, v := range t.views {
		if v.state == Dead && v.spread > 0 {
			return true
		}
	}
	return false
}

// cutOff lists the members elsewhere that seem dead from here. One of them is
// tried with every heartbeat, so that a healed cut is noticed soon.
func (t *Table) cutOff(far []*view) []*view {
	var cut []*view
	for _, v := range far {
		if v.state == Alive && t.seems(v) == Dead {
			cut = append(cut, v)
		}
	}
	return cut
}

// elsewhere takes the zones in turn, and within each its members in turn, so
// that the time until each hears from here has a bound.
func elsewhere(far []*view, turn int) Record {
	byZone := map[string][]*view{}
	var zones []string
	for _, v := range far {
		zone := v.record.Zone
		if len(byZone[zone]) == 0 {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], v)
	}
	members := byZone[zones[turn%len(zones)]]
	return members[turn/len(zones)%len(members)].record
}

// sorted splits the others into those of the own zone, those of other zones,
// and those that are only seeds or dead, which are tried now and then so that a
// healed cut is noticed.
func (t *Table) sorted() (near, far []*view, lost []Record) {
	for _, id := range t.order {
		v, ok := t.views[id]
		if !ok {
			continue
		}
		switch {
		case v.state == Dead:
			lost = append(lost, v.record)
		case v.record.Zone == t.self.Zone:
			near = append(near, v)
		default:
			far = append(far, v)
		}
	}
	for id, r := range t.seeds {
		if _, ok := t.views[id]; !ok {
			lost = append(lost, r)
		}
	}
	return near, far, lost
}
