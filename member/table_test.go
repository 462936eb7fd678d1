package member

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const heartbeatInterval = 600 * time.Millisecond

// testCluster is a number of tables that exchange heartbeats in virtual time. Ways
// that are cut carry nothing.
type testCluster struct {
	tables  []*Table
	stopped map[string]bool
	cut     func(from, to Record) bool
	sent    int
	records int
}

func newTestCluster(members, zones int) *testCluster {
	g := &testCluster{stopped: map[string]bool{}, cut: func(Record, Record) bool { return false }}
	for i := range members {
		g.tables = append(g.tables, New(Options{Self: Record{
			ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Incarnation: uint64(i + 1), Weight: 1,
		}, SuspectAfter: 4 * heartbeatInterval, DeadAfter: 6 * heartbeatInterval}))
	}
	for _, t := range g.tables {
		t.SetSeeds(g.platformList())
	}
	return g
}

// platformList is what the platform would tell.
func (g *testCluster) platformList() []Record {
	var list []Record
	for _, t := range g.tables {
		self := t.Self()
		list = append(list, Record{ID: self.ID, Zone: self.Zone, PeerAddress: self.ID})
	}
	return list
}

func (g *testCluster) find(id string) *Table {
	for _, t := range g.tables {
		if t.Self().ID == id {
			return t
		}
	}
	return nil
}

// tick lets every table send one heartbeat.
func (g *testCluster) tick() {
	time.Sleep(heartbeatInterval)
	for _, t := range g.tables {
		if g.stopped[t.Self().ID] {
			continue
		}
		t.CheckTimeouts()
		records, targets := t.NextHeartbeat()
		for _, target := range targets {
			g.sent++
			g.records += len(records)
			other := g.find(target.ID)
			if g.stopped[target.ID] {
				t.NoteRefused(target.ID)
				t.NoteContact(target.ID, false)
				continue
			}
			if g.cut(t.Self(), other.Self()) {
				t.NoteContact(target.ID, false)
				continue
			}
			other.Merge(records)
			t.Merge(other.ReplyRecords())
			t.NoteContact(target.ID, true)
		}
	}
}

// allSee tells whether all running tables see just these members as alive.
func (g *testCluster) allSee(alive int) bool {
	for _, t := range g.tables {
		if !g.stopped[t.Self().ID] && len(t.Live("")) != alive {
			return false
		}
	}
	return true
}

func (g *testCluster) tickUntilAgreed(t *testing.T, most int, alive int) int {
	t.Helper()
	for n := range most {
		if g.allSee(alive) {
			return n
		}
		g.tick()
	}
	for _, table := range g.tables {
		t.Logf("%s sees %d", table.Self().ID, len(table.Live("")))
	}
	t.Fatalf("no agreement on %d members within %d heartbeats", alive, most)
	return 0
}

// logMissing logs whom each table misses.
func (g *testCluster) logMissing(t *testing.T) {
	for _, table := range g.tables {
		for _, other := range g.tables {
			if _, state, _ := table.Find(other.Self().ID); state != Alive {
				t.Logf("%s (%s) misses %s (%s): %v, beat %d of %d", table.Self().ID, table.Self().Zone, other.Self().ID, other.Self().Zone, state, heartbeatOf(table, other), other.Self().Heartbeat)
			}
		}
	}
}

func heartbeatOf(table, other *Table) uint64 {
	r, _, _ := table.Find(other.Self().ID)
	return r.Heartbeat
}

func TestViewsConvergeAndDropDeadMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(9, 3)
		g.tickUntilAgreed(t, 40, 9)
		g.stopped["e004"] = true
		// 5 s is the target for recovery after an entry's death.
		g.tickUntilAgreed(t, int(5*time.Second/heartbeatInterval), 8)
	})
}

func TestHeartbeatCostIndependentOfFleetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{8, 16, 32, 64, 128} {
			g := newTestCluster(size, max(1, size/8))
			g.tickUntilAgreed(t, 200, size)
			g.sent, g.records = 0, 0
			for range 40 {
				g.tick()
			}
			if each := float64(g.sent) / float64(40*size); each > 3 {
				t.Errorf("%d members: %.2f heartbeats a member and tick", size, each)
			}
			if each := float64(g.records) / float64(g.sent); each > 5 {
				t.Errorf("%d members: %.2f records a heartbeat", size, each)
			}
			if !g.allSee(size) {
				t.Errorf("%d members: views flap", size)
				g.logMissing(t)
			}
		}
	})
}

func TestNewIncarnationAcceptedOnlyFromMemberItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(3, 1)
		g.tickUntilAgreed(t, 40, 3)
		old, _, _ := g.tables[0].Find("e002")
		g.tables[0].Merge([]Record{{ID: "e001", Zone: "z0", Incarnation: 2, Heartbeat: 1 << 40}, {ID: "e002", Zone: "z0", Incarnation: 77, Heartbeat: 1}})
		if now, _, _ := g.tables[0].Find("e002"); now.Incarnation != old.Incarnation {
			t.Error("a relayed record replaced an incarnation")
		}
		g.tables[0].Merge([]Record{{ID: "e002", Zone: "z0", Incarnation: 77, Heartbeat: 1}})
		if now, state, _ := g.tables[0].Find("e002"); now.Incarnation != 77 || state != Alive {
			t.Error("a member's own word does not count")
		}
	})
}

func TestPartitionAndHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(9, 3)
		g.tickUntilAgreed(t, 40, 9)
		g.cut = func(a, b Record) bool { return (a.Zone == "z0") != (b.Zone == "z0") }
		for range 20 {
			g.tick()
		}
		if inside, outside := len(g.tables[0].Live("")), len(g.tables[1].Live("")); inside != 3 || outside != 6 {
			t.Errorf("during the cut %d and %d members are seen", inside, outside)
		}
		g.cut = func(Record, Record) bool { return false }
		// In line within 5 s of healing.
		g.tickUntilAgreed(t, int(5*time.Second/heartbeatInterval), 9)
	})
}

// TestOnlyOneSideOfPartitionHasMajority cuts members off together: just one side hears the most,
// also of two equal halves. Members that are gone for sure belong to neither.
func TestOnlyOneSideOfPartitionHasMajority(t *testing.T) {
	tests := []struct {
		name           string
		members, zones int
		away           []string // on the other side of the cut
		gone           []string // nothing listens there
		most           map[string]bool
	}{
		{"two of nine", 9, 3, []string{"e001", "e002"}, nil, map[string]bool{"e000": true, "e001": false, "e002": false}},
		{"two of four", 4, 2, []string{"e002", "e003"}, nil, map[string]bool{"e000": true, "e002": false}},
		{"the least with another one", 4, 2, []string{"e000", "e003"}, nil, map[string]bool{"e000": true, "e001": false}},
		{"most are gone", 5, 1, nil, []string{"e001", "e002", "e003"}, map[string]bool{"e000": true, "e004": true}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestCluster(c.members, c.zones)
				g.tickUntilAgreed(t, 40, c.members)
				g.cut = func(a, b Record) bool { return slices.Contains(c.away, a.ID) != slices.Contains(c.away, b.ID) }
				for _, id := range c.gone {
					g.stopped[id] = true
				}
				for range 40 {
					g.tick()
				}
				for id, want := range c.most {
					if got := g.find(id).HasMajority(); got != want {
						t.Errorf("%s hears most: %v, want %v", id, got, want)
					}
				}
			})
		})
	}
}

// TestOwnPauseDoesNotExpireOthers has one member stand still while the others go on: when
// it wakes it must not take them for dead.
func TestOwnPauseDoesNotExpireOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(6, 2)
		g.tickUntilAgreed(t, 40, 6)
		time.Sleep(10 * time.Second)
		g.tables[0].CheckTimeouts()
		if live := len(g.tables[0].Live("")); live != 6 {
			t.Fatalf("%d members alive after an own pause, want 6", live)
		}
	})
}

func TestOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(4, 2)
		g.tickUntilAgreed(t, 40, 4)
		g.cut = func(a, b Record) bool { return a.Zone == "z1" && b.Zone == "z0" }
		for range 30 {
			g.tick()
		}
		if _, state, _ := g.tables[1].Find("e000"); state != Dead {
			t.Error("a member that cannot be reached from here counts as alive here")
		}
		if _, state, _ := g.tables[0].Find("e001"); state != Alive {
			t.Error("a member that can be reached counts as dead")
		}
	})
}

func TestLeavingFlagFromSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestCluster(3, 1)
		g.tickUntilAgreed(t, 40, 3)
		list := g.platformList()
		list[1].Leaving = true
		g.tables[0].SetSeeds(list)
		if live := g.tables[0].Live(""); len(live) != 2 {
			t.Errorf("%d members are live", len(live))
		}
	})
}

// TestStaleRecordDoesNotReviveDeadMember gives a table that has heard of a death news from
// before it, as still goes round among those who have not heard.
func TestStaleRecordDoesNotReviveDeadMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Self: Record{ID: "a", Zone: "z0"}})
		sender := Record{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 1}
		dead := Record{ID: "c", Zone: "z1", Incarnation: 1, Heartbeat: 10}
		table.Merge([]Record{sender, dead})
		dead.Heartbeat, dead.Dead = 20, true
		table.Merge([]Record{sender, dead})
		dead.Heartbeat, dead.Dead = 15, false
		table.Merge([]Record{sender, dead})
		if _, state, _ := table.Find("c"); state != Dead {
			t.Error("news from before a death brought the member back")
		}
		dead.Heartbeat = 21
		table.Merge([]Record{sender, dead})
		if _, state, _ := table.Find("c"); state != Alive {
			t.Error("later news does not refute the death")
		}
	})
}

// TestStaleRecordDoesNotReviveSilentZone relays news of a zone that were told before the cut.
func TestStaleRecordDoesNotReviveSilentZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Self: Record{ID: "a", Zone: "z0"}})
		cut := Record{ID: "c", Zone: "z2", Incarnation: 1, Heartbeat: 1}
		table.Merge([]Record{{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 1}, cut})
		told := time.Now()
		time.Sleep(3500 * time.Millisecond)
		cut.Heartbeat, cut.ReportedAt = 2, told
		table.Merge([]Record{{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 2}, cut})
		if _, state, _ := table.Find("c"); state != Dead {
			t.Error("old news of a zone hides that it is cut off")
		}
	})
}
