package evacuation

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/radishgate/radishgate/platform"
)

func evacuate(zone string, offset int64) platform.KeyedRecord {
	return platform.KeyedRecord{Key: "evacuate/" + zone, Value: []byte("{}"), Offset: offset}
}

func takeBack(zone string, offset int64) platform.KeyedRecord {
	return platform.KeyedRecord{Key: "evacuate/" + zone, Offset: offset}
}

// TestNewestNewsCount guards against a zone that is lost from the set although its record is the newest, or
// that stays in it for good, when snapshots, later records and news of other entries come in any order.
func TestNewestNewsCount(t *testing.T) {
	unreadable := platform.KeyedRecord{Key: "evacuate/a", Offset: 4, Err: errors.New("odd")}
	tests := []struct {
		name   string
		steps  func(s *Set)
		known  bool
		offset int64
		zones  string
	}{
		{"nothing read", func(*Set) {}, false, 0, ""},
		{"empty topic", func(s *Set) { s.Reset(nil, 0, false) }, true, 0, ""},
		{"snapshot", func(s *Set) {
			s.Reset([]platform.KeyedRecord{evacuate("a", 3), {Key: "config"}, takeBack("b", 5)}, 6, false)
		}, true, 6, "a"},
		{"unreadable record counts", func(s *Set) { s.Reset([]platform.KeyedRecord{unreadable}, 6, false) }, true, 6, "a"},
		{"later records", func(s *Set) {
			s.Reset([]platform.KeyedRecord{evacuate("a", 3)}, 6, false)
			s.Apply([]platform.KeyedRecord{evacuate("b", 6), takeBack("a", 7)}, 8)
		}, true, 8, "b"},
		{"complete snapshot removes", func(s *Set) {
			s.Reset([]platform.KeyedRecord{evacuate("a", 3), evacuate("b", 4)}, 6, false)
			s.Reset([]platform.KeyedRecord{evacuate("b", 4)}, 9, false)
		}, true, 9, "b"},
		{"partial snapshot removes nothing, adds and leaves the offset", func(s *Set) {
			s.Reset([]platform.KeyedRecord{evacuate("a", 3)}, 6, false)
			s.Reset([]platform.KeyedRecord{evacuate("b", 8)}, 9, true)
			s.Apply([]platform.KeyedRecord{evacuate("c", 9)}, 10)
		}, true, 6, "a b c"},
		{"first snapshot partial", func(s *Set) { s.Reset([]platform.KeyedRecord{evacuate("b", 8)}, 9, true) }, false, 0, "b"},
		{"older news of an entry stay out", func(s *Set) {
			s.Reset([]platform.KeyedRecord{evacuate("a", 3)}, 6, false)
			s.Merge(5, []string{"b"})
			s.Merge(6, nil)
		}, true, 6, "a"},
		{"newer news replace the set", func(s *Set) {
			s.Reset([]platform.KeyedRecord{evacuate("a", 3)}, 6, false)
			s.Merge(8, []string{"b"})
		}, true, 8, "b"},
		{"news of an entry without reading", func(s *Set) { s.Merge(8, []string{"b"}) }, true, 8, "b"},
		{"offset 0 is news while nothing is known", func(s *Set) { s.Merge(0, nil) }, true, 0, ""},
		{"records that the news of an entry count are not applied again", func(s *Set) {
			s.Reset(nil, 2, false)
			s.Merge(8, nil) // evacuated at 3, taken back at 5
			s.Apply([]platform.KeyedRecord{evacuate("a", 3)}, 4)
		}, true, 8, ""},
		{"a slow snapshot is older than the news of an entry", func(s *Set) {
			s.Merge(8, []string{"b"})
			s.Reset([]platform.KeyedRecord{evacuate("a", 3)}, 6, false)
		}, true, 8, "b"},
		{"news of an entry lack a record after a partial snapshot", func(s *Set) {
			s.Reset(nil, 6, false)
			s.Reset(nil, 20, true)
			s.Apply([]platform.KeyedRecord{evacuate("a", 20)}, 21)
			s.Merge(12, nil)
		}, true, 12, "a"},
		{"odd offset", func(s *Set) { s.Merge(1<<63+5, []string{"a"}) }, false, 0, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := New([]string{"a", "b"})
			c.steps(s)
			got := s.State()
			zones := strings.Join(slices.Sorted(maps.Keys(got.Zones)), " ")
			if got.Known != c.known || got.Offset != c.offset || zones != c.zones {
				t.Fatalf("known %t, offset %d, zones %q; want %t, %d, %q", got.Known, got.Offset, zones, c.known, c.offset, c.zones)
			}
		})
	}
}

// TestKeptZonesAreBounded guards against memory that grows with the keys that operators write, and against
// zones of the settings that find no room beside them.
func TestKeptZonesAreBounded(t *testing.T) {
	s := New([]string{"a"})
	var records []platform.KeyedRecord
	for i := range 3 * maxZones {
		records = append(records, evacuate(fmt.Sprintf("z%d", i), int64(i)))
	}
	change := s.Reset(append(records, evacuate("a", 5000)), 6000, false)
	if got := s.State().Zones; len(got) != maxZones+1 || !got["a"] || change.Skipped != 2*maxZones {
		t.Fatalf("%d zones, a kept: %t, %d skipped", len(got), got["a"], change.Skipped)
	}
}

// TestChangesAreReportedOnce guards against log lines for a zone that was evacuated before.
func TestChangesAreReportedOnce(t *testing.T) {
	s := New([]string{"a"})
	first := s.Reset([]platform.KeyedRecord{evacuate("a", 1)}, 2, false)
	again := s.Apply([]platform.KeyedRecord{evacuate("a", 2)}, 3)
	back := s.Apply([]platform.KeyedRecord{takeBack("a", 3)}, 4)
	if len(first.Evacuated) != 1 || len(again.Evacuated) != 0 || len(back.TakenBack) != 1 {
		t.Fatalf("changes %+v, %+v, %+v", first, again, back)
	}
}
