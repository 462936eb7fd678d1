package member

import (
	"time"
)

// maxUnanswered is the number of messages in a row without an answer after
// which a member counts as unreachable from here, even if its heartbeats still
// arrive, as in a one-way partition.
const maxUnanswered = 3

// effectiveState is a member's state for work sent from here: its recorded
// state, or Dead if it cannot be reached from here.
func (t *Table) effectiveState(v *view) State {
	if v.state == Alive && (v.unansweredCount >= maxUnanswered || t.zoneSilent(v.record.Zone)) {
		return Dead
	}
	return v.state
}

// zoneSilent reports whether no news of another zone has arrived in time.
// Members of one zone monitor each other; of another zone only the zone as a
// whole is monitored, so that the number of messages does not grow with the
// fleet.
func (t *Table) zoneSilent(zone string) bool {
	if zone == t.self.Zone {
		return false
	}
	heardAt := t.zoneHeardAt[zone]
	timeout := t.options.DeadAfter * time.Duration(max(baseZoneCount, len(t.zoneHeardAt))) / baseZoneCount
	return t.options.Now().Sub(heardAt) > timeout
}

// scaleTimeout lengthens a timeout in large zones, where a member's heartbeat
// reaches each other member less often.
func (t *Table) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(max(baseZoneSize, t.localZoneSize)) / baseZoneSize
}

// Up to baseZoneSize members of the local zone and baseZoneCount other zones,
// timeouts apply as configured; above, they grow in proportion.
const (
	baseZoneSize  = 5
	baseZoneCount = 3
)

// NoteContact records whether a message to a member was answered.
func (t *Table) NoteContact(id string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.views[id]
	if !ok {
		return
	}
	before := t.effectiveState(v)
	v.unansweredCount++
	if answered {
		v.unansweredCount = 0
		t.retryZone(v.record.Zone)
	}
	if t.effectiveState(v) != before {
		t.generation++
	}
}

// retryZone lets the unreachable members of a zone be tried again once one
// member of it has answered, since a partition mostly affects a zone as a
// whole.
func (t *Table) retryZone(zone string) {
	for _, v := range t.views {
		if v.record.Zone == zone && v.unansweredCount >= maxUnanswered {
			v.unansweredCount = maxUnanswered - 1
			t.generation++
		}
	}
}

// maxRefusals is the number of refused connections in a row after which a
// member's process counts as gone.
const maxRefusals = 2

// NoteRefused records that nothing listens at a member's address. After
// maxRefusals in a row the member is dead.
func (t *Table) NoteRefused(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.views[id]
	if !ok || v.state == Dead {
		return
	}
	v.refusedCount++
	if v.refusedCount >= maxRefusals {
		t.markDead(v)
	}
}

// NoteAddressRefused records that nothing listens at the address of a member that is dead, so
// that its process is known to have ended.
func (t *Table) NoteAddressRefused(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.views {
		if v.record.PeerAddress == address && v.state == Dead {
			v.refusedCount++
		}
	}
}

// markDead sets a member's state to Dead and queues the news for relay.
func (t *Table) markDead(v *view) {
	v.state = Dead
	v.record.Dead = true
	v.changeRelaysLeft = t.changeRelays()
	v.forgetAt = t.options.Now().Add(t.options.ForgetAfter)
	if !v.record.Leaving {
		v.lostAt = t.options.Now()
	}
	t.generation++
}

// CheckTimeouts updates the states of members that have not been heard of in
// time and removes those that have been dead for ForgetAfter. Call it before
// each heartbeat.
func (t *Table) CheckTimeouts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if pause := now.Sub(t.checkedAt); !t.checkedAt.IsZero() && pause > t.options.SuspectAfter {
		t.extendTimeouts(pause)
	}
	t.checkedAt = now
	t.localZoneSize = 0
	for id, v := range t.views {
		if v.record.Zone == t.self.Zone && v.state != Dead {
			t.localZoneSize++
		}
		sameZone := v.record.Zone == t.self.Zone
		switch {
		case v.state == Dead && v.forgetAt.Before(now):
			delete(t.views, id)
			t.order = remove(t.order, id)
		case v.state == Dead:
		case sameZone && v.state == Alive && v.suspectAt.Before(now):
			v.state = Suspect
			t.generation++
		case sameZone && v.state == Suspect && v.deadAt.Before(now):
			t.markDead(v)
		case !sameZone && now.Sub(v.heardAt) > t.remoteDeadAfter() && !t.zoneSilent(v.record.Zone):
			t.markDead(v)
		}
	}
	t.updateSilentZones()
}

// extendTimeouts moves all timeouts by a time in which this process did not
// run, so that other members are not declared dead because of it.
func (t *Table) extendTimeouts(pause time.Duration) {
	for _, v := range t.views {
		v.suspectAt, v.deadAt, v.heardAt = v.suspectAt.Add(pause), v.deadAt.Add(pause), v.heardAt.Add(pause)
	}
	for zone, at := range t.zoneHeardAt {
		t.zoneHeardAt[zone] = at.Add(pause)
	}
}

// remoteDeadAfter is the time without news after which a member of another zone
// is dead although that zone has not reported its death. It grows with the
// number of members, since news of each comes more rarely the more there are.
func (t *Table) remoteDeadAfter() time.Duration {
	return t.options.ForgetAfter * time.Duration(max(1, len(t.views)/16))
}

// updateSilentZones raises the generation when the number of silent zones has
// changed.
func (t *Table) updateSilentZones() {
	silent := 0
	for zone := range t.zoneHeardAt {
		if t.zoneSilent(zone) {
			silent++
		}
	}
	if silent != t.silentZones {
		t.silentZones = silent
		t.generation++
	}
}
