package election

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func candidate(id, zone string) Candidate {
	return Candidate{ID: id, Incarnation: 1, Zone: zone, Weight: 1, Ready: true}
}

// newTable returns the table of an entry that knows all other entries.
func newTable(self Candidate) *ClaimTable {
	return New(Options{Self: self, TakeoverDelay: 2 * time.Second, Known: func(string) bool { return true }})
}

// TestOtherZonesDoNotClaimGroup partitions a zone off. Entries of other zones cannot
// reach the holder, but if they claimed the group, they would take it from the zone's
// own entries once the partition heals.
func TestOtherZonesDoNotClaimGroup(t *testing.T) {
	inside, outside := candidate("a1", "a"), candidate("b1", "b")
	out := newTable(outside)
	out.Merge([]Claim{{Group: "a/0", Epoch: 3, Holder: inside.ID, Incarnation: 1}})
	for s := range 10 {
		if out.ClaimIfVacant("a/0", "a", []Candidate{outside}, true, now.Add(time.Duration(s)*time.Second)) {
			t.Fatalf("an entry of another zone claims the group after %d s", s)
		}
	}
	if c, _ := out.Holder("a/0"); c.Holder != inside.ID {
		t.Fatalf("holder %s, want %s", c.Holder, inside.ID)
	}
}

// TestClaimIfVacant guards against a group that is claimed from a live holder, or that
// stays vacant after its holder has gone or restarted.
func TestClaimIfVacant(t *testing.T) {
	a1, a2 := candidate("a1", "a"), candidate("a2", "a")
	restarted := Candidate{ID: "a2", Incarnation: 2, Zone: "a", Weight: 1, Ready: true}
	claim := Claim{Group: "a/0", Epoch: 3, Holder: "a2", Incarnation: 1}
	tests := []struct {
		name     string
		claims   []Claim
		live     []Candidate
		hasPeers bool
		waits    time.Duration
		claimed  bool
	}{
		{"no claim, and the entry is alone", nil, []Candidate{a1}, false, 0, true},
		{"the holder is live", []Claim{claim}, []Candidate{a1, a2}, true, 0, false},
		{"the holder is gone, the entry has peers", []Claim{claim}, []Candidate{a1}, true, 0, true},
		{"the holder is gone, the entry has no peers", []Claim{claim}, []Candidate{a1}, false, 0, false},
		{"no peers for longer than the takeover delay", []Claim{claim}, []Candidate{a1}, false, 3 * time.Second, true},
		{"the holder has restarted", []Claim{claim}, []Candidate{a1, restarted}, true, 0, firstReady("a/0", "a", []Candidate{a1, restarted}).ID == "a1"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(a1)
			table.Merge(c.claims)
			got := table.ClaimIfVacant("a/0", "a", c.live, c.hasPeers, now)
			if c.waits > 0 {
				got = table.ClaimIfVacant("a/0", "a", c.live, c.hasPeers, now.Add(c.waits))
			}
			if got != c.claimed {
				t.Fatalf("claimed %v, want %v", got, c.claimed)
			}
			if held, _ := table.Holder("a/0"); got && (held.Holder != "a1" || len(c.claims) > 0 && held.Epoch <= claim.Epoch) {
				t.Fatalf("claim %+v", held)
			}
		})
	}
}

// TestRestartedEntryWaitsForOthers guards against a lease that a restarted holder renews although
// another entry has replaced it: it starts again in a partition, hears nobody and knows no claim,
// and the runs on its workers, which it does not know, go on.
func TestRestartedEntryWaitsForOthers(t *testing.T) {
	a1 := candidate("a1", "a")
	tests := []struct {
		name         string
		mayHavePeers bool
		hasPeers     bool
		waits        time.Duration
		claimed      bool
	}{
		{"others may be running", true, false, 1900 * time.Millisecond, false},
		{"others may be running, the takeover delay has passed", true, false, 3 * time.Second, true},
		{"another entry is heard", true, true, 0, true},
		{"no other entry can be running", false, false, 0, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(a1)
			table.options.MayHavePeers = func() bool { return c.mayHavePeers }
			got := table.ClaimIfVacant("a/0", "a", []Candidate{a1}, c.hasPeers, now)
			if c.waits > 0 {
				got = got || table.ClaimIfVacant("a/0", "a", []Candidate{a1}, c.hasPeers, now.Add(c.waits))
			}
			if got != c.claimed {
				t.Fatalf("claimed %v, want %v", got, c.claimed)
			}
		})
	}
}

