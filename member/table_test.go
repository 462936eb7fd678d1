package member

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const beat = 600 * time.Millisecond

// group is a number of tables that exchange heartbeats in virtual time. Ways
// that are cut carry nothing.
type group struct {
	tables  []*Table
	stopped map[string]bool
	cut     func(from, to Record) bool
	sent    int
	records int
}

func newGroup(members, zones int) *group {
	g := &group{stopped: map[string]bool{}, cut: func(Record, Record) bool { return false }}
	for i := range members {
		g.tables = append(g.tables, New(Options{Self: Record{
			ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Incarnation: uint64(i + 1), Weight: 1,
		}, Suspect: 4 * beat, Dead: 6 * beat}))
	}
	for _, t := range g.tables {
		t.Seed(g.list())
	}
	return g
}

// list is what the platform would tell.
func (g *group) list() []Record {
	var list []Record
	for _, t := range g.tables {
		self := t.Self()
		list = append(list, Record{ID: self.ID, Zone: self.Zone, Peer: self.ID})
	}
	return list
}

func (g *group) find(id string) *Table {
	for _, t := range g.tables {
		if t.Self().ID == id {
			return t
		}
	}
	return nil
}

// tick lets every table send one heartbeat.
func (g *group) tick() {
	time.Sleep(beat)
	for _, t := range g.tables {
		if g.stopped[t.Self().ID] {
			continue
		}
		t.Sweep()
		records, targets := t.Beat()
		for _, target := range targets {
			g.sent++
			g.records += len(records)
			other := g.find(target.ID)
			if g.stopped[target.ID] {
				t.Refused(target.ID)
				t.Reached(target.ID, false)
				continue
			}
			if g.cut(t.Self(), other.Self()) {
				t.Reached(target.ID, false)
				continue
			}
			other.Merge(records)
			t.Merge(other.Digest())
			t.Reached(target.ID, true)
		}
	}
}

// agree tells whether all running tables see just these members as alive.
func (g *group) agree(alive int) bool {
	for _, t := range g.tables {
		if !g.stopped[t.Self().ID] && len(t.Live("")) != alive {
			return false
		}
	}
	return true
}

func (g *group) until(t *testing.T, most int, alive int) int {
	t.Helper()
	for n := range most {
		if g.agree(alive) {
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

// explain logs whom each table misses.
func (g *group) explain(t *testing.T) {
	for _, table := range g.tables {
		for _, other := range g.tables {
			if _, state, _ := table.Find(other.Self().ID); state != Alive {
				t.Logf("%s (%s) misses %s (%s): %v, beat %d of %d", table.Self().ID, table.Self().Zone, other.Self().ID, other.Self().Zone, state, beatOf(table, other), other.Self().Beat)
			}
		}
	}
}

func beatOf(table, other *Table) uint64 {
	r, _, _ := table.Find(other.Self().ID)
	return r.Beat
}

func TestViewsAgreeAndFollowADeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(9, 3)
		g.until(t, 40, 9)
		g.stopped["e004"] = true
		// 5 s is the target for recovery after an entry's death.
		g.until(t, int(5*time.Second/beat), 8)
	})
}

func TestHeartbeatsDoNotGrowWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{8, 16, 32, 64, 128} {
			g := newGroup(size, max(1, size/8))
			g.until(t, 200, size)
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
			if !g.agree(size) {
				t.Errorf("%d members: views flap", size)
				g.explain(t)
			}
		}
	})
}

func TestRestartUnderTheSameNameIsNewsOnlyFromItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3, 1)
		g.until(t, 40, 3)
		old, _, _ := g.tables[0].Find("e002")
		g.tables[0].Merge([]Record{{ID: "e001", Zone: "z0", Incarnation: 2, Beat: 1 << 40}, {ID: "e002", Zone: "z0", Incarnation: 77, Beat: 1}})
		if now, _, _ := g.tables[0].Find("e002"); now.Incarnation != old.Incarnation {
			t.Error("a relayed record replaced an incarnation")
		}
		g.tables[0].Merge([]Record{{ID: "e002", Zone: "z0", Incarnation: 77, Beat: 1}})
		if now, state, _ := g.tables[0].Find("e002"); now.Incarnation != 77 || state != Alive {
			t.Error("a member's own word does not count")
		}
	})
}

func TestCutAndHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(9, 3)
		g.until(t, 40, 9)
		g.cut = func(a, b Record) bool { return (a.Zone == "z0") != (b.Zone == "z0") }
		for range 20 {
			g.tick()
		}
		if inside, outside := len(g.tables[0].Live("")), len(g.tables[1].Live("")); inside != 3 || outside != 6 {
			t.Errorf("during the cut %d and %d members are seen", inside, outside)
		}
		g.cut = func(Record, Record) bool { return false }
		// In line within 5 s of healing.
		g.until(t, int(5*time.Second/beat), 9)
	})
}

// TestMostAreHeardOnOneSide cuts members off together: just one side hears the most,
// also of two equal halves. Members that are gone for sure belong to neither.
func TestMostAreHeardOnOneSide(t *testing.T) {
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
				g := newGroup(c.members, c.zones)
				g.until(t, 40, c.members)
				g.cut = func(a, b Record) bool { return slices.Contains(c.away, a.ID) != slices.Contains(c.away, b.ID) }
				for _, id := range c.gone {
					g.stopped[id] = true
				}
				for range 40 {
					g.tick()
				}
				for id, want := range c.most {
					if got := g.find(id).Most(); got != want {
						t.Errorf("%s hears most: %v, want %v", id, got, want)
					}
				}
			})
		})
	}
}

// TestOwnPauseIsNobodysSilence has one member stand still while the others go on: when
// it wakes it must not take them for dead.
func TestOwnPauseIsNobodysSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(6, 2)
		g.until(t, 40, 6)
		time.Sleep(10 * time.Second)
		g.tables[0].Sweep()
		if live := len(g.tables[0].Live("")); live != 6 {
			t.Fatalf("%d members alive after an own pause, want 6", live)
		}
	})
}

func TestCutOfOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(4, 2)
		g.until(t, 40, 4)
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

func TestLeavingMarkOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3, 1)
		g.until(t, 40, 3)
		list := g.list()
		list[1].Leaving = true
		g.tables[0].Seed(list)
		if live := g.tables[0].Live(""); len(live) != 2 {
			t.Errorf("%d members are live", len(live))
		}
	})
}

// TestOldNewsBringsNobodyBack gives a table that has heard of a death news from
// before it, as still goes round among those who have not heard.
func TestOldNewsBringsNobodyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Self: Record{ID: "a", Zone: "z0"}})
		sender := Record{ID: "b", Zone: "z1", Incarnation: 1, Beat: 1}
		dead := Record{ID: "c", Zone: "z1", Incarnation: 1, Beat: 10}
		table.Merge([]Record{sender, dead})
		dead.Beat, dead.Dead = 20, true
		table.Merge([]Record{sender, dead})
		dead.Beat, dead.Dead = 15, false
		table.Merge([]Record{sender, dead})
		if _, state, _ := table.Find("c"); state != Dead {
			t.Error("news from before a death brought the member back")
		}
		dead.Beat = 21
		table.Merge([]Record{sender, dead})
		if _, state, _ := table.Find("c"); state != Alive {
			t.Error("later news does not refute the death")
		}
	})
}

// TestOldNewsOfACutZone relays news of a zone that were told before the cut.
func TestOldNewsOfACutZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Self: Record{ID: "a", Zone: "z0"}})
		cut := Record{ID: "c", Zone: "z2", Incarnation: 1, Beat: 1}
		table.Merge([]Record{{ID: "b", Zone: "z1", Incarnation: 1, Beat: 1}, cut})
		told := time.Now()
		time.Sleep(3500 * time.Millisecond)
		cut.Beat, cut.At = 2, told
		table.Merge([]Record{{ID: "b", Zone: "z1", Incarnation: 1, Beat: 2}, cut})
		if _, state, _ := table.Find("c"); state != Dead {
			t.Error("old news of a zone hides that it is cut off")
		}
	})
}
