package member

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const heartbeatInterval = 600 * time.Millisecond

// testCluster is a number of tables that exchange heartbeats in virtual time.
// Messages for which blocked is true are lost.
type testCluster struct {
	tables  []*Table
	stopped map[string]bool
	blocked func(from, to Record) bool
	sent    int
	records int
}

func newTestCluster(members, zones int) *testCluster {
	c := &testCluster{stopped: map[string]bool{}, blocked: func(Record, Record) bool { return false }}
	for i := range members {
		c.tables = append(c.tables, New(Options{Self: Record{
			ID: fmt.Sprintf("e%03d", i), PeerAddress: fmt.Sprintf("e%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Incarnation: uint64(i + 1), Weight: 1,
		}, SuspectAfter: 4 * heartbeatInterval, DeadAfter: 6 * heartbeatInterval}))
	}
	for _, t := range c.tables {
		t.SetSeeds(c.platformList())
	}
	return c
}

// platformList is the platform's list of members.
func (c *testCluster) platformList() []Record {
	var list []Record
	for _, t := range c.tables {
		self := t.Self()
		list = append(list, Record{ID: self.ID, Zone: self.Zone, PeerAddress: self.ID})
	}
	return list
}

func (c *testCluster) find(id string) *Table {
	for _, t := range c.tables {
		if t.Self().ID == id {
			return t
		}
	}
	return nil
}

// tick makes every running table send one heartbeat.
func (c *testCluster) tick() {
	time.Sleep(heartbeatInterval)
	for _, t := range c.tables {
		if c.stopped[t.Self().ID] {
			continue
		}
		t.CheckTimeouts()
		records, targets := t.NextHeartbeat()
		for _, target := range targets {
			c.sent++
			c.records += len(records)
			other := c.find(target.ID)
			if c.stopped[target.ID] {
				t.NoteRefused(target.ID)
				t.NoteContact(target.ID, false)
				continue
			}
			if c.blocked(t.Self(), other.Self()) {
				t.NoteContact(target.ID, false)
				continue
			}
			other.Merge(records)
			t.Merge(other.ReplyRecords())
			t.NoteContact(target.ID, true)
		}
	}
}

// allSee reports whether all running tables see this number of live members.
func (c *testCluster) allSee(alive int) bool {
	for _, t := range c.tables {
		if !c.stopped[t.Self().ID] && len(t.Live("")) != alive {
			return false
		}
	}
	return true
}

func (c *testCluster) tickUntilAgreed(t *testing.T, maxTicks int, alive int) int {
	t.Helper()
	for n := range maxTicks {
		if c.allSee(alive) {
			return n
		}
		c.tick()
	}
	for _, table := range c.tables {
		t.Logf("%s sees %d live members", table.Self().ID, len(table.Live("")))
	}
	t.Fatalf("no agreement on %d members within %d heartbeats", alive, maxTicks)
	return 0
}

// logMissing logs which members each table does not see as alive.
func (c *testCluster) logMissing(t *testing.T) {
	for _, table := range c.tables {
		for _, other := range c.tables {
			if _, state, _ := table.Find(other.Self().ID); state != Alive {
				t.Logf("%s (%s) misses %s (%s): %v, heartbeat %d of %d", table.Self().ID, table.Self().Zone, other.Self().ID, other.Self().Zone, state, heartbeatOf(table, other), other.Self().Heartbeat)
			}
		}
	}
}

func heartbeatOf(table, other *Table) uint64 {
	r, _, _ := table.Find(other.Self().ID)
	return r.Heartbeat
}

// All tables must see all members, and within 5 s must not see one that died.
func TestViewsConvergeAndDropDeadMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(9, 3)
		c.tickUntilAgreed(t, 40, 9)
		c.stopped["e004"] = true
		// Target for the recovery after an entry's death: 5 s.
		c.tickUntilAgreed(t, int(5*time.Second/heartbeatInterval), 8)
	})
}

// The number of heartbeats and of records in each must not grow with the fleet,
// and views must stay stable.
func TestHeartbeatCostIndependentOfFleetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{8, 16, 32, 64, 128} {
			c := newTestCluster(size, max(1, size/8))
			c.tickUntilAgreed(t, 200, size)
			c.sent, c.records = 0, 0
			for range 40 {
				c.tick()
			}
			if each := float64(c.sent) / float64(40*size); each > 3 {
				t.Errorf("%d members: %.2f heartbeats per member and tick", size, each)
			}
			if each := float64(c.records) / float64(c.sent); each > 5 {
				t.Errorf("%d members: %.2f records per heartbeat", size, each)
			}
			if !c.allSee(size) {
				t.Errorf("%d members: views are not stable", size)
				c.logMissing(t)
			}
		}
	})
}