// TestClaimsWhileAllEntriesStart guards against groups that change holders while all
// entries start one after the other, as after a power failure: each change stops the
// group for a second. Heartbeats may then bring a claim before the state of its
// holder, and the holder before it is ready.
func TestClaimsWhileAllEntriesStart(t *testing.T) {
	self := Candidate{ID: "a1", Incarnation: 1, Zone: "a", Weight: 0.2, Ready: true}
	claim := Claim{Group: "a/0", Epoch: 1, Holder: "a2", Incarnation: 1}
	tests := []struct {
		name    string
		claims  []Claim
		other   Candidate
		known   bool
		waits   time.Duration
		claimed bool
	}{
		{"the holder is not known to be ready yet", []Claim{claim}, Candidate{ID: "a2", Incarnation: 1, Zone: "a", Weight: 0.2}, true, time.Second, false},
		{"nothing is known of the holder", []Claim{claim}, Candidate{ID: "b1", Incarnation: 1, Zone: "b", Weight: 1}, false, 0, false},
		{"the holder stays unknown", []Claim{claim}, Candidate{ID: "b1", Incarnation: 1, Zone: "b", Weight: 1}, false, unknownHolderGrace, true},
		{"the holder is known to be gone", []Claim{claim}, Candidate{ID: "b1", Incarnation: 1, Zone: "b", Weight: 1}, true, 0, true},
		{"a larger entry of the zone is about to be ready", nil, Candidate{ID: "a2", Incarnation: 1, Zone: "a", Weight: 0.8}, true, 0, false},
		{"a larger entry of another zone is about to be ready", nil, Candidate{ID: "b1", Incarnation: 1, Zone: "b", Weight: 0.8}, true, 0, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table := New(Options{Self: self, TakeoverDelay: 2 * time.Second, Known: func(string) bool { return c.known }})
			table.Merge(c.claims)
			live := []Candidate{self, c.other}
			claimed := table.ClaimIfVacant("a/0", "a", live, true, now)
			if c.waits > 0 {
				claimed = claimed || table.ClaimIfVacant("a/0", "a", live, true, now.Add(c.waits))
			}
			if claimed != c.claimed {
				t.Fatalf("claimed %v, want %v", claimed, c.claimed)
			}
		})
	}
}

// TestSmallHolderHandsOver guards against a small entry that keeps a group which it
// claimed before the large entries of the zone had started.
func TestSmallHolderHandsOver(t *testing.T) {
	small := Candidate{ID: "a1", Incarnation: 1, Zone: "a", Weight: 0.2, Ready: true}
	tests := []struct {
		name  string
		later []Candidate
		after time.Duration // from when they are seen
		to    string
	}{
		{"a large one is ready", []Candidate{{ID: "a2", Incarnation: 7, Zone: "a", Weight: 0.8, Ready: true}}, handOverDelay, "a2"},
		{"a large one has just started", []Candidate{{ID: "a2", Incarnation: 7, Zone: "a", Weight: 0.8, Ready: true}}, handOverDelay / 2, "a1"},
		{"a large one is not ready", []Candidate{{ID: "a2", Incarnation: 7, Zone: "a", Weight: 0.8}}, handOverDelay, "a1"},
		{"a large one of another zone", []Candidate{{ID: "b1", Incarnation: 7, Zone: "b", Weight: 0.8, Ready: true}}, handOverDelay, "a1"},
		{"one of the same size", []Candidate{{ID: "a2", Incarnation: 7, Zone: "a", Weight: 0.21, Ready: true}}, handOverDelay, "a1"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(small)
			table.ClaimIfVacant("a/0", "a", []Candidate{small}, false, now)
			before, _ := table.Holder("a/0")
			live := append([]Candidate{small}, c.later...)
			table.HandOver("a/0", "a", live, now)
			handedOver := table.HandOver("a/0", "a", live, now.Add(c.after))
			held, _ := table.Holder("a/0")
			if held.Holder != c.to || handedOver != (c.to != "a1") {
				t.Fatalf("handed over %v, held by %s, want %s", handedOver, held.Holder, c.to)
			}
			if handedOver && (!supersedes(held, before) || held.Incarnation != 7) {
				t.Fatalf("claim %+v after %+v", held, before)
			}
		})
	}
}

