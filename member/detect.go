package member

import (
	"time"
)

// maxUnanswered is the number of messages without an answer after which a member
// that still tells of itself counts as cut off from here, as by a cut of one way.
const maxUnanswered = 3

// effectiveState is how alive a member is for work sent from here.
func (t *Table) effectiveState(v *view) State {
	if v.state == Alive && (v.unansweredCount >= maxUnanswered || t.zoneSilent(v.record.Zone)) {
		return Dead
	}
	return v.state
}

// zoneSilent tells whether another zone has not been heard of. Within a zone
// members watch each other; between zones only the zone as a whole is watched,
// so that the messages do not grow with the fleet.
func (t *Table) zoneSilent(zone string) bool {
	if zone == t.self.Zone {
		return false
	}
	heard := t.zoneHeardAt[zone]
	timeout := t.options.DeadAfter * time.Duration(max(baseZoneCount, len(t.zoneHeardAt))) / baseZoneCount
	return t.options.Now().Sub(heard) > timeout
}

// scaleTimeout stretches a silence for zones so large that a member's heartbeat
// reaches each other one less often.
func (t *Table) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(max(baseZoneSize, t.ownZoneSize)) / baseZoneSize
}

// patientZone and patientZones are the numbers of members of a zone and of
// other zones up to which silences count as they are.
const (
	baseZoneSize  = 5
	baseZoneCount = 3
)

// NoteContact notes whether a message to a member brought an answer.
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

// retryZone gives the other members of a zone another chance once one of them has
// answered, since a cut mostly concerns a zone as a whole.
func (t *Table) retryZone(zone string) {
	for _, v := range t.views {
		if v.record.Zone == zone && v.unansweredCount >= maxUnanswered {
			v.unansweredCount = maxUnanswered - 1
			t.generation++
		}
	}
}

// maxRefusals is the number of refused connections in a row that show that a process is
// gone.
const maxRefusals = 2

// NoteRefused notes that nothing listens at a member's address. Twice in a row is
// evidence that the process is gone.
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

// markDead marks a death and spreads the news of it.
func (t *Table) markDead(v *view) {
	v.state = Dead
	v.record.Dead = true
	v.changeRelaysLeft = t.changeRelays()
	v.forgetAt = t.options.Now().Add(t.options.ForgetAfter)
	t.generation++
}

// CheckTimeouts applies the silences.
func (t *Table) CheckTimeouts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if gap := now.Sub(t.checkedAt); !t.checkedAt.IsZero() && gap > t.options.SuspectAfter {
		t.extendTimeouts(gap)
	}
	t.checkedAt = now
	t.ownZoneSize = 0
	for id, v := range t.views {
		if v.record.Zone == t.self.Zone && v.state != Dead {
			t.ownZoneSize++
		}
		near := v.record.Zone == t.self.Zone
		switch {
		case v.state == Dead && v.forgetAt.Before(now):
			delete(t.views, id)
			t.order = remove(t.order, id)
		case v.state == Dead:
		case near && v.state == Alive && v.suspectAt.Before(now):
			v.state = Suspect
			t.generation++
		case near && v.state == Suspect && v.deadAt.Before(now):
			t.markDead(v)
		case !near && now.Sub(v.heardAt) > t.remoteDeadAfter() && !t.zoneSilent(v.record.Zone):
			t.markDead(v)
		}
	}
	t.updateSilentZones()
}

// extendTimeouts puts off the silences by a time for which this process has not looked, as
// one that stood still: others are not to blame for it.
func (t *Table) extendTimeouts(pause time.Duration) {
	for _, v := range t.views {
		v.suspectAt, v.deadAt, v.heardAt = v.suspectAt.Add(pause), v.deadAt.Add(pause), v.heardAt.Add(pause)
	}
	for zone, at := range t.zoneHeardAt {
		t.zoneHeardAt[zone] = at.Add(pause)
	}
}

// remoteDeadAfter is the time without news after which a member elsewhere is given
// up though its own zone has told nothing. News of each comes more rarely the
// more there are.
func (t *Table) remoteDeadAfter() time.Duration {
	return t.options.ForgetAfter * time.Duration(max(1, len(t.views)/16))
}

// updateSilentZones counts a zone that falls silent as a change.
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