// After a restart under the same ID, the new incarnation counts when the member
// itself reports it, not when another member relays it.
func TestNewIncarnationAcceptedOnlyFromMemberItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3, 1)
		c.tickUntilAgreed(t, 40, 3)
		old, _, _ := c.tables[0].Find("e002")
		c.tables[0].Merge([]Record{{ID: "e001", Zone: "z0", Incarnation: 2, Heartbeat: 1 << 40}, {ID: "e002", Zone: "z0", Incarnation: 77, Heartbeat: 1}})
		if now, _, _ := c.tables[0].Find("e002"); now.Incarnation != old.Incarnation {
			t.Error("a relayed record replaced an incarnation")
		}
		c.tables[0].Merge([]Record{{ID: "e002", Zone: "z0", Incarnation: 77, Heartbeat: 1}})
		if now, state, _ := c.tables[0].Find("e002"); now.Incarnation != 77 || state != Alive {
			t.Error("a member's own record did not replace an incarnation")
		}
	})
}

// A zone is cut off from two others. Each side must see only its own members,
// and all again after the partition has ended.
func TestPartitionAndHealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(9, 3)
		c.tickUntilAgreed(t, 40, 9)
		c.blocked = func(a, b Record) bool { return (a.Zone == "z0") != (b.Zone == "z0") }
		for range 20 {
			c.tick()
		}
		if inside, outside := len(c.tables[0].Live("")), len(c.tables[1].Live("")); inside != 3 || outside != 6 {
			t.Errorf("during the partition %d and %d members are seen, want 3 and 6", inside, outside)
		}
		c.blocked = func(Record, Record) bool { return false }
		// All tables must agree within 5 s after the partition has ended.
		c.tickUntilAgreed(t, int(5*time.Second/heartbeatInterval), 9)
	})
}

// When a partition separates members, exactly one side must have the majority,
// also if both are equal. Members whose address refuses connections count on
// neither side.
func TestOnlyOneSideOfPartitionHasMajority(t *testing.T) {
	tests := []struct {
		name           string
		members, zones int
		cutOff         []string // on the other side of the partition
		stopped        []string // nothing listens there
		wantMajority   map[string]bool
	}{
		{"two of nine cut off", 9, 3, []string{"e001", "e002"}, nil, map[string]bool{"e000": true, "e001": false, "e002": false}},
		{"equal halves", 4, 2, []string{"e002", "e003"}, nil, map[string]bool{"e000": true, "e002": false}},
		{"equal halves, lowest ID on the cut-off side", 4, 2, []string{"e000", "e003"}, nil, map[string]bool{"e000": true, "e001": false}},
		{"most have stopped", 5, 1, nil, []string{"e001", "e002", "e003"}, map[string]bool{"e000": true, "e004": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(test.members, test.zones)
				c.tickUntilAgreed(t, 40, test.members)
				c.blocked = func(a, b Record) bool {
					return slices.Contains(test.cutOff, a.ID) != slices.Contains(test.cutOff, b.ID)
				}
				for _, id := range test.stopped {
					c.stopped[id] = true
				}
				for range 40 {
					c.tick()
				}
				for id, want := range test.wantMajority {
					if got := c.find(id).HasMajority(); got != want {
						t.Errorf("%s has the majority: %v, want %v", id, got, want)
					}
				}
			})
		})
	}
}