// TestIsolatedHolderIsSuspendedAfterConflict guards against a holder that is cut off
// from the other entries but not from the workers, and so would fight the new holder
// for them.
func TestIsolatedHolderIsSuspendedAfterConflict(t *testing.T) {
	a1 := candidate("a1", "a")
	table := newTable(a1)
	table.ClaimIfVacant("a/0", "a", []Candidate{a1}, false, now)
	if !table.MaySchedule("a/0", now) {
		t.Fatal("the entry may not schedule for the group that it claimed")
	}
	table.NoteConflict(false, false, now)
	if table.MaySchedule("a/0", now) || !table.Suspended("a/0", now) {
		t.Fatal("the entry is not suspended though a worker has another holder and no peer is live")
	}
	table.ClaimIfVacant("a/0", "a", []Candidate{a1, candidate("a2", "a")}, true, now)
	if !table.MaySchedule("a/0", now) {
		t.Fatal("the entry stays suspended though it has a live peer")
	}
	table.Merge([]Claim{{Group: "a/0", Epoch: math.MaxUint64, Holder: "a2", Incarnation: 1}})
	if table.MaySchedule("a/0", now) || table.Suspended("a/0", now) {
		t.Fatal("the entry counts as suspended though it knows the next holder")
	}
}

// TestEpochsAreNotReused restarts an entry, which loses its claims. Its next claim
// needs a higher epoch, or a message sent under the earlier claim would be taken for
// one under the new claim.
func TestEpochsAreNotReused(t *testing.T) {
	a1 := candidate("a1", "a")
	before, again := newTable(a1), newTable(Candidate{ID: "a1", Incarnation: 2, Zone: "a", Weight: 1, Ready: true})
	before.ClaimIfVacant("a/0", "a", []Candidate{a1}, false, now)
	again.ClaimIfVacant("a/0", "a", []Candidate{a1}, false, now.Add(time.Second))
	one, _ := before.Holder("a/0")
	two, _ := again.Holder("a/0")
	if two.Epoch <= one.Epoch {
		t.Fatalf("epoch %d after %d", two.Epoch, one.Epoch)
	}
}

// TestMergeOrderDoesNotMatter guards against entries that disagree on the holder
// because they received claims of the same epoch in different orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	claims := []Claim{
		{Group: "a/0", Epoch: 1, Holder: "a1", Incarnation: 1},
		{Group: "a/0", Epoch: 1, Holder: "a2", Incarnation: 1},
		{Group: "a/0", Epoch: 1, Holder: "a3", Incarnation: 1},
		{Group: "a/0", Epoch: 1, Holder: "a3", Incarnation: 2},
	}
	x, y := newTable(candidate("x", "a")), newTable(candidate("y", "a"))
	for i := range claims {
		x.Merge(claims[i : i+1])
		y.Merge(claims[len(claims)-1-i : len(claims)-i])
	}
	one, _ := x.Holder("a/0")
	two, _ := y.Holder("a/0")
	if one != two {
		t.Fatalf("%+v and %+v", one, two)
	}
}

