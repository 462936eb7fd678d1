package tenure

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func candidate(id, zone string) Candidate {
	return Candidate{ID: id, Incarnation: 1, Zone: zone, Weight: 1, Ready: true}
}

// table makes one of an entry that has heard of all others.
func newTable(self Candidate) *ClaimTable {
	return New(Options{Self: self, TakeoverDelay: 2 * time.Second, Known: func(string) bool { return true }})
}

// TestOtherZonesTakeNoGroup cuts a zone off: the entries of other zones, which
// cannot reach it, must not claim its group, or they take it away from its own
// entries when the cut heals.
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

func TestClaimIfVacant(t *testing.T) {
	a1, a2 := candidate("a1", "a"), candidate("a2", "a")
	reborn := Candidate{ID: "a2", Incarnation: 2, Zone: "a", Weight: 1, Ready: true}
	claim := Claim{Group: "a/0", Epoch: 3, Holder: "a2", Incarnation: 1}
	tests := []struct {
		name    string
		claims  []Claim
		live    []Candidate
		heard   bool
		waits   time.Duration
		claimed bool
	}{
		{"nobody holds it and the entry is alone", nil, []Candidate{a1}, false, 0, true},
		{"the holder lives", []Claim{claim}, []Candidate{a1, a2}, true, 0, false},
		{"the holder is gone, others are heard", []Claim{claim}, []Candidate{a1}, true, 0, true},
		{"the holder is gone, nobody is heard", []Claim{claim}, []Candidate{a1}, false, 0, false},
		{"nobody is heard for long", []Claim{claim}, []Candidate{a1}, false, 3 * time.Second, true},
		{"the holder has started again", []Claim{claim}, []Candidate{a1, reborn}, true, 0, firstReady("a/0", "a", []Candidate{a1, reborn}).ID == "a1"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(a1)
			table.Merge(c.claims)
			got := table.ClaimIfVacant("a/0", "a", c.live, c.heard, now)
			if c.waits > 0 {
				got = table.ClaimIfVacant("a/0", "a", c.live, c.heard, now.Add(c.waits))
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

// TestStartOfAllEntries has entries that start one after the other, as when all
// have lost power. News of them comes piecemeal: a claim may be heard of before
// its holder, and its holder before it is ready. A group that changes hands then
// serves nothing for a second.
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
		{"nothing has come of the holder", []Claim{claim}, Candidate{ID: "b1", Incarnation: 1, Zone: "b", Weight: 1}, false, unknownHolderGrace, true},
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
			held, _ := table.Holder("a/0")
			if first := claimed && len(c.claims) == 0; table.FirstClaim(held) != first {
				t.Fatalf("first %v, want %v", !first, first)
			}
		})
	}
}

// TestSmallHolderCedes starts the large entries of a zone after a small one has
// taken its group.
func TestSmallHolderHandsOver(t *testing.T) {
	small := Candidate{ID: "a1", Incarnation: 1, Zone: "a", Weight: 0.2, Ready: true}
	tests := []struct {
		name  string
		later []Candidate
		after time.Duration // from when they are seen
		to    string
	}{
		{"a large one is ready", []Candidate{{ID: "a2", Incarnation: 7, Zone: "a", Weight: 0.8, Ready: true}}, handOverDelay, "a2"},
		{"a large one has just come", []Candidate{{ID: "a2", Incarnation: 7, Zone: "a", Weight: 0.8, Ready: true}}, handOverDelay / 2, "a1"},
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
			ceded := table.HandOver("a/0", "a", live, now.Add(c.after))
			held, _ := table.Holder("a/0")
			if held.Holder != c.to || ceded != (c.to != "a1") {
				t.Fatalf("ceded %v, held by %s, want %s", ceded, held.Holder, c.to)
			}
			if !table.FirstClaim(before) || ceded && table.FirstClaim(held) {
				t.Fatal("only the claim that followed no other is the first")
			}
			if ceded && (!supersedes(held, before) || held.Incarnation != 7) {
				t.Fatalf("claim %+v after %+v", held, before)
			}
		})
	}
}

// TestFencedEntryThatHearsNobodyStandsBack is the entry that is cut off from
// the others but not from the workers.
func TestIsolatedHolderIsSuspendedAfterConflict(t *testing.T) {
	a1 := candidate("a1", "a")
	table := newTable(a1)
	table.ClaimIfVacant("a/0", "a", []Candidate{a1}, false, now)
	if !table.MaySchedule("a/0", now) {
		t.Fatal("the entry does not hold the group that it claimed")
	}
	table.NoteConflict(false, false, now)
	if table.MaySchedule("a/0", now) {
		t.Fatal("the entry goes on though another holder was met and nobody is heard")
	}
	table.ClaimIfVacant("a/0", "a", []Candidate{a1, candidate("a2", "a")}, true, now)
	if !table.MaySchedule("a/0", now) {
		t.Fatal("the entry does not go on once it hears others")
	}
}

// TestEpochsAreNotUsedAgain starts an entry again that has forgotten its claim: a
// message under the earlier claim must not pass for one under the new.
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

// TestAllTablesAgree merges claims in any order.
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

// TestSuccessors counts the entries of a zone that are prepared to hold its group:
// few however many there are, and small ones behind the large.
func TestSuccessors(t *testing.T) {
	tests := []struct {
		name         string
		large, small int
		claimed      string // by an entry besides
		prepared     int
		preparedHere []string // that must be among them
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

// TestLesserSideStandsBack cuts some entries off together, so that both sides hear
// somebody and meet each other's token at the workers.
func TestMinoritySideIsSuspended(t *testing.T) {
	a1 := candidate("a1", "a")
	steps := []struct {
		name     string
		at       time.Duration
		met      bool // another holder, at a worker
		most     bool // others are heard
		standing bool
	}{
		{"nothing met", 0, false, false, true},
		{"met while few are heard", 100 * time.Millisecond, true, false, false},
		{"met again", time.Second, true, false, false},
		{"the other may be gone", 100*time.Millisecond + suspensionSpan, true, false, true},
		{"it is not", 100*time.Millisecond + suspensionSpan + retakeSpan, true, false, false},
		{"most are heard", 2 * suspensionSpan, false, true, true},
		{"met while most are heard", 2*suspensionSpan + time.Second, true, true, true},
	}
	table := newTable(a1)
	table.ClaimIfVacant("a/0", "a", []Candidate{a1}, true, now)
	for _, s := range steps {
		at := now.Add(s.at)
		table.ResumeIfMajority(func() bool { return s.most })
		if s.met {
			table.NoteConflict(true, s.most, at)
		}
		if got := table.MaySchedule("a/0", at); got != s.standing {
			t.Fatalf("%s: standing %v, want %v", s.name, got, s.standing)
		}
	}
}
