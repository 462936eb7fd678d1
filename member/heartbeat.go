package member

import (
	"math/rand/v2"
	"sort"
)

// NextHeartbeat starts the next heartbeat. It returns the records to send, that
// of this entry first, and the members to send them to. The number of both does not
// depend on the size of the fleet.
func (t *Table) NextHeartbeat() ([]Record, []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Heartbeat++
	t.self.ReportedAt = t.options.Now()
	t.rounds++
	return t.heartbeatRecords(), t.selectTargets()
}

// ReplyRecords returns the records for the reply to a heartbeat: only that of
// this entry.
func (t *Table) ReplyRecords() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.ReportedAt = t.options.Now()
	return []Record{t.self}
}

// heartbeatRecords selects the records of a heartbeat: changes of state first,
// then the records relayed least so far, with members of the local zone preferred
// in every second heartbeat and those of other zones in the rest, and among
// these the latest.
func (t *Table) heartbeatRecords() []Record {
	var candidates []*view
	for _, v := range t.views {
		if v.changeRelaysLeft > 0 || (v.state == Alive && v.relays < maxRelays) {
			candidates = append(candidates, v)
		}
	}
	sameZone := func(v *view) bool { return v.record.Zone == t.self.Zone }
	sort.Slice(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if x.changeRelaysLeft != y.changeRelaysLeft {
			return x.changeRelaysLeft > y.changeRelaysLeft
		}
		if x.relays != y.relays {
			return x.relays < y.relays
		}
		if sameZone(x) != sameZone(y) {
			return sameZone(x) == (t.rounds%2 == 0)
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

// maxRelays is how often one record of a member that is alive is relayed.
const maxRelays = 3

// selectTargets returns the receivers of this heartbeat: Fanout members of the
// local zone in turn, one of another zone in every second round, one that cannot
// be reached from here, and in every fourth round a dead member or a seed.
func (t *Table) selectTargets() []Record {
	sameZone, remote, unheard := t.splitByZone()
	var targets []Record
	for i := range min(t.options.Fanout, len(sameZone)) {
		turn := (int(t.rounds)*t.options.Fanout + i) % len(sameZone)
		targets = append(targets, sameZone[turn].record)
	}
	if len(remote) > 0 && (t.rounds%2 == 0 || t.spreadingDeath()) {
		targets = append(targets, nextByZone(remote, t.remoteTurn))
		t.remoteTurn++
	}
	if unreachable := t.unreachableMembers(remote); len(unreachable) > 0 {
		targets = append(targets, nextByZone(unreachable, t.unreachableTurn))
		t.unreachableTurn++
	}
	if t.rounds%4 == 1 && len(unheard) > 0 {
		targets = append(targets, unheard[rand.IntN(len(unheard))])
	}
	return targets
}

// spreadingDeath reports whether a death has relays left. While it has, each
// heartbeat also goes to another zone.
func (t *Table) spreadingDeath() bool {
	for _, v := range t.views {
		if v.state == Dead && v.changeRelaysLeft > 0 {
			return true
		}
	}
	return false
}

// unreachableMembers lists the members of other zones that are alive by their
// records but dead as seen from here. One of them gets each heartbeat, so that
// the end of a network partition is noticed soon.
func (t *Table) unreachableMembers(remote []*view) []*view {
	var unreachable []*view
	for _, v := range remote {
		if v.state == Alive && t.effectiveState(v) == Dead {
			unreachable = append(unreachable, v)
		}
	}
	return unreachable
}

// nextByZone selects a member by round robin over the zones and over the
// members within each, so that the time until every member gets a heartbeat
// from here is bounded.
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

// splitByZone splits the other members into those of the local zone, those of
// other zones, and those that are dead or known only as seeds. The last are
// tried in every fourth round, so that the end of a network partition is noticed.
func (t *Table) splitByZone() (sameZone, remote []*view, unheard []Record) {
	for _, id := range t.order {
		v, ok := t.views[id]
		if !ok {
			continue
		}
		switch {
		case v.state == Dead:
			unheard = append(unheard, v.record)
		case v.record.Zone == t.self.Zone:
			sameZone = append(sameZone, v)
		default:
			remote = append(remote, v)
		}
	}
	for id, r := range t.seeds {
		if _, ok := t.views[id]; !ok {
			unheard = append(unheard, r)
		}
	}
	return sameZone, remote, unheard
}