// A member that is not heard may be running on the other side of a partition, unless it was
// leaving or nothing listens at its address. Only members of the local zone count.
func TestUnheard(t *testing.T) {
	tests := []struct {
		name            string
		members, zones  int
		cutOff, stopped []string
		want            map[string]bool
	}{
		{"all are heard", 6, 2, nil, nil, map[string]bool{"e000": false}},
		{"one of the zone is cut off", 6, 2, []string{"e002"}, nil, map[string]bool{"e000": true, "e002": true, "e001": false}},
		{"another zone is cut off", 6, 2, []string{"e001", "e003", "e005"}, nil, map[string]bool{"e000": false, "e001": false}},
		{"one of the zone has stopped", 3, 1, nil, []string{"e002"}, map[string]bool{"e000": false, "e001": false}},
		{"one has stopped, one is cut off", 4, 1, []string{"e003"}, []string{"e002"}, map[string]bool{"e000": true, "e001": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(test.members, test.zones)
				c.tickUntilAgreed(t, 40, test.members)
				c.blocked = func(a, b Record) bool {
					return slices.Contains(test.cutOff, a.ID) != slices.Contains(test.cutOff, b.ID)
				}
				for _, id := range test.stopped {
					c.stopped[id] = true
				}
				for range 40 {
					c.tick()
				}
				for _, table := range c.tables {
					for _, id := range test.stopped {
						table.NoteAddressRefused(c.find(id).Self().PeerAddress)
						table.NoteAddressRefused(c.find(id).Self().PeerAddress)
					}
				}
				for id, want := range test.want {
					if got := c.find(id).Unheard(); got != want {
						t.Errorf("%s: unheard members %v, want %v", id, got, want)
					}
				}
			})
		})
	}
}

// TestUnheardSince guards against a wait for a member that counts from news which other members have
// heard since, or from a member whose process has ended.
func TestUnheardSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zone = "z0"
		table := New(Options{Self: Record{ID: "a", Zone: zone, Incarnation: 1}})
		record := func(id string, heartbeat uint64) Record {
			return Record{ID: id, Zone: zone, PeerAddress: id, Incarnation: 1, Heartbeat: heartbeat}
		}
		table.Merge([]Record{record("b", 1)})
		table.Merge([]Record{record("c", 1)})
		time.Sleep(500 * time.Millisecond)
		relayed := record("b", 2)
		relayed.ReportedAt = time.Now().Add(-200 * time.Millisecond)
		table.Merge([]Record{record("d", 1), relayed})
		table.Merge([]Record{record("c", 2)})
		reportedAt, heardAt := relayed.ReportedAt, time.Now()
		if at, unheard := table.UnheardSince(); unheard {
			t.Errorf("since %v while all are heard", at)
		}
		time.Sleep(4 * time.Second)
		table.CheckTimeouts()
		time.Sleep(time.Second)
		table.CheckTimeouts()
		if at, unheard := table.UnheardSince(); !unheard || !at.Equal(heardAt) {
			t.Errorf("unheard %v since %v, want %v", unheard, at, heardAt)
		}
		for _, address := range []string{"c", "c", "d", "d"} {
			table.NoteAddressRefused(address)
		}
		if at, unheard := table.UnheardSince(); !unheard || !at.Equal(reportedAt) {
			t.Errorf("unheard %v since %v once two members have ended, want %v", unheard, at, reportedAt)
		}
	})
}

// Clients of a lost entry send their requests again, so the loss must be known for a while, also
// if the entry is back by then. One that left as announced is not lost.
func TestLostSince(t *testing.T) {
	const zone = "z0"
	alive := Record{ID: "b", Zone: zone, Incarnation: 1, Heartbeat: 1}
	leaving, restarted, elsewhere := alive, alive, alive
	leaving.Leaving, leaving.Heartbeat = true, 2
	restarted.Incarnation = 2
	elsewhere.Zone = "z1"
	dead := func(r Record) Record { r.Dead = true; return r }
	tests := []struct {
		name    string
		merged  []Record // each by itself
		except  string
		elapsed time.Duration // since the last record
		want    bool
	}{
		{"alive", []Record{alive}, "", 0, false},
		{"dead", []Record{alive, dead(alive)}, "", time.Second, true},
		{"dead for long", []Record{alive, dead(alive)}, "", 3 * time.Second, false},
		{"dead, but the exception", []Record{alive, dead(alive)}, "b", time.Second, false},
		{"restarted", []Record{alive, restarted}, "", time.Second, true},
		{"left and came back", []Record{alive, leaving, restarted}, "", time.Second, false},
		{"dead in another zone", []Record{elsewhere, dead(elsewhere)}, "", time.Second, false},
		{"suspected", []Record{alive}, "", 2500 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := New(Options{Self: Record{ID: "a", Zone: zone, Incarnation: 1}})
				time.Sleep(time.Second)
				for _, r := range test.merged {
					table.Merge([]Record{r})
				}
				time.Sleep(test.elapsed)
				table.CheckTimeouts()
				if got := table.LostSince(time.Now().Add(-2*time.Second), test.except); got != test.want {
					t.Fatalf("lost %v, want %v", got, test.want)
				}
			})
		})
	}
}

