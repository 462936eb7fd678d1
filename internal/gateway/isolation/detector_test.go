package isolation

import (
	"testing"
	"time"
)

const heartbeat = 150 * time.Millisecond

// TestMissingHolderIsolatesAfterDelay removes the known holder of a zone. Clients must not be
// refused during a takeover, must be refused after it, and must be accepted again
// once a holder is known.
func TestMissingHolderIsolatesAfterDelay(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	steps := []struct {
		at          time.Duration
		holderKnown bool
		isolated    bool
		changed     bool
	}{
		{0, true, false, false},
		{100 * time.Millisecond, false, false, false},
		{900 * time.Millisecond, false, false, false},
		{100*time.Millisecond + holderGrace, false, true, true},
		{3 * time.Second, false, true, false},
		{3100 * time.Millisecond, true, false, true},
		{3200 * time.Millisecond, false, false, false},
		{3300 * time.Millisecond, true, false, false},
	}
	var d Detector
	for _, c := range steps {
		now := began.Add(c.at)
		d.NoteHeard()
		if changed := d.Beat(View{HolderKnown: c.holderKnown}, now); changed != c.changed || d.Isolated(now) != c.isolated {
			t.Fatalf("after %v: isolated %v, changed %v; want %v, %v", c.at, d.Isolated(now), changed, c.isolated, c.changed)
		}
	}
}

// TestPauseDoesNotIsolate pauses a process while its zone has no holder. Clients were refused when it
// resumed, before the takeover, which was paused as well, could go on.
func TestPauseDoesNotIsolate(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const resumedAt = 3 * time.Second
	var d Detector
	d.NoteHeard()
	d.Beat(View{HolderKnown: true}, began)
	d.NoteHeard()
	d.Beat(View{}, began.Add(heartbeat))
	if d.Isolated(began.Add(resumedAt)) {
		t.Error("isolated as soon as the process resumes")
	}
	isolatedAt := time.Duration(0)
	for at := resumedAt; at < 2*resumedAt; at += heartbeat {
		d.NoteHeard()
		if d.Beat(View{}, began.Add(at)); isolatedAt == 0 && d.Isolated(began.Add(at)) {
			isolatedAt = at
		}
	}
	if wait := isolatedAt - resumedAt; wait < holderGrace-heartbeat || wait > holderGrace+heartbeat {
		t.Errorf("isolated %v after the pause, want about %v", wait, holderGrace)
	}
}

// TestSuspensionIsolatesAtOnce suspends the holder of a zone, since a worker obeys another
// one that it does not hear. Nothing can be placed here until the partition heals, so that
// clients must be refused without the delay that a takeover gets.
func TestSuspensionIsolatesAtOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var d Detector
	d.NoteHeard()
	d.Beat(View{HolderKnown: true, ServesAlone: true}, now)
	if d.Isolated(now) {
		t.Fatal("isolated while the entry holds the group")
	}
	if changed := d.Update(View{Suspended: true}, now); !changed || !d.Isolated(now) {
		t.Fatal("not isolated when suspended")
	}
	if changed := d.Update(View{HolderKnown: true}, now); !changed || d.Isolated(now) {
		t.Fatal("isolated once a holder is known")
	}
}

// TestSilenceIsolates replays heartbeats of entries that hear no other entry. One that is cut
// off held its clients until it had declared its holder dead and waited for a takeover that
// it could not hear of. One whose workers answer, that never heard another, or that was
// merely paused, must go on.
func TestSilenceIsolates(t *testing.T) {
	tests := []struct {
		name        string
		heardBefore bool
		view        View
		pause       time.Duration // before the last of the silent heartbeats
		silent      int
		isolated    bool
		resultsLost bool
	}{
		{"a late answer", true, View{HolderKnown: true}, 0, silentLimit - 1, false, false},
		{"cut off", true, View{HolderKnown: true}, 0, silentLimit, true, false},
		{"cut off for longer", true, View{HolderKnown: true}, 0, lostLimit, true, true},
		{"a holder cut off with its workers", true, View{HolderKnown: true, ServesAlone: true}, 0, 100, false, false},
		{"a holder cut off from its workers too", true, View{HolderKnown: true}, 0, lostLimit, true, true},
		{"the only entry", false, View{HolderKnown: true}, 0, 100, false, false},
		{"paused", true, View{HolderKnown: true}, 5 * time.Second, 1, false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			var d Detector
			if c.heardBefore {
				d.NoteHeard()
			}
			d.Beat(c.view, now)
			for i := range c.silent {
				if i == c.silent-1 {
					now = now.Add(c.pause)
				}
				now = now.Add(heartbeat)
				d.Beat(c.view, now)
			}
			if isolated, lost := d.Isolated(now), d.ResultsLost(); isolated != c.isolated || lost != c.resultsLost {
				t.Errorf("isolated %v, results lost %v; want %v, %v", isolated, lost, c.isolated, c.resultsLost)
			}
			d.NoteHeard()
			d.Beat(c.view, now.Add(heartbeat))
			if d.Isolated(now.Add(heartbeat)) || d.ResultsLost() {
				t.Error("isolated although another entry was heard")
			}
		})
	}
}
