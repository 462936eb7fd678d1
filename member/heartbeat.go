package member

import (
	"math/rand/v2"
	"sort"
)

// NextHeartbeat starts the next heartbeat: it gives the records to send, the own one
// first, and the members to send them to. Their number does not depend on the
// size of the fleet.
func (t *Table) NextHeartbeat() ([]Record, []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Heartbeat++
	t.self.ReportedAt = t.options.Now()
	t.rounds++
	return t.heartbeatRecords(), t.selectTargets()
}

// ReplyRecords gives the records for an answer to a heartbeat: only the own one.
func (t *Table) ReplyRecords() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.ReportedAt = t.options.Now()
	return []Record{t.self}
}

// heartbeatRecords puts changes of state first, then the latest news, that of the own zone
// and that of others in turn.
func (t *Table) heartbeatRecords() []Record {
	var candidates []*view
	for _, v := range t.views {
		if v.changeRelaysLeft > 0 || (v.state == Alive && v.relays < maxRelays) {
			candidates = append(candidates, v)
		}
	}
	near := func(v *view) bool { return v.record.Zone == t.self.Zone }
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if x.changeRelaysLeft != y.changeRelaysLeft {
			return x.changeRelaysLeft > y.changeRelaysLeft
		}
		if x.relays != y.relays {
			return x.relays < y.relays
		}
		if near(x) != near(y) {
			return near(x) == (t.rounds%2 == 0)
		}
		return x.heardAt.After(y.heardAt)
	})
	records := []Record{t.self}
	for _, v := range candidates[:min(len(candidates), t.options.MaxRelayed)] {
		v.relays++
		v.changeRelaysLeft = max(0, v.changeRelaysLeft-1)
		records = append(records, v.record)
	}
	return records
}

// maxRelays is how often the same news is passed on.
const maxRelays = 3

func (t *Table) selectTargets() []Record {
	near, far, lost := t.splitByZone()
	var targets []Record
	for i := range min(t.options.Fanout, len(near)) {
		turn := (int(t.rounds)*t.options.Fanout + i) % len(near)
		targets = append(targets, near[turn].record)
	}
	if len(far) > 0 && (t.rounds%2 == 0 || t.spreadingDeath()) {
		targets = append(targets, nextByZone(far, t.remoteTurn))
		t.remoteTurn++
	}
	if cut := t.unreachableMembers(far); len(cut) > 0 {
		targets = append(targets, nextByZone(cut, t.unreachableTurn))
		t.unreachableTurn++
	}
	if t.rounds%4 == 1 && len(lost) > 0 {
		targets = append(targets, lost[rand.IntN(len(lost))])
	}
	return targets
}

// spreadingDeath tells whether a death is still to be passed on. Then other zones
// are told with every heartbeat.
func (t *Table) spreadingDeath() bool {
	for _, v := range t.views {
		if v.state == Dead && v.changeRelaysLeft > 0 {
			return true
		}
	}
	return false
}

// unreachableMembers lists the members elsewhere that seem dead from here. One of them is
// tried with every heartbeat, so that a healed cut is noticed soon.
func (t *Table) unreachableMembers(remote []*view) []*view {
	var unreachable []*view
	for _, v := range remote {
		if v.state == Alive && t.effectiveState(v) == Dead {
			unreachable = append(unreachable, v)
		}
	}
	return unreachable
}

// nextByZone takes the zones in turn, and within each its members in turn, so
// that the time until each hears from here has a bound.
func nextByZone(remote []*view, turn int) Record {
	byZone := map[string][]*view{}
	var zones []string
	for _, v := range remote {
		zone := v.record.Zone
		if len(byZone[zone]) == 0 {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], v)
	}
	members := byZone[zones[turn%len(zones)]]
	return members[turn/len(zones)%len(members)].record
}

// splitByZone splits the others into those of the own zone, those of other zones,
// and those that are only seeds or dead, which are tried now and then so that a
// healed cut is noticed.
func (t *Table) splitByZone() (sameZone, remote []*view, lost []Record) {
	for _, id := range t.order {
		v, ok := t.views[id]
		if !ok {
			continue
		}
		switch {
		case v.state == Dead:
			lost = append(lost, v.record)
		case v.record.Zone == t.self.Zone:
			sameZone = append(sameZone, v)
		default:
			remote = append(remote, v)
		}
	}
	for id, r := range t.seeds {
		if _, ok := t.views[id]; !ok {
			lost = append(lost, r)
		}
	}
	return sameZone, remote, lost
}