// A list of workers that no live member has must not count as confirmed.
func TestConfirmsWorkers(t *testing.T) {
	const fingerprint = 7
	complete := Record{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 1, Workers: fingerprint}
	incomplete, leaving, dead := complete, complete, complete
	incomplete.Workers, incomplete.Heartbeat = 0, 2
	leaving.Leaving, leaving.Heartbeat = true, 2
	dead.Dead = true
	tests := []struct {
		name        string
		merged      []Record // each by itself
		fingerprint uint64
		want        bool
	}{
		{"no other member", nil, fingerprint, false},
		{"the same workers", []Record{complete}, fingerprint, true},
		{"other workers", []Record{complete}, 8, false},
		{"a list that may be incomplete", []Record{complete, incomplete}, fingerprint, false},
		{"no workers", []Record{complete, incomplete}, 0, false},
		{"a member that leaves", []Record{complete, leaving}, fingerprint, true},
		{"a dead member", []Record{complete, dead}, fingerprint, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := New(Options{Self: Record{ID: "a", Zone: "z0", Incarnation: 1, Workers: fingerprint}})
			for _, r := range test.merged {
				table.Merge([]Record{r})
			}
			if got := table.ConfirmsWorkers(test.fingerprint); got != test.want {
				t.Fatalf("confirmed %v, want %v", got, test.want)
			}
		})
	}
}

// A member that did not run for 10 s must not declare the others dead when it
// continues.
func TestOwnPauseDoesNotExpireOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(6, 2)
		c.tickUntilAgreed(t, 40, 6)
		time.Sleep(10 * time.Second)
		c.tables[0].CheckTimeouts()
		if live := len(c.tables[0].Live("")); live != 6 {
			t.Fatalf("%d members are live after a pause of this process, want 6", live)
		}
	})
}

// A member that cannot be reached from here counts as dead here, even if its
// heartbeats arrive, and does not at the other end.
func TestOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(4, 2)
		c.tickUntilAgreed(t, 40, 4)
		c.blocked = func(a, b Record) bool { return a.Zone == "z1" && b.Zone == "z0" }
		for range 30 {
			c.tick()
		}
		if _, state, _ := c.tables[1].Find("e000"); state != Dead {
			t.Error("a member that cannot be reached from here counts as alive")
		}
		if _, state, _ := c.tables[0].Find("e001"); state != Alive {
			t.Error("a member that can be reached counts as dead")
		}
	})
}

// A member marked as leaving in the platform's list must not be live.
func TestLeavingFlagFromSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3, 1)
		c.tickUntilAgreed(t, 40, 3)
		list := c.platformList()
		list[1].Leaving = true
		c.tables[0].SetSeeds(list)
		if live := c.tables[0].Live(""); len(live) != 2 {
			t.Errorf("%d members are live, want 2", len(live))
		}
	})
}

// A record from before a member's death, relayed by a member that has not heard
// of it, must not make the dead member alive again. A later one must.
func TestStaleRecordDoesNotReviveDeadMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Self: Record{ID: "a", Zone: "z0"}})
		sender := Record{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 1}
		record := Record{ID: "c", Zone: "z1", Incarnation: 1, Heartbeat: 10}
		table.Merge([]Record{sender, record})
		record.Heartbeat, record.Dead = 20, true
		table.Merge([]Record{sender, record})
		record.Heartbeat, record.Dead = 15, false
		table.Merge([]Record{sender, record})
		if _, state, _ := table.Find("c"); state != Dead {
			t.Error("a record from before a death made the member alive")
		}
		record.Heartbeat = 21
		table.Merge([]Record{sender, record})
		if _, state, _ := table.Find("c"); state != Alive {
			t.Error("a later record does not refute the death")
		}
	})
}

// A record sent before a zone was cut off, relayed late through another zone,
// must not make the zone look reachable.
func TestStaleRecordDoesNotReviveSilentZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Self: Record{ID: "a", Zone: "z0"}})
		record := Record{ID: "c", Zone: "z2", Incarnation: 1, Heartbeat: 1}
		table.Merge([]Record{{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 1}, record})
		reportedAt := time.Now()
		time.Sleep(3500 * time.Millisecond)
		record.Heartbeat, record.ReportedAt = 2, reportedAt
		table.Merge([]Record{{ID: "b", Zone: "z1", Incarnation: 1, Heartbeat: 2}, record})
		if _, state, _ := table.Find("c"); state != Dead {
			t.Error("an old record hides that its zone is silent")
		}
	})
}
