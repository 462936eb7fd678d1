package member

import (
	"time"
)

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

// refusals is the number of refused connections in a row that show that a process is
// gone.
const refusals = 2

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
	if v.refused >= refusals {
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
	if gap := now.Sub(t.sweptAt); !t.sweptAt.IsZero() && gap > t.options.Suspect {
		t.forgive(gap)
	}
	t.sweptAt = now
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
		case !near && now.Sub(v.newsAt) > t.lastResort() && !t.silent(v.record.Zone):
			t.kill(v)
		}
	}
	t.watchZones()
}

// forgive puts off the silences by a time for which this process has not looked, as
// one that stood still: others are not to blame for it.
func (t *Table) forgive(gap time.Duration) {
	for _, v := range t.views {
		v.suspectAt, v.deadAt, v.newsAt = v.suspectAt.Add(gap), v.deadAt.Add(gap), v.newsAt.Add(gap)
	}
	for zone, at := range t.heard {
		t.heard[zone] = at.Add(gap)
	}
}

// lastResort is the time without news after which a member elsewhere is given
// up though its own zone has told nothing. News of each comes more rarely the
// more there are.
func (t *Table) lastResort() time.Duration {
	return t.options.Forget * time.Duration(max(1, len(t.views)/16))
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