// TestSuccessors counts the entries of a zone that are ready to hold its group. The
// number must stay small in zones of hundreds of entries, with large entries first.
func TestSuccessors(t *testing.T) {
	tests := []struct {
		name         string
		large, small int
		claimed      string // ID of the entry that holds the group
		prepared     int
		preparedHere []string // entries that must be ready
	}{
		{"a small zone", 3, 0, "", 3, []string{"l00", "l01", "l02"}},
		{"large entries and small ones", 3, 7, "", 5, []string{"l00", "l01", "l02"}},
		{"hundreds", 60, 140, "", 5, nil},
		{"a small entry holds the group", 60, 140, "s100", 6, []string{"s100"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var live []Candidate
			for i := range c.large {
				live = append(live, Candidate{ID: fmt.Sprintf("l%02d", i), Incarnation: 1, Zone: "a", Weight: 0.8})
			}
			for i := range c.small {
				live = append(live, Candidate{ID: fmt.Sprintf("s%02d", i), Incarnation: 1, Zone: "a", Weight: 0.144})
			}
			prepared := map[string]bool{}
			for _, self := range append(live, candidate("b1", "b")) {
				table := newTable(self)
				table.Merge([]Claim{{Group: "a/0", Epoch: 3, Holder: c.claimed, Incarnation: 1}})
				if table.HolderOrSuccessor("a/0", "a", live) {
					prepared[self.ID] = true
				}
			}
			if len(prepared) != c.prepared {
				t.Fatalf("%d entries are prepared, want %d", len(prepared), c.prepared)
			}
			for _, id := range c.preparedHere {
				if !prepared[id] {
					t.Fatalf("%s is not among %v", id, prepared)
				}
			}
		})
	}
}

// TestMinoritySideIsSuspended cuts some entries off together. Both sides reach some
// other entries, so neither would give up the workers without the suspension of the
// minority.
func TestMinoritySideIsSuspended(t *testing.T) {
	a1 := candidate("a1", "a")
	steps := []struct {
		name        string
		at          time.Duration
		conflict    bool // another holder at a worker
		majority    bool // most other entries are live
		maySchedule bool
	}{
		{"no conflict", 0, false, false, true},
		{"conflict while few are live", 100 * time.Millisecond, true, false, false},
		{"second conflict", time.Second, true, false, false},
		{"after the suspension", 100*time.Millisecond + suspensionSpan, true, false, true},
		{"the other holder is still there", 100*time.Millisecond + suspensionSpan + retakeSpan, true, false, false},
		{"most are live", 2 * suspensionSpan, false, true, true},
		{"conflict while most are live", 2*suspensionSpan + time.Second, true, true, true},
	}
	table := newTable(a1)
	table.ClaimIfVacant("a/0", "a", []Candidate{a1}, true, now)
	for _, s := range steps {
		at := now.Add(s.at)
		table.ResumeIfMajority(func() bool { return s.majority })
		if s.conflict {
			table.NoteConflict(true, s.majority, at)
		}
		if got := table.MaySchedule("a/0", at); got != s.maySchedule {
			t.Fatalf("%s: may schedule %v, want %v", s.name, got, s.maySchedule)
		}
	}
}

// TestFirstClaim guards against a claim that counts as the first on its group although another entry
// has claimed it before.
func TestFirstClaim(t *testing.T) {
	a1 := candidate("a1", "a")
	earlier := Claim{Group: "a/0", Epoch: 3, Holder: "a2", Incarnation: 1}
	tests := []struct {
		name   string
		before []Claim
		after  []Claim
		first  bool
	}{
		{"no other claim", nil, nil, true},
		{"an earlier claim", []Claim{earlier}, nil, false},
		{"an earlier claim on another group", []Claim{{Group: "b/0", Epoch: 3, Holder: "b1", Incarnation: 1}}, nil, true},
		{"a later claim", nil, []Claim{{Group: "a/0", Epoch: math.MaxUint64, Holder: "a2", Incarnation: 1}}, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(a1)
			table.Merge(c.before)
			if !table.ClaimIfVacant("a/0", "a", []Candidate{a1}, true, now) {
				t.Fatal("the group is not claimed")
			}
			table.Merge(c.after)
			claim, _ := table.Holder("a/0")
			if got := table.IsFirst(claim); got != c.first {
				t.Fatalf("first %v, want %v", got, c.first)
			}
		})
	}
}
